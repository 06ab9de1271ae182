use std::io::{self, Write};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use super::{Bounded, MAX_LINES_PER_SECOND};

/// Output that blocks each write until the test sends on `permits` or closes it, like
/// a pipe whose reader has stopped.
struct BlockedOutput {
    permits: mpsc::Receiver<()>,
    written: mpsc::Sender<Vec<u8>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // A closed channel lets every write through.
        let _ = self.permits.recv();
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn blocked_appender() -> (Bounded, mpsc::Sender<()>, mpsc::Receiver<Vec<u8>>) {
    let (unblock, permits) = mpsc::channel();
    let (written, output) = mpsc::channel();
    let appender = Bounded::new(BlockedOutput { permits, written }).unwrap();
    (appender, unblock, output)
}

/// Guards against a log reader that has stopped and blocks request handling.
#[test]
fn blocked_output_never_blocks_callers() {
    let (appender, _unblock, _output) = blocked_appender();
    let start = Instant::now();
    for second in 0..60 {
        let now = start + Duration::from_secs(second);
        for _ in 0..1_000 {
            appender.push(&[b'x'; 300], false, now);
        }
    }
    assert!(start.elapsed() < Duration::from_secs(5));
}

/// Guards against log volume that grows with the load, and against dropped lines that
/// are not reported.
#[test]
fn lines_over_the_limit_are_dropped_and_counted() {
    let (appender, unblock, output) = blocked_appender();
    let now = Instant::now();
    let excess = 70;
    for _ in 0..MAX_LINES_PER_SECOND + excess {
        appender.push(b"line", false, now);
    }
    appender.push(b"warning", true, now);
    appender.push(b"next", false, now + Duration::from_secs(1));
    drop(unblock);
    appender.drain();
    let written: Vec<u8> = output.try_iter().flatten().collect();
    let text = String::from_utf8(written).unwrap();
    let count = |line: &str| text.lines().filter(|l| *l == line).count();
    assert_eq!(count("line"), MAX_LINES_PER_SECOND as usize);
    assert_eq!(count("warning"), 1);
    assert!(text.contains(&format!("count={excess}")), "{text}");
}
