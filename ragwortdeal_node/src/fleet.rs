//! A fleet: upstreams that announce themselves, and a configuration that is one document.
//!
//! Voters accept announcements and documents and pass them on to entries and agents; entries send
//! callers' requests straight to upstreams; agents distribute weights to the engine on their
//! instance. External protocols are behind [`dialect`]. `docs/design/platform.md` has the design
//! decisions.

pub mod agent;
pub mod compression;
pub mod dialect;
pub mod entry;
pub mod load_probe;
pub mod metrics;
pub mod notice;
pub mod reload;
pub mod voter_links;
