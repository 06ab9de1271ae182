//! SHA-256 digests of chunks, request bodies and keys.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use snafu::Snafu;

/// Length of a digest in bytes.
pub const LENGTH: usize = 32;

/// A SHA-256 digest, formatted as 64 lower-case hexadecimal digits.
///
/// ```
/// use corianderramp::digest;
///
/// let digest = digest::Digest::of(b"abc");
/// assert!(digest.to_string().starts_with("ba7816bf"));
/// assert_eq!(digest.to_string().parse(), Ok(digest));
/// ```
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; LENGTH]);

/// Error for text or bytes that are not a SHA-256 digest.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("not a SHA-256 digest of 64 hexadecimal digits: {text:?}"))]
pub struct ParseError {
    text: String,
}

impl Digest {
    /// Computes the digest of `data`.
    #[must_use]
    pub fn of(data: &[u8]) -> Self {
        Self(Sha256::digest(data).into())
    }

    /// Computes the digest of `parts`, each prefixed with its length, so that different
    /// splits of the same bytes have different digests.
    #[must_use]
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }

    /// Creates a digest from its 32 raw bytes.
    ///
    /// # Errors
    /// Fails when `bytes` is not 32 bytes long.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, ParseError> {
        let array = bytes.try_into().map_err(|_| ParseError {
            text: format!("{} bytes", bytes.len()),
        })?;
        Ok(Self(array))
    }

    /// Returns the 32 raw bytes.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; LENGTH] {
        &self.0
    }
}

impl FromStr for Digest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let invalid = || ParseError {
            text: text.chars().take(80).collect(),
        };
        if text.len() != LENGTH * 2 || !text.is_ascii() {
            return Err(invalid());
        }
        let mut bytes = [0; LENGTH];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[i * 2..i * 2 + 2], 16).map_err(|_| invalid())?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Digest {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
