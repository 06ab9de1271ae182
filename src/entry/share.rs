//! Account limits: this entry's share of each, and their division.

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time;

use crate::clock::Clock;
use crate::config;
use crate::control::pb;
use crate::control::pb::shares_client::SharesClient;
use crate::daemon::Context;
use crate::membership;
use crate::rendezvous;
use crate::resource::account::Account;

/// Interval of asking for shares.
const INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a call without an answer is given up.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Part of the way to an even split that a share goes at each failed call; 95 %
/// of it within 10 calls.
const DECAY: f64 = 0.26;
/// Time that a demand counts at the dividing entry.
const DEMAND_LIFETIME: Duration = Duration::from_secs(4);
/// Part of a limit that is split evenly whatever the demand, so that an entry
/// with new demand has something to begin with.
const EVEN_PART: f64 = 0.1;
/// Calls for an account go on this long after its last request.
const ACCOUNT_LIFETIME: Duration = Duration::from_secs(10);
/// Requests that may come at once, in seconds of the rate.
const BURST_SECONDS: f64 = 1.0;
/// Smallest burst, so that a share below one request per second admits any.
const MIN_BURST: f64 = 1.0;

/// Share of an account's limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Requests per second.
    pub rate: f64,
    /// Concurrent requests.
    pub concurrency: f64,
}

/// Demand that one entry reported for an account, and what it was granted.
#[derive(Clone, Debug)]
pub struct Demand {
    account: String,
    vm: String,
    rate: f64,
    granted: f64,
    at: Instant,
}

/// What the dividing entry knows about one account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Limit of the account.
    pub limit: f64,
    /// Demand of the asking entry.
    pub own: f64,
    /// Demand of all entries.
    pub total: f64,
    /// What other entries that asked hold until they ask again.
    pub held: f64,
    /// Other entries that asked.
    pub askers: u32,
    /// All entries.
    pub entries: u32,
}

/// Divides a limit: each entry gets its demand and an equal part of what is
/// left, or a part in proportion to its demand when that is more than the
/// limit, but only what no other entry holds. So the shares never add up to
/// more than the limit.
///
/// ```
/// use corianderramp::entry::share;
///
/// let quiet = share::Claim {
///     limit: 100.0, own: 10.0, total: 30.0, held: 0.0, askers: 4, entries: 5,
/// };
/// assert!((share::divide(quiet) - 24.0).abs() < 1e-9);
/// let busy = share::Claim { own: 300.0, total: 400.0, ..quiet };
/// assert!((share::divide(busy) - 69.5).abs() < 1e-9);
/// let late = share::Claim { held: 90.0, ..busy };
/// assert!((share::divide(late) - 10.0).abs() < 1e-9);
/// ```
#[must_use]
pub fn divide(claim: Claim) -> f64 {
    let entries = f64::from(claim.entries.max(1));
    let reserve = claim.limit * EVEN_PART / entries;
    let fair = if claim.total <= claim.limit {
        claim.own + (claim.limit - claim.total) / entries
    } else {
        claim.limit * (1.0 - EVEN_PART) * claim.own / claim.total + reserve
    };
    let silent = claim.entries.saturating_sub(claim.askers + 1);
    let free = claim.limit - claim.held - reserve * f64::from(silent);
    fair.min(free).max(reserve)
}

#[derive(Debug)]
struct Local {
    account: String,
    share: Share,
    tokens: f64,
    filled: Instant,
    active: u32,
    arrived: u32,
    /// Smoothed arrivals per second.
    demand: f64,
    used: Instant,
}

/// Why a request is over its account's limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Excess {
    /// Too many requests per second.
    Rate,
    /// Too many concurrent requests.
    Concurrency,
}

/// Shares of this entry and, for accounts that it divides, all demands.
#[derive(Debug)]
pub struct Shares<C: Clock> {
    ctx: Context,
    clock: C,
    /// Sorted by account.
    locals: Mutex<Vec<Local>>,
    /// Sorted by account and VM.
    demands: Mutex<Vec<Demand>>,
    /// Told when an account appears.
    appeared: Notify,
}

/// Counts a request as concurrent until it is dropped.
#[derive(Debug)]
pub struct Admitted<C: Clock> {
    shares: Arc<Shares<C>>,
    account: String,
}

impl<C: Clock> Drop for Admitted<C> {
    fn drop(&mut self) {
        let mut locals = self.shares.locals.lock();
        if let Ok(i) = find(&locals, &self.account) {
            locals[i].active = locals[i].active.saturating_sub(1);
        }
    }
}

fn find(locals: &[Local], account: &str) -> Result<usize, usize> {
    locals.binary_search_by(|l| l.account.as_str().cmp(account))
}

impl<C: Clock> Shares<C> {
    /// No shares yet.
    #[must_use]
    pub fn new(ctx: &Context, clock: C) -> Self {
        Self {
            ctx: ctx.clone(),
            clock,
            locals: Mutex::default(),
            demands: Mutex::default(),
            appeared: Notify::new(),
        }
    }

    /// Admits a request of an account within this entry's share.
    ///
    /// # Errors
    /// Says which limit it is over.
    pub fn admit(self: &Arc<Self>, account: &str, limits: &Account) -> Result<Admitted<C>, Excess> {
        let now = self.clock.now();
        let mut locals = self.locals.lock();
        let index = find(&locals, account).unwrap_or_else(|i| {
            let share = first(limits, self.entries());
            locals.insert(i, Local::new(account, share, now));
            self.appeared.notify_one();
            i
        });
        locals[index].admit(now)?;
        Ok(Admitted {
            shares: self.clone(),
            account: account.to_owned(),
        })
    }

    /// Asks for shares until the process stops.
    pub async fn follow(self: Arc<Self>) {
        let mut ticks = time::interval(INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut last = self.clock.now();
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = self.appeared.notified() => {}
            }
            let now = self.clock.now();
            let demands = self.measure(now.saturating_duration_since(last));
            last = now;
            let calls = demands.into_iter().map(|(account, demand)| {
                let shares = self.clone();
                async move { shares.ask(account, demand).await }
            });
            futures_util::future::join_all(calls).await;
        }
    }

    /// Division of one account's limits for the entry `vm`; `None` for an
    /// unknown account.
    pub fn answer(&self, account: &str, vm: &str, demand: f64) -> Option<Share> {
        let view = self.ctx.board.view();
        let limits = &config::find(&view.accounts, account)?.spec;
        let rate = self.grant(account, vm, demand.max(0.0), limits.rate);
        let concurrency = f64::from(limits.concurrency) * rate / limits.rate;
        Some(Share { rate, concurrency })
    }

    /// Keeps a demand and what is granted for it.
    fn grant(&self, account: &str, vm: &str, own: f64, limit: f64) -> f64 {
        let now = self.clock.now();
        let mut demands = self.demands.lock();
        demands.retain(|d| now.saturating_duration_since(d.at) < DEMAND_LIFETIME);
        let others = || {
            let same = demands.iter().filter(|d| d.account == account);
            same.filter(|d| d.vm != vm)
        };
        let granted = divide(Claim {
            limit,
            own,
            total: own + others().map(|d| d.rate).sum::<f64>(),
            held: others().map(|d| d.granted).sum(),
            askers: u32::try_from(others().count()).unwrap_or(u32::MAX),
            entries: self.entries(),
        });
        let demand = Demand {
            account: account.to_owned(),
            vm: vm.to_owned(),
            rate: own,
            granted,
            at: now,
        };
        let key = |d: &Demand| (d.account.as_str(), d.vm.as_str()).cmp(&(account, vm));
        match demands.binary_search_by(key) {
            Ok(i) => demands[i] = demand,
            Err(i) => demands.insert(i, demand),
        }
        granted
    }

    fn entries(&self) -> u32 {
        let view = self.ctx.board.view();
        u32::try_from(membership::entries(&view).count()).unwrap_or(u32::MAX)
    }

    /// Demand per account since the last call.
    fn measure(&self, elapsed: Duration) -> Vec<(String, f64)> {
        let now = self.clock.now();
        let mut locals = self.locals.lock();
        locals.retain(|l| l.active > 0 || now.saturating_duration_since(l.used) < ACCOUNT_LIFETIME);
        let seconds = elapsed.as_secs_f64().max(0.05);
        let weight = seconds.min(1.0);
        let measured = locals.iter_mut().map(|l| {
            let rate = f64::from(std::mem::take(&mut l.arrived)) / seconds;
            l.demand += weight * (rate - l.demand);
            (l.account.clone(), l.demand)
        });
        measured.collect()
    }

    async fn ask(&self, account: String, demand: f64) {
        let view = self.ctx.board.view();
        let Some(limits) = config::find(&view.accounts, &account) else {
            return;
        };
        let even = even(&limits.spec, self.entries());
        let share = self.call(&view, &account, demand).await;
        let mut locals = self.locals.lock();
        if let Ok(i) = find(&locals, &account) {
            locals[i].share = share.unwrap_or_else(|| decay(locals[i].share, even));
        }
    }

    async fn call(&self, view: &config::View, account: &str, demand: f64) -> Option<Share> {
        let names = membership::entries(view).map(|v| v.metadata.name.as_str());
        let divider = rendezvous::first(account.as_bytes(), names)?;
        let own = self.ctx.settings.vm.as_str();
        if divider == own {
            return self.answer(account, own, demand);
        }
        let address = config::find(&view.vms, divider)?.spec.control;
        let mut client = SharesClient::new(self.ctx.pool.channel(address));
        let request = pb::ShareRequest {
            vm: own.to_owned(),
            account: account.to_owned(),
            demand,
        };
        let reply = time::timeout(TIMEOUT, client.share(request)).await;
        let reply = reply.ok()?.ok()?.into_inner();
        Some(Share {
            rate: reply.rate,
            concurrency: reply.concurrency,
        })
    }
}

impl Local {
    fn new(account: &str, share: Share, now: Instant) -> Self {
        Self {
            account: account.to_owned(),
            share,
            tokens: (share.rate * BURST_SECONDS).max(MIN_BURST),
            filled: now,
            active: 0,
            arrived: 0,
            demand: 0.0,
            used: now,
        }
    }

    fn admit(&mut self, now: Instant) -> Result<(), Excess> {
        self.arrived += 1;
        self.used = now;
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        let burst = (self.share.rate * BURST_SECONDS).max(MIN_BURST);
        self.tokens = (self.tokens + elapsed * self.share.rate).min(burst);
        self.filled = now;
        if self.tokens < 1.0 {
            return Err(Excess::Rate);
        }
        if f64::from(self.active) >= self.share.concurrency.max(1.0) {
            return Err(Excess::Concurrency);
        }
        self.tokens -= 1.0;
        self.active += 1;
        Ok(())
    }
}

/// Share of an entry that has not asked yet: the part that is kept for it.
fn first(limits: &Account, entries: u32) -> Share {
    let even = even(limits, entries);
    Share {
        rate: even.rate * EVEN_PART,
        concurrency: even.concurrency * EVEN_PART,
    }
}

fn even(limits: &Account, entries: u32) -> Share {
    let entries = f64::from(entries.max(1));
    Share {
        rate: limits.rate / entries,
        concurrency: f64::from(limits.concurrency) / entries,
    }
}

fn decay(share: Share, even: Share) -> Share {
    Share {
        rate: share.rate + DECAY * (even.rate - share.rate),
        concurrency: share.concurrency + DECAY * (even.concurrency - share.concurrency),
    }
}
