//! Adapter of the users' platform: the only module that knows its names on the wire.
//!
//! It decodes what the platform's store, targets and callers send into the types of
//! [`crate::fleet`] and [`request`], and encodes what they expect. It decides nothing.

pub mod decode;
pub mod engine;
pub mod request;
pub mod store;
