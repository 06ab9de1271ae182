//! Identifiers of operations and attempts.

use rand::RngExt;
use xxhash_rust::xxh3;

use super::{Operation, Receipt};
use crate::digest;

/// Wall-clock time, milliseconds since 1970.
pub type Millis = u64;

/// Identifier of an operation: first 128 bits of the SHA-256 digest of account,
/// service and key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id(pub u128);

/// Random identifier of one attempt to run an operation.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Attempt(pub u128);

/// Request to reserve an operation.
#[derive(Clone, Debug)]
pub struct ReserveRequest {
    /// Operation.
    pub id: Id,
    /// First 128 bits of the request's fingerprint.
    pub fingerprint: u128,
    /// Attempt that reserves the operation.
    pub attempt: Attempt,
    /// Time until the deadline of the attempt, milliseconds.
    pub timeout_ms: u64,
    /// Timestamp in the idempotency key if it is a version 7 UUID.
    pub key_time: Option<Millis>,
}

/// Outcome of an attempt.
#[derive(Clone, Debug)]
pub enum Finish {
    /// The operation ran.
    Complete(Receipt),
    /// The operation certainly did not run.
    Abort,
}

impl Attempt {
    /// Generates a random identifier.
    #[must_use]
    pub fn new() -> Self {
        Self(rand::rng().random())
    }

    /// Parses the hexadecimal form; `None` if it is malformed.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        u128::from_str_radix(text, 16).ok().map(Self)
    }

    /// Formats the identifier as 32 hexadecimal digits.
    #[must_use]
    pub fn to_hex(self) -> String {
        format!("{:032x}", self.0)
    }
}

impl Default for Attempt {
    fn default() -> Self {
        Self::new()
    }
}

/// Computes the identifier of an operation from its account, service and key.
#[must_use]
pub fn operation_id(operation: &Operation) -> Id {
    let parts = [
        operation.account.as_bytes(),
        operation.service.as_bytes(),
        operation.key.as_bytes(),
    ];
    Id(truncate_digest(&digest::Digest::of_parts(&parts)))
}

/// Returns the first 128 bits of a digest.
#[must_use]
pub fn truncate_digest(digest: &digest::Digest) -> u128 {
    let mut first = [0; 16];
    first.copy_from_slice(&digest.as_bytes()[..16]);
    u128::from_be_bytes(first)
}

/// Returns the shard, out of `shards`, that stores an operation.
#[must_use]
pub fn shard(id: Id, shards: u16) -> u16 {
    let hash = xxh3::xxh3_64(&id.0.to_be_bytes());
    u16::try_from(hash % u64::from(shards.max(1))).unwrap_or_default()
}

/// Returns the timestamp in a version 7 UUID, or `None` for any other key.
///
/// ```
/// use corianderramp::journal::key;
///
/// assert_eq!(key::uuid_time("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"), Some(1_645_557_742_000));
/// assert_eq!(key::uuid_time("9b1deb4d-3b7d-4bad-9bdd-2b0d7b3dcb6d"), None);
/// assert_eq!(key::uuid_time("order 7"), None);
/// ```
#[must_use]
pub fn uuid_time(key: &str) -> Option<Millis> {
    let groups: Vec<&str> = key.split('-').collect();
    let lengths: Vec<usize> = groups.iter().map(|g| g.len()).collect();
    let digits: String = groups.concat();
    let hexadecimal = digits.bytes().all(|b| b.is_ascii_hexdigit());
    let valid_length = lengths == [8, 4, 4, 4, 12] || lengths == [32];
    if !hexadecimal || !valid_length || digits.as_bytes()[12] != b'7' {
        return None;
    }
    Millis::from_str_radix(&digits[..12], 16).ok()
}
