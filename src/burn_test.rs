use std::thread;

use super::{Counter, MAX_ROWS, Outcome};

/// Guards against lost counts when requests end on several threads.
#[test]
fn concurrent_records_are_all_counted() {
    let counter = Counter::default();
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for i in 0..1000 {
                    let account = ["a", "b", "c"][i % 3];
                    counter.record("shake-llm", account, Outcome::Failed);
                }
            });
        }
    });
    let counts = counter.counts();
    assert_eq!(counts.len(), 3);
    assert_eq!(counts.iter().map(|c| c.failed).sum::<u64>(), 4000);
    assert_eq!(counts.iter().map(|c| c.good).sum::<u64>(), 0);
}

/// Guards against unbounded memory use when callers send ever new account names.
#[test]
fn rows_are_bounded() {
    let counter = Counter::default();
    for i in 0..MAX_ROWS + 50 {
        counter.record("shake-llm", &format!("account-{i}"), Outcome::Good);
    }
    let counts = counter.counts();
    assert_eq!(counts.len(), MAX_ROWS + 1);
    assert_eq!(counts[0].account, "");
    assert_eq!(counts[0].good, 50);
}
