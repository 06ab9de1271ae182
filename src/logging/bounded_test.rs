use std::io::{self, Write};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use super::{Bounded, MAX_LINES};

/// Output that blocks until the test lets it go on, like a reader that stopped reading.
struct Stuck {
    gate: mpsc::Receiver<()>,
    written: mpsc::Sender<Vec<u8>>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // A closed gate lets everything through.
        let _ = self.gate.recv();
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn stuck() -> (Bounded, mpsc::Sender<()>, mpsc::Receiver<Vec<u8>>) {
    let (open, gate) = mpsc::channel();
    let (written, lines) = mpsc::channel();
    let log = Bounded::new(Stuck { gate, written }).unwrap();
    (log, open, lines)
}

/// Guards against a stuck reader of the log that stops the request path.
#[test]
fn stuck_reader_never_blocks() {
    let (log, _open, _lines) = stuck();
    let begin = Instant::now();
    for second in 0..60 {
        let now = begin + Duration::from_secs(second);
        for _ in 0..1_000 {
            log.push(&[b'x'; 300], false, now);
        }
    }
    assert!(begin.elapsed() < Duration::from_secs(5));
}

/// Guards against a log that grows with the load, and against lines lost unseen.
#[test]
fn lines_over_the_limit_are_dropped_and_counted() {
    let (log, open, lines) = stuck();
    let now = Instant::now();
    let over = 70;
    for _ in 0..MAX_LINES + over {
        log.push(b"line", false, now);
    }
    log.push(b"warning", true, now);
    log.push(b"next", false, now + Duration::from_secs(1));
    drop(open);
    log.drain();
    let written: Vec<u8> = lines.try_iter().flatten().collect();
    let text = String::from_utf8(written).unwrap();
    let count = |line: &str| text.lines().filter(|l| *l == line).count();
    assert_eq!(count("line"), MAX_LINES as usize);
    assert_eq!(count("warning"), 1);
    assert!(text.contains(&format!("count={over}")), "{text}");
}
