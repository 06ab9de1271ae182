//! Heads and sealed segments of the at-most-once journal.

use std::net::SocketAddr;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use prost::Message;
use serde::{Deserialize, Serialize};

use super::{Invalid, Kind, Resource};

/// First part of the name of a shard's head.
const HEAD: &str = "head";
/// First part of the name of a segment.
const SEGMENT: &str = "segment";

/// Process that owns a shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// Name of its VM.
    pub vm: String,
    /// Incarnation of the process.
    pub boot: String,
    /// Wall-clock start of the process, milliseconds since 1970; orders the
    /// processes of one VM.
    pub started: u64,
    /// Control address.
    pub address: SocketAddr,
}

/// A sealed segment that belongs to a shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Name of the segment's object.
    pub name: String,
    /// Newest time in the segment, milliseconds since 1970.
    pub newest: u64,
}

/// Head of a shard: who owns it, its open part and its sealed segments.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Head {
    /// Owner; absent when no process owns the shard.
    pub owner: Option<Owner>,
    /// Raised at each change of the owner.
    pub epoch: u64,
    /// Whether the owner may go on from memory without the platform.
    pub offline: bool,
    /// Newest time that was forgotten, milliseconds since 1970; a key that
    /// carries an older time may have run.
    pub horizon: u64,
    /// Sealed segments, oldest first.
    pub segments: Vec<Link>,
    /// Open part.
    pub entries: Entries,
}

/// Sealed part of a shard; written once, never changed.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Segment {
    /// Entries with a final outcome.
    pub entries: Entries,
}

/// Entries in the form in which they are stored: protocol buffer messages,
/// in base64, a third of the size of JSON objects.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Entries(String);

/// One operation as it is stored.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct Entry {
    /// Identity: the first 16 bytes of a digest of account, service and key.
    #[prost(bytes = "vec", tag = "1")]
    pub id: Vec<u8>,
    /// First 16 bytes of the request's fingerprint.
    #[prost(bytes = "vec", tag = "2")]
    pub fingerprint: Vec<u8>,
    /// Time of the reservation, milliseconds since 1970.
    #[prost(uint64, tag = "3")]
    pub at: u64,
    /// Attempt that holds the permit, 16 bytes; present in intents only.
    #[prost(bytes = "vec", tag = "4")]
    pub attempt: Vec<u8>,
    /// End of the attempt, milliseconds since 1970; present in intents only.
    #[prost(uint64, tag = "5")]
    pub deadline: u64,
    /// Status of the receipt; 0 when the operation has none.
    #[prost(uint32, tag = "6")]
    pub status: u32,
    /// Content type of the receipt.
    #[prost(string, tag = "7")]
    pub content_type: String,
    /// Body of the receipt.
    #[prost(bytes = "bytes", tag = "8")]
    pub body: bytes::Bytes,
    /// Whether the receipt's body was too large to keep.
    #[prost(bool, tag = "9")]
    pub truncated: bool,
}

#[derive(Clone, Eq, Message, PartialEq)]
struct Batch {
    #[prost(message, repeated, tag = "1")]
    entries: Vec<Entry>,
}

impl Entries {
    /// Encodes entries.
    #[must_use]
    pub fn encode(entries: Vec<Entry>) -> Self {
        Self(STANDARD_NO_PAD.encode(Batch { entries }.encode_to_vec()))
    }

    /// Decodes the entries.
    ///
    /// # Errors
    /// Says what is malformed.
    pub fn decode(&self) -> Result<Vec<Entry>, Invalid> {
        let bytes = STANDARD_NO_PAD
            .decode(&self.0)
            .map_err(|e| Invalid::new("spec.entries", e.to_string()))?;
        let batch = Batch::decode(bytes.as_slice())
            .map_err(|e| Invalid::new("spec.entries", e.to_string()))?;
        Ok(batch.entries)
    }

    /// Size as stored, bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.0.len()
    }
}

/// Name of the head of `shard`.
///
/// ```
/// use corianderramp::resource::journal;
///
/// assert_eq!(journal::head_name(3), "head.3");
/// ```
#[must_use]
pub fn head_name(shard: u16) -> String {
    format!("{HEAD}.{shard}")
}

/// Prefix of the names of all segments of `shard`.
#[must_use]
pub fn segment_prefix(shard: u16) -> String {
    format!("{SEGMENT}.{shard}.")
}

/// Name of a segment. The epoch makes it unique to one owner.
#[must_use]
pub fn segment_name(shard: u16, epoch: u64, number: u64) -> String {
    format!("{SEGMENT}.{shard}.{epoch}.{number}")
}

/// Epoch in the name of a segment.
#[must_use]
pub fn segment_epoch(name: &str) -> Option<u64> {
    name.split('.').nth(2)?.parse().ok()
}

impl Resource for Head {
    const KIND: Kind = Kind::Journal;

    fn validate(&self) -> Result<(), Invalid> {
        self.entries.decode().map(drop)
    }
}

impl Resource for Segment {
    const KIND: Kind = Kind::Journal;

    fn validate(&self) -> Result<(), Invalid> {
        self.entries.decode().map(drop)
    }
}
