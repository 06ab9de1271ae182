//! docs/operations/metrics.md must explain every metric, since operators look
//! there when one moves.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::{Path, PathBuf};

use corianderramp::telemetry::{METRICS, Type};

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// Names that begin with the prefix and stand in quotes in the sources.
fn names_in_sources(folder: &Path, names: &mut Vec<String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            names_in_sources(&path, names);
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

/// Guards against a metric that is exported but neither described nor explained.
#[test]
fn every_metric_is_listed_and_explained() {
    let mut used = Vec::new();
    names_in_sources(&root().join("src"), &mut used);
    assert!(used.len() >= 5, "the search finds no metrics: {used:?}");
    for name in used {
        let listed = METRICS.iter().any(|m| m.name == name);
        assert!(listed, "telemetry::METRICS lacks {name}");
    }
    let page = fs::read_to_string(root().join("docs/operations/metrics.md")).unwrap();
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
        let found = rows.iter().any(|row| row.starts_with(start.trim_end()));
        assert!(found, "docs/operations/metrics.md lacks {start}");
    }
}
