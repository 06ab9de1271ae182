//! Logs: one line of key=value pairs per event, written to standard error.
//!
//! `log::info!(vm = "cb-a-1", generation = 7_u64; "rollout started")` becomes
//! `time=2026-05-04T08:00:00.125Z level=info target=corianderramp::agent msg="rollout started" vm=cb-a-1 generation=7`.

use std::fmt::Write;

use log::LevelFilter;
use logforth::kv::{KeyView, ValueView, Visitor};
use logforth::record::Record;
use logforth::{Diagnostic, Error, Layout, append, starter_log};

pub mod bounded;

/// Writes events of `level` and above to standard error, one line each.
///
/// An unknown level counts as `info`; settings are checked before. Further
/// calls only change the level.
pub fn init(level: &str) {
    let layout = KeyValue;
    let append = append::Stderr::default().with_layout(layout);
    // Fails only when a logger is set already, which then stays in use.
    let _ = starter_log::builder()
        .dispatch(|d| d.append(append))
        .try_apply();
    log::set_max_level(level.parse().unwrap_or(LevelFilter::Info));
}

/// Writes events of `level` and above to standard output without ever waiting for it.
/// The returned appender drains what is left before the process ends.
///
/// # Errors
/// Fails when the writer's thread can't be started.
pub fn init_bounded(level: &str) -> std::io::Result<bounded::Bounded> {
    let append = bounded::Bounded::new(std::io::stdout())?;
    let kept = append.clone();
    // Fails only when a logger is set already, which then stays in use.
    let _ = starter_log::builder()
        .dispatch(|d| d.append(append))
        .try_apply();
    log::set_max_level(level.parse().unwrap_or(LevelFilter::Info));
    Ok(kept)
}

/// Layout of one event as key=value pairs.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeyValue;

impl Layout for KeyValue {
    fn format(&self, record: &Record<'_>, _: &[Box<dyn Diagnostic>]) -> Result<Vec<u8>, Error> {
        let time = jiff::Timestamp::try_from(record.time()).unwrap_or_default();
        let mut line = Line::default();
        line.pair("time", &format!("{time:.3}"));
        line.pair("level", &record.level().to_string().to_lowercase());
        line.pair("target", record.target());
        line.pair("msg", &record.payload().to_string());
        record.key_values().visit(&mut line)?;
        Ok(line.text.into_bytes())
    }
}

/// Line under construction.
#[derive(Debug, Default)]
struct Line {
    text: String,
}

impl Line {
    fn pair(&mut self, key: &str, value: &str) {
        if !self.text.is_empty() {
            self.text.push(' ');
        }
        self.text.push_str(key);
        self.text.push('=');
        push_value(&mut self.text, value);
    }
}

impl Visitor for Line {
    fn visit(&mut self, key: KeyView<'_>, value: ValueView<'_>) -> Result<(), Error> {
        self.pair(key.as_str(), &value.to_string());
        Ok(())
    }
}

/// Appends `value`, in quotes when it is empty or holds a space, a quote, `=`,
/// a backslash or a control character. A line break never reaches the output,
/// so text from outside can't forge a second event.
pub(crate) fn push_value(line: &mut String, value: &str) {
    let special = |c: char| c.is_whitespace() || c.is_control() || matches!(c, '"' | '=' | '\\');
    if !value.is_empty() && !value.contains(special) {
        line.push_str(value);
        return;
    }
    line.push('"');
    for c in value.chars() {
        match c {
            '"' => line.push_str("\\\""),
            '\\' => line.push_str("\\\\"),
            '\n' => line.push_str("\\n"),
            '\r' => line.push_str("\\r"),
            '\t' => line.push_str("\\t"),
            c if c.is_control() || matches!(c, '\u{2028}' | '\u{2029}') => {
                // Writing to a string can't fail.
                let _ = write!(line, "\\u{{{:x}}}", u32::from(c));
            }
            c => line.push(c),
        }
    }
    line.push('"');
}

#[cfg(test)]
#[path = "logging_test.rs"]
mod test;
