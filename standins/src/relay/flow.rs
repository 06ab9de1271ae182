//! One direction of a relayed connection.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::{self, Instant};

use super::{Member, Mode, Rules, State};

/// Bytes that pass a link at once. Small pieces let short messages through
/// between the pieces of chunks.
const PIECE: usize = 8 * 1024;
/// Pieces under way on a link with delay.
const WINDOW: usize = 16;
/// Shortest piece that is corrupted, so that connections survive and payload
/// is hit rather than frame headers.
const CORRUPTED: usize = 2 * 1024;

/// Sender and receiver of a direction, as indices of VMs.
#[derive(Clone, Copy, Debug)]
pub(super) struct Way {
    pub(super) from: usize,
    pub(super) to: usize,
}

/// Fault in force on a direction of a connection that was opened at change `born`.
pub(super) fn mode(state: &State, way: Way, rules: &Rules, born: u64) -> Option<Mode> {
    let from = &state.members[way.from];
    let to = &state.members[way.to];
    let matching = rules
        .list
        .iter()
        .find(|r| covers(&r.from, from) && covers(&r.to, to))?;
    match matching.mode {
        Mode::FreezeOld if born >= rules.change => None,
        mode => Some(mode),
    }
}

fn covers(place: &str, member: &Member) -> bool {
    place == "*" || place == member.name || place == member.region
}

struct Piece {
    due: Instant,
    data: Bytes,
}

/// Carries bytes until the connection ends or is cut.
pub(super) async fn carry(
    state: &State,
    way: Way,
    born: u64,
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
) {
    let (sender, receiver) = mpsc::channel(WINDOW);
    let read = take(state, way, born, reader, sender);
    // The sending half must be able to finish what the reader took.
    let write = deliver(receiver, writer);
    tokio::pin!(read);
    tokio::pin!(write);
    tokio::select! {
        finished = &mut read => {
            if finished {
                write.await;
            }
        }
        () = &mut write => {}
    }
}

/// Reads until the end of the stream; false when the connection was cut.
async fn take(
    state: &State,
    way: Way,
    born: u64,
    mut reader: OwnedReadHalf,
    sender: mpsc::Sender<Piece>,
) -> bool {
    let mut rules = state.rules.subscribe();
    loop {
        let now = rules.borrow_and_update().clone();
        match mode(state, way, &now, born) {
            Some(Mode::Cut) => return false,
            Some(Mode::Freeze | Mode::FreezeOld) => {
                let _ = rules.changed().await;
                continue;
            }
            Some(Mode::Corrupt) | None => {}
        }
        let mut buffer = BytesMut::with_capacity(PIECE);
        tokio::select! {
            changed = rules.changed() => {
                if changed.is_err() {
                    return false;
                }
                continue;
            }
            read = reader.read_buf(&mut buffer) => {
                if !matches!(read, Ok(1..)) {
                    return true;
                }
            }
        }
        if mode(state, way, &now, born) == Some(Mode::Corrupt) && buffer.len() >= CORRUPTED {
            let middle = buffer.len() / 2;
            buffer[middle] ^= 1;
        }
        let due = pass(state, way, buffer.len()).await;
        let data = buffer.freeze();
        if sender.send(Piece { due, data }).await.is_err() {
            return true;
        }
    }
}

/// Waits for all links of the way and returns when the bytes arrive.
async fn pass(state: &State, way: Way, length: usize) -> Instant {
    let from = &state.members[way.from];
    let to = &state.members[way.to];
    let pair = state.pair(from, to);
    let links = [Some(&from.up), Some(&to.down), pair];
    let mut until = Instant::now();
    for link in links.into_iter().flatten() {
        link.bytes.fetch_add(length as u64, Ordering::Relaxed);
        if let Some(at) = link.bucket.reserve(length) {
            until = until.max(at);
        }
    }
    time::sleep_until(until).await;
    until + pair.map_or(Duration::ZERO, |p| p.delay)
}

async fn deliver(mut receiver: mpsc::Receiver<Piece>, mut writer: OwnedWriteHalf) {
    while let Some(piece) = receiver.recv().await {
        time::sleep_until(piece.due).await;
        if writer.write_all(&piece.data).await.is_err() {
            return;
        }
    }
}
