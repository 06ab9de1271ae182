//! Datagrams between gateways and hosts, and among hosts, encoded with Protocol Buffers.

use std::time::{Duration, Instant};

use prost::Message;

use crate::fleet::rank;
use crate::place::limit::Notice;
use crate::place::slots::GrantId;

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Packet {
    /// Content; `None` for an unknown kind.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub body: Option<Body>,
}

/// Content of a datagram.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Subscription of a gateway to a host's state.
    #[prost(message, tag = "1")]
    Subscribe(Subscribe),
    /// State of a host's target.
    #[prost(message, tag = "2")]
    State(State),
    /// Request of a gateway for a slot.
    #[prost(message, tag = "3")]
    SlotRequest(SlotRequest),
    /// Reply to a slot request.
    #[prost(message, tag = "4")]
    SlotReply(SlotReply),
    /// Release of a slot whose request has ended.
    #[prost(message, tag = "5")]
    SlotRelease(SlotRelease),
    /// Chunks of a version that a host holds.
    #[prost(message, tag = "6")]
    HeldChunks(HeldChunks),
    /// Report of a gateway that a request broke at the host's target.
    #[prost(message, tag = "7")]
    CrashReport(CrashReport),
    /// Report of a host that its target died.
    #[prost(message, tag = "8")]
    TargetDeath(TargetDeath),
    /// Prompt parts that proved sound.
    #[prost(message, tag = "9")]
    SoundParts(SoundParts),
    /// Rate limit of a target.
    #[prost(message, tag = "10")]
    RateLimit(RateLimit),
    /// Request of a gateway for a permit to send one request to a target with a rate limit.
    #[prost(message, tag = "11")]
    PermitRequest(PermitRequest),
    /// Reply to a permit request.
    #[prost(message, tag = "12")]
    PermitReply(PermitReply),
    /// Request of a gateway for a permit to send one request to a cold target.
    #[prost(message, tag = "13")]
    ColdRequest(ColdRequest),
}

/// Subscription of a gateway to a host's state; the gateway renews it periodically.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Subscribe {
    /// Random identifier of the gateway process, new at every start.
    #[prost(uint64, tag = "1")]
    pub gateway_id: u64,
}

/// State of a host's target.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct State {
    /// Free slots.
    #[prost(uint32, tag = "1")]
    pub free_slots: u32,
    /// Version of the weights in use; 0 for none.
    #[prost(uint64, tag = "2")]
    pub weights: u64,
    /// Whether the target accepts requests.
    #[prost(bool, tag = "3")]
    pub is_open: bool,
    /// Sequence number; increases with every state that the host sends.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Port of the target on the host's VM.
    #[prost(uint32, tag = "5")]
    pub target_port: u32,
    /// Estimated queueing delay of a request sent now, until its prompt is read,
    /// milliseconds.
    #[prost(uint32, tag = "6")]
    pub wait_ms: u32,
    /// Random identifier of the host process, new at every start.
    #[prost(fixed64, tag = "7")]
    pub process: u64,
    /// Time until the prompts that the target has are read, milliseconds.
    #[prost(uint32, tag = "8")]
    pub prefill_ms: u32,
    /// Time for which the target is still cold, milliseconds.
    #[prost(uint32, tag = "9")]
    pub cold_ms: u32,
}

/// Request of a gateway for a slot.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SlotRequest {
    /// Random identifier of the gateway process, new at every start.
    #[prost(uint64, tag = "1")]
    pub gateway_id: u64,
    /// Number of the slot request at its gateway.
    #[prost(uint64, tag = "2")]
    pub request_id: u64,
    /// Whole part of the rank; for hosts of earlier versions.
    #[prost(uint32, tag = "3")]
    pub priority: u32,
    /// Latency objective for the first event of the answer, milliseconds.
    #[prost(uint32, tag = "4")]
    pub objective_ms: u32,
    /// Length of the prompt, tokens.
    #[prost(uint32, tag = "5")]
    pub prompt_tokens: u32,
    /// Whether to grant a slot only if the request would start almost at once.
    #[prost(bool, tag = "6")]
    pub immediate_only: bool,
    /// What the target said of its rate limit, if it ever named one.
    #[prost(message, optional, tag = "7")]
    pub limit: Option<RateLimit>,
    /// Hash of the target's lifetime.
    #[prost(fixed64, tag = "8")]
    pub lifetime: u64,
    /// Expected length of the answer, tokens.
    #[prost(uint32, tag = "9")]
    pub output_tokens: u32,
    /// Time until the caller's deadline, milliseconds; 0 if unknown.
    #[prost(uint32, tag = "10")]
    pub left_ms: u32,
    /// Whether the caller comes back after a refusal.
    #[prost(bool, tag = "11")]
    pub is_returning: bool,
    /// Rank; `None` from gateways of earlier versions.
    #[prost(message, optional, tag = "12")]
    pub rank: Option<Rank>,
}

impl SlotRequest {
    /// Rank of the request.
    #[must_use]
    pub fn rank(&self) -> rank::Rank {
        let stated = self.rank.map(rank::Rank::from);
        stated.unwrap_or(rank::Rank::new(self.priority.into()))
    }
}

/// Rank of a request.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Rank {
    /// Whole part.
    #[prost(uint64, tag = "1")]
    pub whole: u64,
    /// What orders ranks with the same whole part.
    #[prost(uint64, tag = "2")]
    pub rest: u64,
}

impl From<rank::Rank> for Rank {
    fn from(rank: rank::Rank) -> Self {
        let (whole, rest) = rank.parts();
        Self { whole, rest }
    }
}

impl From<Rank> for rank::Rank {
    fn from(rank: Rank) -> Self {
        Self::from_parts(rank.whole, rank.rest)
    }
}

/// What an answer of a target said of its rate limit.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RateLimit {
    /// Hash of the target's lifetime.
    #[prost(fixed64, tag = "1")]
    pub lifetime: u64,
    /// Requests per second from all gateways together; `None` for no limit.
    #[prost(double, optional, tag = "2")]
    pub rate: Option<f64>,
    /// Time since the answer began, milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// Time since its request was sent, milliseconds.
    #[prost(uint64, tag = "4")]
    pub sent_ms: u64,
    /// Random identifier of the host process that sends it; 0 from gateways.
    #[prost(fixed64, tag = "5")]
    pub process: u64,
}

impl RateLimit {
    /// Encodes a notice of the target whose lifetime has the hash `lifetime`.
    #[must_use]
    pub fn new(lifetime: u64, notice: &Notice, now: Instant) -> Self {
        let age = |at| {
            let age = now.saturating_duration_since(at);
            u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
        };
        Self {
            lifetime,
            rate: notice.rate,
            age_ms: age(notice.at),
            sent_ms: age(notice.sent),
            process: 0,
        }
    }

    /// Decodes the notice.
    #[must_use]
    pub fn notice(&self, now: Instant) -> Notice {
        let at = |age| now.checked_sub(Duration::from_millis(age)).unwrap_or(now);
        Notice {
            rate: self.rate.filter(|r| r.is_finite() && *r >= 0.0),
            at: at(self.age_ms),
            sent: at(self.sent_ms),
        }
    }
}

/// Request of a gateway for a permit to send one request to a target with a rate limit.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PermitRequest {
    /// Random identifier of the gateway process, new at every start.
    #[prost(uint64, tag = "1")]
    pub gateway_id: u64,
    /// Number of the permit request at its gateway.
    #[prost(uint64, tag = "2")]
    pub request_id: u64,
    /// What the target said of its rate limit.
    #[prost(message, required, tag = "3")]
    pub limit: RateLimit,
}

/// Request of a gateway for a permit to send one request to a cold target without a host.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ColdRequest {
    /// Random identifier of the gateway process, new at every start.
    #[prost(uint64, tag = "1")]
    pub gateway_id: u64,
    /// Number of the permit request at its gateway.
    #[prost(uint64, tag = "2")]
    pub request_id: u64,
    /// Hash of the target's lifetime.
    #[prost(fixed64, tag = "3")]
    pub lifetime: u64,
    /// Requests per second that the receiver may give out.
    #[prost(double, tag = "4")]
    pub rate: f64,
    /// Permits that can be saved up.
    #[prost(double, tag = "5")]
    pub burst: f64,
}

/// Reply to a permit request.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PermitReply {
    /// Number of the permit request at its gateway.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Time until the limit leaves room, milliseconds; 0 if the request may be sent now.
    #[prost(uint32, tag = "2")]
    pub wait_ms: u32,
}

/// Reply to a slot request.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SlotReply {
    /// Number of the slot request at its gateway.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Whether the slot was granted, so that the request may be sent.
    #[prost(bool, tag = "2")]
    pub is_granted: bool,
    /// State after the decision.
    #[prost(message, optional, tag = "4")]
    pub state: Option<State>,
    /// Time until the target's rate limit leaves room, milliseconds; 0 if it is not the reason of
    /// a refusal.
    #[prost(uint32, tag = "5")]
    pub limit_ms: u32,
    /// Urgency in the target's queue, 0 to 9; `None` if the request's priority decides.
    #[prost(uint32, optional, tag = "6")]
    pub urgency: Option<u32>,
    /// Whether the request can't end before its deadline, at this target or another one.
    #[prost(bool, tag = "7")]
    pub is_too_long: bool,
}

/// Release of a slot whose request has ended.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SlotRelease {
    /// Random identifier of the gateway process, new at every start.
    #[prost(uint64, tag = "1")]
    pub gateway_id: u64,
    /// Number of the slot request at its gateway.
    #[prost(uint64, tag = "2")]
    pub request_id: u64,
    /// Whether the gateway gave the slot up without a reply, so that it was not used.
    #[prost(bool, tag = "3")]
    pub is_unused: bool,
}

/// Chunks of a version that a host holds.
#[derive(Clone, PartialEq, Message)]
pub struct HeldChunks {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Whether the sender holds all chunks.
    #[prost(bool, tag = "3")]
    pub is_complete: bool,
    /// One bit per chunk, least significant bit first; ignored if `is_complete`.
    #[prost(bytes = "vec", tag = "4")]
    pub bitmap: Vec<u8>,
    /// Whether the receiver is asked to reply with the chunks that it holds and to announce
    /// new ones for a while.
    #[prost(bool, tag = "5")]
    pub wants_reply: bool,
    /// Chunks that the sender is fetching from the origin, one bit per chunk.
    #[prost(bytes = "vec", tag = "6")]
    pub fetching: Vec<u8>,
}

/// Request that broke at a target.
#[derive(Clone, PartialEq, Message)]
pub struct CrashReport {
    /// Hashes of the parts of its prompt that have not proved sound.
    #[prost(fixed64, repeated, tag = "1")]
    pub parts: Vec<u64>,
}

/// Death of a target during requests.
#[derive(Clone, PartialEq, Message)]
pub struct TargetDeath {
    /// Random identifier of the death.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Time since the death, milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Hashes of the prompt parts that may have caused it.
    #[prost(fixed64, repeated, tag = "3")]
    pub parts: Vec<u64>,
    /// Random identifier of the host process that sends it; 0 from gateways.
    #[prost(fixed64, tag = "4")]
    pub process: u64,
}

/// Prompt parts of answers that ended well, sent to hosts that suspect them and from there to
/// all gateways.
#[derive(Clone, PartialEq, Message)]
pub struct SoundParts {
    /// Hashes of the parts.
    #[prost(fixed64, repeated, tag = "1")]
    pub parts: Vec<u64>,
}

impl HeldChunks {
    /// Indexes of the held chunks of a version that has `count` chunks.
    pub fn held_indexes(&self, count: usize) -> impl Iterator<Item = usize> {
        (0..count).filter(|i| {
            let byte = self.bitmap.get(i / 8).copied().unwrap_or(0);
            self.is_complete || byte >> (i % 8) & 1 == 1
        })
    }
}

/// Unpacks one flag per chunk of a version that has `count` chunks.
#[must_use]
pub fn flags(bitmap: &[u8], count: usize) -> Vec<bool> {
    let bit = |i: usize| {
        bitmap
            .get(i / 8)
            .is_some_and(|byte| byte >> (i % 8) & 1 == 1)
    };
    (0..count).map(bit).collect()
}

/// Packs one flag per chunk into bytes, least significant bit first.
#[must_use]
pub fn bitmap(held: &[bool]) -> Vec<u8> {
    let byte = |part: &[bool]| {
        let bits = part.iter().enumerate();
        bits.fold(0, |byte, (i, held)| byte | u8::from(*held) << i)
    };
    held.chunks(8).map(byte).collect()
}

impl SlotRelease {
    /// Identifies the grant that ends.
    #[must_use]
    pub fn grant_id(&self) -> GrantId {
        GrantId {
            gateway_id: self.gateway_id,
            request_id: self.request_id,
        }
    }
}

impl From<Body> for Packet {
    fn from(body: Body) -> Self {
        Self { body: Some(body) }
    }
}

/// Encodes a datagram.
#[must_use]
pub fn encode(body: Body) -> Vec<u8> {
    Packet::from(body).encode_to_vec()
}

/// Decodes a datagram; `None` if it is malformed or of an unknown kind.
///
/// ```
/// use corianderramp::node::message::{self, Body, Subscribe};
///
/// let subscribe = Body::Subscribe(Subscribe { gateway_id: 7 });
/// assert_eq!(message::decode(&message::encode(subscribe.clone())), Some(subscribe));
/// assert_eq!(message::decode(b"\xff\xff"), None);
/// ```
#[must_use]
pub fn decode(bytes: &[u8]) -> Option<Body> {
    Packet::decode(bytes).ok()?.body
}
