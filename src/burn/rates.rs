//! Burn rates: how fast bad requests use up the error budget of a service.

use serde::Serialize;

use crate::resource::{Object, burn, service};

/// Windows over which burn rates are computed, minutes, in ascending order.
pub const WINDOWS: [u64; 3] = [5, 60, 360];

/// Burn rate over both 5 min and 1 h that requires immediate action if exceeded: it
/// uses 2 % of a 30-day error budget in 1 h.
pub const PAGE_RATE: f64 = 14.4;

/// Burn rate over 6 h that requires a look within a day if exceeded: it uses 5 % of a
/// 30-day error budget in 6 h.
pub const TICKET_RATE: f64 = 6.0;

/// Numbers of requests by outcome.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Complete responses within the objective's latency.
    pub good: u64,
    /// Complete responses that exceeded the objective's latency.
    pub late: u64,
    /// Requests refused without being executed.
    pub refused: u64,
    /// Requests that failed or ended before the response was complete.
    pub failed: u64,
    /// At-most-once operations that may or may not have been executed.
    pub unknown: u64,
}

impl Counts {
    /// Number of requests that count against the error budget.
    #[must_use]
    pub const fn bad(&self) -> u64 {
        self.late + self.refused + self.failed + self.unknown
    }

    /// Number of all requests.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.good + self.bad()
    }

    fn add(&mut self, count: &burn::Count) {
        self.good += count.good;
        self.late += count.late;
        self.refused += count.refused;
        self.failed += count.failed;
        self.unknown += count.unknown;
    }

    /// Burn rate if a share of `target` (above 0, below 1) of the requests must be good.
    /// At a rate of 1, the error budget is used up exactly at the end of its period.
    /// Returns 0 if there are no requests.
    ///
    /// ```
    /// use corianderramp::burn::rates;
    ///
    /// let counts = rates::Counts { good: 98, late: 2, ..rates::Counts::default() };
    /// assert!((counts.rate(0.99) - 2.0).abs() < 1e-9);
    /// ```
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn rate(&self, target: f64) -> f64 {
        match self.total() {
            0 => 0.0,
            total => self.bad() as f64 / total as f64 / (1.0 - target),
        }
    }
}

/// Urgency of a burn rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Alert {
    /// No action is needed.
    Ok,
    /// An operator should look at it within a day.
    Ticket,
    /// An operator must act immediately.
    Page,
}

/// Burn rates of a service for one account or for all accounts.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Name of the service.
    pub service: String,
    /// Client account; empty for the total of all accounts.
    pub account: String,
    /// Share of requests that must be good.
    pub target: f64,
    /// Burn rates over the windows, in the order of [`WINDOWS`].
    pub rates: [f64; WINDOWS.len()],
    /// Request counts in the longest window.
    pub counts: Counts,
    /// Remaining share of the error budget of the longest window; negative if it is
    /// overspent.
    pub left: f64,
    /// Urgency of the burn rates.
    pub alert: Alert,
}

/// Returns the burn rates of all services and accounts that have requests in the longest
/// window. The windows end with the minute `now`, minutes since the Unix epoch. Rows are
/// sorted by service and account; the first row of each service is its total.
#[must_use]
pub fn rows(
    burns: &[Object<burn::Burn>],
    services: &[Object<service::Service>],
    now: u64,
) -> Vec<Row> {
    let mut totals: Vec<WindowCounts> = Vec::new();
    let longest = WINDOWS[WINDOWS.len() - 1];
    for burn in burns.iter().map(|b| &b.spec) {
        // VMs whose clock is ahead report minutes in the future; these have age 0.
        let age = now.saturating_sub(burn.minute);
        for count in burn.counts.iter().filter(|_| age < longest) {
            find_or_insert(&mut totals, &count.service, "").add(age, count);
            find_or_insert(&mut totals, &count.service, &count.account).add(age, count);
        }
    }
    totals.iter().map(|t| t.row(services)).collect()
}

/// Returns the burn rate of `row`'s service and account over the trailing 5 min for each
/// minute of the longest window, oldest first.
#[must_use]
pub fn series(burns: &[Object<burn::Burn>], row: &Row, now: u64) -> Vec<f64> {
    let longest = WINDOWS[WINDOWS.len() - 1];
    let ages = (0..longest).rev();
    let rate_at = |age: u64| {
        let mut counts = Counts::default();
        let end = now.saturating_sub(age);
        let start = end.saturating_sub(WINDOWS[0] - 1);
        let in_window = burns
            .iter()
            .filter(|b| (start..=end).contains(&b.spec.minute));
        for count in in_window.flat_map(|b| &b.spec.counts) {
            let is_account = row.account.is_empty() || count.account == row.account;
            if count.service == row.service && is_account {
                counts.add(count);
            }
        }
        counts.rate(row.target)
    };
    ages.map(rate_at).collect()
}

/// Request counts of one service and account, in the order of [`WINDOWS`].
#[derive(Debug, Default)]
struct WindowCounts {
    service: String,
    account: String,
    windows: [Counts; WINDOWS.len()],
}

fn find_or_insert<'a>(
    totals: &'a mut Vec<WindowCounts>,
    service: &str,
    account: &str,
) -> &'a mut WindowCounts {
    let order =
        |t: &WindowCounts| (t.service.as_str(), t.account.as_str()).cmp(&(service, account));
    let i = totals.binary_search_by(order).unwrap_or_else(|i| {
        let new = WindowCounts {
            service: service.into(),
            account: account.into(),
            ..WindowCounts::default()
        };
        totals.insert(i, new);
        i
    });
    &mut totals[i]
}

impl WindowCounts {
    fn add(&mut self, age: u64, count: &burn::Count) {
        for (counts, minutes) in self.windows.iter_mut().zip(WINDOWS) {
            if age < minutes {
                counts.add(count);
            }
        }
    }

    fn row(&self, services: &[Object<service::Service>]) -> Row {
        let service = services.iter().find(|s| s.metadata.name == self.service);
        let objective = service.map_or_else(Default::default, |s| s.spec.objective.clone());
        let rates = self.windows.map(|counts| counts.rate(objective.target));
        Row {
            service: self.service.clone(),
            account: self.account.clone(),
            target: objective.target,
            rates,
            counts: self.windows[WINDOWS.len() - 1],
            left: 1.0 - rates[WINDOWS.len() - 1],
            alert: alert(rates),
        }
    }
}

fn alert([shortest, hour, longest]: [f64; WINDOWS.len()]) -> Alert {
    if shortest > PAGE_RATE && hour > PAGE_RATE {
        Alert::Page
    } else if longest > TICKET_RATE {
        Alert::Ticket
    } else {
        Alert::Ok
    }
}
