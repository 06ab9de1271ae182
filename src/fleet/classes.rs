//! Classes of ranks that engines tell apart.
//!
//! Load pattern: the operator numbers the ranks in steps of ten or from a thousand on. An engine
//! has room for a few classes only; if each rank beyond these were the last class, nothing would
//! be left of the order.

use crate::fleet::Config;
use crate::fleet::rank::Rank;

/// Number of classes; 0 is the most urgent.
pub const COUNT: u8 = 5;

/// Classes of the ranks of a configuration. Ranks below the number of classes are their own class
/// as far as the order of the others allows.
///
/// ```
/// use corianderramp::fleet::classes::Classes;
/// use corianderramp::fleet::rank::Rank;
///
/// let classes = Classes::new([1, 2].map(Rank::new).into());
/// assert_eq!([0, 1, 2, 300].map(|r| classes.class(Rank::new(r))), [0, 1, 2, 4]);
/// let classes = Classes::new([300, 2, 400].map(Rank::new).into());
/// assert_eq!([2, 300, 350, 400].map(|r| classes.class(Rank::new(r))), [2, 3, 4, 4]);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Classes {
    /// Most urgent ranks in use with their classes, sorted.
    known: Vec<(Rank, u8)>,
}

impl Classes {
    /// Creates the classes for the ranks in use.
    #[must_use]
    pub fn new(mut ranks: Vec<Rank>) -> Self {
        ranks.sort_unstable();
        ranks.dedup();
        ranks.truncate(usize::from(COUNT));
        let mut known: Vec<(Rank, u8)> = ranks.into_iter().zip(0..COUNT).collect();
        let mut limit = COUNT;
        for (rank, class) in known.iter_mut().rev() {
            // The class so far is the number of more urgent ranks.
            limit = whole(*rank).max(*class).min(limit - 1);
            *class = limit;
        }
        Self { known }
    }

    /// Creates the classes for the ranks of a configuration.
    #[must_use]
    pub fn of(config: &Config) -> Self {
        let routes = config.routes.iter().map(|r| r.priority);
        let accounts = config.accounts.iter().filter_map(|a| a.priority);
        Self::new(routes.chain(accounts).collect())
    }

    /// Returns the class of a rank. Of two ranks, the more urgent one is never in a later class.
    #[must_use]
    pub fn class(&self, rank: Rank) -> u8 {
        let next = match self.known.binary_search_by_key(&rank, |(known, _)| *known) {
            Ok(index) => return self.known[index].1,
            Err(index) => index,
        };
        let first = next.checked_sub(1).map_or(0, |i| self.known[i].1);
        let last = self.known.get(next).map_or(COUNT - 1, |(_, class)| *class);
        whole(rank).clamp(first, last)
    }
}

/// Whole part of a rank, or the last class if it is beyond that.
fn whole(rank: Rank) -> u8 {
    let (whole, _) = rank.parts();
    u8::try_from(whole).map_or(COUNT - 1, |w| w.min(COUNT - 1))
}
