//! Relays the catalog of the store within a region.
//!
//! A few hosts of each region are its relays. The first one follows the store, the others
//! follow it, and all other nodes of the region poll a relay. A change therefore crosses the
//! link between regions once, and a node whose calls the store refuses still receives it. A
//! node follows the store itself when it finds no relay that is in contact with it. Log
//! lines call a relay `scout`.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use log::{info, warn};
use prost::Message;
use rand::RngExt;
use snafu::{ResultExt, Snafu};
use tokio::sync::watch;
use tokio::time;

use crate::clock::Clock;
use crate::fleet::catalog::{Catalog, Topic};
use crate::net;
use crate::node::SharedCatalog;
use crate::node::freshness::StoreContact;

pub mod choice;
pub mod codec;

/// HTTP path at which a relay serves the catalog.
pub const PATH: &str = "/catalog";
/// Time after which a relay answers a long poll even if nothing changed.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for connecting to a relay, which is in the same region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for the head of a response.
const HEAD_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout for the body of a response, which is long when the configuration is large.
const BODY_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Longest time since a relay's last contact with the store for it to be followed. Together
/// with the time to detect this, changes arrive well within the two seconds that
/// deployments allow.
const MAX_AGE: Duration = Duration::from_millis(1_100);
/// Time until the relays are chosen and tried again while this node follows the store.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time until the relays are tried again while this node waits for one of them.
const WAIT_INTERVAL: Duration = Duration::from_millis(100);
/// Silent relays after which no further one is tried at once: each takes `HEAD_TIMEOUT`.
const MAX_SILENT: usize = 2;
/// Largest response body of a relay, bytes.
const MAX_RESPONSE: usize = 16 * 1024 * 1024;

/// Errors of polling a relay and of encoding the catalog.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
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
    /// A topic is too large after decompression.
    #[snafu(display("catalog topic is larger than {limit} bytes"))]
    TooLarge {
        /// Limit.
        limit: u64,
    },
    /// A topic can't be converted to or from JSON.
    #[snafu(display("can't encode or decode a catalog topic as JSON: {source}"))]
    Json {
        /// Cause.
        source: serde_json::Error,
    },
}

impl Error {
    /// Whether the relay accepted the request and began no response in time.
    fn is_silent(&self) -> bool {
        let Self::Net { source } = self else {
            return false;
        };
        matches!(source, net::Error::Timeout { limit, .. } if *limit == HEAD_TIMEOUT)
    }
}

/// Answers a long poll with the topics that are newer than the revisions in `query`. Waits
/// until there is one, at most `LONG_POLL_TIMEOUT`. `None` if the query is malformed or
/// the catalog is still incomplete.
pub async fn respond(
    catalog: &SharedCatalog,
    contact: &StoreContact,
    cache: &codec::Cache,
    query: &str,
    clock: &impl Clock,
) -> Option<Bytes> {
    let mut known = codec::Known::parse(query)?;
    let has_evacuations = contact.follows(Topic::Evacuations);
    if !has_evacuations {
        known.evacuations = None;
    }
    let asked = clock.now();
    let mut updates = catalog.subscribe();
    let changed = updates.wait_for(|catalog| known.is_outdated(catalog));
    // On timeout the response has no topics but still says how fresh the catalog is.
    let _ = time::timeout(LONG_POLL_TIMEOUT, changed).await;
    let snapshot = catalog.snapshot();
    if !contact.is_complete(&snapshot) {
        return None;
    }
    let now = clock.now();
    let age = contact.age(now)?;
    let parts = cache.parts(&snapshot, known, now).inspect_err(|e| {
        let reason = e.to_string();
        warn!(reason = reason.as_str(); "catalog topic not encoded");
    });
    let response = codec::Response {
        age_ms: codec::millis(age),
        parts: parts.ok()?,
        held_ms: codec::millis(now.saturating_duration_since(asked)),
        era: snapshot.era(),
        has_evacuations,
    };
    Some(response.encode_to_vec().into())
}

/// What a node needs to follow the relays of its region.
#[derive(Clone, Debug)]
pub struct Region {
    /// Data centres of the region, sorted.
    pub data_centers: Vec<String>,
    /// Port of all hosts.
    pub port: u16,
    /// Message address of this node.
    pub own: SocketAddr,
    /// Time within which a change must be in force.
    pub limit: Duration,
}

impl Region {
    /// Addresses of the region's relays.
    #[must_use]
    pub fn relays(&self, catalog: &Catalog) -> Vec<SocketAddr> {
        choice::relays(catalog, &self.data_centers, self.port)
    }

    /// Time without contact to any of `relays` after which this node follows the store itself.
    fn patience(&self, relays: &[SocketAddr]) -> Duration {
        choice::patience(relays, self.own, self.limit, rand::rng().random())
    }
}

/// How a node keeps its catalog current.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// From a relay.
    Relayed,
    /// From a relay of an earlier version, which has no evacuations; these from the store itself.
    Partial,
    /// From the store itself.
    Direct {
        /// Time that the relays get, once the store answers again after an outage, before this
        /// node lists the catalog itself.
        precedence: Duration,
    },
}

impl Mode {
    /// Whether the node follows the store itself.
    #[must_use]
    pub fn is_direct(self) -> bool {
        matches!(self, Self::Direct { .. })
    }

    /// Whether the node follows `topic` at the store itself.
    #[must_use]
    pub fn follows(self, topic: Topic) -> bool {
        self.is_direct() || self == Self::Partial && topic == Topic::Evacuations
    }
}

/// Polls the region's relays and sets `mode` to whether this node must follow the store itself, as
/// the first relay always does.
pub async fn run<C: Clock>(
    catalog: SharedCatalog,
    contact: StoreContact,
    region: Region,
    mode: watch::Sender<Mode>,
    clock: C,
) {
    let mut follower = Follower {
        catalog,
        contact,
        connection: None,
        is_silent: false,
        lacks_evacuations: false,
        clock,
    };
    // Until the first contact, the relays need time to list the catalog themselves.
    let mut patience_end = follower.clock.now() + region.limit;
    loop {
        let relays = region.relays(&follower.catalog.snapshot());
        let upstreams = choice::upstreams(&relays, region.own);
        if upstreams.is_empty() {
            let precedence = Duration::ZERO;
            let reason = "this node is the first relay or there is none";
            set_mode(&mode, Mode::Direct { precedence }, reason);
            time::sleep(RETRY_INTERVAL).await;
            continue;
        }
        let is_direct = mode.borrow().is_direct();
        let asked = follower.clock.now();
        if follower.poll_any(&upstreams, is_direct).await {
            if follower.lacks_evacuations {
                let reason = "following a relay without evacuations";
                set_mode(&mode, Mode::Partial, reason);
            } else {
                set_mode(&mode, Mode::Relayed, "following a relay");
            }
            patience_end = follower.clock.now() + region.patience(&relays);
            continue;
        }
        // Relays that are silent may be paused, and asking them again takes as long again. Those
        // that answered, but too slowly, get another chance.
        let judged = if follower.is_silent {
            follower.clock.now()
        } else {
            asked
        };
        if is_direct {
            time::sleep(RETRY_INTERVAL).await;
        } else if judged >= patience_end {
            let precedence = choice::precedence(region.patience(&relays), region.limit);
            let reason = "no relay in contact with the store";
            set_mode(&mode, Mode::Direct { precedence }, reason);
        } else {
            time::sleep(WAIT_INTERVAL).await;
        }
    }
}

fn set_mode(current: &watch::Sender<Mode>, mode: Mode, reason: &'static str) {
    let changed = current.send_if_modified(|old| std::mem::replace(old, mode) != mode);
    if changed {
        info!(direct = mode.is_direct(), reason; "store follow mode changed");
    }
}

/// Client of relays.
struct Follower<C: Clock> {
    catalog: SharedCatalog,
    contact: StoreContact,
    connection: Option<(SocketAddr, net::Connection)>,
    /// Whether the relays last polled accepted the requests and began no response.
    is_silent: bool,
    /// Whether this node follows evacuations and the relay last polled does not.
    lacks_evacuations: bool,
    clock: C,
}

impl<C: Clock> Follower<C> {
    /// Polls the relays in order until one is in contact with the store; returns whether
    /// there is one. Unless this node follows the store meanwhile, ends early when `MAX_SILENT`
    /// were silent.
    async fn poll_any(&mut self, relays: &[SocketAddr], is_direct: bool) -> bool {
        let mut silent = 0;
        for (tried, relay) in (1..).zip(relays) {
            match self.poll(*relay).await {
                Ok(()) => return true,
                Err(e) => {
                    self.connection = None;
                    silent += usize::from(e.is_silent());
                    self.is_silent = silent == tried;
                    if !is_direct {
                        let reason = e.to_string();
                        warn!(scout:% = relay, reason = reason.as_str(); "relay poll failed");
                    }
                    if silent == MAX_SILENT && !is_direct {
                        return false;
                    }
                }
            }
        }
        false
    }

    /// Polls a relay once and applies its response to the catalog.
    async fn poll(&mut self, relay: SocketAddr) -> Result<(), Error> {
        let mut known = codec::Known::of(&self.catalog.snapshot());
        let has_evacuations = self.contact.follows(Topic::Evacuations);
        if !has_evacuations {
            known.evacuations = None;
        }
        let query = known.query();
        let mut request = Request::new(Full::default());
        *request.uri_mut() = format!("{PATH}?{query}").parse().unwrap_or_default();
        if let Ok(host) = relay.to_string().parse() {
            request.headers_mut().insert(header::HOST, host);
        }
        let kept = self
            .connection
            .take()
            .filter(|c| c.0 == relay && c.1.is_open());
        let mut connection = match kept {
            Some((_, connection)) => connection,
            None => net::Connection::open(relay, CONNECT_TIMEOUT)
                .await
                .context(NetSnafu)?,
        };
        let asked = self.clock.now();
        let limits = (HEAD_TIMEOUT, BODY_TIMEOUT);
        let response = connection.call_with_limits(request, limits, MAX_RESPONSE);
        let response = response.await.context(NetSnafu)?;
        if response.status() != StatusCode::OK {
            let reason = response.status().to_string();
            let address = relay;
            return StaleSnafu { address, reason }.fail();
        }
        self.connection = Some((relay, connection));
        let response = codec::Response::decode(response.into_body()).context(MalformedSnafu)?;
        let sent = codec::sent_time(asked, response.held_ms, self.clock.now());
        for part in &response.parts {
            codec::apply(&self.catalog, part, sent)?;
        }
        let era = self.catalog.snapshot().era();
        if response.era < era {
            let reason = format!("store era {}, {era} is known", response.era);
            let address = relay;
            return StaleSnafu { address, reason }.fail();
        }
        let age = Duration::from_millis(response.age_ms);
        if age > MAX_AGE {
            let reason = format!("last contact {} ms ago", response.age_ms);
            let address = relay;
            return StaleSnafu { address, reason }.fail();
        }
        self.lacks_evacuations = has_evacuations && !response.has_evacuations;
        self.contact
            .record_relayed(sent.checked_sub(age).unwrap_or(sent));
        Ok(())
    }
}
