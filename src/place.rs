//! Decisions on load: which target a request goes to, what a target takes, and what a
//! caller is told when there is no place. Nothing here does input or output.

pub mod backoff;
pub mod pace;
pub mod pool;
pub mod slots;
