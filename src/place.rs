//! Load decisions without input or output: which target gets a request, how many requests
//! a target accepts, and when a refused caller should retry.

pub mod backoff;
pub mod death;
pub mod handover;
pub mod limit;
pub mod pace;
pub mod patience;
pub mod pool;
pub mod quarantine;
pub mod slots;
pub mod witness;
