//! Identities of operations and attempts.

use rand::RngExt;
use xxhash_rust::xxh3;

use super::{Operation, Receipt};
use crate::digest;

/// Milliseconds since 1970.
pub type Millis = u64;

/// Identity of an operation: the first 128 bits of a SHA-256 digest.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id(pub u128);

/// One try to run an operation.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Attempt(pub u128);

/// What a shard needs to know to reserve an operation.
#[derive(Clone, Debug)]
pub struct ReserveRequest {
    /// Identity of the operation.
    pub id: Id,
    /// First 128 bits of the fingerprint.
    pub fingerprint: u128,
    /// Attempt that asks.
    pub attempt: Attempt,
    /// Time left to the attempt, milliseconds.
    pub timeout_ms: u64,
    /// Time that the key carries, if it is a version 7 UUID.
    pub key_time: Option<Millis>,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum Finish {
    /// The operation ran.
    Complete(Receipt),
    /// The operation certainly did not run.
    Abort,
}

impl Attempt {
    /// A new random attempt.
    #[must_use]
    pub fn new() -> Self {
        Self(rand::rng().random())
    }

    /// Reads the hexadecimal form.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        u128::from_str_radix(text, 16).ok().map(Self)
    }

    /// The hexadecimal form.
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

/// Identity of the operation with this account, service and key.
#[must_use]
pub fn operation_id(operation: &Operation) -> Id {
    let parts = [
        operation.account.as_bytes(),
        operation.service.as_bytes(),
        operation.key.as_bytes(),
    ];
    Id(truncate_digest(&digest::Digest::of_parts(&parts)))
}

/// First 128 bits of a digest.
#[must_use]
pub fn truncate_digest(digest: &digest::Digest) -> u128 {
    let mut first = [0; 16];
    first.copy_from_slice(&digest.as_bytes()[..16]);
    u128::from_be_bytes(first)
}

/// Shard of an operation.
#[must_use]
pub fn shard(id: Id, shards: u16) -> u16 {
    let hash = xxh3::xxh3_64(&id.0.to_be_bytes());
    u16::try_from(hash % u64::from(shards.max(1))).unwrap_or_default()
}

/// Time in a version 7 UUID, or `None` for any other key.
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
    let shaped = lengths == [8, 4, 4, 4, 12] || lengths == [32];
    if !hexadecimal || !shaped || digits.as_bytes()[12] != b'7' {
        return None;
    }
    Millis::from_str_radix(&digits[..12], 16).ok()
}
