//! Operators' tool of corianderramp.

fn main() {}
