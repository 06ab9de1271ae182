//! At-most-once journal in the platform.
