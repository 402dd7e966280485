//! The instances that fetch what all need from a small origin first, for the others.

use std::collections;

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

/// The instances to which one that fetches first offers what it got: all others of its zone, and
/// those that fetch first in other zones. Empty if it does not fetch first itself. Instances are
/// given with their zones.
pub fn offer_receivers<'i>(
    own: (&str, &str),
    others: &[(&'i str, &'i str)],
    version: u64,
    count: usize,
) -> Vec<&'i str> {
    let (own_name, own_zone) = own;
    let mut by_zone = collections::BTreeMap::<_, Vec<_>>::new();
    for (name, zone) in others {
        by_zone.entry(*zone).or_default().push(*name);
    }
    let own_others = by_zone.remove(own_zone).unwrap_or_default();
    let in_own_zone: Vec<_> = own_others.iter().copied().chain([own_name]).collect();
    if !first(&in_own_zone, version, count).contains(&own_name) {
        return Vec::new();
    }
    let elsewhere = by_zone.values().flat_map(|names| first(names, version, count));
    own_others.iter().copied().chain(elsewhere).collect()
}
