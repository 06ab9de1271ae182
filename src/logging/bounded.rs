//! Appender that never makes the caller wait: lines go to a bounded buffer that one
//! thread writes out. What exceeds the bounds is dropped, counted and reported.

use std::fmt;
use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use logforth::record::{Level, Record};
use logforth::{Append, Diagnostic, Error, Layout};
use parking_lot::{Condvar, Mutex};

use super::KeyValue;

/// Bytes that wait to be written, at most.
const MAX_BUFFER: usize = 256 * 1024;
/// Lines in a second, at most; twice the decisions of a gateway at the peak of today's sites.
const MAX_LINES: u32 = 400;
/// Warnings and errors in a second beyond the other lines, at most.
const MAX_WARNINGS: u32 = 100;
/// Time over which lines are gathered before they are written.
const GATHER: Duration = Duration::from_millis(50);
/// Time that a flush waits for the writer, at most.
const FLUSH_LIMIT: Duration = Duration::from_millis(300);

/// Lines that wait, and the counts of the current second.
#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    second: Option<Instant>,
    lines: u32,
    warnings: u32,
    dropped: u64,
    is_writing: bool,
}

/// What the writer and the callers share.
#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    changed: Condvar,
    written: Condvar,
}

/// Appender with a bounded buffer.
#[derive(Clone)]
pub struct Bounded {
    shared: Arc<Shared>,
}

impl fmt::Debug for Bounded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Bounded")
    }
}

impl Bounded {
    /// Appender that writes to `output` on a thread of its own.
    ///
    /// # Errors
    /// Fails when the thread can't be started.
    pub fn new(output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let writer = shared.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.write(output))?;
        Ok(Self { shared })
    }

    /// Takes a line in, unless a bound is reached. Never waits for the output.
    pub fn push(&self, line: &[u8], is_warning: bool, now: Instant) {
        let mut buffer = self.shared.buffer.lock();
        let begins = buffer
            .second
            .is_none_or(|s| now.saturating_duration_since(s) >= Duration::from_secs(1));
        if begins {
            buffer.second = Some(now);
            buffer.lines = 0;
            buffer.warnings = 0;
            let dropped = std::mem::take(&mut buffer.dropped);
            if dropped > 0 {
                let report = format!("level=warn msg=\"log lines dropped\" count={dropped}\n");
                buffer.bytes.extend_from_slice(report.as_bytes());
            }
        }
        let count = if is_warning {
            &mut buffer.warnings
        } else {
            &mut buffer.lines
        };
        let limit = if is_warning { MAX_WARNINGS } else { MAX_LINES };
        *count += 1;
        if *count > limit || buffer.bytes.len() + line.len() > MAX_BUFFER {
            buffer.dropped += 1;
            return;
        }
        buffer.bytes.extend_from_slice(line);
        buffer.bytes.push(b'\n');
        drop(buffer);
        self.shared.changed.notify_one();
    }

    /// Waits a short time until everything is written.
    pub fn drain(&self) {
        let mut buffer = self.shared.buffer.lock();
        let end = Instant::now() + FLUSH_LIMIT;
        while (buffer.is_writing || !buffer.bytes.is_empty())
            && !self.shared.written.wait_until(&mut buffer, end).timed_out()
        {}
    }
}

impl Shared {
    fn write(&self, mut output: impl Write) {
        loop {
            let mut buffer = self.buffer.lock();
            while buffer.bytes.is_empty() {
                self.changed.wait(&mut buffer);
            }
            drop(buffer);
            thread::sleep(GATHER);
            let mut buffer = self.buffer.lock();
            let bytes = std::mem::take(&mut buffer.bytes);
            buffer.is_writing = true;
            drop(buffer);
            // Nobody is left to tell when the log itself can't be written.
            let _ = output.write_all(&bytes).and_then(|()| output.flush());
            self.buffer.lock().is_writing = false;
            self.written.notify_all();
        }
    }
}

impl Append for Bounded {
    fn append(
        &self,
        record: &Record<'_>,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), Error> {
        let line = KeyValue.format(record, diagnostics)?;
        let is_warning = record.level() >= Level::Warn;
        self.push(&line, is_warning, Instant::now());
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        self.drain();
        Ok(())
    }
}

#[cfg(test)]
#[path = "bounded_test.rs"]
mod test;
