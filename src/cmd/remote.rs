//! Calls to the platform that outlast its outages.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use tokio::time::{self, Instant};

use super::changes;
use super::console::Console;
use super::error::Error;
use super::options::Options;
use crate::objects::{self, Api};
use crate::resource::{Kind, Object, Raw, Resource};

/// First pause before a retry; doubled after each.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause between retries.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// The platform as an operator's command sees it.
#[derive(Debug)]
pub struct Remote<'a> {
    client: objects::Client,
    address: SocketAddr,
    retry: Duration,
    console: &'a Console,
}

impl<'a> Remote<'a> {
    /// Platform at the address of `options`.
    #[must_use]
    pub fn new(options: &Options, console: &'a Console) -> Self {
        Self {
            client: objects::Client::new(options.platform, None),
            address: options.platform,
            retry: options.retry,
            console,
        }
    }

    /// Reads one object.
    ///
    /// # Errors
    /// Fails when the platform can't be reached in time or refuses.
    pub async fn get(&self, kind: Kind, name: &str) -> Result<Option<Raw>, Error> {
        let call = async || self.client.get(kind, name).await;
        self.retried(&format!("{kind} {name}"), call).await
    }

    /// Lists the objects of a kind whose names begin with `prefix`.
    ///
    /// # Errors
    /// Fails when the platform can't be reached in time or refuses.
    pub async fn list(&self, kind: Kind, prefix: &str) -> Result<objects::List, Error> {
        let call = async || self.client.list(kind, prefix).await;
        self.retried(kind.name(), call).await
    }

    /// Lists objects of one type; malformed ones are left out.
    ///
    /// # Errors
    /// Fails when the platform can't be reached in time or refuses.
    pub async fn typed<S: Resource>(&self, prefix: &str) -> Result<Vec<Object<S>>, Error> {
        let list = self.list(S::KIND, prefix).await?;
        let objects = list.items.iter();
        Ok(objects.filter_map(|o| Object::from_raw(o).ok()).collect())
    }

    /// Writes an object on condition that its revision is unchanged.
    ///
    /// A conflict with an object of the same specification is success: the
    /// answer to an earlier attempt was lost, or someone else wrote the same.
    ///
    /// # Errors
    /// `Conflict` with both sides when someone else wrote something different.
    pub async fn put(&self, object: &Raw) -> Result<Raw, Error> {
        let call = async || match self.client.put(object.clone()).await {
            Err(objects::Error::Conflict { current: Some(o) }) if o.spec == object.spec => Ok(*o),
            other => other,
        };
        let what = format!("{} {}", object.kind, object.metadata.name);
        let answer = self.attempt(call).await;
        answer.map_err(|e| match e {
            Failure::Platform(objects::Error::Conflict { current }) => {
                conflict(object, current.as_deref())
            }
            other => other.named(&what),
        })
    }

    /// Deletes an object on condition that it is still as it was read.
    ///
    /// # Errors
    /// `Conflict` when someone else wrote the object meanwhile.
    pub async fn delete(&self, object: &Raw) -> Result<(), Error> {
        let Raw { kind, metadata, .. } = object;
        let (name, revision) = (&metadata.name, metadata.revision);
        let call = async || self.client.delete(*kind, name, revision).await;
        self.attempt(call).await.map_err(|e| match e {
            Failure::Platform(objects::Error::Conflict { current }) => {
                conflict(object, current.as_deref())
            }
            other => other.named(&format!("{kind} {name}")),
        })
    }

    /// Opens a watch of `kinds` after `revision`.
    ///
    /// # Errors
    /// Returns the platform's error: the caller lists again.
    pub async fn watch(
        &self,
        revision: u64,
        kinds: &[Kind],
    ) -> Result<objects::Watch, objects::Error> {
        self.client.watch(revision, kinds).await
    }

    async fn retried<T, F>(&self, what: &str, call: F) -> Result<T, Error>
    where
        F: AsyncFn() -> Result<T, objects::Error>,
    {
        self.attempt(call).await.map_err(|e| e.named(what))
    }

    /// Repeats a call during an outage. Calls are conditional, so one whose
    /// answer was lost can be repeated.
    async fn attempt<T, F>(&self, call: F) -> Result<T, Failure>
    where
        F: AsyncFn() -> Result<T, objects::Error>,
    {
        let start = Instant::now();
        let mut pause = FIRST_PAUSE;
        let mut said = false;
        loop {
            let cause = match call().await {
                Ok(answer) => {
                    self.say_recovered(said, start);
                    return Ok(answer);
                }
                Err(e) if !is_outage(&e) => return Err(Failure::Platform(e)),
                Err(e) => e,
            };
            if start.elapsed() + pause > self.retry {
                let waited_s = start.elapsed().as_secs();
                return Err(Failure::Outage {
                    address: self.address,
                    cause,
                    waited_s,
                });
            }
            if !said {
                let limit = self.retry.as_secs();
                self.console
                    .note(&format!("{cause}; retrying for up to {limit} s"));
                said = true;
            }
            time::sleep(pause.mul_f64(rand::rng().random_range(0.5..1.0))).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    fn say_recovered(&self, said: bool, start: Instant) {
        if said {
            let seconds = start.elapsed().as_secs_f64();
            self.console
                .note(&format!("the platform answers again after {seconds:.1} s"));
        }
    }
}

/// Why a call failed in the end.
#[derive(Debug)]
enum Failure {
    Platform(objects::Error),
    Outage {
        address: SocketAddr,
        cause: objects::Error,
        waited_s: u64,
    },
}

impl Failure {
    fn named(self, what: &str) -> Error {
        match self {
            Self::Platform(cause) => Error::Refused {
                what: what.into(),
                cause,
            },
            Self::Outage {
                address,
                cause,
                waited_s,
            } => Error::Unavailable {
                address,
                cause,
                waited_s,
            },
        }
    }
}

fn is_outage(error: &objects::Error) -> bool {
    use objects::Error::{Unavailable, Uncertain};
    matches!(error, Unavailable { .. } | Uncertain { .. })
}

/// A conflict with both sides.
pub(crate) fn conflict(yours: &Raw, theirs: Option<&Raw>) -> Error {
    let sides = theirs.map(|t| changes::sides(&yours.spec, &t.spec));
    Error::Conflict {
        kind: yours.kind,
        name: yours.metadata.name.clone(),
        read: yours.metadata.revision,
        now: theirs.map_or(0, |t| t.metadata.revision),
        sides: sides.unwrap_or_default(),
    }
}
