//! Decisions of ragwortdeal, without sockets, files, clocks or threads.
//!
//! Every part takes events and a monotonic time in milliseconds and returns actions, so that each
//! fault can be replayed from a seed. `docs/ARCHITECTURE.md` tells which program runs which part.

pub mod admission;
pub mod claims;
pub mod command;
pub mod config;
pub mod digest;
pub mod directory;
pub mod dispatch;
pub mod document;
pub mod labels;
pub mod membership;
pub mod name;
pub mod orders;
pub mod relay;
pub mod replication;
pub mod retry;
pub mod routing;
pub mod spread;
