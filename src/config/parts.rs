//! Deltas as streams of messages.

use std::sync::Arc;

use snafu::Snafu;

use crate::config::store::{Delta, Entry};
use crate::control::pb;
use crate::resource::{CONFIG_KINDS, Kind};

/// Size above which a part is closed, bytes. With the largest object, 1 MB, a
/// part stays below gRPC's default limit of 4 MiB.
pub const PART_BYTES: usize = 1024 * 1024;

/// Largest delta that is put together, bytes; the memory of a process is
/// limited to 128 MB.
pub const MAX_DELTA_BYTES: usize = 96 * 1024 * 1024;

/// Why a streamed delta can't be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// The parts belong to different deltas.
    #[snafu(display("parts of different deltas in one stream"))]
    MixedDeltas,
    /// The delta is larger than [`MAX_DELTA_BYTES`].
    #[snafu(display("delta above {MAX_DELTA_BYTES} bytes"))]
    TooLarge,
}

/// Splits a delta into messages. There is at least one part, even without entries.
#[must_use]
pub fn split(delta: &Delta, coordinator: Option<&pb::Coordinator>) -> Vec<pb::Delta> {
    let empty = || pb::Delta {
        from: delta.from,
        to: delta.to,
        snapshot: delta.snapshot,
        items: Vec::new(),
        coordinator: coordinator.cloned(),
    };
    let mut parts = vec![empty()];
    let mut size = 0;
    for entry in &delta.entries {
        if size > PART_BYTES {
            parts.push(empty());
            size = 0;
        }
        size += entry.json.len() + entry.name.len();
        if let Some(part) = parts.last_mut() {
            part.items.push(item(entry));
        }
    }
    parts
}

/// Puts the parts of one delta together.
#[derive(Debug, Default)]
pub struct Assembler {
    delta: Option<Delta>,
    size: usize,
}

impl Assembler {
    /// Adds a part.
    ///
    /// # Errors
    /// Fails when the part belongs to another delta or the whole is too large.
    pub fn add(&mut self, part: pb::Delta) -> Result<(), Error> {
        let delta = self.delta.get_or_insert_with(|| Delta {
            from: part.from,
            to: part.to,
            snapshot: part.snapshot,
            entries: Vec::new(),
        });
        if (delta.from, delta.to, delta.snapshot) != (part.from, part.to, part.snapshot) {
            return Err(Error::MixedDeltas);
        }
        self.size += part.items.iter().map(|i| i.json.len()).sum::<usize>();
        if self.size > MAX_DELTA_BYTES {
            return Err(Error::TooLarge);
        }
        delta
            .entries
            .extend(part.items.into_iter().filter_map(entry));
        Ok(())
    }

    /// The whole delta; `None` when no part came.
    #[must_use]
    pub fn finish(self) -> Option<Delta> {
        self.delta
    }
}

fn item(entry: &Arc<Entry>) -> pb::Item {
    pb::Item {
        kind: entry.kind.name().into(),
        name: entry.name.clone(),
        revision: entry.revision,
        json: entry.json.clone(),
    }
}

/// `None` for a kind that this version does not know, which a newer process
/// may send during an upgrade.
fn entry(item: pb::Item) -> Option<Arc<Entry>> {
    let kind: Kind = item.kind.parse().ok()?;
    CONFIG_KINDS.contains(&kind).then(|| {
        Arc::new(Entry {
            kind,
            name: item.name,
            revision: item.revision,
            json: item.json,
        })
    })
}
