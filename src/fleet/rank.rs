//! Ranks of requests: any number from 0 on, of which 0 is the most urgent.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};
use serde_json::Number;
use snafu::Snafu;

/// Units of the fraction of a rank.
const FRACTIONS: f64 = 1e9;

/// A number that is no rank.
#[derive(Debug, Snafu)]
#[snafu(display("the rank {number} is below 0"))]
pub struct Error {
    number: Number,
}

/// Rank of a request. Ranks of any size keep their order, also between nodes.
///
/// ```
/// use corianderramp::fleet::rank::Rank;
///
/// let rank = |text: &str| serde_json::from_str::<Rank>(text).unwrap();
/// assert_eq!(rank("3.0"), Rank::new(3));
/// let ranks = ["0", "2.5", "3", "255", "256", "70000", "1e20", "1e300"].map(rank);
/// assert!(ranks.is_sorted_by(|a, b| a < b));
/// assert!(ranks.iter().all(|r| *r < Rank::LAST));
/// ```
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "Encoded", into = "Encoded")]
pub struct Rank {
    whole: u64,
    /// Fraction in billionths; beyond the largest whole number, the bits of the rank as a double,
    /// which are in the same order as the numbers.
    rest: u64,
}

/// Serialized form. The pair gives back exactly what a number in JSON may round.
#[derive(Deserialize, Serialize)]
#[serde(untagged)]
enum Encoded {
    Number(Number),
    Pair(u64, u64),
}

impl Rank {
    /// Rank behind all others, of requests for which none is stated.
    pub const LAST: Self = Self {
        whole: u64::MAX,
        rest: u64::MAX,
    };

    /// Creates a rank from a whole number.
    #[must_use]
    pub const fn new(whole: u64) -> Self {
        Self { whole, rest: 0 }
    }

    /// Creates a rank from its parts as [`Self::parts`] returns them.
    #[must_use]
    pub const fn from_parts(whole: u64, rest: u64) -> Self {
        Self { whole, rest }
    }

    /// Whole part of the rank, and what orders ranks with the same whole part.
    #[must_use]
    pub const fn parts(self) -> (u64, u64) {
        (self.whole, self.rest)
    }
}

impl TryFrom<Number> for Rank {
    type Error = Error;

    // The conversions round down numbers that are checked to be in range.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    fn try_from(number: Number) -> Result<Self, Error> {
        if let Some(whole) = number.as_u64() {
            return Ok(Self::new(whole));
        }
        let Some(rank) = number.as_f64().filter(|n| *n >= 0.0) else {
            return Err(Error { number });
        };
        Ok(match rank.partial_cmp(&(u64::MAX as f64)) {
            Some(Ordering::Less) => Self {
                whole: rank as u64,
                rest: (rank.fract() * FRACTIONS) as u64,
            },
            _ => Self {
                whole: u64::MAX,
                rest: rank.to_bits(),
            },
        })
    }
}

impl TryFrom<Encoded> for Rank {
    type Error = Error;

    fn try_from(encoded: Encoded) -> Result<Self, Error> {
        match encoded {
            Encoded::Number(number) => Self::try_from(number),
            Encoded::Pair(whole, rest) => Ok(Self { whole, rest }),
        }
    }
}

impl From<Rank> for Encoded {
    fn from(rank: Rank) -> Self {
        if rank.rest == 0 {
            Self::Number(rank.whole.into())
        } else {
            Self::Pair(rank.whole, rank.rest)
        }
    }
}
