//! Decoders at the edge: what others send must neither break a node nor smuggle anything.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use corianderramp::node::message::{self, Body, HeldChunks};
use corianderramp::platform::decode;
use corianderramp::platform::request::{self, TargetHeaders};
use http::HeaderMap;
use proptest::prelude::*;

fn envelope() -> TargetHeaders<'static> {
    TargetHeaders {
        id: "i-1",
        weights: None,
        account: Some("rounds"),
        timeout: Duration::from_millis(900),
        urgency: Some(1),
        last_event: None,
    }
}

/// Headers that concern one connection, and those that only this system may set.
#[test]
fn own_headers_replace_those_of_the_caller() {
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
    let sent = request::forward(&caller, &envelope());
    for gone in [
        "connection",
        "x-hop",
        "transfer-encoding",
        "content-length",
        "expect",
        "api-key",
        "path",
    ] {
        assert!(!sent.contains_key(gone), "{gone}");
    }
    assert_eq!(sent["x-corianderramp-expect-instance"], "i-1");
    assert_eq!(sent["x-corianderramp-tenant"], "rounds");
    assert_eq!(sent["x-corianderramp-request-urgency"], "1");
    assert_eq!(sent["x-corianderramp-deadline-ms"], "900");
    assert_eq!(sent["x-corianderramp-model"], "m");
    assert_eq!(sent["x-other"], "kept");
}

/// An account whose name no header can carry must not become another account.
#[test]
fn account_that_no_header_can_carry_is_not_sent_as_another() {
    let envelope = TargetHeaders {
        account: Some("a\r\nx: y"),
        ..envelope()
    };
    let sent = request::forward(&HeaderMap::new(), &envelope);
    assert_eq!(sent["x-corianderramp-tenant"], "?");
}

/// The statement of held chunks survives the datagram.
#[test]
fn held_chunks_survive_the_datagram() {
    let held: Vec<bool> = (0..19).map(|i| i % 3 == 0).collect();
    let have = HeldChunks {
        model: "m".into(),
        version: 2,
        is_complete: false,
        bitmap: message::bitmap(&held),
        wants_reply: true,
    };
    let bytes = message::encode(Body::HeldChunks(have));
    let Some(Body::HeldChunks(have)) = message::decode(&bytes) else {
        panic!("another message");
    };
    let positions: Vec<usize> = have.held_indexes(19).collect();
    assert_eq!(positions, [0, 3, 6, 9, 12, 15, 18]);
}

proptest! {
    /// Datagrams from anywhere.
    #[test]
    fn any_datagram_is_decoded_or_ignored(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Some(Body::HeldChunks(have)) = message::decode(&bytes) {
            prop_assert!(have.held_indexes(64).count() <= 64);
        }
    }

    /// Objects of other writers.
    #[test]
    fn any_object_is_decoded_or_refused(text in "\\PC{0,200}") {
        if let Ok(value) = serde_json::from_str::<serde_json::Value>(&text) {
            let _ = decode::config(value.clone());
            let _ = decode::target("i", value.clone());
            let _ = decode::release(value);
        }
    }

    /// Headers of callers.
    #[test]
    fn any_header_value_is_read(value in proptest::collection::vec(32_u8..127, 0..60)) {
        let mut headers = HeaderMap::new();
        let value = http::HeaderValue::from_bytes(&value).unwrap();
        for name in ["x-corianderramp-token-count", "x-corianderramp-deadline-ms", "last-event-id", "connection"] {
            headers.insert(name, value.clone());
        }
        let _ = request::caller_headers(&headers);
        let _ = request::forward(&headers, &envelope());
    }
}
