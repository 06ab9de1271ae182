//! Which data centres the homes of a request permit.
//!
//! Load pattern: the operator adds or removes regions while requests of the route or account wait
//! for a slot, a connection or another target. Each placement therefore applies the newest
//! configuration together with the one under which the request was accepted: the request leaves
//! neither the regions that its caller relies on nor those that hold now.

use std::ptr;

use crate::fleet::{Config, Route};

/// Attempts without a connection after which a request with homes is refused. If the link to the
/// region is cut, each attempt takes the whole connect timeout, and no target elsewhere may serve
/// the request.
pub const MAX_UNREACHABLE: u32 = 2;

/// What a request belongs to, which decides its homes.
#[derive(Clone, Copy, Debug)]
pub struct Owner<'a> {
    /// Configuration under which the request was accepted.
    pub config: &'a Config,
    /// Route of the request in `config`.
    pub route: &'a Route,
    /// Name of the caller's account, if the route requires one.
    pub account: Option<&'a str>,
}

impl<'a> Owner<'a> {
    /// Returns the data centres that may serve the request, `None` if all may. `newest` is the
    /// newest configuration, and `centers` the pairs of data centre and region.
    ///
    /// ```
    /// use corianderramp::fleet::{Config, Route};
    /// use corianderramp::place::homes::Owner;
    ///
    /// let centers = [("a".to_owned(), "north".to_owned()), ("b".to_owned(), "south".to_owned())];
    /// let config = Config::default();
    /// let mut route = Route::default();
    /// let owner = Owner { config: &config, route: &route, account: None };
    /// assert_eq!(owner.data_centers(&config, &centers), None);
    /// route.homes = Some(vec!["south".to_owned()]);
    /// let owner = Owner { config: &config, route: &route, account: None };
    /// assert_eq!(owner.data_centers(&config, &centers), Some(vec!["b".to_owned()]));
    /// ```
    #[must_use]
    pub fn data_centers(
        &self,
        newest: &Config,
        centers: &[(String, String)],
    ) -> Option<Vec<String>> {
        let mut lists: Vec<&[String]> = Vec::new();
        lists.extend(self.route.homes.as_deref());
        lists.extend(self.account_homes(self.config));
        if !ptr::eq(newest, self.config) {
            lists.extend(self.find_route(newest).and_then(|r| r.homes.as_deref()));
            lists.extend(self.account_homes(newest));
        }
        if lists.is_empty() {
            return None;
        }
        let is_permitted = |region: &String| lists.iter().all(|l| l.binary_search(region).is_ok());
        let permitted = centers.iter().filter(|(_, region)| is_permitted(region));
        Some(permitted.map(|(center, _)| center.clone()).collect())
    }

    /// Lists of regions of the account in `config`.
    fn account_homes<'c>(&self, config: &'c Config) -> impl Iterator<Item = &'c [String]>
    where
        'a: 'c,
    {
        let account = self.account;
        let accounts = config.accounts.iter();
        let same = accounts.filter(move |a| Some(a.name.as_str()) == account);
        same.filter_map(|a| a.homes.as_deref())
    }

    /// Finds the route of the same name in `config`; among several, the one for the same requests.
    fn find_route<'c>(&self, config: &'c Config) -> Option<&'c Route> {
        let same = config.routes.iter().filter(|r| r.name == self.route.name);
        same.max_by_key(|r| (&r.host, &r.prefix) == (&self.route.host, &self.route.prefix))
    }
}
