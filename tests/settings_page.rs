//! docs/settings.md must list every key with its default, since operators
//! write settings from that page.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::Path;

use corianderramp::settings::Settings;
use toml::{Table, Value};

/// Settings with every required key and every optional one without a default.
const FULL: &str = r#"
role = "target"
vm = "cb-a-1"
data_center = "cb-a"
region = "central-belt"
bind = "127.0.0.1"
[listen]
callers = "127.0.0.1:1"
requests = "127.0.0.1:2"
control = "127.0.0.1:3"
operators = "127.0.0.1:4"
advertise = "127.0.0.1:5"
[platform]
address = "127.0.0.1:6"
[origin]
address = "127.0.0.1:7"
[target]
address = "127.0.0.1:8"
service = "shake-llm"
"#;

/// A key with its value, or with what the page says about its default.
type Row = (String, String);

fn flatten(table: &Table, prefix: &str, rows: &mut Vec<Row>) {
    for (key, value) in table {
        match value {
            Value::Table(inner) => flatten(inner, &format!("{prefix}{key}."), rows),
            other => rows.push((format!("{prefix}{key}"), format!("`{other}`"))),
        }
    }
}

/// Keys of the code; those that `FULL` gives have no default.
fn keys_of_code() -> Vec<Row> {
    let settings = Settings::parse(FULL, Path::new("full.toml")).unwrap();
    let mut rows = Vec::new();
    flatten(&Table::try_from(&settings).unwrap(), "", &mut rows);
    let mut given = Vec::new();
    flatten(&toml::from_str(FULL).unwrap(), "", &mut given);
    for (key, default) in &mut rows {
        if given.iter().any(|(k, _)| k == key) {
            *default = if is_required(key) { "required" } else { "none" }.into();
        }
    }
    rows.sort();
    rows
}

/// Whether settings without `key` are refused for every role. An optional
/// section counts as absent together with its keys.
fn is_required(key: &str) -> bool {
    if ["platform.", "origin.", "target."]
        .iter()
        .any(|s| key.starts_with(s))
    {
        return false;
    }
    let name = key.rsplit('.').next().unwrap();
    let assigned = format!("{name} = ");
    let lines = FULL.lines().filter(|line| !line.starts_with(&assigned));
    let without = lines.collect::<Vec<_>>().join("\n");
    let error = Settings::parse(&without, Path::new("a.toml")).err();
    error.is_some_and(|e| e.to_string().contains("missing field"))
}

fn keys_of_page() -> Vec<Row> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/settings.md");
    let page = fs::read_to_string(path).unwrap();
    let mut rows: Vec<Row> = page.lines().filter_map(row).collect();
    rows.sort();
    rows
}

fn row(line: &str) -> Option<Row> {
    let mut cells = line.strip_prefix("| `")?.split(" | ");
    let key = cells.next()?.trim_end_matches('`').to_owned();
    Some((key, cells.next()?.to_owned()))
}

/// Guards against a key or a default on the page that the code does not have,
/// and against one in the code that the page does not list.
#[test]
fn page_lists_every_key_with_its_default() {
    let (code, page) = (keys_of_code(), keys_of_page());
    for row in &code {
        assert!(page.contains(row), "docs/settings.md lacks {row:?}");
    }
    for row in &page {
        assert!(code.contains(row), "docs/settings.md lists {row:?}");
    }
    assert_eq!(page.len(), code.len(), "a key is listed twice");
}
