//! Relays the catalog of the store within a region.
//!
//! A few hosts of each region are its relays. The first one follows the store, the others
//! follow it, and all other nodes of the region poll a relay. A change therefore crosses the
//! link between regions once, and a node whose calls the store refuses still receives it. A
//! node follows the store itself when it finds no relay that is in contact with it. Log
//! lines call a relay `scout`.

use std::future;
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

use crate::clock::{Clock, Moment};
use crate::fleet::catalog::{Catalog, Topic};
use crate::net;
use crate::node::SharedCatalog;
use crate::node::budget::Budget;
use crate::node::freshness::StoreContact;

pub mod choice;
pub mod codec;

/// HTTP path at which a relay serves the catalog.
pub const PATH: &str = "/catalog";
/// Timeout for the body of a response, which is long when the configuration is large.
const BODY_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Time until the relays are chosen and tried again while this node follows the store.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time until the relays are tried again while this node waits for one of them.
const WAIT_INTERVAL: Duration = Duration::from_millis(100);
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

/// Answers a long poll with the topics that are newer than the revisions in `query`. Waits
/// until there is one, or until this node's confirmation is clearly younger than the follower's, at
/// most the budget's time. A relay that has lost the store answers at once. `None` if the query is
/// malformed or the catalog is still incomplete.
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
    let asked = Moment::of(clock);
    let mut updates = catalog.subscribe();
    let mut confirmations = contact.subscribe();
    let budget = contact.base();
    let age = contact.age(asked).unwrap_or_default();
    let hold = if contact.is_receiving(asked) {
        budget.poll_hold()
    } else {
        { budget.shortest_lease().saturating_sub(age) }.min(budget.poll_hold())
    };
    let gains = || {
        let now = Moment::of(clock);
        let theirs = known.age_ms.map(Duration::from_millis);
        let theirs = theirs.map(|age| age + now.since(asked));
        theirs
            .zip(contact.age(now))
            .is_some_and(|(theirs, own)| theirs >= own + budget.poll_gain())
    };
    let changed = async {
        tokio::select! {
            _ = updates.wait_for(|catalog| known.is_outdated(catalog)) => {}
            _ = confirmations.wait_for(|()| gains()) => {}
        }
    };
    // On timeout the response has no topics but still says how fresh the catalog is.
    let _ = time::timeout(hold, changed).await;
    // Confirmations first: the snapshot has at least what they confirm.
    let now = Moment::of(clock);
    let age = contact.age(now);
    let revisions = { Topic::ALL.iter() }
        .map(|t| contact.revision(*t).unwrap_or(0))
        .collect();
    let snapshot = catalog.snapshot();
    if !contact.is_complete(&snapshot) {
        return None;
    }
    let parts = cache.parts(&snapshot, known, now.now).inspect_err(|e| {
        let reason = e.to_string();
        warn!(reason = reason.as_str(); "catalog topic not encoded");
    });
    let response = codec::Response {
        age_ms: codec::millis(age?),
        parts: parts.ok()?,
        held_ms: codec::millis(now.now.saturating_duration_since(asked.now)),
        era: snapshot.era(),
        has_evacuations,
        revisions,
        is_receiving: contact.is_receiving(now),
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
    /// Whether this node sends callers' requests to targets.
    pub is_gateway: bool,
}

impl Region {
    /// Addresses of the region's relays.
    #[must_use]
    pub fn relays(&self, catalog: &Catalog) -> Vec<SocketAddr> {
        choice::relays(catalog, &self.data_centers, self.port)
    }

    /// Lease of this node; `draw`, a uniform random number in 0..1, spreads those of all nodes.
    fn lease(&self, relays: &[SocketAddr], budget: Budget, draw: f64) -> Duration {
        // Patience is at most half of the time that it is derived from.
        let spread = budget.lease_spread() * 2;
        let lease = budget.shortest_lease() + choice::patience(relays, self.own, spread, draw);
        if self.is_gateway || relays.contains(&self.own) {
            lease
        } else {
            lease + budget.host_extension()
        }
    }

    /// Time that the relays get after an outage of the store.
    fn precedence(&self, relays: &[SocketAddr], draw: f64) -> Duration {
        let patience = choice::patience(relays, self.own, self.limit, draw);
        choice::precedence(patience, self.limit)
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
/// the first relay always does and all others when their lease ends.
pub async fn run<C: Clock>(
    catalog: SharedCatalog,
    contact: StoreContact,
    region: Region,
    mode: watch::Sender<Mode>,
    clock: C,
) {
    let budget = contact.base();
    let mut follower = Follower {
        catalog,
        contact,
        connection: None,
        failed: Vec::new(),
        lacks_evacuations: false,
        clock,
    };
    let started = Moment::of(&follower.clock);
    let mut draw = rand::rng().random();
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
        let precedence = region.precedence(&relays, draw);
        let direct = Mode::Direct { precedence };
        let is_direct = mode.borrow().is_direct();
        let now = Moment::of(&follower.clock);
        let left = match follower.contact.age(now) {
            Some(age) => region.lease(&relays, budget, draw).saturating_sub(age),
            // Until the first contact, the relays need time to list the catalog themselves.
            None => region.limit.saturating_sub(now.since(started)),
        };
        let lease_end = time::Instant::now() + left;
        // Relays can take long to answer, or fall silent: the lease ends all the same, except while
        // the answer is arriving.
        let contact = follower.contact.clone();
        let clock = follower.clock.clone();
        let last_end = lease_end + budget.receiving_extension();
        let expired = async {
            time::sleep_until(lease_end).await;
            while contact.is_receiving(Moment::of(&clock)) && time::Instant::now() < last_end {
                time::sleep(budget.poll_gain()).await;
            }
            set_mode(&mode, direct, "lease ended");
            future::pending::<()>().await;
        };
        let is_relayed = tokio::select! {
            is_relayed = follower.poll_any(&upstreams, is_direct) => is_relayed,
            () = expired, if !is_direct => false,
        };
        if is_relayed {
            if follower.lacks_evacuations {
                let reason = "following a relay without evacuations";
                set_mode(&mode, Mode::Partial, reason);
            } else {
                set_mode(&mode, Mode::Relayed, "following a relay");
            }
            draw = rand::rng().random();
        } else if mode.borrow().is_direct() {
            time::sleep(RETRY_INTERVAL).await;
        } else if choice::patience(&relays, region.own, region.limit, draw).is_zero() {
            set_mode(&mode, direct, "no relay in contact with the store");
        } else {
            time::sleep_until(lease_end.min(time::Instant::now() + WAIT_INTERVAL)).await;
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
    /// Relays whose last poll failed, and when.
    failed: Vec<(SocketAddr, Moment)>,
    /// Whether this node follows evacuations and the relay last polled does not.
    lacks_evacuations: bool,
    clock: C,
}

impl<C: Clock> Follower<C> {
    /// Polls the relays until one is in contact with the store, those that failed lately after all
    /// others; returns whether there is one.
    async fn poll_any(&mut self, relays: &[SocketAddr], is_direct: bool) -> bool {
        let now = Moment::of(&self.clock);
        let avoidance = self.contact.base().avoidance();
        self.failed.retain(|(_, at)| now.since(*at) < avoidance);
        for relay in choice::avoiding(relays, &self.failed) {
            self.failed.retain(|(failed, _)| *failed != relay);
            let Err(e) = self.poll(relay).await else {
                return true;
            };
            self.connection = None;
            self.failed.push((relay, Moment::of(&self.clock)));
            if !is_direct {
                let reason = e.to_string();
                warn!(scout:% = relay, reason = reason.as_str(); "relay poll failed");
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
        let age = self.contact.age(Moment::of(&self.clock));
        known.age_ms = age.map(codec::millis);
        let query = known.query();
        let mut request = Request::new(Full::default());
        *request.uri_mut() = format!("{PATH}?{query}").parse().unwrap_or_default();
        if let Ok(host) = relay.to_string().parse() {
            request.headers_mut().insert(header::HOST, host);
        }
        let budget = self.contact.base();
        let kept = self
            .connection
            .take()
            .filter(|c| c.0 == relay && c.1.is_open());
        let mut connection = match kept {
            Some((_, connection)) => connection,
            None => net::Connection::open(relay, budget.connect_limit())
                .await
                .context(NetSnafu)?
                .telling(self.contact.arrivals()),
        };
        let asked = Moment::of(&self.clock);
        let limits = (budget.poll_limit(), BODY_TIMEOUT);
        let response = connection.call_with_limits(request, limits, MAX_RESPONSE);
        let response = response.await.context(NetSnafu)?;
        if response.status() != StatusCode::OK {
            let reason = response.status().to_string();
            let address = relay;
            return StaleSnafu { address, reason }.fail();
        }
        self.connection = Some((relay, connection));
        let response = codec::Response::decode(response.into_body()).context(MalformedSnafu)?;
        let sent = codec::sent_time(asked.now, response.held_ms, self.clock.now());
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
        let now = Moment::of(&self.clock);
        self.contact.record_receiving(response.is_receiving, now);
        let longest = if response.is_receiving {
            budget.shortest_lease() + budget.receiving_extension()
        } else {
            budget.shortest_lease()
        };
        if age > longest {
            let reason = format!("last confirmed {} ms ago", response.age_ms);
            let address = relay;
            return StaleSnafu { address, reason }.fail();
        }
        self.lacks_evacuations = has_evacuations && !response.has_evacuations;
        self.confirm(&response, asked.after(sent - asked.now), age);
        Ok(())
    }

    /// Records what `response`, sent at the moment `sent`, confirms.
    fn confirm(&self, response: &codec::Response, sent: Moment, age: Duration) {
        let snapshot = self.catalog.snapshot();
        // A part is not adopted if the topic has changed since the poll began.
        let is_adopted = |topic: Topic| {
            let parts = response.parts.iter();
            let mut parts = parts.filter(|p| p.topic == topic as u32);
            parts.all(|p| p.revision <= snapshot.revision(topic))
        };
        let is_confirmed =
            |t: &Topic| (*t != Topic::Evacuations || response.has_evacuations) && is_adopted(*t);
        let topics: Vec<Topic> = self.contact.topics().filter(is_confirmed).collect();
        for topic in &topics {
            let revision = response.revisions.get(*topic as usize);
            let revision = revision.copied().unwrap_or(0);
            self.contact.record_revision(*topic, revision);
        }
        self.contact.record_relayed(&topics, sent, age);
    }
}
