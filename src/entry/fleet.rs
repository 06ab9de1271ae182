//! Pools of all services, kept in step with the VM list, and subscriptions to
//! the targets' reports.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time;
use tokio_util::sync::CancellationToken;

use super::link::Link;
use super::pool::{Pool, TargetKey};
use super::route::Policy;
use super::target::Death;
use crate::clock::Clock;
use crate::config;
use crate::control::pb;
use crate::control::pb::reports_client::ReportsClient;
use crate::daemon::Context;
use crate::membership;
use crate::rendezvous;
use crate::resource::{Object, vm};

/// Targets per service that an entry knows.
pub const SUBSET: usize = 32;
/// Targets of the subset that are taken from other data centres, when there are
/// that many, so that load can spill over.
const SUBSET_FAR: usize = 8;
/// Time between two attempts to subscribe to an agent's reports.
const RETRY: Duration = Duration::from_millis(200);
/// Time without any report after which the subscription is opened again.
const SILENCE: Duration = Duration::from_secs(3);
/// Interval at which waiting requests are looked at without another event.
const TICK: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct Member {
    vm: String,
    listed: vm::Vm,
    key: TargetKey,
    stop: CancellationToken,
}

#[derive(Debug)]
struct Group<C: Clock> {
    service: String,
    pool: Arc<Pool<C>>,
    /// Sorted by VM.
    members: Vec<Member>,
}

/// Pools of all services.
#[derive(Debug)]
pub struct Fleet<C: Clock> {
    ctx: Context,
    clock: C,
    policy: Policy,
    /// Sorted by service.
    groups: Mutex<Vec<Group<C>>>,
}

/// VMs of the targets of `service` that the entry `own` in `data_center` knows,
/// sorted by name.
#[must_use]
pub fn subset<'a>(
    view: &'a config::View,
    service: &'a str,
    own: &str,
    data_center: &str,
) -> Vec<&'a Arc<Object<vm::Vm>>> {
    let all: Vec<&Arc<Object<vm::Vm>>> = membership::targets(view, service).collect();
    if all.len() <= SUBSET {
        return all;
    }
    let (mut near, mut far): (Vec<_>, Vec<_>) = all
        .into_iter()
        .partition(|v| v.spec.data_center == data_center);
    let weight = |v: &&Arc<Object<vm::Vm>>| {
        std::cmp::Reverse(rendezvous::weight(own.as_bytes(), &v.metadata.name))
    };
    near.sort_unstable_by_key(weight);
    far.sort_unstable_by_key(weight);
    let kept_far = far
        .len()
        .min(SUBSET_FAR.max(SUBSET.saturating_sub(near.len())));
    near.truncate(SUBSET - kept_far);
    far.truncate(kept_far);
    near.append(&mut far);
    near.sort_unstable_by(|a, b| a.metadata.name.cmp(&b.metadata.name));
    near
}

impl<C: Clock> Fleet<C> {
    /// Fleet without services.
    #[must_use]
    pub fn new(ctx: &Context, clock: C, policy: Policy) -> Self {
        Self {
            ctx: ctx.clone(),
            clock,
            policy,
            groups: Mutex::default(),
        }
    }

    /// Pool of a service.
    #[must_use]
    pub fn pool(&self, service: &str) -> Option<Arc<Pool<C>>> {
        let groups = self.groups.lock();
        let found = groups.binary_search_by(|g| g.service.as_str().cmp(service));
        found.ok().map(|i| groups[i].pool.clone())
    }

    /// Follows the configuration until the process stops. `on_death` is called
    /// for deaths that reports reveal.
    pub async fn follow<F>(self: Arc<Self>, on_death: F)
    where
        F: Fn(Death) + Clone + Send + 'static,
    {
        let mut views = self.ctx.board.config.subscribe();
        loop {
            let view = views.borrow_and_update().clone();
            self.sync(&view, &on_death);
            if views.changed().await.is_err() {
                return;
            }
        }
    }

    /// Looks at waiting requests at regular times, until the process stops.
    pub async fn tick(self: Arc<Self>) {
        let mut ticks = time::interval(TICK);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let pools: Vec<Arc<Pool<C>>> =
                self.groups.lock().iter().map(|g| g.pool.clone()).collect();
            for pool in pools {
                pool.pump();
            }
        }
    }

    fn sync<F>(&self, view: &config::View, on_death: &F)
    where
        F: Fn(Death) + Clone + Send + 'static,
    {
        let mut groups = self.groups.lock();
        groups.retain(|g| config::find(&view.services, &g.service).is_some());
        for service in &view.services {
            let name = service.metadata.name.as_str();
            let index = match groups.binary_search_by(|g| g.service.as_str().cmp(name)) {
                Ok(index) => index,
                Err(index) => {
                    let pool = Pool::new(self.clock.clone(), &service.spec, self.policy);
                    let group = Group {
                        service: name.to_owned(),
                        pool: Arc::new(pool),
                        members: Vec::new(),
                    };
                    groups.insert(index, group);
                    index
                }
            };
            self.sync_group(&mut groups[index], view, on_death);
        }
    }

    fn sync_group<F>(&self, group: &mut Group<C>, view: &config::View, on_death: &F)
    where
        F: Fn(Death) + Clone + Send + 'static,
    {
        let settings = &self.ctx.settings;
        let service = group.service.clone();
        let wanted = subset(view, &service, &settings.vm, &settings.data_center);
        let pool = group.pool.clone();
        group.members.retain(|m| {
            let kept = wanted
                .iter()
                .any(|v| v.metadata.name == m.vm && same_place(&v.spec, &m.listed));
            if !kept {
                m.stop.cancel();
                pool.remove(m.key);
            }
            kept
        });
        for listed in wanted {
            let name = listed.metadata.name.as_str();
            let key = match group.members.binary_search_by(|m| m.vm.as_str().cmp(name)) {
                Ok(i) => group.members[i].key,
                Err(i) => match self.join(&pool, listed, on_death) {
                    Some(member) => {
                        let key = member.key;
                        group.members.insert(i, member);
                        key
                    }
                    None => continue,
                },
            };
            let leaving = membership::is_leaving(view, listed);
            pool.update(key, |t| t.leaving = leaving);
        }
    }

    fn join<F>(&self, pool: &Arc<Pool<C>>, listed: &Object<vm::Vm>, on_death: &F) -> Option<Member>
    where
        F: Fn(Death) + Clone + Send + 'static,
    {
        let settings = &self.ctx.settings;
        let local = listed.spec.data_center == settings.data_center;
        let link = Link::new(listed.spec.requests?, settings.bind);
        let key = pool.add(&listed.metadata.name, local, link);
        let stop = self.ctx.stop.child_token();
        let watch = watch(
            self.ctx.clone(),
            pool.clone(),
            key,
            listed.spec.control,
            on_death.clone(),
        );
        let token = stop.clone();
        tokio::spawn(async move { token.run_until_cancelled(watch).await });
        Some(Member {
            vm: listed.metadata.name.clone(),
            listed: listed.spec.clone(),
            key,
            stop,
        })
    }
}

/// Whether two entries of the VM list name the same process.
fn same_place(a: &vm::Vm, b: &vm::Vm) -> bool {
    a.control == b.control && a.requests == b.requests && a.data_center == b.data_center
}

async fn watch<C: Clock, F: Fn(Death)>(
    ctx: Context,
    pool: Arc<Pool<C>>,
    key: TargetKey,
    control: std::net::SocketAddr,
    on_death: F,
) {
    loop {
        let mut client = ReportsClient::new(ctx.pool.channel(control));
        let request = pb::WatchRequest {
            vm: ctx.settings.vm.clone(),
        };
        let opened = time::timeout(SILENCE, client.watch(request)).await;
        if let Ok(Ok(answer)) = opened {
            let mut reports = answer.into_inner();
            while let Ok(Ok(Some(report))) = time::timeout(SILENCE, reports.message()).await {
                if let Some(death) = pool.on_report(key, report) {
                    on_death(death);
                }
            }
        }
        // A silent connection may carry nothing any more while a new one works.
        ctx.pool.forget(control);
        time::sleep(RETRY).await;
    }
}
