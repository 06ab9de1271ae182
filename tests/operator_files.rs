//! The operators' tool on files, without a platform: its messages have to name
//! file, object and field, and its exit statuses are what programs rely on.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::io;
use std::path::Path;

use corianderramp::cmd::console::{Console, Format};
use corianderramp::{cli, cmd, digest};
use insta::assert_snapshot;

#[path = "support/console.rs"]
mod console;

const BROKEN: &str = r#"
[[object]]
kind = "Rollout"
name = "summer"
[object.spec]
service = "shake-llm"
model = "shake-8b"
version = "v1"
max_unavailable = 0

[[object]]
kind = "Rolout"
name = "summer"
spec = {}

[[object]]
kind = "Status"
name = "summer@cb-a"
spec = {}

[[object]]
kind = "Account"
name = "glenrosa"
spec = { keyz = 1 }

[[object]]
kind = "Drain"
name = "cb-a-1"
spec = {}

[[object]]
kind = "Drain"
name = "cb-a-1"
spec = {}
"#;

/// Runs `check` on a file with `text`; the transcript has no path of the machine.
async fn check(text: &str) -> String {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("file.toml");
    fs::write(&file, text).unwrap();
    let ran = console::run(&["check", file.to_str().unwrap()]).await;
    let prefix = format!("{}/", folder.path().display());
    ran.transcript().replace(&prefix, "")
}

/// Guards against a check that stops at the first problem or does not say where it is.
#[tokio::test]
async fn every_problem_is_named_with_file_line_object_and_field() {
    assert_snapshot!("broken_objects", check(BROKEN).await);
}

/// Guards against multi-line parser errors that scripts can't read.
#[tokio::test]
async fn syntax_errors_take_one_line() {
    assert_snapshot!("syntax_error", check("[[object]\nkind = 3").await);
    assert_snapshot!(
        "unknown_setting",
        check("role = \"entry\"\nvmm = \"cb-a-1\"\n").await
    );
}

/// Guards against a settings file that passes the check but stops the daemon.
#[tokio::test]
async fn settings_are_checked_for_their_role() {
    let agent = r#"
role = "target"
vm = "cb-a-1"
data_center = "cb-a"
region = "central-belt"
[listen]
control = "127.0.0.1:7000"
operators = "127.0.0.1:7002"
"#;
    assert_snapshot!("agent_without_target", check(agent).await);
    let complete = agent.replace("[listen]", "[listen]\nrequests = \"127.0.0.1:7001\"")
        + "[target]\naddress = \"127.0.0.1:9000\"\nservice = \"shake-llm\"\n";
    assert_snapshot!("valid_settings", check(&complete).await);
}

async fn model(file: &Path, more: &[&str]) -> console::Ran {
    let mut line = vec!["model", file.to_str().unwrap()];
    line.extend(["--model", "shake-8b", "--model-version", "v1"]);
    line.extend(more);
    console::run(&line).await
}

/// Guards against a manifest that does not describe the bytes of the file, and
/// against one that `check` refuses.
#[tokio::test]
async fn model_lists_the_digest_of_each_chunk() {
    let folder = tempfile::tempdir().unwrap();
    let weights = folder.path().join("weights");
    let content: Vec<u8> = (0..2500_u32).map(|i| (i % 251) as u8).collect();
    fs::write(&weights, &content).unwrap();
    let blobs = folder.path().join("blobs");
    let size = ["--chunk-size", "1024", "--blobs", blobs.to_str().unwrap()];
    let ran = model(&weights, &size).await;
    assert_snapshot!("model", ran.transcript());
    for chunk in content.chunks(1024) {
        let name = digest::Digest::of(chunk).to_string();
        assert!(ran.out.contains(&name));
        assert_eq!(fs::read(blobs.join(name)).unwrap(), chunk);
    }
    let object = folder.path().join("model.toml");
    fs::write(&object, ran.out).unwrap();
    let checked = console::run(&["check", object.to_str().unwrap()]).await;
    assert_eq!(checked.status, 0, "{}", checked.err);
}

/// Guards against models that the platform or the agents refuse later.
#[tokio::test]
async fn model_with_repeated_or_empty_content_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let weights = folder.path().join("weights");
    fs::write(&weights, vec![0; 4096]).unwrap();
    let ran = model(&weights, &["--chunk-size", "1024"]).await;
    assert_eq!(ran.status, 2);
    assert!(ran.err.contains("spec.chunks[1]"), "{}", ran.err);
    fs::write(&weights, []).unwrap();
    let ran = model(&weights, &[]).await;
    assert_eq!(ran.status, 2);
    assert!(ran.err.contains("spec.size"), "{}", ran.err);
}

/// Guards against an error that does not say where the address can be given.
#[tokio::test]
async fn wrong_usage_says_what_to_give() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.toml");
    fs::write(&file, "").unwrap();
    let config = file.to_str().unwrap();
    let ran = console::run(&["get", "Vm", "--config", config]).await;
    assert_snapshot!("no_platform", ran.transcript());
    let ran = console::run(&["get", "Vm", "--platform", "somewhere"]).await;
    assert_snapshot!("malformed_platform", ran.transcript());
    let ran = console::run(&["man", "nothing"]).await;
    assert_snapshot!("no_such_page", ran.transcript());
}

/// Guards against an outage that hangs a script or passes as success.
#[tokio::test]
async fn unreachable_platform_is_given_up_after_the_limit() {
    // Nothing listens at port 1 of this address.
    let platform = "127.21.0.1:1";
    let ran = console::run(&["get", "Vm", "--platform", platform, "--retry", "1"]).await;
    assert_eq!(ran.status, 5);
    assert!(ran.err.contains("retrying for up to 1 s"), "{}", ran.err);
    let hint = "at 127.21.0.1:1; try again later or with a longer --retry";
    assert!(ran.err.contains(hint), "{}", ran.err);
}

/// Writer whose reader has gone.
struct Closed;

impl io::Write for Closed {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against an error message after `corianderramp ... | head`.
#[tokio::test]
async fn broken_pipe_ends_quietly() {
    let line = ["corianderramp", "completions", "bash"];
    let matches = cli::operator().try_get_matches_from(line).unwrap();
    let console = Console::new(Format::Table, Closed, Closed, false);
    assert_eq!(cmd::run(&matches, &console).await, 0);
}
