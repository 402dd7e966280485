//! Which instance fetches which chunk of a version from whom, and when.

pub mod manifest;
