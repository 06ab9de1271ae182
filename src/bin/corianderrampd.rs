//! Daemon of corianderramp.

fn main() {}
