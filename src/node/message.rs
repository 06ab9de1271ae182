//! Datagrams between gateways and hosts.

use prost::Message;

use crate::place::slots::GrantId;

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Packet {
    /// What it says.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6")]
    pub body: Option<Body>,
}

/// Kinds of datagrams.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// A gateway wants to hear a host's state.
    #[prost(message, tag = "1")]
    Subscribe(Subscribe),
    /// State of the host's target.
    #[prost(message, tag = "2")]
    State(State),
    /// A gateway asks for a place.
    #[prost(message, tag = "3")]
    SlotRequest(SlotRequest),
    /// Answer to an ask.
    #[prost(message, tag = "4")]
    SlotReply(SlotReply),
    /// A request has ended.
    #[prost(message, tag = "5")]
    SlotRelease(SlotRelease),
    /// Chunks that a host holds.
    #[prost(message, tag = "6")]
    HeldChunks(HeldChunks),
}

/// A gateway wants to hear a host's state.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Subscribe {
    /// Number of the gateway's incarnation.
    #[prost(uint64, tag = "1")]
    pub gateway_id: u64,
}

/// State of the host's target.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct State {
    /// Slots that nobody holds.
    #[prost(uint32, tag = "1")]
    pub free_slots: u32,
    /// Version of the weights in use; 0 for none.
    #[prost(uint64, tag = "2")]
    pub weights: u64,
    /// Whether the target takes requests.
    #[prost(bool, tag = "3")]
    pub is_open: bool,
    /// Number of the statement; later ones are higher.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Port of the target on the host's VM.
    #[prost(uint32, tag = "5")]
    pub target_port: u32,
    /// Time that a request sent now waits until its prompt is read, milliseconds.
    #[prost(uint32, tag = "6")]
    pub wait_ms: u32,
}

/// A gateway asks for a place.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SlotRequest {
    /// Number of the gateway's incarnation.
    #[prost(uint64, tag = "1")]
    pub gateway_id: u64,
    /// Number of the request.
    #[prost(uint64, tag = "2")]
    pub request_id: u64,
    /// Rank; 0 is the most urgent.
    #[prost(uint32, tag = "3")]
    pub priority: u32,
    /// Time within which the first event is due, milliseconds.
    #[prost(uint32, tag = "4")]
    pub objective_ms: u32,
    /// Length of the prompt, tokens.
    #[prost(uint32, tag = "5")]
    pub prompt_tokens: u32,
    /// Whether the request is placed only where it hardly waits.
    #[prost(bool, tag = "6")]
    pub immediate_only: bool,
}

/// Answer to an ask.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SlotReply {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Whether the request may be sent.
    #[prost(bool, tag = "2")]
    pub is_granted: bool,
    /// State after the decision.
    #[prost(message, optional, tag = "4")]
    pub state: Option<State>,
}

/// A request has ended.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SlotRelease {
    /// Number of the gateway's incarnation.
    #[prost(uint64, tag = "1")]
    pub gateway_id: u64,
    /// Number of the request.
    #[prost(uint64, tag = "2")]
    pub request_id: u64,
}

/// Chunks that a host holds.
#[derive(Clone, PartialEq, Message)]
pub struct HeldChunks {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Whether it holds all chunks.
    #[prost(bool, tag = "3")]
    pub is_complete: bool,
    /// One bit for each chunk, lowest first, unless it holds all.
    #[prost(bytes = "vec", tag = "4")]
    pub bitmap: Vec<u8>,
    /// Whether the sender wants to hear what the receiver holds.
    #[prost(bool, tag = "5")]
    pub wants_reply: bool,
}

impl HeldChunks {
    /// Positions of the chunks among `count`.
    pub fn held_indexes(&self, count: usize) -> impl Iterator<Item = usize> {
        (0..count).filter(|i| {
            let byte = self.bitmap.get(i / 8).copied().unwrap_or(0);
            self.is_complete || byte >> (i % 8) & 1 == 1
        })
    }
}

/// Bits of the chunks that are held, lowest first.
#[must_use]
pub fn bitmap(held: &[bool]) -> Vec<u8> {
    let byte = |part: &[bool]| {
        let bits = part.iter().enumerate();
        bits.fold(0, |byte, (i, held)| byte | u8::from(*held) << i)
    };
    held.chunks(8).map(byte).collect()
}

impl SlotRelease {
    /// Grant that ends.
    #[must_use]
    pub fn ticket(&self) -> GrantId {
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

/// Bytes of a datagram.
#[must_use]
pub fn encode(body: Body) -> Vec<u8> {
    Packet::from(body).encode_to_vec()
}

/// Content of a datagram; `None` for anything that is not one of ours.
///
/// ```
/// use corianderramp::node::message::{self, Body, Subscribe};
///
/// let hello = Body::Subscribe(Subscribe { gateway_id: 7 });
/// assert_eq!(message::decode(&message::encode(hello.clone())), Some(hello));
/// assert_eq!(message::decode(b"\xff\xff"), None);
/// ```
#[must_use]
pub fn decode(bytes: &[u8]) -> Option<Body> {
    Packet::decode(bytes).ok()?.body
}
