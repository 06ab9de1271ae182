//! Entries with real journals in one process, an object API with faults, links
//! that can be cut and a service that records what it executes. Tests and the
//! journal experiment run them and record histories.

pub mod cluster;
pub mod network;
pub mod node;
pub mod plan;
pub mod recorder;
pub mod store;
