//! Parts of prompts that end each engine which begins to answer them, and requests that end each
//! upstream which takes them.
//!
//! One input that ends the server which takes it is carried to the next server by each retry, so
//! requests that hold it are refused everywhere. What tells it from the many parts that are at an
//! engine as it ends: [`evidence`]. What is known of it afterwards, and handed from process to
//! process: [`verdicts`].
//!
//! A request that shares nothing with others is told by its [`fingerprint`]. The ends under it are
//! counted by [`request_ends`], and [`copies`] bounds how often it is sent meanwhile.
//! `docs/design/isolation.md` has the reasons.

pub mod answered;
pub mod collector;
pub mod copies;
pub mod entry_view;
pub mod evidence;
pub mod fingerprint;
pub mod popularity;
pub mod request_ends;
pub mod trials;
pub mod verdicts;

/// Time from the first event of an answer on after which its engine bears the parts of the prompt.
pub const PROVED_AFTER_MS: u64 = 800;

/// Pieces of an answer that have to come before its engine is taken to bear the parts: an engine
/// that stands still after the first piece has not shown that.
pub const PROVED_PIECES_MIN: u32 = 4;

/// Time from the first event of an answer on in which the end of its engine speaks against the
/// parts of the prompt: such a part ends the engine as it begins to write.
pub const SUSPECTED_UNTIL_MS: u64 = 500;
