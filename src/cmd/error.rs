//! Errors of the operators' tool and their exit statuses.

use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

use super::changes::Sides;
use crate::objects;
use crate::resource::Kind;

/// Exit status of a call that was refused or whose output could not be written.
pub const FAILED: u8 = 8;

/// Why a subcommand failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The arguments don't fit together.
    #[snafu(display("{reason}"))]
    Usage {
        /// What to change.
        reason: String,
    },
    /// Files or objects in them are not valid.
    #[snafu(display("{}", problems.join("\n")))]
    Invalid {
        /// One line per problem, with file, object and field.
        problems: Vec<String>,
    },
    /// An object changed between read and write.
    #[snafu(display("{}", conflict(*kind, name, *read, *now, sides)))]
    Conflict {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: String,
        /// Revision that was read.
        read: u64,
        /// Revision now; 0 when the object was deleted.
        now: u64,
        /// Fields that differ between both writers.
        sides: Vec<Sides>,
    },
    /// The platform can't be reached.
    #[snafu(display(
        "{cause}, tried for {waited_s} s at {address}; try again later or with a longer --retry"
    ))]
    Unavailable {
        /// Address of the platform.
        address: SocketAddr,
        /// Last answer.
        cause: objects::Error,
        /// Time spent on retries, seconds.
        waited_s: u64,
    },
    /// What was written has not come into force everywhere.
    #[snafu(display("{reason}"))]
    Pending {
        /// Where, and why.
        reason: String,
    },
    /// An object does not exist.
    #[snafu(display(
        "{kind} {name}: does not exist; `corianderramp get {kind}` lists those that do"
    ))]
    Missing {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: String,
    },
    /// The platform refused a call for good.
    #[snafu(display("{what}: {cause}"))]
    Refused {
        /// Object or kind of the call.
        what: String,
        /// Answer of the platform.
        cause: objects::Error,
    },
    /// A file can't be written.
    #[snafu(display("can't write {}: {source}", path.display()))]
    Write {
        /// File.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// Standard output can't be written.
    #[snafu(display("can't write the output: {source}"))]
    Output {
        /// Cause.
        source: io::Error,
    },
}

impl Error {
    /// Exit status, as the help lists them.
    #[must_use]
    pub fn status(&self) -> u8 {
        match self {
            Self::Usage { .. } | Self::Invalid { .. } => 2,
            Self::Conflict { .. } => 4,
            Self::Unavailable { .. } => 5,
            Self::Pending { .. } => 6,
            Self::Missing { .. } => 7,
            Self::Refused { .. } | Self::Write { .. } | Self::Output { .. } => FAILED,
        }
    }

    /// Whether the reader of standard output has gone.
    #[must_use]
    pub fn is_broken_pipe(&self) -> bool {
        matches!(self, Self::Output { source } if source.kind() == io::ErrorKind::BrokenPipe)
    }

    /// One problem with a file or an object.
    pub(crate) fn invalid(problem: impl Into<String>) -> Self {
        Self::Invalid {
            problems: vec![problem.into()],
        }
    }
}

fn conflict(kind: Kind, name: &str, read: u64, now: u64, sides: &[Sides]) -> String {
    let mut text = format!("{kind} {name}: ");
    let _ = match (read, now) {
        (_, 0) => write!(text, "deleted by someone else since revision {read}"),
        (0, _) => write!(text, "created by someone else at revision {now}"),
        _ => write!(
            text,
            "changed by someone else from revision {read} to {now}"
        ),
    };
    let _ = write!(
        text,
        "; compare with `corianderramp get {kind} {name} -o toml` and apply again"
    );
    for side in sides {
        let _ = write!(text, "\n  {side}");
    }
    text
}
