//! Writes `Status` objects while this process is guaranteed to hold the lease.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time;

use crate::clock::Clock;
use crate::config;
use crate::coordinator::ControlState;
use crate::coordinator::lease::Role;
use crate::coordinator::progress;
use crate::coordinator::push::Process;
use crate::daemon;
use crate::objects::{Api, Error};
use crate::resource::status::{MAX_LISTED, Status};
use crate::resource::{Kind, Object};

/// Minimum time between two writes of the same object. `apply --wait` must see a
/// change well within 4 s.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Status objects of the data centre, as last read or written.
#[derive(Debug, Default)]
struct StatusObjects {
    objects: Vec<Object<Status>>,
    /// Epoch of this coordinator when the objects were last listed; `None` if they
    /// must be listed again.
    listed_epoch: Option<u64>,
    /// Revision of the last list.
    list_revision: u64,
}

/// Writes status objects until the process stops.
pub(super) async fn run<C: Clock, P: Api>(
    ctx: daemon::Context,
    clock: C,
    platform: P,
    config: config::Handle,
    role: watch::Receiver<Role>,
    shared: ControlState,
) {
    let mut objects = StatusObjects::default();
    let mut interval = time::interval(MIN_WRITE_INTERVAL);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = ctx.stop.cancelled() => return,
            _ = interval.tick() => {}
        }
        let current = *role.borrow();
        if !current.may_write(clock.now()) {
            continue;
        }
        let desired = desired(&ctx, &config, &shared, current.epoch, &clock);
        let may_write = || role.borrow().may_write(clock.now());
        let complete = config.revisions().complete;
        let sync = objects.sync(&platform, &ctx, current.epoch, complete, desired, may_write);
        if let Err(e) = sync.await {
            log::debug!(error:% = e; "failed to write status objects");
        }
    }
}

/// Current status of the configuration and of all rollouts of the data centre.
fn desired<C: Clock>(
    ctx: &daemon::Context,
    config: &config::Handle,
    shared: &ControlState,
    epoch: u64,
    clock: &C,
) -> Vec<DesiredStatus> {
    let view = ctx.state.view();
    let data_center = &ctx.settings.data_center;
    let revisions = config.revisions();
    let mut overall = config_status(&shared.processes.snapshot(), revisions.complete);
    overall.data_center.clone_from(data_center);
    overall.epoch = epoch;
    let problems = config.invalid_objects();
    let reasons = problems
        .iter()
        .map(|p| format!("{}/{}: {}", p.kind, p.name, p.reason));
    overall.reasons = reasons.take(MAX_LISTED).collect();
    let mut all = vec![DesiredStatus {
        status: overall,
        must_cover: revisions.changed,
    }];
    let mut state = shared.state.lock();
    state.reports.expire(clock.now());
    let rollouts = progress::rollout_statuses(&view, &state.reports, data_center, epoch);
    all.extend(rollouts.into_iter().map(|status| DesiredStatus {
        status,
        must_cover: 0,
    }));
    all
}

/// Status of the configuration in force in the processes of a data centre.
/// `own_revision` is the revision of the coordinator's own store.
#[must_use]
pub fn config_status(processes: &[Process], own_revision: u64) -> Status {
    let reachable = processes.iter().filter(|p| p.reachable);
    let complete = reachable
        .clone()
        .map(|p| p.acked_revision)
        .fold(own_revision, u64::min);
    let lagging = processes
        .iter()
        .filter(|p| !p.reachable || p.acked_revision < complete);
    Status {
        complete,
        processes: u32::try_from(reachable.count() + 1).unwrap_or(u32::MAX),
        lagging: lagging.take(MAX_LISTED).map(|p| p.vm.clone()).collect(),
        ..Status::default()
    }
}

/// A status that the platform should have.
#[derive(Clone, Debug)]
struct DesiredStatus {
    status: Status,
    /// Revision of the last configuration change; 0 in a rollout status.
    must_cover: u64,
}

impl DesiredStatus {
    fn name(&self) -> String {
        Status::object_name(&self.status.rollout, &self.status.data_center)
    }

    /// Whether the status must be written in place of `old`. A higher `complete`
    /// counts only if `old` does not cover the last configuration change, because
    /// objects of other kinds raise the revision all the time.
    fn needs_write(&self, old: &Status) -> bool {
        let mut new = self.status.clone();
        new.epoch = old.epoch;
        new.complete = old.complete;
        let covers_more = old.complete < self.must_cover && self.status.complete > old.complete;
        new != *old || covers_more
    }
}

impl StatusObjects {
    /// Writes the statuses that differ and deletes all others of the data centre,
    /// while `may_write` returns true.
    async fn sync<P: Api>(
        &mut self,
        platform: &P,
        ctx: &daemon::Context,
        epoch: u64,
        complete: u64,
        desired: Vec<DesiredStatus>,
        may_write: impl Fn() -> bool,
    ) -> Result<(), Error> {
        if self.listed_epoch != Some(epoch) {
            self.list(platform, ctx).await?;
            self.listed_epoch = Some(epoch);
        }
        // Writes nothing while the local configuration is older than the list, since
        // the status of a rollout that it lacks would be deleted, or once a newer
        // coordinator has written.
        if complete < self.list_revision || self.objects.iter().any(|o| o.spec.epoch > epoch) {
            return Ok(());
        }
        for desired in &desired {
            if may_write() {
                self.write(platform, desired).await?;
            }
        }
        self.delete_obsolete(platform, &desired, may_write).await
    }

    async fn list<P: Api>(&mut self, platform: &P, ctx: &daemon::Context) -> Result<(), Error> {
        let list = platform.list(Kind::Status, "").await?;
        let objects = list.items.iter().filter_map(|o| Object::from_raw(o).ok());
        let is_own = |o: &Object<Status>| o.spec.data_center == ctx.settings.data_center;
        self.objects = objects.filter(is_own).collect();
        self.list_revision = list.revision;
        Ok(())
    }

    async fn write<P: Api>(&mut self, platform: &P, desired: &DesiredStatus) -> Result<(), Error> {
        let name = desired.name();
        let index = self.objects.iter().position(|o| o.metadata.name == name);
        if index.is_some_and(|i| !desired.needs_write(&self.objects[i].spec)) {
            return Ok(());
        }
        let mut object = Object::new(name, desired.status.clone());
        if let Some(i) = index {
            object.metadata.revision = self.objects[i].metadata.revision;
        }
        let Ok(raw) = object.to_raw() else {
            return Ok(());
        };
        match platform.put(raw).await {
            Ok(written) => {
                object.metadata.revision = written.metadata.revision;
                self.insert(index, object);
                Ok(())
            }
            Err(e) => {
                // Another coordinator may have written, or the reply was lost: the
                // objects are listed again before the next write.
                self.listed_epoch = None;
                Err(e)
            }
        }
    }

    fn insert(&mut self, index: Option<usize>, object: Object<Status>) {
        match index {
            Some(i) => self.objects[i] = object,
            None => self.objects.push(object),
        }
    }

    /// Deletes the status of rollouts that were deleted or replaced by a newer one.
    async fn delete_obsolete<P: Api>(
        &mut self,
        platform: &P,
        desired: &[DesiredStatus],
        may_write: impl Fn() -> bool,
    ) -> Result<(), Error> {
        let is_desired = |o: &Object<Status>| desired.iter().any(|w| w.name() == o.metadata.name);
        while let Some(i) = self.objects.iter().position(|o| !is_desired(o)) {
            if !may_write() {
                return Ok(());
            }
            let old = self.objects.swap_remove(i);
            let deleted = platform
                .delete(Kind::Status, &old.metadata.name, old.metadata.revision)
                .await;
            if let Err(e) = deleted {
                self.listed_epoch = None;
                return Err(e);
            }
        }
        Ok(())
    }
}
