//! Burn rates: how fast requests that were not good use up the error budget.

use serde::Serialize;

use crate::resource::{Object, burn, service};

/// Windows of the report, minutes.
pub const WINDOWS: [u64; 3] = [5, 60, 360];

/// Burn rate over 5 min and 1 h above which someone has to act at once: at this
/// rate, 2 % of a budget for 30 days is gone in an hour.
pub const PAGE_RATE: f64 = 14.4;

/// Burn rate over 6 h above which someone has to look within a day: at this
/// rate, 5 % of a budget for 30 days is gone in 6 h.
pub const TICKET_RATE: f64 = 6.0;

/// Outcomes of requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Complete responses within the objective's latency.
    pub good: u64,
    /// Complete responses above the objective's latency.
    pub late: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
}

impl Counts {
    /// Requests that used up budget.
    #[must_use]
    pub const fn bad(&self) -> u64 {
        self.late + self.refused + self.failed + self.unknown
    }

    /// All requests.
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

    /// Burn rate for an objective of `target`: 1 uses the budget exactly up, 0
    /// without requests.
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

/// What an operator should do about a burn rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Alert {
    /// Nothing.
    Ok,
    /// Look within a day.
    Ticket,
    /// Act at once.
    Page,
}

/// Burn of one account at one service, or of all accounts.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Service.
    pub service: String,
    /// Client account; empty for all accounts together.
    pub account: String,
    /// Share of requests that must be good.
    pub target: f64,
    /// Burn rates over the windows, in the order of [`WINDOWS`].
    pub rates: [f64; WINDOWS.len()],
    /// Outcomes in the longest window.
    pub counts: Counts,
    /// Share of the longest window's error budget that is left; negative when
    /// it is overspent.
    pub left: f64,
    /// What to do.
    pub alert: Alert,
}

/// Rows for all services and accounts with requests in the longest window
/// before the end of the minute `now`, minutes since the Unix epoch. They are
/// sorted by service and account; each service begins with its total.
#[must_use]
pub fn rows(
    burns: &[Object<burn::Burn>],
    services: &[Object<service::Service>],
    now: u64,
) -> Vec<Row> {
    let mut tallies: Vec<Tally> = Vec::new();
    let longest = WINDOWS[WINDOWS.len() - 1];
    for burn in burns.iter().map(|b| &b.spec) {
        // A minute that has not begun comes from a VM whose clock is ahead.
        let age = now.saturating_sub(burn.minute);
        for count in burn.counts.iter().filter(|_| age < longest) {
            tally(&mut tallies, &count.service, "").add(age, count);
            tally(&mut tallies, &count.service, &count.account).add(age, count);
        }
    }
    tallies.iter().map(|t| t.row(services)).collect()
}

/// Burn rates of a service over trailing windows of 5 min, one for each minute
/// of the longest window, oldest first; `account` is empty for all.
#[must_use]
pub fn series(burns: &[Object<burn::Burn>], row: &Row, now: u64) -> Vec<f64> {
    let longest = WINDOWS[WINDOWS.len() - 1];
    let ages = (0..longest).rev();
    let point = |age: u64| {
        let mut counts = Counts::default();
        let end = now.saturating_sub(age);
        let start = end.saturating_sub(WINDOWS[0] - 1);
        let inside = burns
            .iter()
            .filter(|b| (start..=end).contains(&b.spec.minute));
        for count in inside.flat_map(|b| &b.spec.counts) {
            let account = row.account.is_empty() || count.account == row.account;
            if count.service == row.service && account {
                counts.add(count);
            }
        }
        counts.rate(row.target)
    };
    ages.map(point).collect()
}

/// Counts of one row by window.
#[derive(Debug, Default)]
struct Tally {
    service: String,
    account: String,
    windows: [Counts; WINDOWS.len()],
}

fn tally<'a>(tallies: &'a mut Vec<Tally>, service: &str, account: &str) -> &'a mut Tally {
    let order = |t: &Tally| (t.service.as_str(), t.account.as_str()).cmp(&(service, account));
    let i = tallies.binary_search_by(order).unwrap_or_else(|i| {
        let new = Tally {
            service: service.into(),
            account: account.into(),
            ..Tally::default()
        };
        tallies.insert(i, new);
        i
    });
    &mut tallies[i]
}

impl Tally {
    fn add(&mut self, age: u64, count: &burn::Count) {
        for (counts, minutes) in self.windows.iter_mut().zip(WINDOWS) {
            if age < minutes {
                counts.add(count);
            }
        }
    }

    fn row(&self, services: &[Object<service::Service>]) -> Row {
        let found = services.iter().find(|s| s.metadata.name == self.service);
        let objective = found.map_or_else(Default::default, |s| s.spec.objective.clone());
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
