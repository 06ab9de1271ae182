//! Decodes JSON documents of which parts can't be read: strings that are no Unicode text, and
//! numbers beyond the range of a double.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use serde_json::{Map, Number, Value};

/// Nesting below which a part counts as unreadable, as in `serde_json`.
const MAX_DEPTH: usize = 127;

/// Decodes a document. Numbers out of range become the nearest ones in it; what can't be read
/// becomes an empty object, which no field takes for a value of its own or for a missing one.
///
/// # Errors
/// Fails when the document is malformed or has another shape.
///
/// ```
/// use corianderramp::platform::readable;
/// use serde_json::{Value, json};
///
/// let value: Value = readable::from_slice(br#"{"a": 1e999, "b": ["\ud800", 2]}"#).unwrap();
/// assert_eq!(value, json!({"a": f64::MAX, "b": [{}, 2]}));
/// ```
pub fn from_slice<T: DeserializeOwned>(body: &[u8]) -> Result<T, serde_json::Error> {
    match serde_json::from_slice(body) {
        Ok(decoded) => Ok(decoded),
        Err(e) => {
            let raw: &RawValue = serde_json::from_slice(body).map_err(|_| e)?;
            serde_json::from_value(value(raw))
        }
    }
}

/// Decodes a value as [`from_slice`] does.
#[must_use]
pub fn value(raw: &RawValue) -> Value {
    serde_json::from_str(raw.get()).unwrap_or_else(|_| parts(raw, 0))
}

fn parts(raw: &RawValue, depth: usize) -> Value {
    let text = raw.get();
    if depth >= MAX_DEPTH {
        return unreadable();
    }
    let part = |raw: &RawValue| {
        let whole = serde_json::from_str(raw.get());
        whole.unwrap_or_else(|_| parts(raw, depth + 1))
    };
    match text.as_bytes().first() {
        Some(b'[') => match serde_json::from_str::<Vec<&RawValue>>(text) {
            Ok(elements) => elements.into_iter().map(part).collect(),
            Err(_) => unreadable(),
        },
        Some(b'{') => match serde_json::from_str::<BTreeMap<String, &RawValue>>(text) {
            Ok(fields) => fields.into_iter().map(|(k, v)| (k, part(v))).collect(),
            Err(_) => unreadable(),
        },
        Some(b'-' | b'0'..=b'9') => number(text),
        _ => unreadable(),
    }
}

fn number(text: &str) -> Value {
    let number: Option<f64> = text.parse().ok();
    let nearest = number.and_then(|n| Number::from_f64(n.clamp(f64::MIN, f64::MAX)));
    nearest.map_or_else(unreadable, Value::Number)
}

fn unreadable() -> Value {
    Value::Object(Map::new())
}
