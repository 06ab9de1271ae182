//! docs/operations/metrics.md must explain every metric: operators look there when one
//! changes.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::{Path, PathBuf};

use corianderramp::telemetry::{METRICS, Type};

fn repository_root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// Collects the metric names that are passed as string literals to the metrics macros in
/// the source files below `directory`.
fn collect_metric_names(directory: &Path, names: &mut Vec<String>) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_metric_names(&path, names);
        } else if path.extension().is_some_and(|e| e == "rs") {
            let text = fs::read_to_string(path).unwrap();
            let macros = ["counter!(", "gauge!(", "histogram!("];
            for call in macros.iter().flat_map(|m| text.split(m).skip(1)) {
                let argument = call.trim_start().strip_prefix('"');
                names.extend(argument.and_then(|a| a.split('"').next()).map(String::from));
            }
        }
    }
}

/// Guards against an exported metric that is missing from `telemetry::METRICS` or from
/// the page.
#[test]
fn every_metric_is_listed_and_explained() {
    let mut used = Vec::new();
    collect_metric_names(&repository_root().join("src"), &mut used);
    assert!(used.len() >= 5, "too few metrics found in src: {used:?}");
    for name in used {
        let is_listed = METRICS.iter().any(|m| m.name == name);
        assert!(is_listed, "telemetry::METRICS lacks {name}");
    }
    let page = fs::read_to_string(repository_root().join("docs/operations/metrics.md")).unwrap();
    let rows: Vec<&str> = page
        .lines()
        .filter(|l| l.starts_with("| `corianderramp_"))
        .collect();
    assert_eq!(rows.len(), METRICS.len());
    for metric in METRICS {
        let kind = match metric.kind {
            Type::Counter => "counter",
            Type::Gauge => "gauge",
            Type::Histogram => "histogram",
        };
        let labels = metric.labels.join(", ");
        let start = format!("| `{}` | {kind} | {labels}", metric.name);
        let is_explained = rows.iter().any(|row| row.starts_with(start.trim_end()));
        assert!(is_explained, "docs/operations/metrics.md lacks {start}");
    }
}
