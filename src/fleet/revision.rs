//! Order of all states of the store: an era, then a revision within it.
//!
//! Load pattern: the store is away for a moment and comes back from a copy some seconds old. Its
//! revisions go back and are given out again for other changes, and it counts a new era. Old and
//! new answers arrive in any order, directly and over relays, so each revision carries its era:
//! it is composed of both when an answer of the store is decoded, and compared as one number from
//! there on. A store that counts no eras stays in era 0, where a composed revision is the store's.

/// Bits of a composed revision that hold the store's revision; the others hold the era.
const NUMBER_BITS: u32 = 40;
/// Largest revision of the store that can be composed.
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
/// Largest era that can be composed.
const MAX_ERA: u64 = u64::MAX >> NUMBER_BITS;

/// Composes a revision of an era, each limited to the largest value that fits.
///
/// ```
/// use corianderramp::fleet::revision;
///
/// let lost = revision::at(1, 90);
/// let next = revision::at(2, 7);
/// assert!(lost < next);
/// assert_eq!((revision::era(next), revision::number(next)), (2, 7));
/// ```
#[must_use]
pub fn at(era: u64, number: u64) -> u64 {
    era.min(MAX_ERA) << NUMBER_BITS | number.min(MAX_NUMBER)
}

/// Era of a composed revision.
#[must_use]
pub fn era(revision: u64) -> u64 {
    revision >> NUMBER_BITS
}

/// Revision of the store that a composed revision stands for.
#[must_use]
pub fn number(revision: u64) -> u64 {
    revision & MAX_NUMBER
}
