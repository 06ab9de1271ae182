//! Pure state of one shard: what is known about its operations.

use prost::Message;

use super::Receipt;
use super::key::{Attempt, Finish, Id, Millis, ReserveRequest};
use crate::resource::{Invalid, journal};

/// Size at which the open part is sealed, bytes as stored.
pub const SEGMENT_BYTES: usize = 64 * 1024;
/// Most segments of a shard. Beyond it the oldest one is forgotten before the
/// retention ends, so that an owner's memory stays below 16 MB a shard.
pub const MAX_SEGMENTS: usize = 128;
/// Largest open part while it can't be sealed, bytes as stored.
pub const MAX_OPEN_BYTES: usize = 8 * 1024 * 1024;
/// Largest part of intents without an outcome, bytes as stored; the head that
/// holds them must fit into one object of the platform.
pub const MAX_INTENT_BYTES: usize = 512 * 1024;
/// Furthest that the time in a key may lie ahead of the owner's clock.
pub const MAX_CLOCK_SKEW: Millis = 5 * 60 * 1000;
/// Time after an attempt's deadline in which its outcome is still awaited
/// before the intent may be sealed as unknown.
pub const OUTCOME_GRACE: Millis = 60 * 1000;

/// State of an operation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum State {
    /// An attempt holds the permit.
    Intent {
        /// Attempt.
        attempt: Attempt,
        /// End of the attempt.
        deadline: Millis,
    },
    /// The operation ran.
    Done(Receipt),
    /// No outcome arrived; final.
    Unknown,
}

/// One operation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    id: Id,
    fingerprint: u128,
    reserved_at: Millis,
    state: State,
}

/// Answer to a reservation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The attempt holds the permit, as soon as the table is durable.
    Fresh,
    /// The operation ran.
    Done(Receipt),
    /// Another attempt may be running.
    InProgress,
    /// It is not known whether the operation ran.
    Unknown,
    /// The key belongs to another request.
    Mismatch,
    /// Not reserved.
    Rejected(&'static str),
}

/// Sealed entries, in the order of their identities.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SealedSegment {
    link: journal::Link,
    entries: Vec<Entry>,
}

/// State of a shard.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Table {
    open: Vec<Entry>,
    open_bytes: usize,
    segments: Vec<SealedSegment>,
    horizon: Millis,
}

impl Table {
    /// Table from a head and its segments, in the head's order.
    ///
    /// # Errors
    /// Names the field of an entry that can't be understood.
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

    /// Fills the fields of a head that depend on the operations.
    pub fn fill_head(&self, head: &mut journal::Head) {
        head.horizon = self.horizon;
        head.segments = self.segments.iter().map(|s| s.link.clone()).collect();
        head.entries = encode(&self.open);
    }

    /// Operations that the table knows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.len() + self.segments.iter().map(|s| s.entries.len()).sum::<usize>()
    }

    /// Whether the table knows no operation.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Segments that the table refers to.
    #[must_use]
    pub fn segment_count(&self) -> usize {
        self.segments.len()
    }

    /// Reserves an operation at `now`. Reserving again with the same attempt
    /// gives the same answer.
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
                return Decision::Rejected("the time in the idempotency key lies in the future");
            }
        }
        if self.open_bytes > MAX_OPEN_BYTES || self.intent_bytes() > MAX_INTENT_BYTES {
            return Decision::Rejected("the shard has too many operations that are not sealed");
        }
        self.insert(Entry {
            id: request.id,
            fingerprint: request.fingerprint,
            // A forgotten entry raises the horizon to this time, which must
            // cover the time in the key even if the caller's clock is ahead.
            reserved_at: now.max(request.key_time.unwrap_or_default()),
            state: State::Intent {
                attempt: request.attempt,
                deadline: now + request.timeout_ms,
            },
        });
        Decision::Fresh
    }

    /// Ends an attempt; false when the attempt holds no permit.
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

    /// Forgets what is older than the retention, and the oldest segment when
    /// there are too many. Returns the names of the forgotten segments.
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

    /// The next segment to seal, or `None` while the open part is small.
    #[must_use]
    pub fn next_segment(&self, now: Millis) -> Option<PendingSegment> {
        if self.open_bytes <= SEGMENT_BYTES {
            return None;
        }
        let mut chosen: Vec<&Entry> = self.open.iter().filter(|e| e.is_final(now)).collect();
        chosen.sort_unstable_by_key(|e| (e.reserved_at, e.id));
        let mut bytes = 0;
        let fits = |e: &&&Entry| {
            bytes += e.stored_size();
            bytes <= SEGMENT_BYTES
        };
        let mut entries: Vec<Entry> = chosen
            .iter()
            .take_while(fits)
            .map(|e| e.finalized())
            .collect();
        // A segment costs two writes, so one with few entries is not worth it.
        if entries.iter().map(Entry::stored_size).sum::<usize>() < SEGMENT_BYTES / 4 {
            return None;
        }
        entries.sort_unstable_by_key(|e| e.id);
        Some(PendingSegment { entries })
    }

    /// Moves the entries of a segment that was written out of the open part.
    pub fn commit_segment(&mut self, pending: PendingSegment, name: String) {
        let newest = pending.newest();
        for entry in &pending.entries {
            // An outcome that arrived during the write stays in the open part,
            // which comes before the segments.
            if find_sorted(&self.open, entry.id).is_some_and(|e| e.finalized() == *entry) {
                self.remove(entry.id);
            }
        }
        self.segments.push(SealedSegment {
            link: journal::Link { name, newest },
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
        // Bounds the sum from above while the open part is small.
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

/// Entries chosen for a segment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PendingSegment {
    entries: Vec<Entry>,
}

impl PendingSegment {
    /// Specification of the segment.
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

    /// Size as stored: base64 takes 4 bytes for 3; a message has 4 bytes of framing.
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
        let reason = format!("an identifier has {} instead of 16 bytes", bytes.len());
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
