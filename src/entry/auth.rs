//! API keys and their accounts, rebuilt when the configuration changes.

use std::sync::Arc;

use crate::config;
use crate::digest::Digest;
use crate::resource::Object;
use crate::resource::account::Account;

/// Accounts by the digests of their API keys.
#[derive(Debug, Default)]
pub struct ApiKeys {
    /// Sorted by digest.
    accounts: Vec<(Digest, Arc<Object<Account>>)>,
}

impl ApiKeys {
    /// Collects the keys of all accounts in `view`.
    #[must_use]
    pub fn new(view: &config::View) -> Self {
        let pairs = view
            .accounts
            .iter()
            .flat_map(|a| a.spec.keys.iter().flatten().map(move |k| (*k, a.clone())));
        let mut accounts: Vec<_> = pairs.collect();
        accounts.sort_unstable_by_key(|(digest, _)| *digest);
        Self { accounts }
    }

    /// Returns the account of a bearer token, given the value of the
    /// `authorization` header; `None` if no account has the key.
    #[must_use]
    pub fn account(&self, authorization: &str) -> Option<Arc<Object<Account>>> {
        let (scheme, key) = authorization.split_once(' ')?;
        if !scheme.eq_ignore_ascii_case("bearer") {
            return None;
        }
        let digest = Digest::of(key.trim().as_bytes());
        let found = self
            .accounts
            .binary_search_by_key(&digest, |(d, _)| *d)
            .ok()?;
        Some(self.accounts[found].1.clone())
    }
}
