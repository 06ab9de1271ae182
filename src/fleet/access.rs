//! Who may use the routes of a configuration.

use serde::{Deserialize, Serialize};

use crate::fleet::{Account, Config};

/// What a configuration says of API keys.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Access {
    /// It has no list of accounts, so that requests need no key.
    Open,
    /// It has a list of accounts, which may be empty: requests need a key that is in it.
    Keyed,
    /// Which keys there are is not known in full: a part of the list can't be read, or the
    /// configuration came from a relay of an earlier version, which does not tell an empty list
    /// from a missing one.
    #[default]
    Unknown,
}

/// Why a request may not use a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denied {
    /// No account has its key.
    UnknownKey,
    /// No account that is known has its key, and there may be others.
    Undecided,
}

impl Config {
    /// Returns the account for a request with an API key; `None` if the request needs none.
    ///
    /// # Errors
    /// Fails when the request needs the key of an account and has none.
    ///
    /// ```
    /// use corianderramp::fleet::Config;
    /// use corianderramp::fleet::access::{Access, Denied};
    ///
    /// let config = |access| Config { access, ..Config::default() };
    /// assert_eq!(config(Access::Open).authenticate(false, None), Ok(None));
    /// assert_eq!(config(Access::Keyed).authenticate(false, Some("k")), Err(Denied::UnknownKey));
    /// assert_eq!(config(Access::Keyed).authenticate(true, None), Ok(None));
    /// assert_eq!(config(Access::Unknown).authenticate(false, None), Err(Denied::Undecided));
    /// ```
    pub fn authenticate(
        &self,
        is_public: bool,
        key: Option<&str>,
    ) -> Result<Option<&Account>, Denied> {
        if is_public || self.access == Access::Open {
            return Ok(None);
        }
        match key.and_then(|k| self.account(k)) {
            Some(account) => Ok(Some(account)),
            None if self.access == Access::Keyed => Err(Denied::UnknownKey),
            None => Err(Denied::Undecided),
        }
    }
}
