//! Rollout over real `corianderrampd` agent processes. The tool takes the
//! coordinator's place: it pushes the configuration and collects the reports.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use corianderramp::config;
use corianderramp::control::{self, pb};
use corianderramp::resource::{Object, Resource};
use snafu::ResultExt;
use tokio::task::JoinSet;
use tokio::time;

use super::{Settings, victims};
use crate::fleet::{self, Fleet};
use crate::harness::{self, process::Process};
use crate::toolkit;

/// Interval of pushes; agents forget a coordinator that is silent for longer.
const PUSH_INTERVAL: Duration = Duration::from_millis(500);
/// Time allowed for starting all processes.
const START_LIMIT: Duration = Duration::from_secs(60);
/// Time allowed for one push.
const PUSH_LIMIT: Duration = Duration::from_secs(5);

/// Rolls a version out; returns the time at which each surviving VM served it.
pub(super) async fn roll_out(
    settings: &Settings,
    fleet_settings: &fleet::Settings,
    seed: u64,
    limit: Duration,
) -> Result<(Fleet, Vec<Duration>), toolkit::Error> {
    let mut fleet = Fleet::prepare(fleet_settings).await?;
    fleet.coordinate(fleet.agents.len()).await?;
    let folder = settings.output.join("processes");
    fs::create_dir_all(&folder).context(toolkit::IoSnafu { what: &folder })?;
    let mut processes = start(&fleet, &folder).await?;
    let manifest = settings.content(seed).manifest();
    let third = manifest.spec.chunks.len() / 3;
    let begin = Instant::now();
    let generation = fleet.declare_with(&manifest, settings.strategy);
    push(&fleet, &processes).await;
    let mut times = vec![None; processes.len()];
    let mut victims = victims(processes.len(), settings.deaths);
    let mut pushed = Instant::now();
    loop {
        let reports = fleet.coordinator.as_ref().map(fleet::Coordinator::reports);
        let mut far = false;
        for report in reports.unwrap_or_default() {
            let current = report.generation == generation;
            far |= current && report.chunks_have as usize >= third;
            let index = fleet.agents.iter().position(|a| a.place.vm == report.vm);
            if let Some(index) = index.filter(|_| current && report.stage() == pb::Stage::Live) {
                times[index].get_or_insert_with(|| begin.elapsed());
            }
        }
        if far {
            for index in victims.drain(..) {
                processes[index] = None;
            }
        }
        let pending = processes.iter().zip(&times);
        if !pending.into_iter().any(|(p, t)| p.is_some() && t.is_none()) {
            break;
        }
        if begin.elapsed() > limit {
            let reason = format!("{} processes: not live within {limit:?}", times.len());
            return Err(toolkit::Error::Unusable { reason });
        }
        if pushed.elapsed() > PUSH_INTERVAL {
            push(&fleet, &processes).await;
            pushed = Instant::now();
        }
        time::sleep(Duration::from_millis(10)).await;
    }
    let alive = processes.iter().zip(times).filter(|(p, _)| p.is_some());
    let times = alive.filter_map(|(_, time)| time).collect();
    Ok((fleet, times))
}

/// Starts all agents and waits until each has the configuration.
async fn start(fleet: &Fleet, folder: &Path) -> Result<Vec<Option<Process>>, toolkit::Error> {
    let mut processes = Vec::new();
    for agent in &fleet.agents {
        processes.push(Some(harness::daemon(folder, &agent.settings)?));
    }
    let begin = Instant::now();
    while push(fleet, &processes).await < processes.len() {
        if begin.elapsed() > START_LIMIT {
            let reason = format!("agents did not start within {START_LIMIT:?}");
            return Err(toolkit::Error::Unusable { reason });
        }
    }
    Ok(processes)
}

/// Pushes the fleet's configuration to all running processes; returns how many
/// confirmed it.
async fn push(fleet: &Fleet, processes: &[Option<Process>]) -> usize {
    let delta = delta(&fleet.view, fleet);
    let mut calls = JoinSet::new();
    let running = fleet.agents.iter().zip(processes);
    for (agent, _) in running.filter(|(_, p)| p.is_some()) {
        let address = agent.settings.listen.control;
        let delta = delta.clone();
        calls.spawn(async move { send(address, delta).await });
    }
    let mut confirmed = 0;
    while let Some(ended) = calls.join_next().await {
        confirmed += usize::from(ended.unwrap_or(false));
    }
    confirmed
}

async fn send(address: SocketAddr, delta: pb::Delta) -> bool {
    let complete = delta.to;
    let channel = control::Pool::new(None).channel(address);
    let mut client = pb::config_sync_client::ConfigSyncClient::new(channel);
    let push = client.push(tokio_stream::once(delta));
    let reply = time::timeout(PUSH_LIMIT, push).await;
    matches!(reply, Ok(Ok(reply)) if reply.get_ref().complete >= complete)
}

fn delta(view: &config::View, fleet: &Fleet) -> pb::Delta {
    let mut items = Vec::new();
    items.extend(view.models.iter().filter_map(|o| item(o)));
    items.extend(view.rollouts.iter().filter_map(|o| item(o)));
    items.extend(view.services.iter().filter_map(|o| item(o)));
    items.extend(view.vms.iter().filter_map(|o| item(o)));
    pb::Delta {
        from: 0,
        to: view.complete,
        snapshot: true,
        items,
        coordinator: fleet.coordinator.as_ref().map(fleet::Coordinator::named),
    }
}

fn item<S: Resource>(object: &Object<S>) -> Option<pb::Item> {
    let mut object = object.clone();
    // Objects that never change carry the first revision.
    object.metadata.revision = object.metadata.revision.max(1);
    let raw = object.to_raw().ok()?;
    let json = serde_json::to_vec(&raw).ok()?;
    Some(pb::Item {
        kind: raw.kind.name().into(),
        name: raw.metadata.name,
        revision: raw.metadata.revision,
        json: json.into(),
    })
}
