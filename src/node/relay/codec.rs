//! Responses of relays: topics of the catalog, whole or as changes, compressed.

use std::io::{Read, Write};
use std::sync::Arc;
use std::time::{Duration, Instant};

use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use log::info;
use parking_lot::Mutex;
use prost::Message;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::fleet::catalog::evacuations::Evacuation;
use crate::fleet::catalog::{Catalog, Entry, TargetChanges, Topic};
use crate::fleet::diff::ConfigChange;
use crate::fleet::{Config, Release, Target, revision};
use crate::node::SharedCatalog;
use crate::node::relay::{CompressionSnafu, Error, JsonSnafu, TooLargeSnafu};

/// Gzip compression level, 0 to 9.
const GZIP_LEVEL: u32 = 4;
/// Largest topic after decompression, bytes.
const MAX_TOPIC: u64 = 32 * 1024 * 1024;
/// Configurations kept for changes from them.
const MAX_CONFIGS: usize = 8;
/// Encoded parts kept; followers that lag behind need changes from other revisions.
const MAX_PARTS: usize = 16;

/// Response of a relay.
#[derive(Clone, PartialEq, Message)]
pub struct Response {
    /// Time since the relay, or the relay that it follows, is known to have had every change,
    /// as [`crate::node::freshness::StoreContact::age`], milliseconds.
    #[prost(uint64, tag = "1")]
    pub age_ms: u64,
    /// Topics of which the relay has a newer revision than the follower.
    #[prost(message, repeated, tag = "2")]
    pub parts: Vec<Part>,
    /// Time for which the relay held the request before it sent the response, milliseconds.
    /// The rest of the follower's wait passed on the way.
    #[prost(uint64, tag = "3")]
    pub held_ms: u64,
    /// Era of the newest state of the store that the relay knows.
    #[prost(uint64, tag = "4")]
    pub era: u64,
    /// Whether the relay follows evacuations; processes of earlier versions don't.
    #[prost(bool, tag = "5")]
    pub has_evacuations: bool,
    /// Store revisions from which watches of the topics miss no change that the response lacks, in
    /// the order of [`Topic::ALL`]; 0 if unknown, empty from processes of earlier versions.
    #[prost(uint64, repeated, tag = "6")]
    pub revisions: Vec<u64>,
    /// Whether the relay is receiving an answer of the store.
    #[prost(bool, tag = "7")]
    pub is_receiving: bool,
}

/// One topic of the catalog.
#[derive(Clone, PartialEq, Message)]
pub struct Part {
    /// Position in [`Topic::ALL`].
    #[prost(uint32, tag = "1")]
    pub topic: u32,
    /// Store revision of the last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Gzipped JSON.
    #[prost(bytes = "vec", tag = "3")]
    pub data: Vec<u8>,
    /// Revision after which `data` holds the changes; 0 if it holds the whole topic.
    #[prost(uint64, tag = "4")]
    pub base: u64,
}

/// Revisions of the topics that a follower has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Known {
    /// Revisions of configuration, targets and releases; 0 for an unknown topic.
    pub revisions: [u64; 3],
    /// Whether the follower understands changes; processes of earlier versions don't.
    pub takes_changes: bool,
    /// Version of the configuration and sum of the released versions. They order what the store
    /// lacks since it came back from a copy. `None` from processes of earlier versions.
    pub versions: Option<(u64, u64)>,
    /// Revision of the evacuations; `None` if the follower does not follow them, as processes of
    /// earlier versions.
    pub evacuations: Option<u64>,
    /// Age of the follower's own confirmation, milliseconds. `None` before its first one and from
    /// processes of earlier versions.
    pub age_ms: Option<u64>,
}

impl Known {
    /// What a node with `catalog` knows.
    #[must_use]
    pub fn of(catalog: &Catalog) -> Self {
        Self {
            revisions: [Topic::Config, Topic::Targets, Topic::Releases]
                .map(|t| catalog.revision(t)),
            takes_changes: true,
            versions: Some((config_version(catalog), catalog.release_sum())),
            evacuations: Some(catalog.evacuations_revision),
            age_ms: None,
        }
    }

    /// Query of a poll.
    #[must_use]
    pub fn query(&self) -> String {
        let [config, targets, releases] = self.revisions;
        let Some((version, sum)) = self.versions else {
            return format!("{config},{targets},{releases},1");
        };
        let query = format!("{config},{targets},{releases},1,{version},{sum}");
        match (self.evacuations, self.age_ms) {
            (Some(evacuations), Some(age)) => format!("{query},{evacuations},{age}"),
            (Some(evacuations), None) => format!("{query},{evacuations}"),
            (None, Some(age)) => format!("{query},-,{age}"),
            (None, None) => query,
        }
    }

    /// Parses a query; `None` if it is malformed.
    ///
    /// ```
    /// use corianderramp::node::relay::codec::Known;
    ///
    /// let known = Known::parse("4,9,2,1,30,5").unwrap();
    /// assert_eq!((known.revisions, known.takes_changes), ([4, 9, 2], true));
    /// assert_eq!(known.versions, Some((30, 5)));
    /// assert_eq!(known.evacuations, None);
    /// assert_eq!(Known::parse("4,9,2,1,30,5,8").unwrap().evacuations, Some(8));
    /// let known = Known::parse("4,9,2,1,30,5,-,120").unwrap();
    /// assert_eq!((known.evacuations, known.age_ms), (None, Some(120)));
    /// assert!(Known::parse("4,9").is_none());
    /// ```
    #[must_use]
    pub fn parse(query: &str) -> Option<Self> {
        let mut numbers = query.split(',').map(|n| n.parse().ok());
        let revisions = [numbers.next()??, numbers.next()??, numbers.next()??];
        Some(Self {
            revisions,
            takes_changes: numbers.next().is_some(),
            versions: numbers.next().flatten().zip(numbers.next().flatten()),
            evacuations: numbers.next().flatten(),
            age_ms: numbers.next().flatten(),
        })
    }

    /// Whether `catalog` has a topic of which the follower knows only an older revision.
    #[must_use]
    pub fn is_outdated(&self, catalog: &Catalog) -> bool {
        Topic::ALL.iter().any(|t| self.lacks(catalog, *t))
    }

    /// Revision of `topic` that the follower has; `None` if it does not follow the topic.
    fn revision(&self, topic: Topic) -> Option<u64> {
        match topic {
            Topic::Evacuations => self.evacuations,
            _ => self.revisions.get(topic as usize).copied(),
        }
    }

    /// Whether `catalog` has a newer state of `topic` than the follower.
    fn lacks(&self, catalog: &Catalog, topic: Topic) -> bool {
        let Some(known) = self.revision(topic) else {
            return false;
        };
        let revision = catalog.revision(topic);
        match (topic, self.versions) {
            (Topic::Config, Some((version, _))) => {
                (config_version(catalog), revision) > (version, known)
            }
            (Topic::Releases, Some((_, sum))) => revision > known || catalog.release_sum() > sum,
            _ => revision > known,
        }
    }
}

/// Released versions of a model, each with the time since its release, milliseconds.
#[derive(Deserialize, Serialize)]
struct ReleasedVersions {
    name: String,
    model: String,
    history: Vec<(u64, u64)>,
    /// Versions of which a list told.
    #[serde(default)]
    listed: Vec<u64>,
}

/// Recent configurations, and topics as encoded for followers, so that each is compressed
/// once for all of them.
#[derive(Debug, Default)]
pub struct Cache {
    /// Parts with the revision that the follower had.
    parts: Mutex<Vec<(u64, Part)>>,
    configs: Mutex<Vec<(u64, Arc<Config>)>>,
}

impl Cache {
    /// Parts that bring a follower that has `known` to `catalog`.
    ///
    /// # Errors
    /// Fails when a topic can't be encoded.
    pub fn parts(&self, catalog: &Catalog, known: Known, now: Instant) -> Result<Vec<Part>, Error> {
        self.remember(catalog);
        let newer = Topic::ALL
            .into_iter()
            .filter(|topic| known.lacks(catalog, *topic));
        newer
            .map(|topic| {
                let revision = known.revision(topic).unwrap_or(0);
                let base = if known.takes_changes { revision } else { 0 };
                self.part(catalog, topic, base, now)
            })
            .collect()
    }

    fn remember(&self, catalog: &Catalog) {
        let Some(config) = &catalog.config else {
            return;
        };
        let mut configs = self.configs.lock();
        if configs.iter().any(|c| c.0 == catalog.config_revision) {
            return;
        }
        if configs.len() == MAX_CONFIGS {
            configs.remove(0);
        }
        configs.push((catalog.config_revision, config.clone()));
    }

    fn part(
        &self,
        catalog: &Catalog,
        topic: Topic,
        base: u64,
        now: Instant,
    ) -> Result<Part, Error> {
        // Releases are encoded with their age, which differs in every response.
        if topic == Topic::Releases {
            return part(catalog, topic, 0, &releases(catalog, now));
        }
        let key = (topic as u32, catalog.revision(topic));
        let mut parts = self.parts.lock();
        let found = parts
            .iter()
            .find(|(known, p)| (p.topic, p.revision) == key && *known == base);
        if let Some((_, found)) = found {
            return Ok(found.clone());
        }
        let encoded = match topic {
            Topic::Targets => match catalog.target_changes(base) {
                Some(changes) => part(catalog, topic, base, &changes)?,
                None => part(catalog, topic, 0, &catalog.confirmed_targets())?,
            },
            // A few names: always whole, so that no follower depends on what it had.
            Topic::Evacuations => part(catalog, topic, 0, &catalog.confirmed_evacuations())?,
            _ => match self.config_change(catalog, base) {
                Some(change) => part(catalog, topic, base, &change)?,
                None => part(catalog, topic, 0, &catalog.config.as_deref())?,
            },
        };
        if parts.len() == MAX_PARTS {
            parts.remove(0);
        }
        parts.push((base, encoded.clone()));
        Ok(encoded)
    }

    fn config_change(&self, catalog: &Catalog, base: u64) -> Option<ConfigChange> {
        let configs = self.configs.lock();
        let old = configs.iter().find(|c| c.0 == base)?.1.clone();
        drop(configs);
        ConfigChange::between(&old, catalog.config.as_deref()?)
    }
}

fn config_version(catalog: &Catalog) -> u64 {
    catalog.config.as_ref().map_or(0, |c| c.version)
}

fn releases(catalog: &Catalog, now: Instant) -> Vec<ReleasedVersions> {
    let age = |at: Instant| millis(now.saturating_duration_since(at));
    let versions = catalog.releases.iter().map(|entry| ReleasedVersions {
        name: entry.name.clone(),
        model: entry.value.release.model.clone(),
        history: entry
            .value
            .history
            .iter()
            .map(|(v, at)| (*v, age(*at)))
            .collect(),
        listed: entry.value.listed.clone(),
    });
    versions.collect()
}

/// Whole milliseconds, for messages.
#[must_use]
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn part(
    catalog: &Catalog,
    topic: Topic,
    base: u64,
    content: &impl Serialize,
) -> Result<Part, Error> {
    let json = serde_json::to_vec(content).context(JsonSnafu)?;
    let mut encoder = GzEncoder::new(Vec::new(), Compression::new(GZIP_LEVEL));
    encoder.write_all(&json).context(CompressionSnafu)?;
    Ok(Part {
        topic: topic as u32,
        revision: catalog.revision(topic),
        data: encoder.finish().context(CompressionSnafu)?,
        base,
    })
}

fn decode<T: DeserializeOwned>(data: &[u8]) -> Result<T, Error> {
    let mut json = Vec::new();
    let mut reader = GzDecoder::new(data).take(MAX_TOPIC);
    reader.read_to_end(&mut json).context(CompressionSnafu)?;
    if json.len() as u64 == MAX_TOPIC {
        return TooLargeSnafu { limit: MAX_TOPIC }.fail();
    }
    serde_json::from_slice(&json).context(JsonSnafu)
}

/// Earliest time at which a relay can have sent a response that arrived at `now`, if it held
/// the request, sent at `asked`, for `held_ms`. Releases must not seem younger than they are
/// because a response waited in a queue on its way.
#[must_use]
pub fn sent_time(asked: Instant, held_ms: u64, now: Instant) -> Instant {
    (asked + Duration::from_millis(held_ms)).min(now)
}

/// Applies a part to the catalog. `sent` is a time at or before which the relay encoded the
/// ages of releases.
///
/// # Errors
/// Fails when the part can't be decoded.
pub fn apply(catalog: &SharedCatalog, part: &Part, sent: Instant) -> Result<(), Error> {
    let (base, revision) = (part.base, part.revision);
    match Topic::ALL.get(part.topic as usize) {
        Some(Topic::Config) => {
            let config = if base > 0 {
                let change: ConfigChange = decode(&part.data)?;
                let snapshot = catalog.snapshot();
                let old = snapshot.config.as_deref();
                old.filter(|_| snapshot.config_revision == base)
                    .map(|old| change.apply(old))
            } else {
                decode(&part.data)?
            };
            if let Some(config) = config {
                let version = config.version;
                let applied = catalog.update_config(revision, config);
                let (era, revision) = (revision::era(revision), revision::number(revision));
                info!(topic = "config", version, era, revision, applied, from = "scout"; "config received");
            }
        }
        Some(Topic::Targets) => {
            let changed = if base > 0 {
                let changes: TargetChanges = decode(&part.data)?;
                catalog.update(|c| c.apply_target_changes(base, revision, changes))
            } else {
                let list: Vec<Entry<Target>> = decode(&part.data)?;
                catalog.update(|c| c.replace_targets(revision, list))
            };
            let count = catalog.snapshot().targets.len();
            let (era, revision) = (revision::era(revision), revision::number(revision));
            let is_whole = base == 0;
            info!(topic = "targets", era, revision, whole = is_whole, count, changed, from = "scout"; "targets received");
        }
        Some(Topic::Releases) => {
            let models: Vec<ReleasedVersions> = decode(&part.data)?;
            for versions in models {
                apply_versions(catalog, &versions, revision, sent);
            }
            catalog.update(|c| c.advance_releases(revision));
        }
        Some(Topic::Evacuations) => {
            let list: Vec<Evacuation> = decode(&part.data)?;
            catalog.update(|c| c.replace_evacuations(revision, list));
        }
        None => {}
    }
    Ok(())
}

fn apply_versions(
    catalog: &SharedCatalog,
    versions: &ReleasedVersions,
    revision: u64,
    sent: Instant,
) {
    for (version, age) in &versions.history {
        let age = Duration::from_millis(*age);
        let released = sent.checked_sub(age).unwrap_or(sent);
        let release = Release {
            model: versions.model.clone(),
            version: *version,
        };
        let applied = catalog.update(|c| {
            let applied = c.add_release(&versions.name, revision, release, released);
            if applied && versions.listed.contains(version) {
                c.mark_listed(&versions.name, *version);
            }
            applied
        });
        if applied {
            let (era, revision) = (revision::era(revision), revision::number(revision));
            info!(topic = "releases", model = versions.model.as_str(), version, era, revision, from = "scout"; "release received");
        }
    }
}
