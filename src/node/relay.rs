//! Relays the catalog of the store within a region.
//!
//! Two to four hosts of each region, its relays, follow the store. All other nodes poll a
//! relay and follow the store directly only when no relay is in contact with it. A change
//! therefore crosses the link between regions once per relay, and a node whose calls the
//! store refuses still receives it. Log lines call a relay `scout`.

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

/// HTTP path at which a relay serves the catalog.
pub const PATH: &str = "/catalog";
/// Minimum number of relays per region.
const MIN_RELAYS: usize = 2;
/// Maximum number of relays per region, since each one calls the store and receives every
/// change.
const MAX_RELAYS: usize = 4;
/// Hosts per relay: a large configuration must reach all followers within a second over
/// the relays' narrow links.
const HOSTS_PER_RELAY: usize = 4;
/// Time after which a relay answers a long poll even if nothing changed.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for connecting to a relay and for the head of its response.
const HEAD_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout for the body of a response, which is long when the configuration is large.
const BODY_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Longest time since a relay's last contact with the store for it to be followed. Together
/// with the time to detect this, changes arrive well within the two seconds that
/// deployments allow.
const MAX_AGE: Duration = Duration::from_millis(1_100);
/// Time until the relays are chosen and tried again while this node follows the store.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Gzip compression level, 0 to 9.
const GZIP_LEVEL: u32 = 4;
/// Largest response body of a relay, bytes.
const MAX_RESPONSE: usize = 16 * 1024 * 1024;

/// Errors of polling a relay and of encoding the catalog.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The request failed.
    #[snafu(display("{source}"))]
    Net {
        /// Cause.
        source: net::Error,
    },
    /// The relay has no complete catalog or lost contact with the store.
    #[snafu(display("relay {address} is not in contact with the store: {reason}"))]
    Stale {
        /// Address of the relay.
        address: SocketAddr,
        /// HTTP status or time since its last contact.
        reason: String,
    },
    /// The response can't be decoded.
    #[snafu(display("malformed relay response: {source}"))]
    Malformed {
        /// Cause.
        source: prost::DecodeError,
    },
    /// A topic can't be compressed or decompressed.
    #[snafu(display("can't compress or decompress a catalog topic: {source}"))]
    Compression {
        /// Cause.
        source: io::Error,
    },
    /// A topic can't be converted to or from JSON.
    #[snafu(display("can't encode or decode a catalog topic as JSON: {source}"))]
    Json {
        /// Cause.
        source: serde_json::Error,
    },
}

/// Response of a relay.
#[derive(Clone, PartialEq, Message)]
struct Response {
    /// Time since the relay's last contact with the store, milliseconds.
    #[prost(uint64, tag = "1")]
    age_ms: u64,
    /// Topics of which the relay has a newer revision than the follower.
    #[prost(message, repeated, tag = "2")]
    parts: Vec<Part>,
}

/// One topic of the catalog.
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

/// Released versions of a model, each with the time since its release, milliseconds.
#[derive(Deserialize, Serialize)]
struct ReleasedVersions {
    name: String,
    model: String,
    history: Vec<(u64, u64)>,
}

/// Topics as encoded for their newest revision, so that each is compressed once for all
/// followers.
#[derive(Debug, Default)]
pub struct Cache {
    parts: Mutex<Vec<(Topic, u64, Vec<u8>)>>,
}

impl Cache {
    fn part(&self, catalog: &Catalog, topic: Topic, now: Instant) -> Result<Vec<u8>, Error> {
        let revision = catalog.revision(topic);
        // Not cached: releases are encoded with their age, which differs in every response.
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
            let versions = catalog.releases.iter().map(|entry| ReleasedVersions {
                name: entry.name.clone(),
                model: entry.value.release.model.clone(),
                history: entry
                    .value
                    .history
                    .iter()
                    .map(|(v, at)| (*v, age(*at)))
                    .collect(),
            });
            serde_json::to_vec(&versions.collect::<Vec<_>>())
        }
    };
    let mut encoder = GzEncoder::new(Vec::new(), Compression::new(GZIP_LEVEL));
    encoder
        .write_all(&json.context(JsonSnafu)?)
        .context(CompressionSnafu)?;
    encoder.finish().context(CompressionSnafu)
}

/// Addresses of a region's relays, in an order that is the same on all nodes.
///
/// `data_centers` are the data centres of the region, sorted; `port` is the port of all
/// hosts. Only hosts of ready targets of services with an engine can be relays.
#[must_use]
pub fn relays(catalog: &Catalog, data_centers: &[String], port: u16) -> Vec<SocketAddr> {
    let Some(config) = &catalog.config else {
        return Vec::new();
    };
    let has_host = |t: &Target| {
        let service = config.service(&t.service);
        service.is_some_and(|s| s.engine.is_some())
    };
    let eligible = catalog.targets.iter().map(|t| &t.value).filter(|t| {
        t.phase == Phase::Ready && has_host(t) && data_centers.binary_search(&t.data_center).is_ok()
    });
    let mut hosts: Vec<SocketAddr> = eligible
        .map(|t| SocketAddr::new(t.address.ip(), port))
        .collect();
    // Part of the protocol: all nodes must rank with the same key.
    let rank = |a: &SocketAddr| rendezvous::weight(b"scout", &a.ip().to_string());
    hosts.sort_by_key(|a| std::cmp::Reverse(rank(a)));
    hosts.dedup();
    let count = hosts.len() / HOSTS_PER_RELAY;
    hosts.truncate(count.clamp(MIN_RELAYS, MAX_RELAYS));
    hosts
}

/// Answers a long poll with the topics that are newer than the revisions in `query`. Waits
/// until there is one, at most `LONG_POLL_TIMEOUT`. `None` if the query is malformed or
/// the catalog is still incomplete.
pub async fn respond(
    catalog: &SharedCatalog,
    contact: &StoreContact,
    cache: &Cache,
    query: &str,
    clock: &impl Clock,
) -> Option<Bytes> {
    let known = parse(query)?;
    let mut updates = catalog.subscribe();
    let is_newer = |catalog: &Catalog| {
        let topics = Topic::ALL.iter().zip(known);
        topics.into_iter().any(|(t, k)| catalog.revision(*t) > k)
    };
    let changed = updates.wait_for(|catalog| is_newer(catalog));
    // On timeout the response has no topics but still says how fresh the catalog is.
    let _ = time::timeout(LONG_POLL_TIMEOUT, changed).await;
    let snapshot = catalog.snapshot();
    if Topic::ALL.iter().any(|t| snapshot.revision(*t) == 0) {
        return None;
    }
    let now = clock.now();
    let age = contact.age(now)?;
    let mut parts = Vec::new();
    for (topic, revision) in Topic::ALL.into_iter().zip(known) {
        if snapshot.revision(topic) <= revision {
            continue;
        }
        match cache.part(&snapshot, topic, now) {
            Ok(data) => parts.push(Part {
                topic: topic as u32,
                revision: snapshot.revision(topic),
                data,
            }),
            Err(e) => {
                let reason = e.to_string();
                warn!(topic = topic.name(), reason = reason.as_str(); "catalog topic not encoded");
                return None;
            }
        }
    }
    let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    Some(Response { age_ms, parts }.encode_to_vec().into())
}

/// Revisions in a query, in the order of [`Topic::ALL`].
fn parse(query: &str) -> Option<[u64; 3]> {
    let mut numbers = query.split(',').map(|n| n.parse().ok());
    Some([numbers.next()??, numbers.next()??, numbers.next()??])
}

/// Polls the region's relays and sets `direct` to whether this node must follow the store
/// directly, as relays always do. `own` is this node's message address.
pub async fn run<C: Clock>(
    catalog: SharedCatalog,
    data_centers: Vec<String>,
    port: u16,
    own: SocketAddr,
    direct: watch::Sender<bool>,
    clock: C,
) {
    let mut connection = None;
    loop {
        let mut relays = relays(&catalog.snapshot(), &data_centers, port);
        if relays.is_empty() || relays.contains(&own) {
            set_direct(&direct, true, "this node is a relay or there is none");
            time::sleep(RETRY_INTERVAL).await;
            continue;
        }
        // Each follower has its own order of relays, which spreads the load; it stays with
        // the first relay that is in contact with the store.
        let key = own.ip().to_string();
        relays.sort_by_key(|r| rendezvous::weight(key.as_bytes(), &r.ip().to_string()));
        let mut has_relay = false;
        for relay in relays {
            match poll(&catalog, relay, &mut connection, &clock).await {
                Ok(()) => {
                    set_direct(&direct, false, "following a relay");
                    has_relay = true;
                    break;
                }
                Err(e) => {
                    connection = None;
                    if !*direct.borrow() {
                        let reason = e.to_string();
                        warn!(scout:% = relay, reason = reason.as_str(); "relay poll failed");
                    }
                }
            }
        }
        if !has_relay {
            set_direct(&direct, true, "no relay in contact with the store");
            time::sleep(RETRY_INTERVAL).await;
        }
    }
}

fn set_direct(direct: &watch::Sender<bool>, is_direct: bool, reason: &'static str) {
    let changed = direct.send_if_modified(|old| std::mem::replace(old, is_direct) != is_direct);
    if changed {
        info!(direct = is_direct, reason; "store follow mode changed");
    }
}

/// Polls a relay once and applies its response to the catalog.
async fn poll<C: Clock>(
    catalog: &SharedCatalog,
    relay: SocketAddr,
    connection: &mut Option<(SocketAddr, net::Connection)>,
    clock: &C,
) -> Result<(), Error> {
    let snapshot = catalog.snapshot();
    let known = Topic::ALL
        .map(|t| snapshot.revision(t).to_string())
        .join(",");
    drop(snapshot);
    let mut request = Request::new(Full::default());
    *request.uri_mut() = format!("{PATH}?{known}").parse().unwrap_or_default();
    if let Ok(host) = relay.to_string().parse() {
        request.headers_mut().insert(header::HOST, host);
    }
    let open = connection.take().filter(|c| c.0 == relay && c.1.is_open());
    let mut open = match open {
        Some((_, open)) => open,
        None => net::Connection::open(relay, HEAD_TIMEOUT)
            .await
            .context(NetSnafu)?,
    };
    let limits = (HEAD_TIMEOUT, BODY_TIMEOUT);
    let response = open.call_with_limits(request, limits, MAX_RESPONSE).await;
    let response = response.context(NetSnafu)?;
    if response.status() != StatusCode::OK {
        let reason = response.status().to_string();
        let address = relay;
        return StaleSnafu { address, reason }.fail();
    }
    *connection = Some((relay, open));
    let response = Response::decode(response.into_body()).context(MalformedSnafu)?;
    let now = clock.now();
    for part in response.parts {
        apply(catalog, &part, now)?;
    }
    if Duration::from_millis(response.age_ms) > MAX_AGE {
        let reason = format!("last contact {} ms ago", response.age_ms);
        let address = relay;
        return StaleSnafu { address, reason }.fail();
    }
    Ok(())
}

fn apply(catalog: &SharedCatalog, part: &Part, now: Instant) -> Result<(), Error> {
    let mut json = Vec::new();
    let mut reader = GzDecoder::new(part.data.as_slice());
    reader.read_to_end(&mut json).context(CompressionSnafu)?;
    let revision = part.revision;
    match Topic::ALL.get(part.topic as usize) {
        Some(Topic::Config) => {
            let config: Option<Config> = serde_json::from_slice(&json).context(JsonSnafu)?;
            if let Some(config) = config {
                let version = config.version;
                let applied = catalog.update(|c| c.update_config(revision, config));
                info!(topic = "config", version, revision, applied, from = "scout"; "config received");
            }
        }
        Some(Topic::Targets) => {
            let list: Vec<Entry<Target>> = serde_json::from_slice(&json).context(JsonSnafu)?;
            let count = list.len();
            let changed = catalog.update(|c| c.replace_targets(revision, list));
            info!(topic = "targets", revision, count, changed, from = "scout"; "targets listed");
        }
        Some(Topic::Releases) => {
            let models: Vec<ReleasedVersions> = serde_json::from_slice(&json).context(JsonSnafu)?;
            for versions in models {
                apply_versions(catalog, &versions, revision, now);
            }
            catalog.update(|c| c.advance_releases(revision));
        }
        None => {}
    }
    Ok(())
}

fn apply_versions(
    catalog: &SharedCatalog,
    versions: &ReleasedVersions,
    revision: u64,
    now: Instant,
) {
    for (version, age) in &versions.history {
        let seen = now.checked_sub(Duration::from_millis(*age)).unwrap_or(now);
        let release = Release {
            model: versions.model.clone(),
            version: *version,
        };
        let applied = catalog.update(|c| c.add_release(&versions.name, revision, release, seen));
        if applied {
            info!(topic = "releases", model = versions.model.as_str(), version, revision, from = "scout"; "release received");
        }
    }
}
