//! What the operators' tool concludes from status objects.

#![allow(clippy::unwrap_used)]

use corianderramp::cmd::progress::{self, Observed};
use corianderramp::cmd::{changes, force};
use corianderramp::objects::{Change, Event};
use corianderramp::resource::{Metadata, Object, Raw, Resource, rollout, status, vm};
use serde_json::json;

fn raw<S: Resource>(name: &str, revision: u64, spec: S) -> Raw {
    let mut raw = Object::new(name, spec).to_raw().unwrap();
    raw.metadata = Metadata {
        name: name.into(),
        revision,
        operation: String::new(),
    };
    raw
}

fn rollout(name: &str, revision: u64) -> Raw {
    let spec = json!({ "service": "shake-llm", "model": "shake-8b", "version": "v2" });
    let spec: rollout::Rollout = serde_json::from_value(spec).unwrap();
    raw(name, revision, spec)
}

fn target(name: &str, center: &str) -> Raw {
    let spec = vm::Vm {
        data_center: center.into(),
        region: "central-belt".into(),
        role: vm::Role::Target,
        service: "shake-llm".into(),
        control: "127.0.0.1:7000".parse().unwrap(),
        requests: "127.0.0.1:7001".parse().ok(),
        phase: vm::Phase::Live,
    };
    raw(name, 1, spec)
}

fn report(center: &str, generation: u64, live: u32) -> status::Status {
    status::Status {
        data_center: center.into(),
        rollout: "summer".into(),
        generation,
        targets: 2,
        live,
        fetching: 2 - live,
        origin_bytes: 5_000_000,
        ..status::Status::default()
    }
}

fn observed() -> Observed {
    Observed {
        rollouts: vec![rollout("summer", 7)],
        statuses: vec![raw("summer@cb-a", 8, report("cb-a", 7, 1))],
        vms: vec![
            target("cb-a-1", "cb-a"),
            target("cb-a-2", "cb-a"),
            target("ne-a-1", "ne-a"),
        ],
    }
}

fn modified(object: Raw) -> Event {
    Event {
        change: Change::Modified,
        object,
    }
}

/// Guards against a rollout that counts as live while a data centre has not reported.
#[test]
fn rollout_is_done_only_when_every_data_center_reports_all_targets_live() {
    let mut observed = observed();
    let first = progress::of("summer", &observed).unwrap();
    assert!(!first.done);
    assert_eq!(
        first.line(),
        "summer -> shake-8b@v2: 1 of 3 live; cb-a 1/2 (1 fetching); ne-a 0/1 (not reported); origin 5.0 MB"
    );
    observed.apply(modified(raw("summer@cb-a", 9, report("cb-a", 7, 2))));
    assert!(!progress::of("summer", &observed).unwrap().done);
    let unaware = status::Status {
        targets: 0,
        ..report("ne-a", 7, 0)
    };
    observed.apply(modified(raw("summer@ne-a", 10, unaware)));
    assert!(!progress::of("summer", &observed).unwrap().done);
    observed.apply(modified(raw("summer@ne-a", 11, report("ne-a", 7, 2))));
    assert!(progress::of("summer", &observed).unwrap().done);
}

/// Guards against taking the status of the previous version for the new one's.
#[test]
fn status_of_an_older_generation_does_not_count() {
    let mut observed = observed();
    observed.apply(modified(raw("summer@ne-a", 9, report("ne-a", 7, 2))));
    observed.apply(modified(rollout("summer", 12)));
    let progress = progress::of("summer", &observed).unwrap();
    assert!(progress.data_centers.iter().all(|row| !row.reported));
    assert!(!progress.done);
}

/// Guards against waiting without end for a rollout that another one replaced.
#[test]
fn newer_rollout_of_the_same_service_is_named() {
    let mut observed = observed();
    observed.apply(modified(rollout("autumn", 20)));
    let progress = progress::of("summer", &observed).unwrap();
    assert_eq!(progress.superseded.as_deref(), Some("autumn"));
    let deleted = Event {
        change: Change::Deleted,
        object: rollout("summer", 21),
    };
    observed.apply(deleted);
    assert_eq!(progress::of("summer", &observed), None);
}

/// Guards against reporting a revision in force where it is not.
#[test]
fn data_centers_that_lag_or_do_not_report_are_not_in_force() {
    let status = |center: &str, complete, lagging: &[&str]| {
        let spec = status::Status {
            data_center: center.into(),
            complete,
            lagging: lagging.iter().map(|&s| s.to_owned()).collect(),
            ..status::Status::default()
        };
        Object::new(format!("@{center}"), spec)
    };
    let statuses = [status("cb-a", 42, &[]), status("ne-a", 41, &["ne-a-3"])];
    let centers = ["cb-a", "hl-a", "ne-a"].map(String::from);
    let reports = force::reports(&centers, &statuses, 42);
    let in_force: Vec<bool> = reports.iter().map(|r| r.in_force).collect();
    assert_eq!(in_force, [true, false, false]);
    assert_eq!(reports[2].lagging, ["ne-a-3"]);
    assert_eq!(reports[1].revision, 0);
}

/// Guards against a field that is left out of a diff or shown at the wrong path.
#[test]
fn changes_name_added_removed_and_changed_fields() {
    let before = json!({ "a": 1, "list": ["x", "y"], "gone": true });
    let after = json!({ "a": 2, "list": ["x", "z", "new"], "map": { "k": null } });
    let changes = changes::between(&before, &after);
    let text: Vec<String> = changes.iter().map(ToString::to_string).collect();
    let expected = [
        "spec.a: 1 -> 2",
        "spec.gone: true -> absent",
        r#"spec.list[1]: "y" -> "z""#,
        r#"spec.list[2]: absent -> "new""#,
        "spec.map.k: absent -> null",
    ];
    assert_eq!(text, expected);
    assert!(changes::between(&before, &before).is_empty());
}
