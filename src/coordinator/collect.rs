//! Collects the outcomes that entries count and writes them as `Burn` objects.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;

use crate::burn::Counter;
use crate::clock::Clock;
use crate::control::pb;
use crate::control::pb::reports_client::ReportsClient;
use crate::coordinator::counts::{Accumulator, Minute};
use crate::coordinator::lease::Role;
use crate::daemon;
use crate::objects::{Api, Error};
use crate::resource::burn::{Burn, KEPT};
use crate::resource::{Kind, Object};

/// Interval of collections. Outcomes that an entry counted since the last one
/// are lost when the entry dies or the coordinator changes.
pub const INTERVAL: Duration = Duration::from_secs(10);

/// Time for one entry's answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Objects of the data centre, oldest first.
#[derive(Debug, Default)]
struct Objects {
    /// Epoch for which the objects were listed.
    listed: Option<u64>,
    kept: Vec<Kept>,
}

#[derive(Debug)]
struct Kept {
    minute: u64,
    revision: u64,
}

/// Collects while this process is active, and writes while it holds the lease.
pub(super) async fn run<C: Clock, P: Api>(
    ctx: daemon::Context,
    clock: C,
    platform: P,
    counter: Counter,
    mut role: watch::Receiver<Role>,
) {
    let work = async {
        while role.wait_for(|r| r.active).await.is_ok() {
            let mut lost = role.clone();
            tokio::select! {
                _ = lost.wait_for(|r| !r.active) => {}
                () = collect(&ctx, &clock, &platform, &counter, &role) => {}
            }
        }
    };
    tokio::select! {
        () = ctx.stop.cancelled() => {}
        () = work => {}
    }
}

async fn collect<C: Clock, P: Api>(
    ctx: &daemon::Context,
    clock: &C,
    platform: &P,
    counter: &Counter,
    role: &watch::Receiver<Role>,
) {
    // Without the VM list it is unknown which totals a predecessor has counted.
    let mut views = ctx.state.config.subscribe();
    if views.wait_for(|v| v.complete > 0).await.is_err() {
        return;
    }
    let known = entries(ctx).into_iter().map(|(vm, _)| vm).collect();
    let mut totals = Accumulator::new(known);
    let mut objects = Objects::default();
    let mut interval = time::interval(INTERVAL);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let minute = minute_of(clock.wall());
        for (vm, reply) in replies(ctx, counter).await {
            totals.add(&vm, &reply, minute);
        }
        let now = *role.borrow();
        if now.may_write(clock.now())
            && let Err(e) = objects.write(ctx, platform, &mut totals, now.epoch).await
        {
            log::debug!(error:% = e; "burn object not written");
        }
        totals.trim(minute);
    }
}

fn minute_of(wall: SystemTime) -> u64 {
    let since = wall.duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| d.as_secs() / 60)
}

fn entries(ctx: &daemon::Context) -> Vec<(String, SocketAddr)> {
    let view = ctx.state.view();
    let vms = view.vms.iter().filter(|v| {
        v.spec.role == crate::resource::vm::Role::Entry
            && v.spec.data_center == ctx.settings.data_center
    });
    vms.map(|v| (v.metadata.name.clone(), v.spec.control))
        .collect()
}

/// Totals of all reachable entries, the own ones included.
async fn replies(ctx: &daemon::Context, counter: &Counter) -> Vec<(String, pb::CountsReply)> {
    let mut calls = JoinSet::new();
    let own = ctx.settings.vm.as_str();
    for (vm, address) in entries(ctx).into_iter().filter(|(vm, _)| vm != own) {
        let channel = ctx.pool.channel(address);
        calls.spawn(async move {
            let mut client = ReportsClient::new(channel);
            let call = client.counts(pb::CountsRequest {});
            let reply = time::timeout(CALL_TIMEOUT, call).await.ok()?.ok()?;
            Some((vm, reply.into_inner()))
        });
    }
    let mut all = vec![(own.to_owned(), own_reply(ctx, counter))];
    while let Some(reply) = calls.join_next().await {
        all.extend(reply.ok().flatten());
    }
    all
}

/// Answer of this entry to `Counts`.
pub(super) fn own_reply(ctx: &daemon::Context, counter: &Counter) -> pb::CountsReply {
    pb::CountsReply {
        boot: ctx.boot.clone(),
        counts: counter.counts(),
        complete: ctx.state.view().complete,
    }
}

impl Objects {
    async fn write<P: Api>(
        &mut self,
        ctx: &daemon::Context,
        platform: &P,
        totals: &mut Accumulator,
        epoch: u64,
    ) -> Result<(), Error> {
        let data_center = &ctx.settings.data_center;
        if self.listed != Some(epoch) {
            self.list(platform, data_center).await?;
            self.listed = Some(epoch);
        }
        for minute in totals.dirty() {
            if !self.put(platform, data_center, minute, epoch).await? {
                return Ok(());
            }
        }
        while self.kept.len() > KEPT {
            let oldest = self.kept.remove(0);
            let name = Burn::object_name(data_center, oldest.minute);
            platform.delete(Kind::Burn, &name, oldest.revision).await?;
        }
        Ok(())
    }

    async fn list<P: Api>(&mut self, platform: &P, data_center: &str) -> Result<(), Error> {
        let list = platform
            .list(Kind::Burn, &format!("{data_center}."))
            .await?;
        let burns = list
            .items
            .iter()
            .filter_map(|o| Object::<Burn>::from_raw(o).ok());
        let own = burns.filter(|b| b.spec.data_center == data_center);
        self.kept = own
            .map(|b| Kept {
                minute: b.spec.minute,
                revision: b.metadata.revision,
            })
            .collect();
        self.kept.sort_unstable_by_key(|k| k.minute);
        Ok(())
    }

    /// Writes one minute; false when a newer coordinator has written it.
    async fn put<P: Api>(
        &mut self,
        platform: &P,
        data_center: &str,
        minute: &mut Minute,
        epoch: u64,
    ) -> Result<bool, Error> {
        // The second attempt follows a conflict with a predecessor's object.
        for _ in 0..2 {
            let name = Burn::object_name(data_center, minute.minute);
            let mut object = Object::new(name, minute.burn(data_center, epoch));
            object.metadata.revision = minute.revision;
            let Ok(raw) = object.to_raw() else {
                return Ok(true);
            };
            match platform.put(raw).await {
                Ok(written) => {
                    minute.revision = written.metadata.revision;
                    minute.dirty = false;
                    self.keep(minute);
                    return Ok(true);
                }
                Err(Error::Conflict { current: Some(c) }) => {
                    let Ok(current) = Object::<Burn>::from_raw(&c) else {
                        return Ok(true);
                    };
                    if current.spec.epoch > epoch {
                        return Ok(false);
                    }
                    minute.adopt(&current.spec, c.metadata.revision, epoch);
                }
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }

    fn keep(&mut self, minute: &Minute) {
        let kept = Kept {
            minute: minute.minute,
            revision: minute.revision,
        };
        match self.kept.binary_search_by_key(&kept.minute, |k| k.minute) {
            Ok(i) => self.kept[i] = kept,
            Err(i) => self.kept.insert(i, kept),
        }
    }
}
