//! Passes what the store says on from one node to the others of its region.
//!
//! Two hosts of each region, its scouts, follow the store; all others follow a scout and
//! turn to the store themselves only when no scout is in contact with it. So a change
//! crosses the link between regions once for each scout, and a node that the store turns
//! away still learns of it.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use log::{info, warn};
use parking_lot::Mutex;
use prost::Message;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use tokio::sync::watch;
use tokio::time;

use crate::clock::Clock;
use crate::fleet::catalog::{Catalog, Entry, Topic};
use crate::fleet::{Config, Phase, Release, Target};
use crate::net;
use crate::node::SharedCatalog;
use crate::node::follow::StoreContact;
use crate::rendezvous;

/// Path at which scouts hand the catalog out.
pub const PATH: &str = "/catalog";
/// Scouts of a region, at least.
const MIN_SCOUTS: usize = 2;
/// Scouts of a region, at most; each costs calls to the store and a copy of every change.
const MAX_SCOUTS: usize = 4;
/// Hosts of a region for one scout: a large configuration must reach all followers
/// within a second over the scouts' narrow links.
const HOSTS_PER_SCOUT: usize = 4;
/// Time after which a scout answers even if nothing changed.
const HOLD: Duration = Duration::from_millis(400);
/// Time for the head of a scout's answer.
const HEAD_LIMIT: Duration = Duration::from_millis(900);
/// Time for the rest of a scout's answer, which is long when the configuration is large.
const BODY_LIMIT: Duration = Duration::from_millis(1_600);
/// Age of a scout's contact with the store up to which it is followed. With the time for
/// noticing it, changes arrive well within the two seconds that the deployments allow.
const MAX_AGE: Duration = Duration::from_millis(1_100);
/// Pause after no scout could be followed.
const PAUSE: Duration = Duration::from_millis(500);
/// Effort of packing, 0 to 9.
const PACKING: u32 = 4;
/// Largest answer of a scout, bytes.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// Why a scout's answer can't be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The scout did not answer.
    #[snafu(display("{source}"))]
    Net {
        /// Cause.
        source: net::Error,
    },
    /// The scout has no catalog yet or lost the store.
    #[snafu(display("the scout at {address} is not in contact with the store: {reason}"))]
    Stale {
        /// Address of the scout.
        address: SocketAddr,
        /// What it said.
        reason: String,
    },
    /// The answer can't be decoded.
    #[snafu(display("malformed answer of a scout: {source}"))]
    Malformed {
        /// Cause.
        source: prost::DecodeError,
    },
    /// A part of the answer can't be unpacked.
    #[snafu(display("damaged part of a scout's answer: {source}"))]
    Damaged {
        /// Cause.
        source: io::Error,
    },
    /// A part of the answer has another shape than expected.
    #[snafu(display("unreadable part of a scout's answer: {source}"))]
    Shape {
        /// Cause.
        source: serde_json::Error,
    },
}

/// Answer of a scout.
#[derive(Clone, PartialEq, Message)]
struct Snapshot {
    /// Time since the scout was last in contact with the store, milliseconds.
    #[prost(uint64, tag = "1")]
    age: u64,
    /// Topics that are newer than the asker's.
    #[prost(message, repeated, tag = "2")]
    parts: Vec<Part>,
}

#[derive(Clone, PartialEq, Message)]
struct Part {
    /// Position in [`Topic::ALL`].
    #[prost(uint32, tag = "1")]
    topic: u32,
    /// Store revision of the last change.
    #[prost(uint64, tag = "2")]
    revision: u64,
    /// Gzipped JSON.
    #[prost(bytes = "vec", tag = "3")]
    data: Vec<u8>,
}

/// A model's versions with the time since each was named, milliseconds.
#[derive(Deserialize, Serialize)]
struct Versions {
    name: String,
    model: String,
    history: Vec<(u64, u64)>,
}

/// Parts that were encoded for the newest revision of each topic.
#[derive(Debug, Default)]
pub struct Cache {
    parts: Mutex<Vec<(Topic, u64, Vec<u8>)>>,
}

impl Cache {
    fn part(&self, catalog: &Catalog, topic: Topic, now: Instant) -> Result<Vec<u8>, Error> {
        let revision = catalog.revision(topic);
        // Ages change all the time, so releases are not kept.
        if topic == Topic::Releases {
            return encode(catalog, topic, now);
        }
        let mut parts = self.parts.lock();
        if let Some(found) = parts.iter().find(|p| (p.0, p.1) == (topic, revision)) {
            return Ok(found.2.clone());
        }
        let data = encode(catalog, topic, now)?;
        parts.retain(|p| p.0 != topic);
        parts.push((topic, revision, data.clone()));
        Ok(data)
    }
}

fn encode(catalog: &Catalog, topic: Topic, now: Instant) -> Result<Vec<u8>, Error> {
    let json = match topic {
        Topic::Config => serde_json::to_vec(&catalog.config.as_deref()),
        Topic::Targets => serde_json::to_vec(&catalog.targets),
        Topic::Releases => {
            let age = |at: Instant| {
                let age = now.saturating_duration_since(at).as_millis();
                u64::try_from(age).unwrap_or(u64::MAX)
            };
            let versions = catalog.releases.iter().map(|known| Versions {
                name: known.name.clone(),
                model: known.value.release.model.clone(),
                history: known
                    .value
                    .history
                    .iter()
                    .map(|(v, at)| (*v, age(*at)))
                    .collect(),
            });
            serde_json::to_vec(&versions.collect::<Vec<_>>())
        }
    };
    let mut packed = GzEncoder::new(Vec::new(), Compression::new(PACKING));
    packed
        .write_all(&json.context(ShapeSnafu)?)
        .context(DamagedSnafu)?;
    packed.finish().context(DamagedSnafu)
}

/// Scouts of a region among its targets, first the one to follow.
///
/// `centres` are the data centres of the region, sorted; `services` those with engines,
/// beside whose targets hosts run.
#[must_use]
pub fn scouts(catalog: &Catalog, centres: &[String], port: u16) -> Vec<SocketAddr> {
    let Some(config) = &catalog.config else {
        return Vec::new();
    };
    let has_host = |t: &Target| {
        let service = config.service(&t.service);
        service.is_some_and(|s| s.engine.is_some())
    };
    let near = catalog.targets.iter().map(|t| &t.value).filter(|t| {
        t.phase == Phase::Ready && has_host(t) && centres.binary_search(&t.data_center).is_ok()
    });
    let mut hosts: Vec<SocketAddr> = near
        .map(|t| SocketAddr::new(t.address.ip(), port))
        .collect();
    let rank = |a: &SocketAddr| rendezvous::weight(b"scout", &a.ip().to_string());
    hosts.sort_by_key(|a| std::cmp::Reverse(rank(a)));
    hosts.dedup();
    let count = hosts.len() / HOSTS_PER_SCOUT;
    hosts.truncate(count.clamp(MIN_SCOUTS, MAX_SCOUTS));
    hosts
}

/// Answers a node that asks for what is newer than `query`, once there is something or
/// after a while. `None` while this scout does not know everything.
pub async fn answer(
    board: &SharedCatalog,
    contact: &StoreContact,
    cache: &Cache,
    query: &str,
    clock: &impl Clock,
) -> Option<Bytes> {
    let known = parse(query)?;
    let mut views = board.subscribe();
    let is_newer = |catalog: &Catalog| {
        let topics = Topic::ALL.iter().zip(known);
        topics.into_iter().any(|(t, k)| catalog.revision(*t) > k)
    };
    let changed = views.wait_for(|catalog| is_newer(catalog));
    // Without a change, the answer still says how fresh this scout's knowledge is.
    let _ = time::timeout(HOLD, changed).await;
    let view = board.snapshot();
    if Topic::ALL.iter().any(|t| view.revision(*t) == 0) {
        return None;
    }
    let now = clock.now();
    let age = contact.age(now)?;
    let mut parts = Vec::new();
    for (topic, revision) in Topic::ALL.into_iter().zip(known) {
        if view.revision(topic) <= revision {
            continue;
        }
        match cache.part(&view, topic, now) {
            Ok(data) => parts.push(Part {
                topic: topic as u32,
                revision: view.revision(topic),
                data,
            }),
            Err(e) => {
                let reason = e.to_string();
                warn!(topic = topic.name(), reason = reason.as_str(); "catalog not encoded");
                return None;
            }
        }
    }
    let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    Some(Snapshot { age, parts }.encode_to_vec().into())
}

fn parse(query: &str) -> Option<[u64; 3]> {
    let mut numbers = query.split(',').map(|n| n.parse().ok());
    Some([numbers.next()??, numbers.next()??, numbers.next()??])
}

/// Follows the region's scouts and tells through `direct` whether this node must follow
/// the store itself. Scouts always do; `own` is this node's address for messages.
pub async fn run<C: Clock>(
    board: SharedCatalog,
    centres: Vec<String>,
    port: u16,
    own: SocketAddr,
    direct: watch::Sender<bool>,
    clock: C,
) {
    let mut connection = None;
    loop {
        let mut scouts = scouts(&board.snapshot(), &centres, port);
        if scouts.is_empty() || scouts.contains(&own) {
            set(&direct, true, "scout or without scouts");
            time::sleep(PAUSE).await;
            continue;
        }
        // Followers spread over the scouts, and stay with theirs while it is in contact.
        let key = own.ip().to_string();
        scouts.sort_by_key(|s| rendezvous::weight(key.as_bytes(), &s.ip().to_string()));
        let mut is_followed = false;
        for scout in scouts {
            match follow(&board, scout, &mut connection, &clock).await {
                Ok(()) => {
                    set(&direct, false, "following a scout");
                    is_followed = true;
                    break;
                }
                Err(e) => {
                    connection = None;
                    if !*direct.borrow() {
                        let reason = e.to_string();
                        warn!(scout:% = scout, reason = reason.as_str(); "scout not followed");
                    }
                }
            }
        }
        if !is_followed {
            set(&direct, true, "no scout in contact");
            time::sleep(PAUSE).await;
        }
    }
}

fn set(direct: &watch::Sender<bool>, is_direct: bool, reason: &'static str) {
    let changed = direct.send_if_modified(|old| std::mem::replace(old, is_direct) != is_direct);
    if changed {
        info!(direct = is_direct, reason; "store followed");
    }
}

/// Asks a scout once and takes its answer over.
async fn follow<C: Clock>(
    board: &SharedCatalog,
    scout: SocketAddr,
    connection: &mut Option<(SocketAddr, net::Connection)>,
    clock: &C,
) -> Result<(), Error> {
    let view = board.snapshot();
    let known = Topic::ALL.map(|t| view.revision(t).to_string()).join(",");
    drop(view);
    let mut request = Request::new(Full::default());
    *request.uri_mut() = format!("{PATH}?{known}").parse().unwrap_or_default();
    if let Ok(host) = scout.to_string().parse() {
        request.headers_mut().insert(header::HOST, host);
    }
    let open = connection.take().filter(|c| c.0 == scout && c.1.is_open());
    let mut open = match open {
        Some((_, open)) => open,
        None => net::Connection::open(scout, HEAD_LIMIT)
            .await
            .context(NetSnafu)?,
    };
    let limits = (HEAD_LIMIT, BODY_LIMIT);
    let answer = open.call_with_limits(request, limits, MAX_ANSWER).await;
    let answer = answer.context(NetSnafu)?;
    if answer.status() != StatusCode::OK {
        let reason = answer.status().to_string();
        let address = scout;
        return StaleSnafu { address, reason }.fail();
    }
    *connection = Some((scout, open));
    let snapshot = Snapshot::decode(answer.into_body()).context(MalformedSnafu)?;
    let now = clock.now();
    for part in snapshot.parts {
        apply(board, &part, now)?;
    }
    if Duration::from_millis(snapshot.age) > MAX_AGE {
        let reason = format!("last contact {} ms ago", snapshot.age);
        let address = scout;
        return StaleSnafu { address, reason }.fail();
    }
    Ok(())
}

fn apply(board: &SharedCatalog, part: &Part, now: Instant) -> Result<(), Error> {
    let mut json = Vec::new();
    let mut reader = GzDecoder::new(part.data.as_slice());
    reader.read_to_end(&mut json).context(DamagedSnafu)?;
    let revision = part.revision;
    match Topic::ALL.get(part.topic as usize) {
        Some(Topic::Config) => {
            let config: Option<Config> = serde_json::from_slice(&json).context(ShapeSnafu)?;
            if let Some(config) = config {
                let version = config.version;
                let applied = board.update(|c| c.update_config(revision, config));
                info!(topic = "config", version, revision, applied, from = "scout"; "config");
            }
        }
        Some(Topic::Targets) => {
            let list: Vec<Entry<Target>> = serde_json::from_slice(&json).context(ShapeSnafu)?;
            let count = list.len();
            let changed = board.update(|c| c.replace_targets(revision, list));
            info!(topic = "targets", revision, count, changed, from = "scout"; "listed");
        }
        Some(Topic::Releases) => {
            let models: Vec<Versions> = serde_json::from_slice(&json).context(ShapeSnafu)?;
            for versions in models {
                take_versions(board, &versions, revision, now);
            }
            board.update(|c| c.advance_releases(revision));
        }
        None => {}
    }
    Ok(())
}

fn take_versions(board: &SharedCatalog, versions: &Versions, revision: u64, now: Instant) {
    for (version, age) in &versions.history {
        let seen = now.checked_sub(Duration::from_millis(*age)).unwrap_or(now);
        let release = Release {
            model: versions.model.clone(),
            version: *version,
        };
        let applied = board.update(|c| c.add_release(&versions.name, revision, release, seen));
        if applied {
            info!(topic = "releases", model = versions.model.as_str(), version, revision, from = "scout"; "release");
        }
    }
}
