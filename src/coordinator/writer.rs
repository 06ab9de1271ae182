//! Writes `Status` objects while the lease is certainly held.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time;

use crate::clock::Clock;
use crate::config;
use crate::coordinator::Shared;
use crate::coordinator::lease::Role;
use crate::coordinator::progress;
use crate::coordinator::push::Process;
use crate::daemon;
use crate::objects::{Api, Error};
use crate::resource::status::{MAX_LISTED, Status};
use crate::resource::{Kind, Object};

/// Shortest time between two writes of one object. `apply --wait` has to learn
/// of a change well within 4 s.
const INTERVAL: Duration = Duration::from_millis(500);

/// Status objects of the data centre as last known.
#[derive(Debug, Default)]
struct Written {
    objects: Vec<Object<Status>>,
    /// Epoch for which the objects were listed.
    listed: Option<u64>,
    /// Revision of that list.
    revision: u64,
}

/// Writes status objects until the process stops.
pub(super) async fn run<C: Clock, P: Api>(
    ctx: daemon::Context,
    clock: C,
    platform: P,
    config: config::Handle,
    role: watch::Receiver<Role>,
    shared: Shared,
) {
    let mut written = Written::default();
    let mut interval = time::interval(INTERVAL);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = ctx.stop.cancelled() => return,
            _ = interval.tick() => {}
        }
        let now = *role.borrow();
        if !now.may_write(clock.now()) {
            continue;
        }
        let wanted = wanted(&ctx, &config, &shared, now.epoch, &clock);
        let may_write = || role.borrow().may_write(clock.now());
        let complete = config.revisions().complete;
        let step = written.step(&platform, &ctx, now.epoch, complete, wanted, may_write);
        if let Err(e) = step.await {
            log::debug!(error:% = e; "status not written");
        }
    }
}

fn wanted<C: Clock>(
    ctx: &daemon::Context,
    config: &config::Handle,
    shared: &Shared,
    epoch: u64,
    clock: &C,
) -> Vec<Wanted> {
    let view = ctx.state.view();
    let data_center = &ctx.settings.data_center;
    let revisions = config.revisions();
    let mut own = configuration(&shared.processes.all(), revisions.complete);
    own.data_center.clone_from(data_center);
    own.epoch = epoch;
    let problems = config.invalid_objects();
    let texts = problems
        .iter()
        .map(|p| format!("{}/{}: {}", p.kind, p.name, p.reason));
    own.reasons = texts.take(MAX_LISTED).collect();
    let mut all = vec![Wanted {
        status: own,
        changed: revisions.changed,
    }];
    let mut state = shared.state.lock();
    state.reports.expire(clock.now());
    let rollouts = progress::statuses(&view, &state.reports, data_center, epoch);
    all.extend(
        rollouts
            .into_iter()
            .map(|status| Wanted { status, changed: 0 }),
    );
    all
}

/// Configuration in force in the processes of a data centre, given the
/// revision of the coordinator's own store.
#[must_use]
pub fn configuration(processes: &[Process], own: u64) -> Status {
    let reachable = processes.iter().filter(|p| p.reachable);
    let complete = reachable.clone().map(|p| p.acked).fold(own, u64::min);
    let lagging = processes
        .iter()
        .filter(|p| !p.reachable || p.acked < complete);
    Status {
        complete,
        processes: u32::try_from(reachable.count() + 1).unwrap_or(u32::MAX),
        lagging: lagging.take(MAX_LISTED).map(|p| p.vm.clone()).collect(),
        ..Status::default()
    }
}

/// A status and the newest revision of an object that it must cover.
#[derive(Clone, Debug)]
struct Wanted {
    status: Status,
    changed: u64,
}

impl Wanted {
    fn name(&self) -> String {
        Status::object_name(&self.status.rollout, &self.status.data_center)
    }

    /// Whether the platform should learn of it. Other kinds of objects raise
    /// the revision all the time, so `complete` alone is no reason.
    fn differs(&self, old: &Status) -> bool {
        let mut new = self.status.clone();
        new.epoch = old.epoch;
        new.complete = old.complete;
        let covers_more = old.complete < self.changed && self.status.complete > old.complete;
        new != *old || covers_more
    }
}

impl Written {
    async fn step<P: Api>(
        &mut self,
        platform: &P,
        ctx: &daemon::Context,
        epoch: u64,
        complete: u64,
        wanted: Vec<Wanted>,
        may_write: impl Fn() -> bool,
    ) -> Result<(), Error> {
        if self.listed != Some(epoch) {
            self.list(platform, ctx).await?;
            self.listed = Some(epoch);
        }
        // A status of a rollout that the configuration does not contain yet
        // must not be deleted, and a newer coordinator's objects must stay.
        if complete < self.revision || self.objects.iter().any(|o| o.spec.epoch > epoch) {
            return Ok(());
        }
        for wanted in &wanted {
            if may_write() {
                self.write(platform, wanted).await?;
            }
        }
        self.delete_others(platform, &wanted, may_write).await
    }

    async fn list<P: Api>(&mut self, platform: &P, ctx: &daemon::Context) -> Result<(), Error> {
        let list = platform.list(Kind::Status, "").await?;
        let objects = list.items.iter().filter_map(|o| Object::from_raw(o).ok());
        let own = |o: &Object<Status>| o.spec.data_center == ctx.settings.data_center;
        self.objects = objects.filter(own).collect();
        self.revision = list.revision;
        Ok(())
    }

    async fn write<P: Api>(&mut self, platform: &P, wanted: &Wanted) -> Result<(), Error> {
        let name = wanted.name();
        let place = self.objects.iter().position(|o| o.metadata.name == name);
        if place.is_some_and(|i| !wanted.differs(&self.objects[i].spec)) {
            return Ok(());
        }
        let mut object = Object::new(name, wanted.status.clone());
        if let Some(i) = place {
            object.metadata.revision = self.objects[i].metadata.revision;
        }
        let Ok(raw) = object.to_raw() else {
            return Ok(());
        };
        match platform.put(raw).await {
            Ok(written) => {
                object.metadata.revision = written.metadata.revision;
                self.set(place, object);
                Ok(())
            }
            Err(e) => {
                // Another coordinator wrote, or the answer was lost: look again
                // before the next write.
                self.listed = None;
                Err(e)
            }
        }
    }

    fn set(&mut self, place: Option<usize>, object: Object<Status>) {
        match place {
            Some(i) => self.objects[i] = object,
            None => self.objects.push(object),
        }
    }

    /// Deletes the status of rollouts that were deleted or superseded.
    async fn delete_others<P: Api>(
        &mut self,
        platform: &P,
        wanted: &[Wanted],
        may_write: impl Fn() -> bool,
    ) -> Result<(), Error> {
        let is_wanted = |o: &Object<Status>| wanted.iter().any(|w| w.name() == o.metadata.name);
        while let Some(i) = self.objects.iter().position(|o| !is_wanted(o)) {
            if !may_write() {
                return Ok(());
            }
            let old = self.objects.swap_remove(i);
            let deleted = platform
                .delete(Kind::Status, &old.metadata.name, old.metadata.revision)
                .await;
            if let Err(e) = deleted {
                self.listed = None;
                return Err(e);
            }
        }
        Ok(())
    }
}
