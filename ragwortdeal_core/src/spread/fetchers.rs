//! The instances that fetch what all need from a small origin first, for the others.

use crate::{digest, spread::owners};

/// The `count` instances that fetch a version's manifest first. All that know the same instances
/// select the same ones without messages, and others for each version.
pub fn first<'i>(instances: &[&'i str], version: u64, count: usize) -> Vec<&'i str> {
    let rank = |instance: &str| {
        let key = owners::key_of(digest::Digest::of(instance.as_bytes()).as_bytes());
        owners::mix(key ^ owners::mix(version))
    };
    let mut ranked = instances.to_vec();
    ranked.sort_unstable_by_key(|instance| (rank(instance), *instance));
    ranked.truncate(count);
    ranked
}
