//! Rendezvous (highest random weight) hashing: all processes rank the same candidates for a
//! key in the same order, without coordination.

use xxhash_rust::xxh3;

/// Weight of `candidate` for `key`; the candidate with the highest weight ranks first.
#[must_use]
pub fn weight(key: &[u8], candidate: &str) -> u64 {
    xxh3::xxh3_64_with_seed(candidate.as_bytes(), xxh3::xxh3_64(key))
}

/// Candidates in descending order of weight for `key`. Removing a candidate keeps the order
/// of the others.
///
/// ```
/// use corianderramp::rendezvous;
///
/// let all = rendezvous::rank(b"chunk", ["a", "b", "c"]);
/// let without_first = rendezvous::rank(b"chunk", ["a", "b", "c"].into_iter().filter(|c| *c != all[0]));
/// assert_eq!(without_first, all[1..]);
/// ```
pub fn rank<'a>(key: &[u8], candidates: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = candidates
        .into_iter()
        .map(|c| (weight(key, c), c))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, c)| c).collect()
}

/// Candidate with the highest weight for `key`; `None` if there are no candidates.
pub fn first<'a>(key: &[u8], candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    candidates.into_iter().max_by_key(|c| (weight(key, c), *c))
}
