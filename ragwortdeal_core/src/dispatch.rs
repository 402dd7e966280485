//! Where one request goes, and whether it may go once more, for callers of announced upstreams.
//!
//! Modules here need no network. `docs/design/platform.md` tells which policies were weighed.

pub mod backlog;
pub mod choice;
pub mod cutoff;
pub mod forecast;
pub mod gate;
pub mod peer_load;
pub mod pressure;
pub mod probe;
pub mod retry_budget;
pub mod retry_detection;
pub mod silence;
