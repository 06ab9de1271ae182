//! Differences between two versions of an object, by field.

use std::fmt::{self, Write};

use serde::Serialize;
use serde_json::Value;

/// Most fields that are shown to people for one object.
const MAX_SHOWN: usize = 12;

/// Longest value that is shown to people, characters.
const MAX_VALUE: usize = 60;

/// A field with different values before and after.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// Path, such as `spec.routes[0].prefix`.
    pub field: String,
    /// Value before; absent when the field was added.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub before: Option<Value>,
    /// Value after; absent when the field was removed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub after: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (before, after) = (show(self.before.as_ref()), show(self.after.as_ref()));
        write!(f, "{}: {before} -> {after}", self.field)
    }
}

/// A field to which two writers gave different values.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Sides {
    /// Path of the field.
    pub field: String,
    /// Value in the object that was to be written.
    pub yours: Option<Value>,
    /// Value in the object that is there now.
    pub theirs: Option<Value>,
}

impl fmt::Display for Sides {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (yours, theirs) = (show(self.yours.as_ref()), show(self.theirs.as_ref()));
        write!(f, "{}: yours {yours}, theirs {theirs}", self.field)
    }
}

fn show(value: Option<&Value>) -> String {
    let Some(value) = value else {
        return "absent".into();
    };
    let text = value.to_string();
    if text.chars().count() <= MAX_VALUE {
        return text;
    }
    text.chars().take(MAX_VALUE).collect::<String>() + "..."
}

/// Fields in which two specifications differ, in the order of their paths.
///
/// ```
/// use corianderramp::cmd::changes;
/// use serde_json::json;
///
/// let before = json!({"version": "v1", "wave": 1});
/// let after = json!({"version": "v2", "wave": 1});
/// let changes = changes::between(&before, &after);
/// assert_eq!(changes.len(), 1);
/// assert_eq!(changes[0].to_string(), r#"spec.version: "v1" -> "v2""#);
/// ```
#[must_use]
pub fn between(before: &Value, after: &Value) -> Vec<Change> {
    let (before, after) = (fields(before), fields(after));
    let mut changes = Vec::new();
    let (mut i, mut j) = (0, 0);
    while i < before.len() || j < after.len() {
        let old = before.get(i);
        let new = after.get(j);
        let only_old = new.is_none_or(|n| old.is_some_and(|o| o.0 < n.0));
        let only_new = old.is_none_or(|o| new.is_some_and(|n| n.0 < o.0));
        let taken_old = old.filter(|_| !only_new);
        let taken_new = new.filter(|_| !only_old);
        i += usize::from(taken_old.is_some());
        j += usize::from(taken_new.is_some());
        changes.extend(change(taken_old, taken_new));
    }
    changes
}

/// Fields in which the object to write differs from the one that is there.
#[must_use]
pub fn sides(yours: &Value, theirs: &Value) -> Vec<Sides> {
    let changes = between(yours, theirs);
    changes
        .into_iter()
        .take(MAX_SHOWN)
        .map(|c| Sides {
            field: c.field,
            yours: c.before,
            theirs: c.after,
        })
        .collect()
}

/// Indented lines for people; long lists end with the number of further fields.
#[must_use]
pub fn lines(changes: &[Change]) -> String {
    let mut text = String::new();
    for change in changes.iter().take(MAX_SHOWN) {
        let _ = writeln!(text, "  {change}");
    }
    if changes.len() > MAX_SHOWN {
        let more = changes.len() - MAX_SHOWN;
        let _ = writeln!(text, "  and {more} more fields");
    }
    text
}

fn change(before: Option<&Field>, after: Option<&Field>) -> Option<Change> {
    if before.map(|f| &f.1) == after.map(|f| &f.1) {
        return None;
    }
    let named = before.or(after)?;
    Some(Change {
        field: path(&named.0),
        before: before.map(|f| f.1.clone()),
        after: after.map(|f| f.1.clone()),
    })
}

/// A step into a value; indices sort by number.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Key(String),
    Index(usize),
}

/// A leaf with the steps that lead to it.
#[derive(Debug)]
struct Field(Vec<Step>, Value);

fn path(steps: &[Step]) -> String {
    let part = |step: &Step| match step {
        Step::Key(key) => format!(".{key}"),
        Step::Index(i) => format!("[{i}]"),
    };
    steps
        .iter()
        .map(part)
        .fold("spec".into(), |all, p| all + &p)
}

fn fields(value: &Value) -> Vec<Field> {
    let mut found = Vec::new();
    collect(value, &mut Vec::new(), &mut found);
    found.sort_by(|a, b| a.0.cmp(&b.0));
    found
}

fn collect(value: &Value, steps: &mut Vec<Step>, found: &mut Vec<Field>) {
    let mut descend = |step, value| {
        steps.push(step);
        collect(value, steps, found);
        steps.pop();
    };
    match value {
        Value::Object(map) if !map.is_empty() => {
            for (key, value) in map {
                descend(Step::Key(key.clone()), value);
            }
        }
        Value::Array(items) if !items.is_empty() => {
            for (i, value) in items.iter().enumerate() {
                descend(Step::Index(i), value);
            }
        }
        _ => found.push(Field(steps.clone(), value.clone())),
    }
}
