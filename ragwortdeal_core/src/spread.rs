//! Which instance fetches which chunk of a version from whom, and when.
//!
//! One [`download::Download`] runs on each instance. For every chunk, rendezvous hashing names an
//! owner per availability zone, per region and over all; only the best owners draw the chunk from
//! the origin, owners of a region carry it over a region link once, and everybody else exchanges
//! chunks inside the zone while the copy is still arriving. `docs/design/weights.md` tells which
//! other shapes were weighed, with their figures.

pub mod announcer;
pub mod chunk_set;
pub mod congestion;
pub mod download;
pub mod event;
pub mod limits;
pub mod manifest;
pub mod outbox;
pub mod owners;
pub mod pacer;
pub mod peers;
pub mod requests;
pub mod roster;
pub mod uploads;
