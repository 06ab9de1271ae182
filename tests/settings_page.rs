//! docs/settings.md must list every key with its default, because operators use that page
//! to write settings.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::Path;

use corianderramp::settings::Settings;
use toml::{Table, Value};

/// Settings with all required keys and all optional keys that have no default.
const ALL_WITHOUT_DEFAULT: &str = r#"
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

/// A key and its default: a value in backquotes, `required` or `none`.
type Row = (String, String);

fn flatten(table: &Table, prefix: &str, rows: &mut Vec<Row>) {
    for (key, value) in table {
        match value {
            Value::Table(inner) => flatten(inner, &format!("{prefix}{key}."), rows),
            other => rows.push((format!("{prefix}{key}"), format!("`{other}`"))),
        }
    }
}

/// Keys and defaults of the code; keys in `ALL_WITHOUT_DEFAULT` have no default.
fn code_rows() -> Vec<Row> {
    let settings = Settings::parse(ALL_WITHOUT_DEFAULT, Path::new("full.toml")).unwrap();
    let mut rows = Vec::new();
    flatten(&Table::try_from(&settings).unwrap(), "", &mut rows);
    let mut given = Vec::new();
    flatten(
        &toml::from_str(ALL_WITHOUT_DEFAULT).unwrap(),
        "",
        &mut given,
    );
    for (key, default) in &mut rows {
        if given.iter().any(|(k, _)| k == key) {
            *default = if is_required(key) { "required" } else { "none" }.into();
        }
    }
    rows.sort();
    rows
}

/// Whether settings without `key` are rejected for every role. Keys of optional sections
/// are not required, because the whole section may be absent.
fn is_required(key: &str) -> bool {
    if ["platform.", "origin.", "target."]
        .iter()
        .any(|s| key.starts_with(s))
    {
        return false;
    }
    let name = key.rsplit('.').next().unwrap();
    let assigned = format!("{name} = ");
    let lines = ALL_WITHOUT_DEFAULT
        .lines()
        .filter(|line| !line.starts_with(&assigned));
    let without = lines.collect::<Vec<_>>().join("\n");
    let error = Settings::parse(&without, Path::new("a.toml")).err();
    error.is_some_and(|e| e.to_string().contains("missing field"))
}

fn page_rows() -> Vec<Row> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/settings.md");
    let page = fs::read_to_string(path).unwrap();
    let mut rows: Vec<Row> = page.lines().filter_map(parse_row).collect();
    rows.sort();
    rows
}

fn parse_row(line: &str) -> Option<Row> {
    let mut cells = line.strip_prefix("| `")?.split(" | ");
    let key = cells.next()?.trim_end_matches('`').to_owned();
    Some((key, cells.next()?.to_owned()))
}

/// Guards against keys and defaults that are only on the page or only in the code.
#[test]
fn page_lists_every_key_with_its_default() {
    let (code, page) = (code_rows(), page_rows());
    for row in &code {
        assert!(page.contains(row), "docs/settings.md lacks {row:?}");
    }
    for row in &page {
        assert!(code.contains(row), "docs/settings.md lists {row:?}");
    }
    assert_eq!(page.len(), code.len(), "a key is listed twice");
}
