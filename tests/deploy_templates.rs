//! The templates of the deploy file give settings with which nodes start. The comment on each test
//! states the failure that it guards against.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::Path;
use std::time::Duration;

use corianderramp::node::settings::{Bounds, Settings};
use serde_json::{Value, json};

/// Templates.
const TEMPLATES: [&str; 2] = ["deploy/gateway.toml", "deploy/host.toml"];
/// Figures of the platform's settings that the templates use: path, whole number and fraction.
const FIGURES: [(&str, &str, &str); 8] = [
    ("/bounds/grace_s", "8", "7.5"),
    ("/bounds/version_ms", "8000", "7999.5"),
    ("/bounds/config_apply_ms", "2000", "1750.25"),
    ("/bounds/drain_ms", "2000", "1500.75"),
    ("/bounds/evacuate_ms", "5000", "4500.5"),
    ("/bounds/cold_overage", "2", "1.5"),
    ("/bounds/cold_slack", "3", "2.5"),
    ("/limits/link_mbps", "700", "7.6"),
];

/// Settings of the platform, with numbers in the places of [`FIGURES`] as they are written.
fn platform(figures: &[&str]) -> Value {
    let mut settings = json!({
        "node_name": "vm-1", "zone": "z-a", "region": "r", "ip": "10.0.0.1",
        "internal_ports": [7700, 7715], "app": "10.0.0.1:9000", "service": "llm",
        "platform": {"address": "10.0.0.2:8000"},
        "listen": {"front": "10.0.0.1:8005", "ready": "10.0.0.1:8002"},
        "zones": {"z-a": "r"}, "limits": {}, "bounds": {},
    });
    for ((path, _, _), figure) in FIGURES.iter().zip(figures) {
        let (table, key) = path[1..].split_once('/').unwrap();
        settings[table][key] = serde_json::from_str(figure).unwrap();
    }
    settings
}

/// Value at the dotted path `name`, in `entry` or else in `settings`.
fn value<'a>(settings: &'a Value, entry: Option<&'a Value>, name: &str) -> Option<&'a Value> {
    if name == "." {
        return entry;
    }
    settings.pointer(&format!("/{}", name.replace('.', "/")))
}

/// Fills in `template` as the platform does, for the placeholders and sections that are used here.
fn render(template: &str, settings: &Value, entry: Option<(&str, &Value)>) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        text.push_str(before);
        let (name, after) = after.split_once("}}").unwrap();
        rest = after;
        if let Some(name) = name.strip_prefix('#') {
            let (section, after) = rest.split_once(&format!("{{{{/{name}}}}}")).unwrap();
            rest = after;
            match value(settings, None, name) {
                Some(Value::Object(table)) => {
                    for (key, entry) in table {
                        text.push_str(&render(section, settings, Some((key, entry))));
                    }
                }
                Some(_) => text.push_str(&render(section, settings, entry)),
                None => {}
            }
        } else if name == "@" {
            text.push_str(entry.unwrap().0);
        } else {
            let (path, is_json) = match name.strip_suffix("|json") {
                Some(path) => (path, true),
                None => (name, false),
            };
            let found = value(settings, entry.map(|e| e.1), path).unwrap();
            match found.as_str() {
                Some(found) if !is_json => text.push_str(found),
                _ => text.push_str(&found.to_string()),
            }
        }
    }
    text + rest
}

fn bounds(template: &str, figures: &[&str]) -> Bounds {
    let text = fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(template)).unwrap();
    let text = render(&text, &platform(figures), None);
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("settings.toml");
    fs::write(&file, &text).unwrap();
    match Settings::load(&file) {
        Ok(settings) => settings.bounds,
        Err(e) => panic!("{e}\n{text}"),
    }
}

/// A figure with a fraction kept each node from starting (review case 9).
#[test]
fn each_figure_may_be_whole_or_a_fraction() {
    let whole: Vec<&str> = FIGURES.iter().map(|f| f.1).collect();
    for template in TEMPLATES {
        let expected = bounds(template, &whole);
        assert_eq!(expected.stop_limit(), Duration::from_secs(8));
        assert_eq!(expected.leaving_limit(), Duration::from_secs(2));
        for (place, (path, _, fraction)) in FIGURES.iter().enumerate() {
            let mut figures = whole.clone();
            figures[place] = fraction;
            let changed = bounds(template, &figures);
            assert_eq!(changed == expected, *path == "/limits/link_mbps", "{path}");
            // As some writers put whole numbers.
            let decimal = format!("{}.0", FIGURES[place].1);
            figures[place] = &decimal;
            assert_eq!(bounds(template, &figures), expected, "{path}");
        }
        let fractions: Vec<&str> = FIGURES.iter().map(|f| f.2).collect();
        let changed = bounds(template, &fractions);
        assert_eq!(changed.stop_limit(), Duration::from_millis(7_500));
        // No later than the bound.
        assert_eq!(changed.config_limit(), Duration::from_millis(1_750));
        assert_eq!(changed.leaving_limit(), Duration::from_millis(1_500));
        assert_eq!(changed.evacuation_ms, Some(4_500));
        assert_eq!(changed.cold_overage, Some(1.5));
    }
}

/// Figures that are no times were refused, and must still be.
#[test]
fn figures_that_are_no_times_are_refused() {
    for figure in ["-1", "nan", "inf", "true", "\"8\"", "1e30"] {
        let parsed: Result<Bounds, _> =
            toml::from_str(&format!("stop_ms = {figure}\nweights_ms = 1"));
        assert!(parsed.is_err(), "{figure}");
    }
    let unknown: Result<Bounds, _> = toml::from_str("stop_ms = 1\nweights_ms = 1\nstop_s = 1");
    assert!(unknown.unwrap_err().to_string().contains("stop_s"));
    // Limits of less than a millisecond are not none.
    let bounds: Bounds = toml::from_str("stop_ms = 0.25\nweights_ms = 0\nconfig_ms = 1e3").unwrap();
    assert_eq!(
        (bounds.stop_ms, bounds.weights_ms, bounds.config_ms),
        (1, 0, 1_000)
    );
}
