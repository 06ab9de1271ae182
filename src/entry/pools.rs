//! Pools of all services, kept in sync with the VM list, and subscriptions to
//! the reports of their targets.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time;
use tokio_util::sync::CancellationToken;

use super::connection::Connection;
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

/// Maximum number of targets per service that one entry uses.
pub const SUBSET_SIZE: usize = 32;
/// Targets of the subset from other data centres, if there are as many, so that
/// load can spill over.
const SUBSET_REMOTE: usize = 8;
/// Delay before subscribing to an agent's reports again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a report after which the subscription is renewed.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which queued requests are checked for expiry and free slots.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct Subscription {
    vm: String,
    spec: vm::Vm,
    key: TargetKey,
    stop: CancellationToken,
}

#[derive(Debug)]
struct ServicePool<C: Clock> {
    service: String,
    pool: Arc<Pool<C>>,
    /// Sorted by VM.
    subscriptions: Vec<Subscription>,
}

/// Pools of all services.
#[derive(Debug)]
pub struct Pools<C: Clock> {
    ctx: Context,
    clock: C,
    policy: Policy,
    /// Sorted by service.
    services: Mutex<Vec<ServicePool<C>>>,
}

/// VMs of the targets of `service` that the entry `own` in `data_center` uses,
/// sorted by name.
#[must_use]
pub fn subset<'a>(
    view: &'a config::View,
    service: &'a str,
    own: &str,
    data_center: &str,
) -> Vec<&'a Arc<Object<vm::Vm>>> {
    let all: Vec<&Arc<Object<vm::Vm>>> = membership::targets(view, service).collect();
    if all.len() <= SUBSET_SIZE {
        return all;
    }
    let (mut local, mut remote): (Vec<_>, Vec<_>) = all
        .into_iter()
        .partition(|v| v.spec.data_center == data_center);
    let weight = |v: &&Arc<Object<vm::Vm>>| {
        std::cmp::Reverse(rendezvous::weight(own.as_bytes(), &v.metadata.name))
    };
    local.sort_unstable_by_key(weight);
    remote.sort_unstable_by_key(weight);
    let kept_remote = remote
        .len()
        .min(SUBSET_REMOTE.max(SUBSET_SIZE.saturating_sub(local.len())));
    local.truncate(SUBSET_SIZE - kept_remote);
    remote.truncate(kept_remote);
    local.append(&mut remote);
    local.sort_unstable_by(|a, b| a.metadata.name.cmp(&b.metadata.name));
    local
}

impl<C: Clock> Pools<C> {
    /// Creates an empty set of pools.
    #[must_use]
    pub fn new(ctx: &Context, clock: C, policy: Policy) -> Self {
        Self {
            ctx: ctx.clone(),
            clock,
            policy,
            services: Mutex::default(),
        }
    }

    /// Returns the pool of a service.
    #[must_use]
    pub fn pool(&self, service: &str) -> Option<Arc<Pool<C>>> {
        let pools = self.services.lock();
        let found = pools.binary_search_by(|s| s.service.as_str().cmp(service));
        found.ok().map(|i| pools[i].pool.clone())
    }

    /// Updates the pools whenever the configuration changes, until the process
    /// stops. `on_death` is called for each death that a report reveals.
    pub async fn follow_config<F>(self: Arc<Self>, on_death: F)
    where
        F: Fn(Death) + Clone + Send + 'static,
    {
        let mut views = self.ctx.state.config.subscribe();
        loop {
            let view = views.borrow_and_update().clone();
            self.sync(&view, &on_death);
            if views.changed().await.is_err() {
                return;
            }
        }
    }

    /// Checks the queues of all pools at a fixed interval, until the process
    /// stops.
    pub async fn poll_queues(self: Arc<Self>) {
        let mut ticks = time::interval(QUEUE_POLL_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let pools: Vec<Arc<Pool<C>>> = self
                .services
                .lock()
                .iter()
                .map(|s| s.pool.clone())
                .collect();
            for pool in pools {
                pool.serve_queue();
            }
        }
    }

    fn sync<F>(&self, view: &config::View, on_death: &F)
    where
        F: Fn(Death) + Clone + Send + 'static,
    {
        let mut pools = self.services.lock();
        pools.retain(|s| config::find(&view.services, &s.service).is_some());
        for service in &view.services {
            let name = service.metadata.name.as_str();
            let index = match pools.binary_search_by(|s| s.service.as_str().cmp(name)) {
                Ok(index) => index,
                Err(index) => {
                    let pool = Pool::new(self.clock.clone(), &service.spec, self.policy);
                    let service_pool = ServicePool {
                        service: name.to_owned(),
                        pool: Arc::new(pool),
                        subscriptions: Vec::new(),
                    };
                    pools.insert(index, service_pool);
                    index
                }
            };
            self.sync_service(&mut pools[index], view, on_death);
        }
    }

    fn sync_service<F>(&self, service_pool: &mut ServicePool<C>, view: &config::View, on_death: &F)
    where
        F: Fn(Death) + Clone + Send + 'static,
    {
        let settings = &self.ctx.settings;
        let service = service_pool.service.clone();
        let wanted = subset(view, &service, &settings.vm, &settings.data_center);
        let pool = service_pool.pool.clone();
        service_pool.subscriptions.retain(|s| {
            let kept = wanted
                .iter()
                .any(|v| v.metadata.name == s.vm && same_process(&v.spec, &s.spec));
            if !kept {
                s.stop.cancel();
                pool.remove(s.key);
            }
            kept
        });
        for listed in wanted {
            let name = listed.metadata.name.as_str();
            let key = match service_pool
                .subscriptions
                .binary_search_by(|s| s.vm.as_str().cmp(name))
            {
                Ok(i) => service_pool.subscriptions[i].key,
                Err(i) => match self.subscribe(&pool, listed, on_death) {
                    Some(subscription) => {
                        let key = subscription.key;
                        service_pool.subscriptions.insert(i, subscription);
                        key
                    }
                    None => continue,
                },
            };
            let draining = membership::is_leaving(view, listed);
            pool.update(key, |t| t.draining = draining);
        }
    }

    fn subscribe<F>(
        &self,
        pool: &Arc<Pool<C>>,
        listed: &Object<vm::Vm>,
        on_death: &F,
    ) -> Option<Subscription>
    where
        F: Fn(Death) + Clone + Send + 'static,
    {
        let settings = &self.ctx.settings;
        let local = listed.spec.data_center == settings.data_center;
        let connection = Connection::new(listed.spec.requests?, settings.bind);
        let key = pool.add(&listed.metadata.name, local, connection);
        let stop = self.ctx.stop.child_token();
        let watch = watch_reports(
            self.ctx.clone(),
            pool.clone(),
            key,
            listed.spec.control,
            on_death.clone(),
        );
        let token = stop.clone();
        tokio::spawn(async move { token.run_until_cancelled(watch).await });
        Some(Subscription {
            vm: listed.metadata.name.clone(),
            spec: listed.spec.clone(),
            key,
            stop,
        })
    }
}

/// Whether two versions of a VM list entry refer to the same process.
fn same_process(a: &vm::Vm, b: &vm::Vm) -> bool {
    a.control == b.control && a.requests == b.requests && a.data_center == b.data_center
}

async fn watch_reports<C: Clock, F: Fn(Death)>(
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
        let subscribed = time::timeout(REPORT_TIMEOUT, client.watch(request)).await;
        if let Ok(Ok(response)) = subscribed {
            let mut reports = response.into_inner();
            while let Ok(Ok(Some(report))) = time::timeout(REPORT_TIMEOUT, reports.message()).await
            {
                if let Some(death) = pool.on_report(key, report) {
                    on_death(death);
                }
            }
        }
        // The connection may be unresponsive while a new one would work.
        ctx.pool.remove(control);
        time::sleep(RETRY_INTERVAL).await;
    }
}
