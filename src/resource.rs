//! Objects of the platform's API that the system reads and writes.

use std::fmt;
use std::str::FromStr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

pub mod account;
pub mod burn;
pub mod drain;
pub mod journal;
pub mod lease;
pub mod model;
pub mod rollout;
pub mod service;
pub mod status;
pub mod vm;

/// Largest value that the platform stores, bytes.
pub const MAX_BYTES: usize = 1_000_000;

/// Longest object name, bytes.
pub const MAX_NAME: usize = 128;

/// Kind of an object.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Kind {
    /// Client account with its limits.
    Account,
    /// Service-level counts of a data centre.
    Burn,
    /// Request to drain a VM.
    Drain,
    /// Shard head or segment of the at-most-once journal.
    Journal,
    /// Coordinator lease of a data centre.
    Lease,
    /// Version of a model or adapter.
    Model,
    /// Version that targets of a service should serve.
    Rollout,
    /// Model service or plain service.
    Service,
    /// Observed state, written by coordinators.
    Status,
    /// Entry of the platform's VM list.
    Vm,
}

/// Kinds that every process holds a copy of, in the order of their names.
pub const CONFIG_KINDS: [Kind; 6] = [
    Kind::Account,
    Kind::Drain,
    Kind::Model,
    Kind::Rollout,
    Kind::Service,
    Kind::Vm,
];

const NAMES: [(Kind, &str); 10] = [
    (Kind::Account, "Account"),
    (Kind::Burn, "Burn"),
    (Kind::Drain, "Drain"),
    (Kind::Journal, "Journal"),
    (Kind::Lease, "Lease"),
    (Kind::Model, "Model"),
    (Kind::Rollout, "Rollout"),
    (Kind::Service, "Service"),
    (Kind::Status, "Status"),
    (Kind::Vm, "Vm"),
];

impl Kind {
    /// All kinds, in the order of their names.
    pub const ALL: [Self; 10] = [
        Self::Account,
        Self::Burn,
        Self::Drain,
        Self::Journal,
        Self::Lease,
        Self::Model,
        Self::Rollout,
        Self::Service,
        Self::Status,
        Self::Vm,
    ];

    /// Name as it stands in objects and paths.
    #[must_use]
    pub fn name(self) -> &'static str {
        NAMES[self as usize].1
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Kind {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let found = NAMES
            .iter()
            .find(|(_, name)| name.eq_ignore_ascii_case(text));
        found
            .map(|(kind, _)| *kind)
            .ok_or_else(|| Invalid::new("kind", format!("unknown kind {text:?}")))
    }
}

/// A field with an unacceptable value.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{field}: {reason}"))]
pub struct Invalid {
    /// Path of the field, such as `spec.chunks[3]`.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

impl Invalid {
    /// Error about `field`.
    pub fn new(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            reason: reason.into(),
        }
    }
}

/// Identity and version of an object.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Metadata {
    /// Name, unique within the kind.
    pub name: String,
    /// Platform revision of the last write; 0 for an object not yet written.
    pub revision: u64,
    /// Identifier of the last write, chosen by the writer.
    pub operation: String,
}

/// An object with its specification.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Object<S> {
    /// Kind.
    pub kind: Kind,
    /// Identity and version.
    pub metadata: Metadata,
    /// Specification.
    pub spec: S,
}

/// An object whose specification is not interpreted.
pub type Raw = Object<serde_json::Value>;

/// Specification of one kind of object.
pub trait Resource: Serialize + DeserializeOwned + Clone + Send + Sync + 'static {
    /// Kind that this specification belongs to.
    const KIND: Kind;

    /// Checks the values of all fields.
    ///
    /// # Errors
    /// Names the first unacceptable field.
    fn validate(&self) -> Result<(), Invalid>;
}

impl<S: Resource> Object<S> {
    /// A new object that has not been written yet.
    pub fn new(name: impl Into<String>, spec: S) -> Self {
        let metadata = Metadata {
            name: name.into(),
            ..Metadata::default()
        };
        Self {
            kind: S::KIND,
            metadata,
            spec,
        }
    }

    /// Reads and checks an object.
    ///
    /// # Errors
    /// Names the field that is missing, unknown or unacceptable.
    pub fn from_raw(raw: &Raw) -> Result<Self, Invalid> {
        if raw.kind != S::KIND {
            return Err(Invalid::new(
                "kind",
                format!("expected {}, found {}", S::KIND, raw.kind),
            ));
        }
        check_name(&raw.metadata.name)?;
        let spec = S::deserialize(&raw.spec).map_err(|e| Invalid::new("spec", e.to_string()))?;
        spec.validate()?;
        Ok(Self {
            kind: raw.kind,
            metadata: raw.metadata.clone(),
            spec,
        })
    }

    /// The object in its uninterpreted form.
    ///
    /// # Errors
    /// Fails when the specification can't be written as JSON.
    pub fn to_raw(&self) -> Result<Raw, Invalid> {
        let spec =
            serde_json::to_value(&self.spec).map_err(|e| Invalid::new("spec", e.to_string()))?;
        Ok(Raw {
            kind: self.kind,
            metadata: self.metadata.clone(),
            spec,
        })
    }
}

/// Checks an object against its kind and the platform's size limit.
///
/// # Errors
/// Names the first unacceptable field.
pub fn check(raw: &Raw) -> Result<(), Invalid> {
    let size = raw.spec.to_string().len();
    if size > MAX_BYTES {
        return Err(Invalid::new(
            "spec",
            format!("{size} bytes exceed the limit of {MAX_BYTES}"),
        ));
    }
    match raw.kind {
        Kind::Account => Object::<account::Account>::from_raw(raw).map(drop),
        Kind::Drain => Object::<drain::Drain>::from_raw(raw).map(drop),
        Kind::Lease => Object::<lease::Lease>::from_raw(raw).map(drop),
        Kind::Model => Object::<model::Model>::from_raw(raw).map(drop),
        Kind::Rollout => Object::<rollout::Rollout>::from_raw(raw).map(drop),
        Kind::Service => Object::<service::Service>::from_raw(raw).map(drop),
        Kind::Status => Object::<status::Status>::from_raw(raw).map(drop),
        Kind::Vm => Object::<vm::Vm>::from_raw(raw).map(drop),
        Kind::Burn => Object::<burn::Burn>::from_raw(raw).map(drop),
        Kind::Journal if raw.metadata.name.starts_with("segment.") => {
            Object::<journal::Segment>::from_raw(raw).map(drop)
        }
        Kind::Journal => Object::<journal::Head>::from_raw(raw).map(drop),
    }
}

/// Checks that a name has only letters, digits, `.`, `-`, `_` and `@`.
///
/// # Errors
/// Says what is wrong with the name.
pub fn check_name(name: &str) -> Result<(), Invalid> {
    if name.is_empty() || name.len() > MAX_NAME {
        return Err(Invalid::new(
            "metadata.name",
            format!("must have 1 to {MAX_NAME} characters"),
        ));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_' | '@');
    if let Some(c) = name.chars().find(|c| !allowed(*c)) {
        return Err(Invalid::new(
            "metadata.name",
            format!("{c:?} is not allowed in {name:?}"),
        ));
    }
    Ok(())
}

fn require(condition: bool, field: &str, reason: &str) -> Result<(), Invalid> {
    if condition {
        Ok(())
    } else {
        Err(Invalid::new(field, reason))
    }
}
