//! Non-blocking log appender: lines go to a bounded buffer that a background thread
//! writes out. Lines above the limits are dropped, and their count is logged.

use std::fmt;
use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use logforth::record::{Level, Record};
use logforth::{Append, Diagnostic, Error, Layout};
use parking_lot::{Condvar, Mutex};

use super::KeyValue;

/// Limit on the bytes that are buffered but not yet written.
const MAX_BUFFER_BYTES: usize = 256 * 1024;
/// Limit on lines below level `warn` per second: twice the peak rate of decisions
/// that a gateway logs at the current sites.
const MAX_LINES_PER_SECOND: u32 = 400;
/// Limit on warnings and errors per second, counted apart from other lines.
const MAX_WARNINGS_PER_SECOND: u32 = 100;
/// Delay between the first buffered line and the write, to batch lines.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Longest time that a flush waits for the writer thread.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Buffered lines and the line counts of the current second.
#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    window_start: Option<Instant>,
    lines: u32,
    warnings: u32,
    dropped: u64,
    is_writing: bool,
}

/// State shared by the writer thread and the callers.
#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    not_empty: Condvar,
    written: Condvar,
}

/// Appender with a bounded buffer. Clones share the buffer and its writer thread.
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
    /// Starts a background thread that writes the lines to `output`.
    ///
    /// # Errors
    /// Fails if the thread can't be started.
    pub fn new(output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let writer = shared.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.run(output))?;
        Ok(Self { shared })
    }

    /// Buffers a line, or drops it if the rate or the buffer is at its limit. Never
    /// waits for the output.
    pub fn push(&self, line: &[u8], is_warning: bool, now: Instant) {
        let mut buffer = self.shared.buffer.lock();
        let is_new_window = buffer
            .window_start
            .is_none_or(|start| now.saturating_duration_since(start) >= Duration::from_secs(1));
        if is_new_window {
            buffer.window_start = Some(now);
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
        let limit = if is_warning {
            MAX_WARNINGS_PER_SECOND
        } else {
            MAX_LINES_PER_SECOND
        };
        *count += 1;
        if *count > limit || buffer.bytes.len() + line.len() > MAX_BUFFER_BYTES {
            buffer.dropped += 1;
            return;
        }
        buffer.bytes.extend_from_slice(line);
        buffer.bytes.push(b'\n');
        drop(buffer);
        self.shared.not_empty.notify_one();
    }

    /// Waits until all buffered lines are written, for at most 300 ms.
    pub fn drain(&self) {
        let mut buffer = self.shared.buffer.lock();
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while (buffer.is_writing || !buffer.bytes.is_empty())
            && !self
                .shared
                .written
                .wait_until(&mut buffer, deadline)
                .timed_out()
        {}
    }
}

impl Shared {
    fn run(&self, mut output: impl Write) {
        loop {
            let mut buffer = self.buffer.lock();
            while buffer.bytes.is_empty() {
                self.not_empty.wait(&mut buffer);
            }
            drop(buffer);
            thread::sleep(BATCH_DELAY);
            let mut buffer = self.buffer.lock();
            let bytes = std::mem::take(&mut buffer.bytes);
            buffer.is_writing = true;
            drop(buffer);
            // There is nowhere to report an error of the log output itself.
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
