//! Service-level counting and burn rates.
