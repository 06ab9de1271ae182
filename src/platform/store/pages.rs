//! Continues a list that the store returns page by page, after the last name of each page.
//!
//! Load pattern: all nodes start while the list is longer than a page, and a page ends with the entry
//! of another writer. Its name may hold any character. A node without the targets serves nothing.

use crate::net::uri;
use crate::platform::store::Object;

/// Path of the page of objects of `kind` whose names follow `after`.
pub fn path(kind: &str, options: &str, after: Option<&str>) -> String {
    match after {
        Some(name) => format!("/objects/{kind}?{options}&after={}", uri::escape(name)),
        None => format!("/objects/{kind}?{options}"),
    }
}

/// Name that the next page follows, from the `items` of the page that follows `after`.
///
/// # Errors
/// Fails when no name on the page can be read, or when the next page would be the same.
pub fn next(items: &[Object], after: Option<&str>) -> Result<String, serde_json::Error> {
    let last = items.last().map(|object| object.meta.name.as_str());
    let reason = match last {
        None => "no entry of the page can be read",
        Some(_) if last == after => "the page ends where the one before it ended",
        Some(name) => return Ok(name.to_owned()),
    };
    Err(serde::de::Error::custom(reason))
}

#[cfg(test)]
#[path = "pages_test.rs"]
mod test;
