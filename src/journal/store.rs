//! Reads and writes of a shard's objects.

use std::time::{Duration, Instant};

use snafu::{ResultExt, Snafu};

use super::ownership::{self, Action, Observation};
use super::table::Table;
use crate::objects::{self, Api};
use crate::resource::{Invalid, Kind, Object, Raw, journal};

/// Why a shard can't be read or taken over.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The platform did not do it.
    #[snafu(display("{source}"))]
    Platform {
        /// Cause.
        source: objects::Error,
    },
    /// An object of the journal can't be understood.
    #[snafu(display("Journal/{name}: {source}"))]
    Malformed {
        /// Object.
        name: String,
        /// Cause.
        source: Invalid,
    },
    /// The head refers to a segment that does not exist.
    #[snafu(display("Journal/{name} is missing"))]
    Missing {
        /// Segment.
        name: String,
    },
    /// The own VM is not in the platform's VM list, so others could take the
    /// process for gone.
    #[snafu(display("VM {vm} is not in the VM list yet"))]
    Unlisted {
        /// Name of the VM.
        vm: String,
    },
}

/// From whom a shard may be taken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Takeover {
    /// Only look.
    Never,
    /// Take it if nobody owns it.
    IfUnowned,
    /// Take it from this incarnation, which does not answer.
    From(String),
}

/// When an owner was first seen to be gone.
#[derive(Clone, Debug)]
pub struct OwnerEvent {
    /// Incarnation.
    pub boot: String,
    /// First observation.
    pub at: Instant,
}

/// A try to acquire a shard.
#[derive(Clone, Debug)]
pub struct AcquireRequest {
    /// Shard.
    pub shard: u16,
    /// The process that asks.
    pub local: journal::Owner,
    /// Start of the process.
    pub started: Instant,
    /// From whom.
    pub takeover: Takeover,
    /// Whether the shard serves operations that go on from memory.
    pub offline: bool,
    /// Previous observation of a gone owner.
    pub missing_owner: Option<OwnerEvent>,
    /// Time in which callers still resend.
    pub resend_window: Duration,
}

/// Result of a try.
#[derive(Debug)]
pub enum Outcome {
    /// The process owns the shard.
    Acquired {
        /// All operations of the shard.
        table: Table,
        /// Head as written.
        head: journal::Head,
        /// Its revision.
        revision: u64,
    },
    /// Another process owns it, or nobody does.
    Follow(journal::Head),
    /// The owner is gone, but the resend window is not over.
    Wait {
        /// Head.
        head: journal::Head,
        /// Rest of the window.
        remaining: Duration,
    },
}

/// Reads the head and takes the shard over if that is wanted and allowed.
///
/// # Errors
/// Fails when the platform does not answer or an object is malformed; the
/// shard was taken in no case that this process relies on.
pub async fn acquire<P: Api>(
    platform: &P,
    request: &AcquireRequest,
    now: Instant,
) -> Result<Outcome, Error> {
    let name = journal::head_name(request.shard);
    let raw = get(platform, Kind::Journal, &name).await?;
    let (head, revision) = parse_head(raw.as_ref())?;
    let wanted = match (&head.owner, &request.takeover) {
        (_, Takeover::Never) => false,
        (None, _) => true,
        (Some(owner), Takeover::From(boot)) => {
            owner.boot == *boot || owner.boot == request.local.boot
        }
        (Some(owner), Takeover::IfUnowned) => owner.boot == request.local.boot,
    };
    if !wanted {
        return Ok(Outcome::Follow(head));
    }
    match check_takeover(platform, request, &head, now).await? {
        Action::Take => take_over(platform, request, head, revision).await,
        Action::Follow => Ok(Outcome::Follow(head)),
        Action::Wait(remaining) => Ok(Outcome::Wait { head, remaining }),
    }
}

async fn check_takeover<P: Api>(
    platform: &P,
    request: &AcquireRequest,
    head: &journal::Head,
    now: Instant,
) -> Result<Action, Error> {
    let Some(owner) = head.owner.as_ref().filter(|_| head.offline) else {
        return Ok(Action::Take);
    };
    // The configuration copy may lag behind, so the platform itself is asked.
    let vm_listed = get(platform, Kind::Vm, &owner.vm).await?.is_some();
    let seen = request
        .missing_owner
        .as_ref()
        .filter(|g| g.boot == owner.boot);
    let since = if ownership::is_replaced(owner, &request.local) {
        Some(request.started)
    } else {
        seen.map(|g| g.at)
    };
    Ok(ownership::decide(&Observation {
        head,
        local: &request.local,
        vm_listed,
        missing_for: since.map(|s| now.saturating_duration_since(s)),
        resend_window: request.resend_window,
    }))
}

async fn take_over<P: Api>(
    platform: &P,
    request: &AcquireRequest,
    old: journal::Head,
    revision: u64,
) -> Result<Outcome, Error> {
    let vm = &request.local.vm;
    if request.offline && get(platform, Kind::Vm, vm).await?.is_none() {
        return UnlistedSnafu { vm }.fail();
    }
    let prefix = journal::segment_prefix(request.shard);
    let list = platform
        .list(Kind::Journal, &prefix)
        .await
        .context(PlatformSnafu)?;
    let table = load(&old, &list.items)?;
    let head = journal::Head {
        owner: Some(request.local.clone()),
        epoch: old.epoch + 1,
        offline: request.offline,
        ..old
    };
    match put_head(platform, request.shard, &head, revision).await {
        Ok(revision) => {
            remove_orphans(platform, &head, &list.items).await;
            Ok(Outcome::Acquired {
                table,
                head,
                revision,
            })
        }
        Err(objects::Error::Conflict { current }) => {
            let (head, _) = parse_head(current.as_deref())?;
            Ok(Outcome::Follow(head))
        }
        Err(source) => Err(Error::Platform { source }),
    }
}

fn load(head: &journal::Head, items: &[Raw]) -> Result<Table, Error> {
    let mut segments = Vec::with_capacity(head.segments.len());
    for link in &head.segments {
        let raw = items.iter().find(|o| o.metadata.name == link.name);
        let Some(raw) = raw else {
            return MissingSnafu { name: &link.name }.fail();
        };
        let object = Object::<journal::Segment>::from_raw(raw);
        segments.push(object.context(MalformedSnafu { name: &link.name })?.spec);
    }
    Table::load(head, &segments).context(MalformedSnafu { name: "head" })
}

/// Deletes segments that no head will ever refer to: their writers lost the
/// shard before they could write the head.
async fn remove_orphans<P: Api>(platform: &P, head: &journal::Head, items: &[Raw]) {
    for raw in items {
        let name = &raw.metadata.name;
        let referred = head.segments.iter().any(|l| l.name == *name);
        let older = journal::segment_epoch(name).is_some_and(|e| e < head.epoch);
        if older && !referred {
            // A failure leaves the object to the next owner.
            let _ = platform
                .delete(Kind::Journal, name, raw.metadata.revision)
                .await;
        }
    }
}

/// Writes the head on condition that it is still at `revision`; returns the
/// new revision.
///
/// # Errors
/// As `objects::Api::put`.
pub async fn put_head<P: Api>(
    platform: &P,
    shard: u16,
    head: &journal::Head,
    revision: u64,
) -> Result<u64, objects::Error> {
    let mut object = Object::new(journal::head_name(shard), head.clone());
    object.metadata.revision = revision;
    let written = platform.put(to_raw(&object)?).await?;
    Ok(written.metadata.revision)
}

/// Writes a segment. Writing it again after a lost answer succeeds.
///
/// # Errors
/// As `objects::Api::put`.
pub async fn put_segment<P: Api>(
    platform: &P,
    name: &str,
    segment: &journal::Segment,
) -> Result<(), objects::Error> {
    let raw = to_raw(&Object::new(name, segment.clone()))?;
    match platform.put(raw.clone()).await {
        Ok(_) => Ok(()),
        Err(objects::Error::Conflict { current: Some(o) }) if o.spec == raw.spec => Ok(()),
        Err(e) => Err(e),
    }
}

/// Deletes segments that the head no longer refers to. A failure leaves them
/// to the next owner.
pub async fn delete_segments<P: Api>(platform: &P, names: Vec<String>) {
    for name in names {
        if let Ok(Some(raw)) = platform.get(Kind::Journal, &name).await {
            let _ = platform
                .delete(Kind::Journal, &name, raw.metadata.revision)
                .await;
        }
    }
}

/// Reads a head and its revision; the default head at revision 0 if there is none.
///
/// # Errors
/// Names the field that is malformed.
pub fn parse_head(raw: Option<&Raw>) -> Result<(journal::Head, u64), Error> {
    let Some(raw) = raw else {
        return Ok((journal::Head::default(), 0));
    };
    let name = &raw.metadata.name;
    let object = Object::<journal::Head>::from_raw(raw).context(MalformedSnafu { name })?;
    Ok((object.spec, object.metadata.revision))
}

async fn get<P: Api>(platform: &P, kind: Kind, name: &str) -> Result<Option<Raw>, Error> {
    platform.get(kind, name).await.context(PlatformSnafu)
}

fn to_raw<S: crate::resource::Resource>(object: &Object<S>) -> Result<Raw, objects::Error> {
    object.to_raw().map_err(|e| objects::Error::Rejected {
        status: 400,
        reason: e.to_string(),
    })
}
