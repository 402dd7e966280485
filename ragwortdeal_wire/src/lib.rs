//! Types that cross a border of a process, generated from the JSON Schema files in `schema/`.
//!
//! `generate` writes them; `tests/schema.rs` fails where a schema changed without it.

#[allow(clippy::all, missing_docs)]
#[rustfmt::skip]
pub mod engine;
#[allow(clippy::all, missing_docs)]
#[rustfmt::skip]
pub mod link;
#[allow(clippy::all, missing_docs)]
#[rustfmt::skip]
pub mod operator;
