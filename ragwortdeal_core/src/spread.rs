//! Chunk distribution: which instance fetches which chunk of a version, from whom and when.
//!
//! Each instance runs one [`download::Download`]. For every chunk, rendezvous hashing selects an
//! owner per availability zone, per region and globally. Only the highest-ranked owners fetch the
//! chunk from the origin, region owners fetch it over a link between regions once, and all other
//! instances exchange chunks within their zone while the download is still in progress.
//! `docs/design/weights.md` compares the alternatives, with figures.

pub mod announcer;
pub mod chunk_set;
pub mod congestion;
pub mod download;
pub mod event;
pub mod fetch_clock;
pub mod fetchers;
pub mod limits;
pub mod manifest;
pub mod outbox;
pub mod owners;
pub mod pacer;
pub mod peers;
pub mod requests;
pub mod roster;
pub mod uploads;
