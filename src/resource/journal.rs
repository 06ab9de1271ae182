//! Stored form of the at-most-once journal: the head and the sealed segments of each shard.

use std::net::SocketAddr;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use prost::Message;
use serde::{Deserialize, Serialize};

use super::{Invalid, Kind, Resource};

/// First component of the object names of heads.
const HEAD: &str = "head";
/// First component of the object names of segments.
const SEGMENT: &str = "segment";

/// Process that owns a shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// Name of the VM of the process.
    pub vm: String,
    /// Identifier of the process, different after each restart.
    pub boot: String,
    /// Wall-clock start time of the process, milliseconds since the Unix epoch; orders
    /// successive processes of a VM.
    pub started: u64,
    /// Control address of the process.
    pub address: SocketAddr,
}

/// Reference from a head to a sealed segment.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SegmentRef {
    /// Name of the segment's object.
    pub name: String,
    /// Newest reservation time in the segment, milliseconds since the Unix epoch.
    pub newest: u64,
}

/// Head of a shard: its owner, its unsealed entries and references to its sealed segments.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Head {
    /// Owner; absent when no process owns the shard.
    pub owner: Option<Owner>,
    /// Incremented at each change of the owner.
    pub epoch: u64,
    /// Whether the owner may continue from memory while the platform is unreachable.
    pub offline: bool,
    /// Newest reservation time among the pruned entries, milliseconds since the Unix
    /// epoch. An operation whose key has a timestamp up to this time may already have run.
    pub horizon: u64,
    /// Sealed segments, oldest first.
    pub segments: Vec<SegmentRef>,
    /// Entries that are not sealed yet.
    pub entries: Entries,
}

/// Sealed segment of a shard; immutable once written.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Segment {
    /// Entries with a final outcome.
    pub entries: Entries,
}

/// Entries encoded as a protocol buffer message in base64, which takes a third of the
/// size of JSON objects.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Entries(String);

/// Stored form of one operation.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct Entry {
    /// Identifier: the first 16 bytes of the digest of account, service and key.
    #[prost(bytes = "vec", tag = "1")]
    pub id: Vec<u8>,
    /// First 16 bytes of the request's fingerprint.
    #[prost(bytes = "vec", tag = "2")]
    pub fingerprint: Vec<u8>,
    /// Time of the reservation, milliseconds since the Unix epoch.
    #[prost(uint64, tag = "3")]
    pub at: u64,
    /// Identifier of the attempt that may run the operation, 16 bytes; intents only.
    #[prost(bytes = "vec", tag = "4")]
    pub attempt: Vec<u8>,
    /// Deadline of the attempt, milliseconds since the Unix epoch; intents only.
    #[prost(uint64, tag = "5")]
    pub deadline: u64,
    /// HTTP status in the receipt; 0 if the operation has no receipt.
    #[prost(uint32, tag = "6")]
    pub status: u32,
    /// Content type of the receipt.
    #[prost(string, tag = "7")]
    pub content_type: String,
    /// Body of the receipt.
    #[prost(bytes = "bytes", tag = "8")]
    pub body: bytes::Bytes,
    /// Whether the receipt's body was too large to store.
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
    /// Fails if the text is not base64 or not a valid message.
    pub fn decode(&self) -> Result<Vec<Entry>, Invalid> {
        let bytes = STANDARD_NO_PAD
            .decode(&self.0)
            .map_err(|e| Invalid::new("spec.entries", e.to_string()))?;
        let batch = Batch::decode(bytes.as_slice())
            .map_err(|e| Invalid::new("spec.entries", e.to_string()))?;
        Ok(batch.entries)
    }

    /// Encoded size, bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.0.len()
    }
}

/// Object name of the head of `shard`.
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

/// Common prefix of the object names of all segments of `shard`.
#[must_use]
pub fn segment_prefix(shard: u16) -> String {
    format!("{SEGMENT}.{shard}.")
}

/// Object name of a segment. It contains the epoch, so that successive owners never
/// write to the same segment.
#[must_use]
pub fn segment_name(shard: u16, epoch: u64, number: u64) -> String {
    format!("{SEGMENT}.{shard}.{epoch}.{number}")
}

/// Parses the epoch from the object name of a segment; `None` if it has none.
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
