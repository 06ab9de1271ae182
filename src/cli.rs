//! Command-line arguments of both programs.
