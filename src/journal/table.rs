//! Operations of one shard. Does no I/O.
//!
//! Entries are kept in an open part, stored in the shard's head, and in sealed
//! segments, each stored in an object of its own and never changed.

use prost::Message;

use super::Receipt;
use super::key::{Attempt, Finish, Id, Millis, ReserveRequest};
use crate::resource::{Invalid, journal};

/// Size of the open part above which entries are moved to a segment, and the largest
/// size of a segment, bytes as stored.
pub const SEGMENT_BYTES: usize = 64 * 1024;
/// Maximum number of segments of a shard. Above it the oldest ones are pruned before
/// their retention ends, so that the owner needs less than 16 MB of memory per shard.
pub const MAX_SEGMENTS: usize = 128;
/// Size of the open part above which reservations are rejected, bytes as stored. It
/// grows while its entries can't be sealed.
pub const MAX_OPEN_BYTES: usize = 8 * 1024 * 1024;
/// Size of all intents above which reservations are rejected, bytes as stored. The
/// head that holds them must fit into one object of the platform.
pub const MAX_INTENT_BYTES: usize = 512 * 1024;
/// Largest time by which the timestamp in a key may be ahead of the owner's clock,
/// milliseconds.
pub const MAX_CLOCK_SKEW: Millis = 5 * 60 * 1000;
/// Time after the deadline of an attempt during which its outcome may still arrive
/// before the intent is sealed as unknown, milliseconds.
pub const OUTCOME_GRACE: Millis = 60 * 1000;

/// State of an operation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum State {
    /// An attempt holds the permit.
    Intent {
        /// Attempt that holds the permit.
        attempt: Attempt,
        /// Deadline of the attempt.
        deadline: Millis,
    },
    /// The operation ran.
    Done(Receipt),
    /// No outcome arrived in time; final.
    Unknown,
}

/// Operation with its state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    id: Id,
    fingerprint: u128,
    reserved_at: Millis,
    state: State,
}

/// Result of a reservation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The attempt gets the permit as soon as the table is stored.
    Fresh,
    /// The operation ran; this is its stored response.
    Done(Receipt),
    /// Another attempt may still be running the operation.
    InProgress,
    /// It is not known whether the operation ran.
    Unknown,
    /// The key was used for a request with another fingerprint.
    Mismatch,
    /// The operation was not reserved, with the reason.
    Rejected(&'static str),
}

/// Stored segment; its entries are sorted by identifier.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SealedSegment {
    link: journal::SegmentRef,
    entries: Vec<Entry>,
}

/// Operations of a shard.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Table {
    open: Vec<Entry>,
    open_bytes: usize,
    segments: Vec<SealedSegment>,
    /// Newest time of a pruned entry. A key with an older timestamp may have run.
    horizon: Millis,
}

impl Table {
    /// Builds the table from a head and its segments, in the order of the head.
    ///
    /// # Errors
    /// Names the malformed field.
    pub fn load(head: &journal::Head, segments: &[journal::Segment]) -> Result<Self, Invalid> {
        let mut table = Self {
            horizon: head.horizon,
            ..Self::default()
        };
        for (link, segment) in head.segments.iter().zip(segments) {
            table.segments.push(SealedSegment {
                link: link.clone(),
                entries: decode(&segment.entries)?,
            });
        }
        table.open = decode(&head.entries)?;
        table.open_bytes = table.open.iter().map(Entry::stored_size).sum();
        Ok(table)
    }

    /// Sets the horizon, segments and entries of a head.
    pub fn fill_head(&self, head: &mut journal::Head) {
        head.horizon = self.horizon;
        head.segments = self.segments.iter().map(|s| s.link.clone()).collect();
        head.entries = encode(&self.open);
    }

    /// Number of operations in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.len() + self.segments.iter().map(|s| s.entries.len()).sum::<usize>()
    }

    /// Whether the table has no operation.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of sealed segments.
    #[must_use]
    pub fn segment_count(&self) -> usize {
        self.segments.len()
    }

    /// Reserves an operation at `now`. Retries with the same attempt get the permit
    /// again while its intent exists.
    pub fn reserve(
        &mut self,
        request: &ReserveRequest,
        now: Millis,
        retention: Millis,
    ) -> Decision {
        if let Some(entry) = self.find(request.id) {
            return entry.decide(request, now);
        }
        if let Some(key_time) = request.key_time {
            if key_time <= self.horizon || key_time < now.saturating_sub(retention) {
                return Decision::Unknown;
            }
            if key_time > now + MAX_CLOCK_SKEW {
                return Decision::Rejected(
                    "timestamp in the idempotency key is too far in the future",
                );
            }
        }
        if self.open_bytes > MAX_OPEN_BYTES || self.intent_bytes() > MAX_INTENT_BYTES {
            return Decision::Rejected("journal shard has too many unsealed operations");
        }
        self.insert(Entry {
            id: request.id,
            fingerprint: request.fingerprint,
            // Pruning the entry raises the horizon to this time, which must not be
            // below the timestamp in the key, even if the caller's clock is ahead.
            reserved_at: now.max(request.key_time.unwrap_or_default()),
            state: State::Intent {
                attempt: request.attempt,
                deadline: now + request.timeout_ms,
            },
        });
        Decision::Fresh
    }

    /// Records the outcome of an attempt. Returns false, and changes nothing, if the
    /// attempt holds no permit.
    pub fn finish(&mut self, id: Id, attempt: Attempt, finish: Finish) -> bool {
        if !self.has_intent(id, attempt) {
            return false;
        }
        let mut entry = self.remove(id);
        if let (Some(entry), Finish::Complete(receipt)) = (entry.as_mut(), finish) {
            entry.state = State::Done(receipt);
            self.insert(entry.clone());
        }
        true
    }

    /// Whether `attempt` holds the permit of the operation.
    #[must_use]
    pub fn has_intent(&self, id: Id, attempt: Attempt) -> bool {
        let Ok(i) = self.open.binary_search_by_key(&id, |e| e.id) else {
            return false;
        };
        matches!(self.open[i].state, State::Intent { attempt: a, .. } if a == attempt)
    }

    /// Removes final entries and whole segments older than the retention, and the
    /// oldest segments above `MAX_SEGMENTS`. Returns the names of the removed
    /// segments.
    pub fn prune(&mut self, now: Millis, retention: Millis) -> Vec<String> {
        let oldest = now.saturating_sub(retention);
        let excess = self.segments.len().saturating_sub(MAX_SEGMENTS);
        let mut index = 0;
        let mut names = Vec::new();
        let mut horizon = self.horizon;
        self.segments.retain(|s| {
            index += 1;
            let keep = index > excess && s.link.newest >= oldest;
            if !keep {
                horizon = horizon.max(s.link.newest);
                names.push(s.link.name.clone());
            }
            keep
        });
        self.open.retain(|e| {
            let keep = e.reserved_at >= oldest || !e.is_final(now);
            if !keep {
                horizon = horizon.max(e.reserved_at);
            }
            keep
        });
        self.open_bytes = self.open.iter().map(Entry::stored_size).sum();
        self.horizon = horizon;
        names
    }

    /// Selects final entries for the next segment, oldest first; `None` while the
    /// open part is small or has too few final entries.
    #[must_use]
    pub fn next_segment(&self, now: Millis) -> Option<PendingSegment> {
        if self.open_bytes <= SEGMENT_BYTES {
            return None;
        }
        let mut candidates: Vec<&Entry> = self.open.iter().filter(|e| e.is_final(now)).collect();
        candidates.sort_unstable_by_key(|e| (e.reserved_at, e.id));
        let mut bytes = 0;
        let fits = |e: &&&Entry| {
            bytes += e.stored_size();
            bytes <= SEGMENT_BYTES
        };
        let mut entries: Vec<Entry> = candidates
            .iter()
            .take_while(fits)
            .map(|e| e.finalized())
            .collect();
        // A segment costs two writes, which a few entries don't justify.
        if entries.iter().map(Entry::stored_size).sum::<usize>() < SEGMENT_BYTES / 4 {
            return None;
        }
        entries.sort_unstable_by_key(|e| e.id);
        Some(PendingSegment { entries })
    }

    /// Moves the entries of a stored segment out of the open part.
    pub fn commit_segment(&mut self, pending: PendingSegment, name: String) {
        let newest = pending.newest();
        for entry in &pending.entries {
            // An outcome that arrived during the write stays in the open part, which
            // is searched before the segments.
            if find_sorted(&self.open, entry.id).is_some_and(|e| e.finalized() == *entry) {
                self.remove(entry.id);
            }
        }
        self.segments.push(SealedSegment {
            link: journal::SegmentRef { name, newest },
            entries: pending.entries,
        });
    }

    fn find(&self, id: Id) -> Option<&Entry> {
        let in_open = find_sorted(&self.open, id);
        in_open.or_else(|| {
            self.segments
                .iter()
                .rev()
                .find_map(|s| find_sorted(&s.entries, id))
        })
    }

    fn intent_bytes(&self) -> usize {
        // While the open part is small, its size is a sufficient upper bound.
        if self.open_bytes <= MAX_INTENT_BYTES {
            return self.open_bytes;
        }
        let intents = self.open.iter().filter(|e| e.is_intent());
        intents.map(Entry::stored_size).sum()
    }

    fn insert(&mut self, entry: Entry) {
        self.open_bytes += entry.stored_size();
        match self.open.binary_search_by_key(&entry.id, |e| e.id) {
            Ok(i) => self.open[i] = entry,
            Err(i) => self.open.insert(i, entry),
        }
    }

    fn remove(&mut self, id: Id) -> Option<Entry> {
        let i = self.open.binary_search_by_key(&id, |e| e.id).ok()?;
        let entry = self.open.remove(i);
        self.open_bytes -= entry.stored_size();
        Some(entry)
    }
}

/// Entries selected for a segment that is not stored yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PendingSegment {
    entries: Vec<Entry>,
}

impl PendingSegment {
    /// Returns the segment's specification for the platform.
    #[must_use]
    pub fn segment(&self) -> journal::Segment {
        journal::Segment {
            entries: encode(&self.entries),
        }
    }

    fn newest(&self) -> Millis {
        self.entries
            .iter()
            .map(|e| e.reserved_at)
            .max()
            .unwrap_or_default()
    }
}

impl Entry {
    fn decide(&self, request: &ReserveRequest, now: Millis) -> Decision {
        if self.fingerprint != request.fingerprint {
            return Decision::Mismatch;
        }
        match &self.state {
            State::Done(receipt) => Decision::Done(receipt.clone()),
            State::Intent { attempt, .. } if *attempt == request.attempt => Decision::Fresh,
            State::Intent { deadline, .. } if now < *deadline => Decision::InProgress,
            State::Intent { .. } | State::Unknown => Decision::Unknown,
        }
    }

    const fn is_intent(&self) -> bool {
        matches!(self.state, State::Intent { .. })
    }

    fn is_final(&self, now: Millis) -> bool {
        match self.state {
            State::Intent { deadline, .. } => deadline + OUTCOME_GRACE < now,
            State::Done(_) | State::Unknown => true,
        }
    }

    /// Returns the entry as it is sealed: an intent becomes unknown.
    fn finalized(&self) -> Self {
        let state = match &self.state {
            State::Intent { .. } | State::Unknown => State::Unknown,
            State::Done(receipt) => State::Done(receipt.clone()),
        };
        Self {
            state,
            ..self.clone()
        }
    }

    /// Stored size, bytes. Base64 takes 4 bytes for 3; each message gets 4 bytes of
    /// framing.
    fn stored_size(&self) -> usize {
        (self.to_stored().encoded_len() + 4) * 4 / 3
    }

    fn to_stored(&self) -> journal::Entry {
        let mut stored = journal::Entry {
            id: self.id.0.to_be_bytes().to_vec(),
            fingerprint: self.fingerprint.to_be_bytes().to_vec(),
            at: self.reserved_at,
            ..journal::Entry::default()
        };
        match &self.state {
            State::Intent { attempt, deadline } => {
                stored.attempt = attempt.0.to_be_bytes().to_vec();
                stored.deadline = *deadline;
            }
            State::Done(receipt) => {
                stored.status = u32::from(receipt.status);
                stored.content_type.clone_from(&receipt.content_type);
                stored.body = receipt.body.clone();
                stored.truncated = receipt.truncated;
            }
            State::Unknown => {}
        }
        stored
    }

    fn from_stored(stored: journal::Entry) -> Result<Self, Invalid> {
        let state = if !stored.attempt.is_empty() {
            State::Intent {
                attempt: Attempt(parse_u128(&stored.attempt)?),
                deadline: stored.deadline,
            }
        } else if stored.status != 0 {
            State::Done(Receipt {
                status: u16::try_from(stored.status).unwrap_or(u16::MAX),
                content_type: stored.content_type,
                body: stored.body,
                truncated: stored.truncated,
            })
        } else {
            State::Unknown
        };
        Ok(Self {
            id: Id(parse_u128(&stored.id)?),
            fingerprint: parse_u128(&stored.fingerprint)?,
            reserved_at: stored.at,
            state,
        })
    }
}

fn find_sorted(sorted: &[Entry], id: Id) -> Option<&Entry> {
    let found = sorted.binary_search_by_key(&id, |e| e.id).ok();
    found.map(|i| &sorted[i])
}

fn parse_u128(bytes: &[u8]) -> Result<u128, Invalid> {
    let array = bytes.try_into().map_err(|_| {
        let reason = format!("identifier has {} bytes instead of 16", bytes.len());
        Invalid::new("spec.entries", reason)
    })?;
    Ok(u128::from_be_bytes(array))
}

fn encode(entries: &[Entry]) -> journal::Entries {
    journal::Entries::encode(entries.iter().map(Entry::to_stored).collect())
}

fn decode(entries: &journal::Entries) -> Result<Vec<Entry>, Invalid> {
    let stored = entries.decode()?;
    let mut entries: Vec<Entry> = stored
        .into_iter()
        .map(Entry::from_stored)
        .collect::<Result<_, _>>()?;
    entries.sort_unstable_by_key(|e| e.id);
    Ok(entries)
}
