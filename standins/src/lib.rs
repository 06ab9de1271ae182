//! Stand-ins for the platform, the weight origin, model engines, plain
//! services and links, and the load and experiment tools. Tests start them in
//! their own process; `standins` runs each as a process of its own.

pub mod args;
pub mod caller;
pub mod capacity;
pub mod content;
pub mod engine;
pub mod experiment;
pub mod fleet;
pub mod harness;
pub mod journal;
pub mod load;
pub mod nodes;
pub mod origin;
pub mod platform;
pub mod relay;
pub mod rig;
pub mod service;
pub mod site;
pub mod toolkit;
pub mod users;
