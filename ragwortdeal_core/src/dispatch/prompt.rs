//! The parts of a prompt that other requests may hold too.

use std::collections;

use crate::{digest, directory};

/// Longest kept name of a part, in bytes. Names are for operators; the identity covers all of them.
const NAME_MAX_BYTES: usize = 64;

/// Names in one log line at most.
const NAMES_LOGGED_MAX: usize = 8;

/// Identity of a part: a hash of its name.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct PartId(u64);

impl PartId {
    /// The identity of the part with this name. Names are hexadecimal, in either case.
    pub fn of(name: &str) -> Self {
        let digest = digest::Digest::of(name.to_ascii_lowercase().as_bytes());
        let bytes = digest.as_bytes().first_chunk().copied();
        Self(u64::from_be_bytes(bytes.unwrap_or_default()))
    }
}

/// A part and its name.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Part {
    /// Its identity.
    pub id: PartId,
    /// The beginning of its name.
    pub name: directory::Text,
}

impl Part {
    /// The part with this name.
    pub fn new(name: &str) -> Self {
        let kept = name.chars().scan(0, |end, char| {
            *end += char.len_utf8();
            (*end <= NAME_MAX_BYTES).then_some(char)
        });
        Self { id: PartId::of(name), name: kept.collect::<String>().into() }
    }
}

/// The parts that other requests may hold too: all but the last, which belongs to the request or
/// its session. Each part comes once.
pub fn shared_parts(names: &[&str]) -> Vec<Part> {
    let shared = names.split_last().map_or(&[][..], |(_, shared)| shared);
    let mut seen = collections::HashSet::with_capacity(shared.len());
    let parts = shared.iter().map(|name| Part::new(name));
    parts.filter(|part| seen.insert(part.id)).collect()
}

/// The names of parts, for a log line.
pub fn names(parts: &[Part]) -> String {
    let names: Vec<&str> = parts.iter().take(NAMES_LOGGED_MAX).map(|part| &*part.name).collect();
    names.join(",")
}
