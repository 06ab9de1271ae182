//! Reads the fields of an object one by one, so that one that can't be read leaves the others.

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::fleet::fault::Fault;

/// Fields of one part of a configuration.
pub struct Fields<'a> {
    /// Name of the part, such as `route plan`.
    part: String,
    values: Map<String, Value>,
    faults: &'a mut Vec<Fault>,
    /// Number of fields of this part that could not be read.
    unreadable: usize,
}

impl<'a> Fields<'a> {
    /// Opens a part; `None` if it is no object.
    pub fn open(part: String, value: Value, faults: &'a mut Vec<Fault>) -> Option<Self> {
        let mut part = Self {
            part,
            values: Map::new(),
            faults,
            unreadable: 0,
        };
        match value {
            Value::Object(fields) => {
                part.values = fields;
                Some(part)
            }
            other => {
                part.report("", format!("expected an object, found {}", shape(&other)));
                None
            }
        }
    }

    /// Takes a field that may be missing or null; one that can't be read is reported and counts as
    /// missing.
    pub fn optional<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        let value = self.raw(name).filter(|v| !v.is_null())?;
        match serde_json::from_value(value) {
            Ok(value) => Some(value),
            Err(e) => {
                self.report(name, e.to_string());
                None
            }
        }
    }

    /// Takes a field that must be there; reports it otherwise.
    pub fn required<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        if self.values.get(name).is_none_or(Value::is_null) {
            self.report(name, "missing".to_owned());
            return None;
        }
        self.optional(name)
    }

    /// Takes a list that must be there, with its elements undecoded; reports it otherwise.
    pub fn list(&mut self, name: &str) -> Option<Vec<Value>> {
        match self.raw(name) {
            Some(Value::Array(elements)) => Some(elements),
            Some(other) => {
                self.report(name, format!("expected a list, found {}", shape(&other)));
                None
            }
            None => {
                self.report(name, "missing".to_owned());
                None
            }
        }
    }

    /// Takes a field as it is; `None` if it is missing.
    pub fn raw(&mut self, name: &str) -> Option<Value> {
        self.values.remove(name)
    }

    /// Whether the part has a field, which may be null.
    pub fn has(&self, name: &str) -> bool {
        self.values.contains_key(name)
    }

    /// Names the part by its kind and its field `name`, if that can be read.
    pub fn rename(&mut self, kind: &str) {
        if let Some(Value::String(name)) = self.values.get("name") {
            self.part = format!("{kind} {name}");
        }
    }

    /// Opens a part below this one.
    pub fn inner(&mut self, name: &str, value: Value) -> Option<Fields<'_>> {
        let part = format!("{}: {name}", self.part);
        Fields::open(part, value, self.faults)
    }

    /// Parts that could not be read so far, of this part and of all others.
    pub fn faults(&mut self) -> &mut Vec<Fault> {
        self.faults
    }

    /// Whether all fields so far could be read.
    pub fn is_readable(&self) -> bool {
        self.unreadable == 0
    }

    /// Reports that a field can't be read.
    pub fn report(&mut self, name: &str, reason: String) {
        self.unreadable += 1;
        let part = if name.is_empty() {
            self.part.clone()
        } else {
            format!("{}: {name}", self.part)
        };
        self.faults.push(Fault { part, reason });
    }
}

fn shape(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}
