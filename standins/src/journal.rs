//! Simulated cluster of entries that run the real journal in one process, with
//! fault injection and a service that records each execution. The tests check
//! the recorded histories, and the `journal` example measures the journal.

pub mod cluster;
pub mod network;
pub mod node;
pub mod plan;
pub mod recorder;
pub mod store;
