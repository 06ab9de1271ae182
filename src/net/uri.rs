//! Escapes text in the paths and queries of requests.

use std::borrow::Cow;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode};

/// All characters that are not unreserved (RFC 3986, section 2.3).
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Escapes `text` for one segment of a path or one value of a query.
///
/// ```
/// use corianderramp::net::uri;
///
/// assert_eq!(uri::escape("i-7f3a.9").to_string(), "i-7f3a.9");
/// assert_eq!(uri::escape("50% a+b#c").to_string(), "50%25%20a%2Bb%23c");
/// ```
#[must_use]
pub fn escape(text: &str) -> PercentEncode<'_> {
    percent_encoding::utf8_percent_encode(text, RESERVED)
}

/// Text that [`escape`] wrote; `None` if it is not UTF-8.
///
/// ```
/// use corianderramp::net::uri;
///
/// assert_eq!(uri::unescape("50%25%20a%2Bb%23c").as_deref(), Some("50% a+b#c"));
/// assert_eq!(uri::unescape("%FF"), None);
/// ```
#[must_use]
pub fn unescape(text: &str) -> Option<Cow<'_, str>> {
    let decoded = percent_encoding::percent_decode_str(text);
    decoded.decode_utf8().ok()
}
