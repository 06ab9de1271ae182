//! Distributes model weights to many small VMs while live requests keep flowing.
//!
//! `docs/design.md` describes the parts and how they work together.

pub mod agent;
pub mod burn;
pub mod cli;
pub mod clock;
pub mod cmd;
pub mod config;
pub mod control;
pub mod coordinator;
pub mod daemon;
pub mod digest;
pub mod entry;
pub mod fleet;
pub mod gateway;
pub mod host;
pub mod journal;
pub mod logging;
pub mod membership;
pub mod net;
pub mod node;
pub mod objects;
pub mod place;
pub mod platform;
pub mod protocol;
pub mod rendezvous;
pub mod resource;
pub mod settings;
pub mod shared_state;
pub mod telemetry;
pub mod weights;
