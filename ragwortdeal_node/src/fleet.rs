//! A fleet: upstreams that announce themselves, and a configuration that is one document.
//!
//! Voters take announcements and documents and tell entries and agents; entries send callers'
//! requests straight to upstreams; agents bring weights to the engine on their instance. How the
//! outside speaks is behind [`dialect`]. `docs/design/platform.md` tells what was weighed.

pub mod agent;
pub mod compression;
pub mod dialect;
pub mod entry;
pub mod load_probe;
pub mod metrics;
pub mod notice;
pub mod reload;
pub mod voter_links;
