//! Runs the operators' tool in the test's process and keeps its output.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};

use corianderramp::cmd::console::{Console, Format};
use corianderramp::{cli, cmd};

#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl Write for Sink {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(data);
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Sink {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

/// What a call of the tool printed and returned.
#[derive(Debug)]
pub struct Ran {
    pub status: u8,
    pub out: String,
    pub err: String,
}

impl Ran {
    /// All of it, for snapshots.
    pub fn transcript(&self) -> String {
        let Self { status, out, err } = self;
        format!("exit status {status}\n--- out\n{out}--- err\n{err}")
    }
}

/// Runs `corianderramp` with `arguments`.
pub async fn run(arguments: &[&str]) -> Ran {
    let line = ["corianderramp"].iter().chain(arguments);
    let matches = cli::operator().try_get_matches_from(line).unwrap();
    let format = match arguments.iter().position(|a| *a == "-o") {
        Some(i) if arguments[i + 1] == "json" => Format::Json,
        Some(i) if arguments[i + 1] == "toml" => Format::Toml,
        _ => Format::Table,
    };
    let (out, err) = (Sink::default(), Sink::default());
    let console = Console::new(format, out.clone(), err.clone(), false);
    let status = cmd::run(&matches, &console).await;
    Ran {
        status,
        out: out.text(),
        err: err.text(),
    }
}
