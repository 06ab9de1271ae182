//! What a gateway reads in the headers of a target's answer, and writes in those of its own.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use corianderramp::platform::request;
use http::{HeaderMap, HeaderValue};

/// A wait in a form that the platform's pages don't allow must not close a target, and a proper one
/// must not be lost beside it.
#[test]
fn only_decimal_seconds_count_as_a_wait() {
    let seconds = Duration::from_secs_f64;
    for (values, expected) in [
        (&["2.5"][..], Some(seconds(2.5))),
        (&[" 3 "], Some(seconds(3.0))),
        (&["0"], Some(Duration::ZERO)),
        (&["0.004"], Some(seconds(0.004))),
        (&["1", "4", "2"], Some(seconds(4.0))),
        (&["soon", "0.7"], Some(seconds(0.7))),
        (&["99999999999999999999999"], Some(Duration::MAX)),
        (&["Fri, 31 Dec 2027 23:59:59 GMT"], None),
        (&["-1"], None),
        (&["+1"], None),
        (&["1e3"], None),
        (&["inf"], None),
        (&["NaN"], None),
        (&["1.2.3"], None),
        (&["1, 2"], None),
        (&["."], None),
        (&[""], None),
        (&["\u{fc}ber"], None),
        (&[], None),
    ] {
        let mut headers = HeaderMap::new();
        for value in values {
            let value = HeaderValue::from_bytes(value.as_bytes()).unwrap();
            headers.append("retry-after", value);
        }
        assert_eq!(request::requested_wait(&headers), expected, "{values:?}");
    }
}

/// Callers that come back a few milliseconds before a target may be asked are refused again.
#[test]
fn retry_time_is_rounded_up() {
    let mut headers = HeaderMap::new();
    for (nanos, text) in [
        (0, "0.00"),
        (1, "0.01"),
        (290_000_000, "0.29"),
        (2_500_000_001, "2.51"),
    ] {
        request::retry_after(&mut headers, Duration::from_nanos(nanos));
        assert_eq!(headers["retry-after"], text);
    }
}

/// Any other word than `1` is no word that the target leaves.
#[test]
fn only_one_says_that_a_target_leaves() {
    for (value, expected) in [("1", true), (" 1 ", true), ("0", false), ("true", false)] {
        let mut headers = HeaderMap::new();
        headers.insert("server-leaving", value.parse().unwrap());
        assert_eq!(request::is_leaving(&headers), expected, "{value}");
    }
}
