//! Accounts by key, rebuilt when the configuration changes.

use std::sync::Arc;

use crate::config;
use crate::digest::Digest;
use crate::resource::Object;
use crate::resource::account::Account;

/// Accounts by the digests of their keys.
#[derive(Debug, Default)]
pub struct Index {
    /// Sorted by digest.
    keys: Vec<(Digest, Arc<Object<Account>>)>,
}

impl Index {
    /// Index of the accounts in `view`.
    #[must_use]
    pub fn new(view: &config::View) -> Self {
        let pairs = view
            .accounts
            .iter()
            .flat_map(|a| a.spec.keys.iter().map(move |k| (*k, a.clone())));
        let mut keys: Vec<_> = pairs.collect();
        keys.sort_unstable_by_key(|(digest, _)| *digest);
        Self { keys }
    }

    /// Account of the value of an `authorization` header.
    #[must_use]
    pub fn account(&self, authorization: &str) -> Option<Arc<Object<Account>>> {
        let (scheme, key) = authorization.split_once(' ')?;
        if !scheme.eq_ignore_ascii_case("bearer") {
            return None;
        }
        let digest = Digest::of(key.trim().as_bytes());
        let found = self.keys.binary_search_by_key(&digest, |(d, _)| *d).ok()?;
        Some(self.keys[found].1.clone())
    }
}
