//! Malformed objects must be refused with the field named.

#![allow(clippy::unwrap_used)]

use corianderramp::digest;
use corianderramp::resource::{self, Kind, Metadata, Raw, model};
use serde_json::json;

fn model(size: u64, chunks: &[&[u8]]) -> Raw {
    let spec = model::Model {
        model: "shake-8b".into(),
        version: "v1".into(),
        base: None,
        size,
        chunk_size: 1024,
        chunks: chunks.iter().map(|c| digest::Digest::of(c)).collect(),
    };
    resource::Object::new("shake-8b@v1", spec).to_raw().unwrap()
}

fn refused_field(raw: &Raw) -> String {
    resource::check(raw).unwrap_err().field
}

/// Guards against loading a model whose manifest contradicts itself.
#[test]
fn malformed_manifest_is_refused_with_the_field() {
    assert_eq!(resource::check(&model(1500, &[b"a", b"b"])), Ok(()));
    assert_eq!(refused_field(&model(1500, &[b"a"])), "spec.chunks");
    assert_eq!(
        refused_field(&model(1500, &[b"a", b"b", b"c"])),
        "spec.chunks"
    );
    assert_eq!(refused_field(&model(1500, &[b"a", b"a"])), "spec.chunks[1]");
    assert_eq!(refused_field(&model(0, &[])), "spec.size");
}

/// Guards against objects that the platform would refuse with a bare 413.
#[test]
fn object_above_the_platform_limit_is_refused() {
    let metadata = Metadata {
        name: "vm-1".into(),
        ..Metadata::default()
    };
    let spec = json!({ "reason": "x".repeat(resource::MAX_BYTES) });
    assert_eq!(
        refused_field(&Raw {
            kind: Kind::Drain,
            metadata,
            spec
        }),
        "spec"
    );
}

/// Guards against a misspelt key being ignored.
#[test]
fn unknown_field_is_refused() {
    let metadata = Metadata {
        name: "vm-1".into(),
        ..Metadata::default()
    };
    let raw = Raw {
        kind: Kind::Drain,
        metadata,
        spec: json!({ "raeson": "" }),
    };
    assert!(resource::check(&raw).unwrap_err().reason.contains("raeson"));
}
