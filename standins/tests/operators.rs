//! The operators' tool against the platform stand-in: what it writes, what it
//! refuses to write, and how it behaves in outages and conflicts.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::time::{Duration, SystemTime};

use corianderramp::cmd::console::{Console, Format};
use corianderramp::cmd::error::Error;
use corianderramp::cmd::options::Options;
use corianderramp::cmd::remote::Remote;
use corianderramp::resource::{Kind, Object, Raw, burn, drain, status};
use insta::assert_snapshot;
use standins::platform::faults::Faults;
use standins::platform::{self, Handle};
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::time;

#[path = "../../tests/support/console.rs"]
mod console;

const OBJECTS: &str = r#"
[[object]]
kind = "Rollout"
name = "summer"
[object.spec]
service = "shake-llm"
model = "shake-8b"
version = "v1"

[[object]]
kind = "Service"
name = "shake-llm"
[object.spec]
backend = "model"

[[object]]
kind = "Model"
name = "shake-8b@v1"
[object.spec]
model = "shake-8b"
version = "v1"
size = 1000
chunk_size = 1024
chunks = ["ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"]

[[object]]
kind = "Vm"
name = "cb-a-t1"
[object.spec]
data_center = "cb-a"
region = "central-belt"
role = "target"
service = "shake-llm"
control = "127.0.0.1:7000"
requests = "127.0.0.1:7001"

[[object]]
kind = "Vm"
name = "ne-a-e1"
[object.spec]
data_center = "ne-a"
region = "north-east"
role = "entry"
control = "127.0.0.2:7000"
"#;

/// A platform with an operator's folder.
struct Bench {
    handle: Handle,
    address: String,
    folder: TempDir,
}

impl Bench {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let handle = platform::start(listener, 1000, Faults::default());
        let folder = tempfile::tempdir().unwrap();
        Self {
            handle,
            address,
            folder,
        }
    }

    /// Writes `text` to a file and returns its path.
    fn file(&self, text: &str) -> String {
        let path = self.folder.path().join("file.toml");
        fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }

    async fn run(&self, arguments: &[&str]) -> console::Ran {
        let mut line = arguments.to_vec();
        line.extend(["--platform", &self.address]);
        console::run(&line).await
    }

    /// Transcript without paths and ports of the machine.
    async fn transcript(&self, arguments: &[&str]) -> String {
        let text = self.run(arguments).await.transcript();
        let folder = format!("{}/", self.folder.path().display());
        text.replace(&folder, "").replace(&self.address, "PLATFORM")
    }

    fn spec(&self, kind: Kind, name: &str) -> Option<serde_json::Value> {
        let store = self.handle.store();
        store.get(kind, name).map(|o| o.spec.clone())
    }

    fn report(&self, rollout: &str, center: &str, change: impl FnOnce(&mut status::Status)) {
        let mut spec = status::Status {
            data_center: center.into(),
            rollout: rollout.into(),
            ..status::Status::default()
        };
        change(&mut spec);
        let name = status::Status::object_name(rollout, center);
        self.handle.force(Object::new(name, spec).to_raw().unwrap());
    }
}

/// Waits for a condition of the stand-in, up to a limit for busy machines.
async fn until(condition: impl Fn() -> bool) {
    for _ in 0..2000 {
        if condition() {
            return;
        }
        time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the condition was not met within 20 s");
}

/// Guards against objects in force before those that they refer to, against
/// writes of unchanged objects, and against a `diff` that misses a change.
#[tokio::test]
async fn apply_writes_in_order_and_only_what_changed() {
    let bench = Bench::start().await;
    let file = bench.file(OBJECTS);
    let empty = bench.handle.revision();
    assert_snapshot!(
        "apply_dry",
        bench.transcript(&["apply", &file, "--dry-run"]).await
    );
    assert_eq!(bench.handle.revision(), empty, "a dry run must not write");
    assert_snapshot!("apply_first", bench.transcript(&["apply", &file]).await);
    let written = bench.handle.revision();
    assert_snapshot!("apply_again", bench.transcript(&["apply", &file]).await);
    assert_eq!(bench.handle.revision(), written);
    assert_eq!(bench.run(&["diff", &file]).await.status, 0);

    let file = bench.file(&OBJECTS.replace(
        "backend = \"model\"",
        "backend = \"model\"\ntimeout_ms = 5000",
    ));
    assert_snapshot!("diff", bench.transcript(&["diff", &file]).await);
    assert_snapshot!(
        "apply_changed",
        bench.transcript(&["apply", &file, "-o", "json"]).await
    );
    for kind in ["Vm", "Service", "Rollout", "Model", "Account"] {
        assert_snapshot!(
            format!("get_{kind}"),
            bench.transcript(&["get", kind]).await
        );
    }
}

/// Guards against a file of which a part is written before an error is found.
#[tokio::test]
async fn nothing_is_written_when_one_object_is_not_valid() {
    let bench = Bench::start().await;
    let broken = OBJECTS
        .replace("version = \"v1\"\n\n", "version = \"v7\"\n\n")
        .replace("shake-8b@v1", "shake-8b@v2")
        + "[[object]]\nkind = \"Drain\"\nname = \"cb-a-t9\"\nspec = {}\n";
    let file = bench.file(&broken);
    let empty = bench.handle.revision();
    assert_snapshot!(
        "apply_references",
        bench.transcript(&["apply", &file]).await
    );
    assert_eq!(bench.handle.revision(), empty);
}

/// Guards against weights that change under a version that is already in use.
#[tokio::test]
async fn model_versions_are_immutable() {
    let bench = Bench::start().await;
    bench.run(&["apply", &bench.file(OBJECTS)]).await;
    let file = bench.file(&OBJECTS.replace("size = 1000", "size = 1001"));
    assert_snapshot!("model_immutable", bench.transcript(&["apply", &file]).await);
}

/// Guards against an operator overwriting a change that they have not seen.
#[tokio::test]
async fn edit_of_an_old_copy_is_a_conflict_that_shows_both_sides() {
    let bench = Bench::start().await;
    bench.run(&["apply", &bench.file(OBJECTS)]).await;
    let copy = bench
        .run(&["get", "Rollout", "summer", "-o", "toml"])
        .await
        .out;
    let theirs = OBJECTS.replace(
        "version = \"v1\"\n\n",
        "version = \"v1\"\nmax_unavailable = 4\n\n",
    );
    assert_eq!(bench.run(&["apply", &bench.file(&theirs)]).await.status, 0);

    let file = bench.file(&copy.replace("max_unavailable = 1", "max_unavailable = 2"));
    assert_snapshot!("conflict", bench.transcript(&["apply", &file]).await);
    let spec = bench.spec(Kind::Rollout, "summer").unwrap();
    assert_eq!(spec["max_unavailable"], 4);
}

fn remote<'a>(bench: &Bench, console: &'a Console) -> Remote<'a> {
    let options = Options {
        platform: bench.address.parse().unwrap(),
        retry: Duration::from_secs(30),
    };
    Remote::new(&options, console)
}

fn reason(text: &str) -> Raw {
    let spec = drain::Drain {
        reason: text.into(),
    };
    Object::new("cb-a-t1", spec).to_raw().unwrap()
}

/// Guards against a lost update between the tool's read and its write.
#[tokio::test]
async fn write_after_someone_elses_write_is_a_conflict() {
    let bench = Bench::start().await;
    let console = Console::new(Format::Table, std::io::sink(), std::io::sink(), false);
    let remote = remote(&bench, &console);
    let mine = remote.put(&reason("mine")).await.unwrap();
    bench.handle.force(reason("theirs"));
    let newest = bench.handle.revision();
    let mut next = mine.clone();
    next.spec = reason("mine again").spec;
    let refused = remote.put(&next).await.unwrap_err();
    assert!(
        matches!(&refused, Error::Conflict { now, sides, .. } if *now == newest && sides.len() == 1)
    );
    assert!(matches!(
        remote.delete(&mine).await,
        Err(Error::Conflict { .. })
    ));
    // The same specification from someone else is what this operator wanted.
    let mut same = mine;
    same.spec = reason("theirs").spec;
    assert_eq!(remote.put(&same).await.unwrap().metadata.revision, newest);
}

/// Guards against a lost answer being reported as failure or written twice.
#[tokio::test]
async fn lost_answers_do_not_fail_or_repeat_a_write() {
    let bench = Bench::start().await;
    bench.handle.set_faults(Faults {
        lost_share: 1.0,
        ..Faults::default()
    });
    let empty = bench.handle.revision();
    let ran = bench.run(&["apply", &bench.file(OBJECTS)]).await;
    assert_eq!(ran.status, 0, "{}", ran.err);
    assert_eq!(bench.handle.revision(), empty + 5);
    let ran = bench.run(&["delete", "Rollout", "summer"]).await;
    assert_eq!(ran.status, 0, "{}", ran.err);
    assert_eq!(bench.handle.revision(), empty + 6);
}

/// Guards against a tool that gives up at the first refusal or stays silent in an outage.
#[tokio::test]
async fn outage_is_said_and_outlasted() {
    let bench = Bench::start().await;
    let file = bench.file(OBJECTS);
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    bench.handle.set_faults(outage);
    let heal = async {
        until(|| bench.handle.calls().refused > 0).await;
        bench.handle.set_faults(Faults::default());
    };
    let apply = ["apply", &file, "--retry", "60"];
    let (ran, ()) = tokio::join!(bench.run(&apply), heal);
    assert_eq!(ran.status, 0, "{}", ran.err);
    assert_eq!(ran.err.matches("retrying for up to 60 s").count(), 1);
    assert!(ran.err.contains("the platform answers again after"));
}

/// Guards against `--wait` returning before the revision is in force everywhere.
#[tokio::test]
async fn wait_names_data_centers_that_do_not_report() {
    let bench = Bench::start().await;
    let file = bench.file(OBJECTS);
    bench.report("", "cb-a", |s| s.complete = 100);
    bench.report("", "ne-a", |s| {
        s.complete = 3;
        s.lagging = vec!["ne-a-e1".into()];
    });
    let wait = ["apply", &file, "--wait", "--within", "1"];
    assert_snapshot!("wait_pending", bench.transcript(&wait).await);
    bench.report("", "ne-a", |s| s.complete = 100);
    assert_snapshot!("wait_done", bench.transcript(&wait).await);
    let json = ["apply", &file, "--wait", "-o", "json"];
    assert_snapshot!("wait_json", bench.transcript(&json).await);
}

/// Guards against a watch that ends early, never ends, or misses changes after
/// an outage broke it.
#[tokio::test]
async fn watch_follows_a_rollout_through_an_outage() {
    let bench = Bench::start().await;
    bench.run(&["apply", &bench.file(OBJECTS)]).await;
    let rollout = bench.handle.store();
    let generation = rollout
        .get(Kind::Rollout, "summer")
        .unwrap()
        .metadata
        .revision;
    let progress = |live| {
        bench.report("summer", "cb-a", |s| {
            s.generation = generation;
            s.targets = 1;
            s.live = live;
            s.fetching = 1 - live;
            s.origin_bytes = 1000;
        });
    };
    let steps = async {
        until(|| bench.handle.calls().watch > 0).await;
        progress(0);
        let outage = Faults {
            outage: true,
            ..Faults::default()
        };
        bench.handle.set_faults(outage);
        until(|| bench.handle.calls().refused > 0).await;
        progress(1);
        bench.handle.set_faults(Faults::default());
    };
    let watch = ["watch", "summer", "--within", "120", "--retry", "60"];
    let (ran, ()) = tokio::join!(bench.run(&watch), steps);
    assert_eq!(ran.status, 0, "{}", ran.err);
    assert!(ran.err.contains("summer -> shake-8b@v1: 0 of 1 live"));
    let table = ran
        .out
        .split("shake-8b@v1 live on 1 targets")
        .next()
        .unwrap();
    assert_snapshot!("watch_table", table);

    let ran = bench.run(&["watch", "summer", "-o", "json"]).await;
    let last: serde_json::Value = serde_json::from_str(ran.out.lines().last().unwrap()).unwrap();
    assert_eq!(last["done"], true);
}

/// Guards against a watch without end for a rollout that can't finish.
#[tokio::test]
async fn watch_gives_up_with_the_reasons() {
    let bench = Bench::start().await;
    bench.run(&["apply", &bench.file(OBJECTS)]).await;
    let store = bench.handle.store();
    let generation = store
        .get(Kind::Rollout, "summer")
        .unwrap()
        .metadata
        .revision;
    bench.report("summer", "cb-a", |s| {
        s.generation = generation;
        s.targets = 1;
        s.failed = 1;
        s.reasons = vec!["cb-a-t1: chunk 3 has a wrong digest".into()];
    });
    let watch = ["watch", "summer", "--within", "4"];
    assert_snapshot!("watch_pending", bench.transcript(&watch).await);
    assert_snapshot!(
        "watch_missing",
        bench.transcript(&["watch", "autumn"]).await
    );
}

/// Guards against deleting what is in use, and against success for a name that
/// does not exist.
#[tokio::test]
async fn delete_and_drain_check_what_they_concern() {
    let bench = Bench::start().await;
    bench.run(&["apply", &bench.file(OBJECTS)]).await;
    let cases = [
        ("delete_in_use", vec!["delete", "Model", "shake-8b@v1"]),
        ("delete_missing", vec!["delete", "Account", "nobody"]),
        ("drain_missing", vec!["drain", "cb-a-t9"]),
        ("drain", vec!["drain", "cb-a-t1", "--reason", "new kernel"]),
        (
            "drain_again",
            vec!["drain", "cb-a-t1", "--reason", "new kernel"],
        ),
        ("drain_cancel", vec!["drain", "cb-a-t1", "--cancel"]),
        ("drain_cancel_again", vec!["drain", "cb-a-t1", "--cancel"]),
        ("delete", vec!["delete", "rollout", "summer"]),
    ];
    for (name, line) in cases {
        assert_snapshot!(name, bench.transcript(&line).await);
    }
    assert_eq!(bench.spec(Kind::Drain, "cb-a-t1"), None);
    assert_eq!(bench.spec(Kind::Rollout, "summer"), None);
}

/// Writes counts of one account, two minutes old.
fn spend(bench: &Bench, account: &str, good: u64, late: u64, refused: u64) {
    let now = SystemTime::UNIX_EPOCH.elapsed().unwrap().as_secs() / 60;
    let count = burn::Count {
        service: "shake-llm".into(),
        account: account.into(),
        good,
        late,
        refused,
        ..burn::Count::default()
    };
    let spec = burn::Burn {
        data_center: "cb-a".into(),
        epoch: 1,
        minute: now - 2,
        counts: vec![count],
    };
    // One object per account keeps the test short; readers only add them up.
    let object = Object::new(format!("cb-a.{account}"), spec);
    bench.handle.force(object.to_raw().unwrap());
}

/// Guards against a report that hides what spent the budget or data centres
/// whose counts are missing.
#[tokio::test]
async fn burn_report_shows_rates_causes_and_missing_data_centers() {
    let bench = Bench::start().await;
    bench.run(&["apply", &bench.file(OBJECTS)]).await;
    spend(&bench, "glenrosa", 9_990, 4, 6);
    spend(&bench, "flood", 500, 0, 9_500);
    assert_snapshot!("burn", bench.transcript(&["report", "burn"]).await);
    let svg = bench.folder.path().join("burn.svg");
    let one = [
        "report",
        "burn",
        "--account",
        "flood",
        "-o",
        "json",
        "--svg",
        svg.to_str().unwrap(),
    ];
    let ran = bench.run(&one).await;
    let report: serde_json::Value = serde_json::from_str(&ran.out).unwrap();
    assert_eq!(report["rows"].as_array().unwrap().len(), 1);
    assert_eq!(report["rows"][0]["counts"]["refused"], 9_500);
    assert_eq!(report["silent_data_centers"][0], "ne-a");
    let svg = fs::read_to_string(svg).unwrap();
    assert!(svg.contains("<svg") && svg.contains("shake-llm flood"));
    let nowhere = bench.folder.path().join("no/folder.svg");
    let ran = bench
        .run(&["report", "burn", "--svg", nowhere.to_str().unwrap()])
        .await;
    assert_eq!(ran.status, 8);
}
