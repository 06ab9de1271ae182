//! Burn rates decide whether operators are paged: wrong windows or totals hide an outage
//! or raise false alarms.

#![allow(clippy::unwrap_used)]

use corianderramp::burn::rates::{self, Alert, Row};
use corianderramp::resource::{Object, burn, service};

const NOW: u64 = 1_000_000;

fn burn_object(
    center: &str,
    age: u64,
    account: &str,
    good: u64,
    refused: u64,
) -> Object<burn::Burn> {
    let minute = NOW - age;
    let count = burn::Count {
        service: "shake-llm".into(),
        account: account.into(),
        good,
        refused,
        ..burn::Count::default()
    };
    let spec = burn::Burn {
        data_center: center.into(),
        epoch: 1,
        minute,
        counts: vec![count],
    };
    Object::new(burn::Burn::object_name(center, minute), spec)
}

fn service_with_target(target: f64) -> Object<service::Service> {
    let mut spec: service::Service = serde_json::from_str(r#"{"backend":"model"}"#).unwrap();
    spec.objective.target = target;
    Object::new("shake-llm", spec)
}

fn rows(burns: &[Object<burn::Burn>]) -> Vec<Row> {
    rates::rows(burns, &[service_with_target(0.99)], NOW)
}

/// Guards against a window that includes too many or too few minutes.
#[test]
fn each_window_counts_its_own_minutes() {
    let burns = [
        burn_object("cb-a", 4, "glenrosa", 1, 1),
        burn_object("cb-a", 5, "glenrosa", 0, 10),
        burn_object("cb-a", 59, "glenrosa", 0, 100),
        burn_object("cb-a", 60, "glenrosa", 0, 1000),
        burn_object("cb-a", 359, "glenrosa", 99_000, 0),
        burn_object("cb-a", 360, "glenrosa", 0, 1_000_000),
    ];
    let row = &rows(&burns)[1];
    assert_eq!(row.account, "glenrosa");
    assert_eq!(row.counts.refused, 1111);
    assert_eq!(row.counts.good, 99_001);
    assert!((row.rates[0] - 50.0).abs() < 1e-6);
    assert!((row.rates[1] - 111.0 / 112.0 * 100.0).abs() < 1e-6);
    assert!((row.rates[2] - 1111.0 / 100_112.0 * 100.0).abs() < 1e-6);
    assert!((row.left - (1.0 - row.rates[2])).abs() < 1e-9);
}

/// Guards against data centres and accounts that are counted twice or not at all.
#[test]
fn total_of_a_service_is_the_sum_of_its_accounts_and_data_centers() {
    let burns = [
        burn_object("cb-a", 1, "glenrosa", 90, 10),
        burn_object("ne-a", 1, "glenrosa", 40, 0),
        burn_object("ne-a", 2, "aufguss", 60, 0),
    ];
    let rows = rows(&burns);
    let accounts: Vec<&str> = rows.iter().map(|r| r.account.as_str()).collect();
    assert_eq!(accounts, ["", "aufguss", "glenrosa"]);
    assert_eq!(rows[0].counts.total(), 200);
    assert_eq!(rows[2].counts.total(), 140);
    assert!((rows[0].rates[0] - 5.0).abs() < 1e-6);
    assert!(rows[1].rates.iter().all(|rate| rate.abs() < 1e-9));
}

/// Guards against a page for a burst that is over, and against a missed slow burn.
#[test]
fn page_needs_both_short_windows() {
    let alert = |burns: &[Object<burn::Burn>]| rows(burns)[0].alert;
    let burst = [
        burn_object("cb-a", 30, "glenrosa", 0, 500),
        burn_object("cb-a", 300, "glenrosa", 100_000, 0),
        burn_object("cb-a", 0, "glenrosa", 100, 0),
    ];
    assert_eq!(alert(&burst), Alert::Ok);
    let ongoing = [
        burn_object("cb-a", 30, "glenrosa", 100, 500),
        burn_object("cb-a", 0, "glenrosa", 100, 20),
        burn_object("cb-a", 300, "glenrosa", 1_000_000, 0),
    ];
    assert_eq!(alert(&ongoing), Alert::Page);
    let slow = [
        burn_object("cb-a", 0, "glenrosa", 92, 8),
        burn_object("cb-a", 300, "glenrosa", 920, 80),
    ];
    assert_eq!(alert(&slow), Alert::Ticket);
}

/// Guards against a plot that shows an outage at the wrong time.
#[test]
fn series_has_one_trailing_rate_per_minute() {
    let burns = [burn_object("cb-a", 100, "glenrosa", 0, 5)];
    let rows = rows(&burns);
    let series = rates::series(&burns, &rows[0], NOW);
    assert_eq!(series.len(), 360);
    let high: Vec<usize> = (0..360).filter(|&i| series[i] > 0.0).collect();
    assert_eq!(high, [259, 260, 261, 262, 263]);
}
