//! Splits deltas into streams of messages and reassembles them.

use std::sync::Arc;

use snafu::Snafu;

use crate::config::store::{Delta, Entry};
use crate::control::pb;
use crate::resource::{CONFIG_KINDS, Kind};

/// Size in bytes above which no more objects are added to a part. Even when the
/// last one is an object of the largest size, 1 MB, a part stays below gRPC's
/// default message limit of 4 MiB.
pub const PART_BYTES: usize = 1024 * 1024;

/// Maximum size in bytes of the objects of a reassembled delta. The memory of a process is
/// limited to 128 MB.
pub const MAX_DELTA_BYTES: usize = 96 * 1024 * 1024;

/// Error when reassembling a delta.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// A part belongs to another delta than the first part.
    #[snafu(display("stream contains parts of different deltas"))]
    MixedDeltas,
    /// The delta is larger than [`MAX_DELTA_BYTES`].
    #[snafu(display("delta is larger than {MAX_DELTA_BYTES} bytes"))]
    TooLarge,
}

/// Splits a delta into messages. Returns at least one part, even for a delta
/// without entries.
#[must_use]
pub fn split(delta: &Delta, coordinator: Option<&pb::Coordinator>) -> Vec<pb::Delta> {
    let empty_part = || pb::Delta {
        from: delta.from,
        to: delta.to,
        snapshot: delta.snapshot,
        items: Vec::new(),
        coordinator: coordinator.cloned(),
    };
    let mut parts = vec![empty_part()];
    let mut size = 0;
    for entry in &delta.entries {
        if size > PART_BYTES {
            parts.push(empty_part());
            size = 0;
        }
        size += entry.json.len() + entry.name.len();
        if let Some(part) = parts.last_mut() {
            part.items.push(encode(entry));
        }
    }
    parts
}

/// Reassembles the parts of one delta.
#[derive(Debug, Default)]
pub struct Assembler {
    delta: Option<Delta>,
    size: usize,
}

impl Assembler {
    /// Adds the next part.
    ///
    /// # Errors
    /// Fails when the part belongs to another delta, or when the delta becomes larger
    /// than [`MAX_DELTA_BYTES`].
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
            .extend(part.items.into_iter().filter_map(decode));
        Ok(())
    }

    /// Returns the reassembled delta; `None` when no part was added.
    #[must_use]
    pub fn finish(self) -> Option<Delta> {
        self.delta
    }
}

fn encode(entry: &Arc<Entry>) -> pb::Item {
    pb::Item {
        kind: entry.kind.name().into(),
        name: entry.name.clone(),
        revision: entry.revision,
        json: entry.json.clone(),
    }
}

/// Returns `None` for a kind that is unknown to this version; a newer process
/// may send one during an upgrade.
fn decode(item: pb::Item) -> Option<Arc<Entry>> {
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
