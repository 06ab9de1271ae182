//! Adapter for the users' platform: the only module that knows its wire names.
//!
//! Decodes messages of the platform's store, targets and callers into the types of
//! [`crate::fleet`] and [`request`], and encodes messages for them. It contains no
//! scheduling or retry decisions.

pub mod decode;
pub mod engine;
pub mod figure;
pub mod readable;
pub mod request;
pub mod store;
