//! Operators' tool of corianderramp.

use std::process::ExitCode;

use corianderramp::cmd;

fn main() -> ExitCode {
    cmd::main()
}
