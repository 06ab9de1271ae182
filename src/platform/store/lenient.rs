//! Decodes answers of the store of which parts can't be read. Entries may come from any writer; one
//! whose text is no Unicode or whose numbers are out of range must not hide the others.

use std::borrow::Cow;

use log::debug;
use serde::de::{Deserialize, DeserializeOwned, Deserializer};
use serde_json::Value;
use serde_json::value::RawValue;

use crate::platform::readable;

/// Escape of half a surrogate pair: skipped as part of any value, but no value of its own.
const UNREADABLE: &str = r"\ud800";

/// Parses a JSON document. Bytes that are not UTF-8 make only the string unreadable that they are
/// in.
///
/// # Errors
/// Fails when the document itself is malformed.
pub fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, serde_json::Error> {
    serde_json::from_str(&text(body))
}

fn text(body: &[u8]) -> Cow<'_, str> {
    if let Ok(text) = std::str::from_utf8(body) {
        return text.into();
    }
    let mut text = String::with_capacity(body.len());
    for chunk in body.utf8_chunks() {
        text.push_str(chunk.valid());
        if !chunk.invalid().is_empty() {
            text.push_str(UNREADABLE);
        }
    }
    text.into()
}

/// Decodes a value; parts of it that can't be read match no field's type.
pub fn value<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Value, D::Error> {
    let raw = Box::<RawValue>::deserialize(deserializer)?;
    Ok(readable::value(&raw))
}

/// Decodes the elements of a list that can be read.
pub fn list<'de, D: Deserializer<'de>, T: DeserializeOwned>(
    deserializer: D,
) -> Result<Vec<T>, D::Error> {
    let elements = Vec::<Box<RawValue>>::deserialize(deserializer)?;
    let mut decoded = Vec::with_capacity(elements.len());
    for element in elements {
        match serde_json::from_str(element.get()) {
            Ok(element) => decoded.push(element),
            Err(e) => {
                let reason = e.to_string();
                debug!(reason = reason.as_str(); "unreadable store entry skipped");
            }
        }
    }
    Ok(decoded)
}

#[cfg(test)]
#[path = "lenient_test.rs"]
mod test;
