//! A child process that is ended by its id.

use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use snafu::ResultExt;
use tokio::time::{self, Instant};

use crate::toolkit::{self, IoSnafu};

/// A running program, killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts `program`; its output is appended to the file `log`.
    ///
    /// # Errors
    /// Fails when the program can't be started or the file can't be written.
    pub fn start(program: &Path, arguments: &[&Path], log: &Path) -> Result<Self, toolkit::Error> {
        let file = File::options().create(true).append(true).open(log);
        let file = file.context(IoSnafu { what: log })?;
        let output = file.try_clone().context(IoSnafu { what: log })?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(file)
            .spawn()
            .context(IoSnafu { what: program })?;
        Ok(Self { child })
    }

    /// Process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Stops the process without warning.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process (SIGSTOP).
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a suspended process go on (SIGCONT).
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to stop gracefully (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Tells the process that its settings changed (SIGHUP).
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Waits until the process has ended; `None` when it has not within `limit`,
    /// otherwise whether its exit status was 0.
    pub async fn ended(&mut self, limit: Duration) -> Option<bool> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.success());
            }
            time::sleep(Duration::from_millis(20)).await;
        }
        None
    }

    fn signal(&self, signal: Signal) {
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
