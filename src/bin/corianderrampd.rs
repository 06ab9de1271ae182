//! Daemon of corianderramp.

use std::process::ExitCode;

use corianderramp::cmd::daemon;

fn main() -> ExitCode {
    daemon::main()
}
