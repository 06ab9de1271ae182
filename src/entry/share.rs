//! Account limits: the share of each limit that this entry may use, and the
//! division of limits among entries.

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

/// Interval at which shares are requested.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a request for a share.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Fraction by which a share moves towards an even split after each failed
/// call; 10 failed calls cover 95 % of the difference.
const FALLBACK_FACTOR: f64 = 0.26;
/// Time for which the dividing entry counts a reported demand.
const DEMAND_LIFETIME: Duration = Duration::from_secs(4);
/// Fraction of a limit that is split evenly regardless of demand, so that an
/// entry with new demand can start.
const RESERVED_PART: f64 = 0.1;
/// Time after an account's last request in which its share is still refreshed.
const ACCOUNT_LIFETIME: Duration = Duration::from_secs(10);
/// Size of the token bucket, in seconds of the rate.
const BURST_SECONDS: f64 = 1.0;
/// Smallest token bucket, so that a share below one request per second still
/// admits requests.
const MIN_BURST: f64 = 1.0;

/// One entry's share of an account's limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Requests per second.
    pub rate: f64,
    /// Concurrent requests.
    pub concurrency: f64,
}

/// Demand that one entry reported for an account, and the rate that it was
/// granted.
#[derive(Clone, Debug)]
pub struct Demand {
    account: String,
    vm: String,
    rate: f64,
    granted: f64,
    reported: Instant,
}

/// Input of [`divide`], for one account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DivisionInput {
    /// Limit of the account.
    pub limit: f64,
    /// Demand of the requesting entry.
    pub own_demand: f64,
    /// Demand of all entries.
    pub total_demand: f64,
    /// Granted to other entries that reported a demand, until they report
    /// again.
    pub held_by_others: f64,
    /// Number of other entries that reported a demand.
    pub other_reporters: u32,
    /// Number of all entries.
    pub entries: u32,
}

/// Calculates one entry's share of a limit. While the total demand is within the
/// limit, the entry gets its demand and an equal part of the remainder; above the
/// limit, it gets a part in proportion to its demand. The result is capped at
/// what other entries don't hold, so the shares never add up to more than the
/// limit.
///
/// ```
/// use corianderramp::entry::share;
///
/// let below_limit = share::DivisionInput {
///     limit: 100.0,
///     own_demand: 10.0,
///     total_demand: 30.0,
///     held_by_others: 0.0,
///     other_reporters: 4,
///     entries: 5,
/// };
/// assert!((share::divide(below_limit) - 24.0).abs() < 1e-9);
/// let above_limit = share::DivisionInput {
///     own_demand: 300.0,
///     total_demand: 400.0,
///     ..below_limit
/// };
/// assert!((share::divide(above_limit) - 69.5).abs() < 1e-9);
/// let mostly_held = share::DivisionInput { held_by_others: 90.0, ..above_limit };
/// assert!((share::divide(mostly_held) - 10.0).abs() < 1e-9);
/// ```
#[must_use]
pub fn divide(input: DivisionInput) -> f64 {
    let entries = f64::from(input.entries.max(1));
    let reserved = input.limit * RESERVED_PART / entries;
    let fair = if input.total_demand <= input.limit {
        input.own_demand + (input.limit - input.total_demand) / entries
    } else {
        input.limit * (1.0 - RESERVED_PART) * input.own_demand / input.total_demand + reserved
    };
    let not_reporting = input.entries.saturating_sub(input.other_reporters + 1);
    let available = input.limit - input.held_by_others - reserved * f64::from(not_reporting);
    fair.min(available).max(reserved)
}

#[derive(Debug)]
struct AccountShare {
    account: String,
    share: Share,
    tokens: f64,
    refilled: Instant,
    active: u32,
    arrivals: u32,
    /// Smoothed request rate, per second.
    demand: f64,
    last_request: Instant,
}

/// Account limit that a request exceeds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitExceeded {
    /// Requests per second.
    Rate,
    /// Concurrent requests.
    Concurrency,
}

/// Shares of this entry and, for accounts whose limits it divides, the demands
/// of all entries.
#[derive(Debug)]
pub struct Shares<C: Clock> {
    ctx: Context,
    clock: C,
    /// Sorted by account.
    accounts: Mutex<Vec<AccountShare>>,
    /// Sorted by account and VM.
    demands: Mutex<Vec<Demand>>,
    /// Notified when an account is added.
    new_account: Notify,
}

/// Counts a request towards the account's concurrency limit until dropped.
#[derive(Debug)]
pub struct Admission<C: Clock> {
    shares: Arc<Shares<C>>,
    account: String,
}

impl<C: Clock> Drop for Admission<C> {
    fn drop(&mut self) {
        let mut accounts = self.shares.accounts.lock();
        if let Ok(i) = find(&accounts, &self.account) {
            accounts[i].active = accounts[i].active.saturating_sub(1);
        }
    }
}

fn find(accounts: &[AccountShare], account: &str) -> Result<usize, usize> {
    accounts.binary_search_by(|a| a.account.as_str().cmp(account))
}

impl<C: Clock> Shares<C> {
    /// Creates an empty set of shares.
    #[must_use]
    pub fn new(ctx: &Context, clock: C) -> Self {
        Self {
            ctx: ctx.clone(),
            clock,
            accounts: Mutex::default(),
            demands: Mutex::default(),
            new_account: Notify::new(),
        }
    }

    /// Admits a request of an account within this entry's share.
    ///
    /// # Errors
    /// Says which limit the request exceeds.
    pub fn admit(
        self: &Arc<Self>,
        account: &str,
        limits: &Account,
    ) -> Result<Admission<C>, LimitExceeded> {
        let now = self.clock.now();
        let mut accounts = self.accounts.lock();
        let index = find(&accounts, account).unwrap_or_else(|i| {
            let share = initial_share(limits, self.entries());
            accounts.insert(i, AccountShare::new(account, share, now));
            self.new_account.notify_one();
            i
        });
        accounts[index].admit(now)?;
        Ok(Admission {
            shares: self.clone(),
            account: account.to_owned(),
        })
    }

    /// Requests the shares of all active accounts every second and when an
    /// account is added, until the process stops.
    pub async fn refresh(self: Arc<Self>) {
        let mut ticks = time::interval(REFRESH_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut last = self.clock.now();
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = self.new_account.notified() => {}
            }
            let now = self.clock.now();
            let demands = self.measure_demand(now.saturating_duration_since(last));
            last = now;
            let calls = demands.into_iter().map(|(account, demand)| {
                let shares = self.clone();
                async move { shares.refresh_account(account, demand).await }
            });
            futures_util::future::join_all(calls).await;
        }
    }

    /// Divides an account's limits for the entry `vm`, whose demand is in
    /// requests per second; `None` for an unknown account.
    pub fn divide_for(&self, account: &str, vm: &str, demand: f64) -> Option<Share> {
        let view = self.ctx.state.view();
        let limits = &config::find(&view.accounts, account)?.spec;
        let rate = self.grant(account, vm, demand.max(0.0), limits.rate);
        let concurrency = f64::from(limits.concurrency) * rate / limits.rate;
        Some(Share { rate, concurrency })
    }

    /// Stores a demand and returns the rate that is granted for it.
    fn grant(&self, account: &str, vm: &str, own: f64, limit: f64) -> f64 {
        let now = self.clock.now();
        let mut demands = self.demands.lock();
        demands.retain(|d| now.saturating_duration_since(d.reported) < DEMAND_LIFETIME);
        let others = || {
            let same = demands.iter().filter(|d| d.account == account);
            same.filter(|d| d.vm != vm)
        };
        let granted = divide(DivisionInput {
            limit,
            own_demand: own,
            total_demand: own + others().map(|d| d.rate).sum::<f64>(),
            held_by_others: others().map(|d| d.granted).sum(),
            other_reporters: u32::try_from(others().count()).unwrap_or(u32::MAX),
            entries: self.entries(),
        });
        let demand = Demand {
            account: account.to_owned(),
            vm: vm.to_owned(),
            rate: own,
            granted,
            reported: now,
        };
        let key = |d: &Demand| (d.account.as_str(), d.vm.as_str()).cmp(&(account, vm));
        match demands.binary_search_by(key) {
            Ok(i) => demands[i] = demand,
            Err(i) => demands.insert(i, demand),
        }
        granted
    }

    fn entries(&self) -> u32 {
        let view = self.ctx.state.view();
        u32::try_from(membership::entries(&view).count()).unwrap_or(u32::MAX)
    }

    /// Returns the smoothed demand per account; `elapsed` is the time since the
    /// last call.
    fn measure_demand(&self, elapsed: Duration) -> Vec<(String, f64)> {
        let now = self.clock.now();
        let mut accounts = self.accounts.lock();
        accounts.retain(|a| {
            a.active > 0 || now.saturating_duration_since(a.last_request) < ACCOUNT_LIFETIME
        });
        let seconds = elapsed.as_secs_f64().max(0.05);
        let weight = seconds.min(1.0);
        let measured = accounts.iter_mut().map(|a| {
            let rate = f64::from(std::mem::take(&mut a.arrivals)) / seconds;
            a.demand += weight * (rate - a.demand);
            (a.account.clone(), a.demand)
        });
        measured.collect()
    }

    async fn refresh_account(&self, account: String, demand: f64) {
        let view = self.ctx.state.view();
        let Some(limits) = config::find(&view.accounts, &account) else {
            return;
        };
        let even_share = even_share(&limits.spec, self.entries());
        let share = self.fetch_share(&view, &account, demand).await;
        let mut accounts = self.accounts.lock();
        if let Ok(i) = find(&accounts, &account) {
            accounts[i].share =
                share.unwrap_or_else(|| approach_even(accounts[i].share, even_share));
        }
    }

    async fn fetch_share(&self, view: &config::View, account: &str, demand: f64) -> Option<Share> {
        let names = membership::entries(view).map(|v| v.metadata.name.as_str());
        let divider = rendezvous::first(account.as_bytes(), names)?;
        let own = self.ctx.settings.vm.as_str();
        if divider == own {
            return self.divide_for(account, own, demand);
        }
        let address = config::find(&view.vms, divider)?.spec.control;
        let mut client = SharesClient::new(self.ctx.pool.channel(address));
        let request = pb::ShareRequest {
            vm: own.to_owned(),
            account: account.to_owned(),
            demand,
        };
        let reply = time::timeout(CALL_TIMEOUT, client.share(request)).await;
        let reply = reply.ok()?.ok()?.into_inner();
        Some(Share {
            rate: reply.rate,
            concurrency: reply.concurrency,
        })
    }
}

impl AccountShare {
    fn new(account: &str, share: Share, now: Instant) -> Self {
        Self {
            account: account.to_owned(),
            share,
            tokens: (share.rate * BURST_SECONDS).max(MIN_BURST),
            refilled: now,
            active: 0,
            arrivals: 0,
            demand: 0.0,
            last_request: now,
        }
    }

    fn admit(&mut self, now: Instant) -> Result<(), LimitExceeded> {
        self.arrivals += 1;
        self.last_request = now;
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        let burst = (self.share.rate * BURST_SECONDS).max(MIN_BURST);
        self.tokens = (self.tokens + elapsed * self.share.rate).min(burst);
        self.refilled = now;
        if self.tokens < 1.0 {
            return Err(LimitExceeded::Rate);
        }
        if f64::from(self.active) >= self.share.concurrency.max(1.0) {
            return Err(LimitExceeded::Concurrency);
        }
        self.tokens -= 1.0;
        self.active += 1;
        Ok(())
    }
}

/// Share of an entry that has not reported a demand yet: the reserved part.
fn initial_share(limits: &Account, entries: u32) -> Share {
    let even_share = even_share(limits, entries);
    Share {
        rate: even_share.rate * RESERVED_PART,
        concurrency: even_share.concurrency * RESERVED_PART,
    }
}

fn even_share(limits: &Account, entries: u32) -> Share {
    let entries = f64::from(entries.max(1));
    Share {
        rate: limits.rate / entries,
        concurrency: f64::from(limits.concurrency) / entries,
    }
}

fn approach_even(share: Share, even_share: Share) -> Share {
    Share {
        rate: share.rate + FALLBACK_FACTOR * (even_share.rate - share.rate),
        concurrency: share.concurrency
            + FALLBACK_FACTOR * (even_share.concurrency - share.concurrency),
    }
}
