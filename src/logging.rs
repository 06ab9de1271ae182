//! Structured logging: each event is one line of key=value pairs.
//!
//! `log::info!(vm = "cb-a-1", generation = 7_u64; "rollout started")` becomes
//! `time=2026-05-04T08:00:00.125Z level=info target=corianderramp::agent msg="rollout started" vm=cb-a-1 generation=7`.

use std::fmt::Write;

use log::LevelFilter;
use logforth::kv::{KeyView, ValueView, Visitor};
use logforth::record::Record;
use logforth::{Diagnostic, Error, Layout, append, starter_log};

pub mod bounded;

/// Installs a logger that writes events of `level` and above to standard error,
/// one line each.
///
/// Falls back to `info` for an unknown level; the settings are validated
/// earlier. Further calls only change the level.
pub fn init(level: &str) {
    let layout = KeyValue;
    let append = append::Stderr::default().with_layout(layout);
    // Fails only if a logger is installed already; that one stays in use.
    let _ = starter_log::builder()
        .dispatch(|d| d.append(append))
        .try_apply();
    log::set_max_level(level.parse().unwrap_or(LevelFilter::Info));
}

/// Installs a logger that writes events of `level` and above to standard output
/// and never blocks the caller. Call [`bounded::Bounded::drain`] on the returned
/// appender before the process exits to write the buffered lines.
///
/// # Errors
/// Fails if the writer thread can't be started.
pub fn init_bounded(level: &str) -> std::io::Result<bounded::Bounded> {
    let append = bounded::Bounded::new(std::io::stdout())?;
    let appender = append.clone();
    // Fails only if a logger is installed already; that one stays in use.
    let _ = starter_log::builder()
        .dispatch(|d| d.append(append))
        .try_apply();
    log::set_max_level(level.parse().unwrap_or(LevelFilter::Info));
    Ok(appender)
}

/// Formats an event as one line of key=value pairs.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeyValue;

impl Layout for KeyValue {
    fn format(&self, record: &Record<'_>, _: &[Box<dyn Diagnostic>]) -> Result<Vec<u8>, Error> {
        let time = jiff::Timestamp::try_from(record.time()).unwrap_or_default();
        let mut line = LineBuilder::default();
        line.push_pair("time", &format!("{time:.3}"));
        line.push_pair("level", &record.level().to_string().to_lowercase());
        line.push_pair("target", record.target());
        line.push_pair("msg", &record.payload().to_string());
        record.key_values().visit(&mut line)?;
        Ok(line.text.into_bytes())
    }
}

/// Line of key=value pairs under construction.
#[derive(Debug, Default)]
struct LineBuilder {
    text: String,
}

impl LineBuilder {
    fn push_pair(&mut self, key: &str, value: &str) {
        if !self.text.is_empty() {
            self.text.push(' ');
        }
        self.text.push_str(key);
        self.text.push('=');
        push_value(&mut self.text, value);
    }
}

impl Visitor for LineBuilder {
    fn visit(&mut self, key: KeyView<'_>, value: ValueView<'_>) -> Result<(), Error> {
        self.push_pair(key.as_str(), &value.to_string());
        Ok(())
    }
}

/// Appends `value`, in quotes if it is empty or contains whitespace, a quote, `=`,
/// a backslash or a control character. Line breaks are escaped so that untrusted
/// text can't forge another event.
pub(crate) fn push_value(line: &mut String, value: &str) {
    let needs_quotes =
        |c: char| c.is_whitespace() || c.is_control() || matches!(c, '"' | '=' | '\\');
    if !value.is_empty() && !value.contains(needs_quotes) {
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
                // Writing to a `String` can't fail.
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
