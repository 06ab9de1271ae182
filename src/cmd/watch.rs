//! `watch`: follows a rollout until all targets serve its version.

use std::time::Duration;

use clap::ArgMatches;
use tokio::time::{self, Instant};

use super::console::{Console, Format};
use super::error::{Error, PendingSnafu};
use super::options::Options;
use super::progress::{self, Observed, Progress};
use super::remote::Remote;
use crate::cli;
use crate::objects::Watch;
use crate::resource::{Kind, status};

/// Kinds that a rollout's progress depends on.
const KINDS: [Kind; 3] = [Kind::Rollout, Kind::Status, Kind::Vm];

/// Pause before the objects are listed again after a watch ended.
const LIST_PAUSE: Duration = Duration::from_millis(500);

/// Runs the subcommand.
///
/// # Errors
/// `Pending` when the time is over or a newer rollout replaced this one.
pub async fn run(args: &ArgMatches, options: &Options, console: &Console) -> Result<u8, Error> {
    let name = cli::text(args, "name");
    let remote = Remote::new(options, console);
    let mut follower = Follower {
        name,
        console,
        start: Instant::now(),
        last: None,
    };
    let Some(limit) = cli::limit(args) else {
        return follower.follow(&remote).await;
    };
    if let Ok(result) = time::timeout(limit, follower.follow(&remote)).await {
        return result;
    }
    let reasons = follower.last.map_or_else(String::new, |p| p.reasons());
    let seconds = limit.as_secs();
    let reason = format!(
        "Rollout {name}: not live everywhere after {seconds} s; \
         `corianderramp get Status -o json` tells more\n{reasons}"
    );
    PendingSnafu { reason }.fail()
}

/// Follows one rollout and tells how far it is.
#[derive(Debug)]
struct Follower<'a> {
    name: &'a str,
    console: &'a Console,
    start: Instant,
    /// Progress seen last.
    last: Option<Progress>,
}

impl Follower<'_> {
    async fn follow(&mut self, remote: &Remote<'_>) -> Result<u8, Error> {
        loop {
            let (mut observed, revision) = self.list(remote).await?;
            if self.step(&observed)? {
                return Ok(0);
            }
            if let Ok(mut watch) = remote.watch(revision, &KINDS).await
                && self.consume(&mut watch, &mut observed).await?
            {
                return Ok(0);
            }
            time::sleep(LIST_PAUSE).await;
        }
    }

    /// Follows an open watch; true when the rollout is complete, false when the
    /// watch ended and the objects have to be listed again.
    async fn consume(&mut self, watch: &mut Watch, observed: &mut Observed) -> Result<bool, Error> {
        while let Ok(Some(event)) = watch.next().await {
            observed.apply(event);
            if self.step(observed)? {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Lists the objects; the revision is the one to watch from.
    async fn list(&self, remote: &Remote<'_>) -> Result<(Observed, u64), Error> {
        let prefix = status::Status::object_name(self.name, "");
        let rollouts = remote.list(Kind::Rollout, "").await?;
        let statuses = remote.list(Kind::Status, &prefix).await?;
        let vms = remote.list(Kind::Vm, "").await?;
        // The first list is the oldest; later changes are seen again, which does no harm.
        let revision = rollouts.revision;
        let observed = Observed {
            rollouts: rollouts.items,
            statuses: statuses.items,
            vms: vms.items,
        };
        Ok((observed, revision))
    }

    /// Tells the progress; true when the rollout is complete.
    fn step(&mut self, observed: &Observed) -> Result<bool, Error> {
        let Some(progress) = progress::of(self.name, observed) else {
            return Err(Error::Missing {
                kind: Kind::Rollout,
                name: self.name.into(),
            });
        };
        if let Some(newer) = &progress.superseded {
            let reason = format!(
                "Rollout {}: replaced by Rollout {newer} of the same service; watch that one",
                self.name
            );
            return PendingSnafu { reason }.fail();
        }
        if self.console.format == Format::Json {
            self.console.json(&progress)?;
        } else {
            self.console.progress(&progress.line());
        }
        if progress.done {
            self.finish(&progress)?;
        }
        let done = progress.done;
        self.last = Some(progress);
        Ok(done)
    }

    fn finish(&self, progress: &Progress) -> Result<(), Error> {
        if self.console.format == Format::Json {
            return Ok(());
        }
        let seconds = self.start.elapsed().as_secs_f64();
        let live: u32 = progress.data_centers.iter().map(|r| r.live).sum();
        self.console.write(&format!(
            "{}{} live on {live} targets after {seconds:.1} s\n",
            progress.table(),
            progress.version
        ))
    }
}
