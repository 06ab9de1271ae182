//! Decoding of untrusted input: it must neither crash a node nor forge internal headers.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use corianderramp::node::message::{self, Body, HeldChunks};
use corianderramp::platform::decode;
use corianderramp::platform::request::{self, TargetHeaders};
use http::HeaderMap;
use proptest::prelude::*;

fn target_headers() -> TargetHeaders<'static> {
    TargetHeaders {
        id: "i-1",
        weights: None,
        account: Some("rounds"),
        timeout: Duration::from_millis(900),
        urgency: Some(1),
        last_event: None,
    }
}

/// Hop-by-hop headers must not be forwarded, and callers must not be able to set the headers
/// that only a gateway may set.
#[test]
fn gateway_headers_replace_those_of_the_caller() {
    let mut caller = HeaderMap::new();
    for (name, value) in [
        ("host", "a.example"),
        ("connection", "x-hop, keep-alive"),
        ("x-hop", "1"),
        ("transfer-encoding", "chunked"),
        ("content-length", "7"),
        ("expect", "100-continue"),
        ("api-key", "secret"),
        ("path", "10.0.0.1:80=0-16"),
        ("x-corianderramp-expect-instance", "i-666"),
        ("x-corianderramp-tenant", "somebody"),
        ("x-corianderramp-request-urgency", "0"),
        ("x-corianderramp-model", "m"),
        ("x-other", "kept"),
    ] {
        caller.append(name, value.parse().unwrap());
    }
    let sent = request::forward(&caller, &target_headers());
    for removed in [
        "connection",
        "x-hop",
        "transfer-encoding",
        "content-length",
        "expect",
        "api-key",
        "path",
    ] {
        assert!(!sent.contains_key(removed), "{removed}");
    }
    assert_eq!(sent["x-corianderramp-expect-instance"], "i-1");
    assert_eq!(sent["x-corianderramp-tenant"], "rounds");
    assert_eq!(sent["x-corianderramp-request-urgency"], "1");
    assert_eq!(sent["x-corianderramp-deadline-ms"], "900");
    assert_eq!(sent["x-corianderramp-model"], "m");
    assert_eq!(sent["x-other"], "kept");
}

/// An account name with characters that are invalid in a header must not be sent as the name
/// of another account.
#[test]
fn invalid_account_name_is_not_sent_as_another_account() {
    let target_headers = TargetHeaders {
        account: Some("a\r\nx: y"),
        ..target_headers()
    };
    let sent = request::forward(&HeaderMap::new(), &target_headers);
    assert_eq!(sent["x-corianderramp-tenant"], "?");
}

/// The bitmap of held chunks must decode to the same chunk indexes, also if the number of
/// chunks is not a multiple of eight.
#[test]
fn held_chunks_round_trip() {
    let held: Vec<bool> = (0..19).map(|i| i % 3 == 0).collect();
    let have = HeldChunks {
        model: "m".into(),
        version: 2,
        is_complete: false,
        bitmap: message::bitmap(&held),
        wants_reply: true,
        fetching: Vec::new(),
    };
    let bytes = message::encode(Body::HeldChunks(have));
    let Some(Body::HeldChunks(have)) = message::decode(&bytes) else {
        panic!("decoded a message of another kind");
    };
    let positions: Vec<usize> = have.held_indexes(19).collect();
    assert_eq!(positions, [0, 3, 6, 9, 12, 15, 18]);
}

proptest! {
    /// Arbitrary datagrams must not crash the decoder.
    #[test]
    fn any_datagram_is_decoded_or_ignored(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Some(Body::HeldChunks(have)) = message::decode(&bytes) {
            prop_assert!(have.held_indexes(64).count() <= 64);
        }
    }

    /// Arbitrary objects in the store must not crash the decoder.
    #[test]
    fn any_object_is_decoded_or_rejected(text in "\\PC{0,200}") {
        if let Ok(value) = serde_json::from_str::<serde_json::Value>(&text) {
            let _ = decode::config(value.clone());
            let _ = decode::target("i", value.clone());
            let _ = decode::release(value);
        }
    }

    /// Arbitrary header values of callers must not crash the parser.
    #[test]
    fn any_header_value_is_parsed(value in proptest::collection::vec(32_u8..127, 0..60)) {
        let mut headers = HeaderMap::new();
        let value = http::HeaderValue::from_bytes(&value).unwrap();
        for name in ["x-corianderramp-token-count", "x-corianderramp-deadline-ms", "last-event-id", "connection"] {
            headers.insert(name, value.clone());
        }
        let _ = request::caller_headers(&headers);
        let _ = request::forward(&headers, &target_headers());
    }
}
