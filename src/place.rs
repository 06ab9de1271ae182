//! Load decisions without input or output: which target gets a request, how many requests
//! a target accepts, and when a refused caller should retry.

pub mod backoff;
pub mod death;
pub mod eligibility;
pub mod forecast;
pub mod handover;
pub mod homes;
pub mod idle;
pub mod limit;
pub mod pace;
pub mod patience;
pub mod pool;
pub mod quarantine;
pub mod scope;
pub mod shutdown;
pub mod slots;
pub mod witness;
