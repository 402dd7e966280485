//! Upstreams that may serve one kind of call, and the hash ring that maps prefixes to them.

use std::{cmp, collections, ops};

use crate::{digest, labels, name, routing::upstream};

/// Points of each upstream on the ring. More points would even out the arcs, but the bound on load
/// evens out the rest, so a few are enough and insertion stays cheap.
const RING_POINTS: u64 = 8;

/// Identifier of a pool within one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId(pub(super) u64);

/// Which upstreams may serve one kind of call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// What is called.
    pub target: upstream::Target,
    /// The version that an answer is pinned to, or any.
    pub version: Option<digest::Digest>,
    /// Committed selectors over the upstreams' labels for the calling account. An upstream may be
    /// called if any of them selects it; without selectors, none may.
    pub selectors: Vec<labels::Selector>,
}

impl Rule {
    /// Whether an upstream meets the rule and takes new work.
    pub fn admits(&self, upstream: &upstream::Upstream) -> bool {
        let serves = |served: &upstream::Served| {
            served.target == self.target
                && (self.version.is_none() || self.version == served.version)
        };
        upstream.state == upstream::State::Serving
            && upstream.announcement.served.iter().any(serves)
            && self.selects(&upstream.announcement.labels)
    }

    fn selects(&self, labels: &labels::Labels) -> bool {
        self.selectors.iter().any(|selector| selector.matches(labels))
    }

    fn sort_key(&self) -> (&upstream::Target, Option<digest::Digest>, Vec<String>) {
        let selectors = self.selectors.iter().map(ToString::to_string);
        (&self.target, self.version, selectors.collect())
    }
}

impl PartialOrd for Rule {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Rule {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        self.sort_key().cmp(&other.sort_key())
    }
}

/// The members that a rule admits.
#[derive(Debug)]
pub struct Pool {
    rule: Rule,
    members: Vec<upstream::UpstreamId>,
    positions: collections::BTreeMap<upstream::UpstreamId, usize>,
    ring: collections::BTreeMap<u64, upstream::UpstreamId>,
    mean_load: f64,
    mean_others: f64,
}

impl Pool {
    pub(super) fn new(rule: Rule) -> Self {
        Self {
            rule,
            members: Vec::new(),
            positions: collections::BTreeMap::new(),
            ring: collections::BTreeMap::new(),
            mean_load: 0.0,
            mean_others: 0.0,
        }
    }

    /// The rule that its members meet.
    pub fn rule(&self) -> &Rule {
        &self.rule
    }

    /// Its members in no particular order. Leases are checked at each selection.
    pub fn members(&self) -> &[upstream::UpstreamId] {
        &self.members
    }

    /// Calls per slot, averaged over the pool.
    pub(super) fn mean_load(&self) -> f64 {
        self.mean_load
    }

    /// Calls of other entries at one upstream, averaged over the pool.
    pub(super) fn mean_others(&self) -> f64 {
        self.mean_others
    }

    /// Members along the ring from a prefix on, each at most once per point.
    pub(super) fn walk(&self, prefix: u64) -> impl Iterator<Item = upstream::UpstreamId> {
        let from = mix(prefix);
        let rest = self.ring.range((ops::Bound::Included(from), ops::Bound::Unbounded));
        let wrapped = self.ring.range((ops::Bound::Unbounded, ops::Bound::Excluded(from)));
        rest.chain(wrapped).map(|(_, &id)| id)
    }

    pub(super) fn set_member(
        &mut self,
        id: upstream::UpstreamId,
        instance: &name::InstanceName,
        member: bool,
    ) {
        match (self.positions.contains_key(&id), member) {
            (false, true) => self.insert(id, instance),
            (true, false) => self.remove(id, instance),
            _ => (),
        }
    }

    pub(super) fn insert(&mut self, id: upstream::UpstreamId, instance: &name::InstanceName) {
        self.positions.insert(id, self.members.len());
        self.members.push(id);
        for point in points(instance) {
            self.ring.insert(point, id);
        }
    }

    fn remove(&mut self, id: upstream::UpstreamId, instance: &name::InstanceName) {
        let Some(position) = self.positions.remove(&id) else { return };
        self.members.swap_remove(position);
        if let Some(&moved) = self.members.get(position) {
            self.positions.insert(moved, position);
        }
        for point in points(instance) {
            if self.ring.get(&point) == Some(&id) {
                self.ring.remove(&point);
            }
        }
    }

    /// Scans all members, which is too expensive for each call but cheap ten times a second.
    pub(super) fn refresh(&mut self, slots: &[Option<upstream::Upstream>]) {
        let live = || self.members.iter().filter_map(|id| slots[id.index()].as_ref());
        let others: u64 = live().map(|member| u64::from(member.load.reported_others())).sum();
        let own: u64 = live().map(|member| u64::from(member.load.in_flight_here)).sum();
        let total_slots: u64 = live().map(|member| u64::from(member.announcement.slots)).sum();
        self.mean_others = others as f64 / self.members.len().max(1) as f64;
        self.mean_load = (own + others) as f64 / total_slots.max(1) as f64;
    }
}

/// Points of an instance on the ring. They depend only on its name, so all entries agree on a
/// prefix's preferred upstream without communication.
fn points(instance: &name::InstanceName) -> impl Iterator<Item = u64> {
    let hash = digest::Digest::of(instance.as_bytes());
    let first = hash.as_bytes()[..8].iter().fold(0, |value, &byte| value << 8 | u64::from(byte));
    (0..RING_POINTS).map(move |point| mix(first ^ mix(point + 1)))
}

/// The finaliser of SplitMix64: spreads close values over the whole range.
pub(super) fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
