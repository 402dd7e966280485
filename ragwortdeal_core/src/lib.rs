//! The decision logic of ragwortdeal, without sockets, files, clocks or threads.
//!
//! Every module takes events and a monotonic time in milliseconds and returns actions, so that each
//! failure can be replayed from a seed. `docs/ARCHITECTURE.md` shows which program runs which
//! module.

pub mod admission;
pub mod claims;
pub mod command;
pub mod config;
pub mod digest;
pub mod directory;
pub mod dispatch;
pub mod document;
pub mod inbound;
pub mod labels;
pub mod membership;
pub mod name;
pub mod orders;
pub mod relay;
pub mod replication;
pub mod retry;
pub mod routing;
pub mod spread;
