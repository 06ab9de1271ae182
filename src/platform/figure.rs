//! Figures in messages of the platform: numbers of any size, whole or with a decimal point.
//!
//! The platform states no bounds for most of its figures, so none is rejected for its size or its
//! notation. What no type of ours can hold becomes the largest value that it can.

use std::time::Duration;

use serde::{Deserialize, Deserializer};
use serde_json::Number;
use snafu::Snafu;

/// Longest time that is taken; a longer one makes no difference, and sums with it don't overflow.
const LONGEST_TIME: Duration = Duration::from_secs(30 * 24 * 60 * 60);

/// A number that is below 0 where only counts make sense.
#[derive(Debug, Snafu)]
#[snafu(display("{number} is below 0"))]
pub struct Negative {
    number: Number,
}

/// Number of things: any number from 0 on, rounded down.
///
/// ```
/// use corianderramp::platform::figure::Count;
///
/// let count = |text: &str| serde_json::from_str::<Count>(text);
/// assert_eq!(count("3.0").unwrap().to_u32(), 3);
/// assert_eq!(count("70000").unwrap().to_u32(), 70_000);
/// assert_eq!(count("1e30").unwrap().to_u64(), u64::MAX);
/// assert_eq!(count("1e30").unwrap().to_u32(), u32::MAX);
/// assert!(count("-1").is_err());
/// assert!(count("\"3\"").is_err());
/// ```
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(try_from = "Number")]
pub struct Count(u64);

impl Count {
    /// The count, or the largest number that fits.
    #[must_use]
    pub fn to_u32(self) -> u32 {
        u32::try_from(self.0).unwrap_or(u32::MAX)
    }

    /// The count.
    #[must_use]
    pub fn to_u64(self) -> u64 {
        self.0
    }

    /// The count, or the largest number that fits.
    #[must_use]
    pub fn to_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl TryFrom<Number> for Count {
    type Error = Negative;

    fn try_from(number: Number) -> Result<Self, Negative> {
        if let Some(whole) = number.as_u64() {
            return Ok(Self(whole));
        }
        match number.as_f64().filter(|n| *n >= 0.0) {
            // The conversion rounds down, and gives the largest value for numbers beyond it.
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            Some(number) => Ok(Self(number as u64)),
            None => Err(Negative { number }),
        }
    }
}

/// Deserializes a [`Count`] into a number.
///
/// # Errors
/// Fails when the value is no number or below 0.
pub fn whole<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    Count::deserialize(deserializer).map(Count::to_u64)
}

/// Converts milliseconds to a time; 0 if they are negative or no number.
///
/// ```
/// use std::time::Duration;
///
/// use corianderramp::platform::figure;
///
/// assert_eq!(figure::millis(2.5), Duration::from_micros(2_500));
/// assert_eq!(figure::millis(-1.0), Duration::ZERO);
/// assert_eq!(figure::millis(1e300), Duration::from_secs(30 * 24 * 60 * 60));
/// ```
#[must_use]
pub fn millis(ms: f64) -> Duration {
    if ms.is_nan() || ms <= 0.0 {
        return Duration::ZERO;
    }
    let time = Duration::try_from_secs_f64(ms / 1_000.0);
    time.unwrap_or(LONGEST_TIME).min(LONGEST_TIME)
}

/// Parses a whole number as headers have it; the largest one that fits if it is beyond that, `None`
/// if it is no number or below 0.
///
/// ```
/// use corianderramp::platform::figure;
///
/// assert_eq!(figure::count("1460"), Some(1_460));
/// assert_eq!(figure::count("1460.0"), Some(1_460));
/// assert_eq!(figure::count("99999999999999999999"), Some(u64::MAX));
/// assert_eq!(figure::count("-1"), None);
/// assert_eq!(figure::count("many"), None);
/// ```
#[must_use]
pub fn count(text: &str) -> Option<u64> {
    if let Ok(whole) = text.parse() {
        return Some(whole);
    }
    let is_number = |b: u8| b.is_ascii_digit() || b".eE+-".contains(&b);
    let number: f64 = text.parse().ok().filter(|_| text.bytes().all(is_number))?;
    // The conversion rounds down, and gives the largest value for numbers beyond it.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    (number >= 0.0).then_some(number as u64)
}
