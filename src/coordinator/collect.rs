//! Collects the outcome counts of the entries and writes them as `Burn` objects.

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
use crate::resource::burn::{Burn, MAX_MINUTES};
use crate::resource::{Kind, Object};

/// Interval between collections. Outcomes counted since the last collection are
/// lost when the entry dies or the coordinator changes.
pub const COLLECT_INTERVAL: Duration = Duration::from_secs(10);

/// Timeout of the call to one entry.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// `Burn` objects of the data centre on the platform.
#[derive(Debug, Default)]
struct BurnObjects {
    /// Epoch of this coordinator when the objects were last listed.
    listed_epoch: Option<u64>,
    /// Sorted by minute, oldest first.
    stored: Vec<StoredMinute>,
}

#[derive(Debug)]
struct StoredMinute {
    minute: u64,
    revision: u64,
}

/// Collects outcomes while this process is active and writes them while it holds
/// the lease. Returns when the process stops.
pub(super) async fn run<C: Clock, P: Api>(
    ctx: daemon::Context,
    clock: C,
    platform: P,
    counter: Counter,
    mut role: watch::Receiver<Role>,
) {
    let work = async {
        while role.wait_for(|r| r.active).await.is_ok() {
            let mut deactivated = role.clone();
            tokio::select! {
                _ = deactivated.wait_for(|r| !r.active) => {}
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
    // The VM list tells which entries a predecessor has already counted.
    let mut views = ctx.state.config.subscribe();
    if views.wait_for(|v| v.complete > 0).await.is_err() {
        return;
    }
    let initial_entries = entry_addresses(ctx).into_iter().map(|(vm, _)| vm).collect();
    let mut accumulator = Accumulator::new(initial_entries);
    let mut objects = BurnObjects::default();
    let mut interval = time::interval(COLLECT_INTERVAL);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let minute = unix_minute(clock.wall());
        for (vm, reply) in collect_replies(ctx, counter).await {
            accumulator.add_reply(&vm, &reply, minute);
        }
        let current = *role.borrow();
        if current.may_write(clock.now())
            && let Err(e) = objects
                .write_all(ctx, platform, &mut accumulator, current.epoch)
                .await
        {
            log::debug!(error:% = e; "failed to write burn objects");
        }
        accumulator.trim(minute);
    }
}

fn unix_minute(wall: SystemTime) -> u64 {
    let since = wall.duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| d.as_secs() / 60)
}

fn entry_addresses(ctx: &daemon::Context) -> Vec<(String, SocketAddr)> {
    let view = ctx.state.view();
    let vms = view.vms.iter().filter(|v| {
        v.spec.role == crate::resource::vm::Role::Entry
            && v.spec.data_center == ctx.settings.data_center
    });
    vms.map(|v| (v.metadata.name.clone(), v.spec.control))
        .collect()
}

/// Totals of all reachable entries, this one included.
async fn collect_replies(
    ctx: &daemon::Context,
    counter: &Counter,
) -> Vec<(String, pb::CountsReply)> {
    let mut calls = JoinSet::new();
    let own = ctx.settings.vm.as_str();
    for (vm, address) in entry_addresses(ctx).into_iter().filter(|(vm, _)| vm != own) {
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

/// Reply of this entry to a `Counts` call.
pub(super) fn own_reply(ctx: &daemon::Context, counter: &Counter) -> pb::CountsReply {
    pb::CountsReply {
        boot: ctx.boot.clone(),
        counts: counter.counts(),
        complete: ctx.state.view().complete,
    }
}

impl BurnObjects {
    /// Writes all dirty minutes and deletes the oldest objects above [`MAX_MINUTES`].
    async fn write_all<P: Api>(
        &mut self,
        ctx: &daemon::Context,
        platform: &P,
        accumulator: &mut Accumulator,
        epoch: u64,
    ) -> Result<(), Error> {
        let data_center = &ctx.settings.data_center;
        if self.listed_epoch != Some(epoch) {
            self.list(platform, data_center).await?;
            self.listed_epoch = Some(epoch);
        }
        for minute in accumulator.dirty_minutes() {
            if !self
                .write_minute(platform, data_center, minute, epoch)
                .await?
            {
                return Ok(());
            }
        }
        while self.stored.len() > MAX_MINUTES {
            let oldest = self.stored.remove(0);
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
        let local = burns.filter(|b| b.spec.data_center == data_center);
        self.stored = local
            .map(|b| StoredMinute {
                minute: b.spec.minute,
                revision: b.metadata.revision,
            })
            .collect();
        self.stored.sort_unstable_by_key(|k| k.minute);
        Ok(())
    }

    /// Writes one minute; returns false if a newer coordinator has written it.
    async fn write_minute<P: Api>(
        &mut self,
        platform: &P,
        data_center: &str,
        minute: &mut Minute,
        epoch: u64,
    ) -> Result<bool, Error> {
        // The second attempt resolves a conflict with the object of a predecessor.
        for _ in 0..2 {
            let name = Burn::object_name(data_center, minute.minute);
            let mut object = Object::new(name, minute.to_burn(data_center, epoch));
            object.metadata.revision = minute.revision;
            let Ok(raw) = object.to_raw() else {
                return Ok(true);
            };
            match platform.put(raw).await {
                Ok(written) => {
                    minute.revision = written.metadata.revision;
                    minute.dirty = false;
                    self.record_written(minute);
                    return Ok(true);
                }
                Err(Error::Conflict { current: Some(c) }) => {
                    let Ok(current) = Object::<Burn>::from_raw(&c) else {
                        return Ok(true);
                    };
                    if current.spec.epoch > epoch {
                        return Ok(false);
                    }
                    minute.resolve_conflict(&current.spec, c.metadata.revision, epoch);
                }
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }

    fn record_written(&mut self, minute: &Minute) {
        let stored = StoredMinute {
            minute: minute.minute,
            revision: minute.revision,
        };
        match self
            .stored
            .binary_search_by_key(&stored.minute, |k| k.minute)
        {
            Ok(i) => self.stored[i] = stored,
            Err(i) => self.stored.insert(i, stored),
        }
    }
}
