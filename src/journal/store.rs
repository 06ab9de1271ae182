//! Reads, writes and takes over the stored objects of a shard.

use std::time::{Duration, Instant};

use snafu::{ResultExt, Snafu};

use super::ownership::{self, Action, Observation};
use super::table::Table;
use crate::objects::{self, Api};
use crate::resource::{Invalid, Kind, Object, Raw, journal};

/// Failure to read or acquire a shard.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A call to the platform failed.
    #[snafu(display("{source}"))]
    Platform {
        /// Cause.
        source: objects::Error,
    },
    /// An object of the journal is malformed.
    #[snafu(display("Journal/{name} is malformed: {source}"))]
    Malformed {
        /// Name of the object.
        name: String,
        /// Cause.
        source: Invalid,
    },
    /// The head refers to a segment that does not exist.
    #[snafu(display("Journal/{name} is missing"))]
    Missing {
        /// Name of the segment.
        name: String,
    },
    /// This process's VM is not in the platform's VM list yet. Offline mode needs
    /// it, since other processes would treat the owner as missing.
    #[snafu(display("VM {vm} is not in the VM list yet"))]
    Unlisted {
        /// Name of the VM.
        vm: String,
    },
}

/// Condition under which a shard may be taken over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Takeover {
    /// Only read the head.
    Never,
    /// Only if no other process owns it.
    IfUnowned,
    /// From the process with this boot identifier, which doesn't answer, or if no
    /// other process owns it.
    From(String),
}

/// Time of an event that concerns an owner.
#[derive(Clone, Debug)]
pub struct OwnerEvent {
    /// Boot identifier of the owner's process.
    pub boot: String,
    /// Time of the event.
    pub at: Instant,
}

/// Request to acquire a shard.
#[derive(Clone, Debug)]
pub struct AcquireRequest {
    /// Number of the shard.
    pub shard: u16,
    /// This process.
    pub local: journal::Owner,
    /// Start of this process.
    pub started: Instant,
    /// Condition for a takeover.
    pub takeover: Takeover,
    /// Whether a service allows offline mode.
    pub offline: bool,
    /// When the owner was first found missing, if it was.
    pub missing_owner: Option<OwnerEvent>,
    /// Time during which callers may still retry after an owner is lost.
    pub resend_window: Duration,
}

/// Result of an attempt to acquire a shard.
#[derive(Debug)]
pub enum Outcome {
    /// This process owns the shard.
    Acquired {
        /// All operations of the shard.
        table: Table,
        /// Stored head.
        head: journal::Head,
        /// Revision of the head.
        revision: u64,
    },
    /// The shard was not taken over; the head names its owner, if there is one.
    Follow(journal::Head),
    /// The owner is missing, but callers may still retry its operations.
    Wait {
        /// Head.
        head: journal::Head,
        /// Remaining time of the resend window.
        remaining: Duration,
    },
}

/// Reads the head and takes over the shard if `request.takeover` and the rules of
/// `ownership::decide` allow it.
///
/// # Errors
/// Fails when a call to the platform fails, an object is missing or malformed, or
/// the VM of this process is not listed yet. The caller must then act as if it
/// doesn't own the shard, although a write whose reply was lost may have taken
/// effect.
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
    // The local copy of the configuration may be stale, so the VM is read from the
    // platform.
    let vm_listed = get(platform, Kind::Vm, &owner.vm).await?.is_some();
    let missing = request
        .missing_owner
        .as_ref()
        .filter(|e| e.boot == owner.boot);
    let since = if ownership::is_replaced(owner, &request.local) {
        Some(request.started)
    } else {
        missing.map(|e| e.at)
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

/// Deletes segments that no head will refer to, since their writer lost the shard
/// before it could write the head.
async fn remove_orphans<P: Api>(platform: &P, head: &journal::Head, items: &[Raw]) {
    for raw in items {
        let name = &raw.metadata.name;
        let is_referenced = head.segments.iter().any(|l| l.name == *name);
        let is_older = journal::segment_epoch(name).is_some_and(|e| e < head.epoch);
        if is_older && !is_referenced {
            // After a failure, the next owner deletes the object.
            let _ = platform
                .delete(Kind::Journal, name, raw.metadata.revision)
                .await;
        }
    }
}

/// Writes the head if the stored one is still at `revision`; returns the new
/// revision.
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

/// Writes a segment. Writing the same segment again succeeds, for retries after a
/// lost reply.
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

/// Deletes segments that the head no longer refers to. After a failure, the next
/// owner deletes them.
pub async fn delete_segments<P: Api>(platform: &P, names: Vec<String>) {
    for name in names {
        if let Ok(Some(raw)) = platform.get(Kind::Journal, &name).await {
            let _ = platform
                .delete(Kind::Journal, &name, raw.metadata.revision)
                .await;
        }
    }
}

/// Parses a head; returns it with its revision, or the default head at revision 0
/// if `raw` is `None`.
///
/// # Errors
/// Names the malformed field.
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
