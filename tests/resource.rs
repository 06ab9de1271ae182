//! Malformed objects must be rejected with an error that names the field.

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

fn rejected_field(raw: &Raw) -> String {
    resource::check(raw).unwrap_err().field
}

/// Guards against loading a model whose manifest is inconsistent: too few, too many or
/// repeated chunk digests, or no size.
#[test]
fn malformed_manifest_is_rejected_with_the_field() {
    assert_eq!(resource::check(&model(1500, &[b"a", b"b"])), Ok(()));
    assert_eq!(rejected_field(&model(1500, &[b"a"])), "spec.chunks");
    assert_eq!(
        rejected_field(&model(1500, &[b"a", b"b", b"c"])),
        "spec.chunks"
    );
    assert_eq!(
        rejected_field(&model(1500, &[b"a", b"a"])),
        "spec.chunks[1]"
    );
    assert_eq!(rejected_field(&model(0, &[])), "spec.size");
}

/// Guards against sending oversized objects: the platform rejects them with status 413
/// and no explanation.
#[test]
fn object_above_the_size_limit_is_rejected() {
    let metadata = Metadata {
        name: "vm-1".into(),
        ..Metadata::default()
    };
    let spec = json!({ "reason": "x".repeat(resource::MAX_SPEC_BYTES) });
    assert_eq!(
        rejected_field(&Raw {
            kind: Kind::Drain,
            metadata,
            spec
        }),
        "spec"
    );
}

/// Guards against ignoring misspelt keys.
#[test]
fn unknown_field_is_rejected() {
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
