//! Output of the operators' tool: results on standard output, notes, progress
//! and errors on standard error.

use std::fmt;
use std::io::{self, IsTerminal, Write};

use parking_lot::Mutex;
use serde::Serialize;
use snafu::ResultExt;

use super::error::{Error, OutputSnafu};

/// Clears the line of a terminal.
const CLEAR_LINE: &str = "\r\x1b[2K";

/// Format of results.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// Aligned columns, for people.
    #[default]
    Table,
    /// JSON, for programs.
    Json,
    /// Object files, for `apply`.
    Toml,
}

/// Where a subcommand writes.
pub struct Console {
    /// Format of results.
    pub format: Format,
    out: Mutex<Box<dyn Write + Send>>,
    err: Mutex<Notes>,
}

struct Notes {
    sink: Box<dyn Write + Send>,
    terminal: bool,
    /// Whether the terminal's current line shows progress.
    open: bool,
    last: String,
}

impl fmt::Debug for Console {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Console")
            .field("format", &self.format)
            .finish_non_exhaustive()
    }
}

/// An error in JSON.
#[derive(Serialize)]
struct Failure<'a> {
    status: u8,
    error: &'a str,
}

impl Console {
    /// Standard output and standard error.
    #[must_use]
    pub fn standard(format: Format) -> Self {
        let terminal = io::stderr().is_terminal();
        Self::new(format, io::stdout(), io::stderr(), terminal)
    }

    /// Results go to `out`, all else to `err`; `terminal` says whether progress
    /// may overwrite its line.
    pub fn new(
        format: Format,
        out: impl Write + Send + 'static,
        err: impl Write + Send + 'static,
        terminal: bool,
    ) -> Self {
        let notes = Notes {
            sink: Box::new(err),
            terminal,
            open: false,
            last: String::new(),
        };
        Self {
            format,
            out: Mutex::new(Box::new(out)),
            err: Mutex::new(notes),
        }
    }

    /// Writes part of the result.
    ///
    /// # Errors
    /// Fails when standard output can't be written.
    pub fn write(&self, text: &str) -> Result<(), Error> {
        self.err.lock().close();
        let mut out = self.out.lock();
        out.write_all(text.as_bytes())
            .and_then(|()| out.flush())
            .context(OutputSnafu)
    }

    /// Writes the result as one line of JSON.
    ///
    /// # Errors
    /// Fails when standard output can't be written.
    pub fn json(&self, value: &impl Serialize) -> Result<(), Error> {
        let text = serde_json::to_string(value).map_err(io::Error::other);
        self.write(&(text.context(OutputSnafu)? + "\n"))
    }

    /// Tells the operator something that is not part of the result.
    pub fn note(&self, line: &str) {
        let mut notes = self.err.lock();
        notes.close();
        notes.line(line);
    }

    /// Shows how far a wait has come: in place on a terminal, one line per
    /// change otherwise, nothing for programs.
    pub fn progress(&self, line: &str) {
        let mut notes = self.err.lock();
        if self.format != Format::Table || notes.last == line {
            return;
        }
        line.clone_into(&mut notes.last);
        if notes.terminal {
            notes.open = true;
            let text = format!("{CLEAR_LINE}{line}");
            notes.push(&text);
        } else {
            notes.line(line);
        }
    }

    /// Reports an error: one line each, or one JSON object for programs.
    pub fn error(&self, error: &Error) {
        let text = error.to_string();
        let failure = Failure {
            status: error.status(),
            error: &text,
        };
        if self.format == Format::Json {
            self.note(&serde_json::to_string(&failure).unwrap_or(text));
            return;
        }
        for line in text.lines() {
            let detail = line.starts_with("  ");
            self.note(&format!(
                "{}{line}",
                if detail { "" } else { "corianderramp: " }
            ));
        }
    }
}

impl Notes {
    /// Ends the progress line, which stays visible.
    fn close(&mut self) {
        if std::mem::take(&mut self.open) {
            self.push("\n");
        }
    }

    fn line(&mut self, line: &str) {
        let text = format!("{line}\n");
        self.push(&text);
    }

    /// There is no place left to report a failure to write to standard error.
    fn push(&mut self, text: &str) {
        let _ = self.sink.write_all(text.as_bytes());
        let _ = self.sink.flush();
    }
}
