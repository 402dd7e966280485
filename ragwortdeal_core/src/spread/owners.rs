//! Owners of chunks by rendezvous hashing: per availability zone, per region and globally.
//!
//! All instances compute the same owners from the same members without messages. While their views
//! differ, a chunk may be fetched from the origin twice, or a request be answered "not yet"; both
//! are harmless.

use crate::digest;

/// Index of an instance in the peer table; [`SELF`] is this instance.
pub type PeerIndex = u32;

/// Index of this instance.
pub const SELF: PeerIndex = 0;

const NO_OWNER: PeerIndex = u32::MAX;

/// A member, with its zone as an index assigned by the peer table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Hash of the instance's name.
    pub key: u64,
    /// Index of its availability zone.
    pub zone: usize,
}

/// The owner of each chunk in each availability zone.
#[derive(Clone, Debug)]
pub struct Owners {
    chunk_keys: Vec<u64>,
    members: Vec<Option<Member>>,
    zones: Vec<Zone>,
}

#[derive(Clone, Debug)]
struct Zone {
    region: usize,
    members: usize,
    owners: Vec<PeerIndex>,
}

impl Owners {
    /// Starts without members. Owners depend on a chunk's content, so a chunk keeps its owner
    /// across the versions that share it.
    pub fn new(chunks: &[digest::Digest]) -> Self {
        let chunk_keys = chunks.iter().map(|chunk| key_of(chunk.as_bytes())).collect();
        Self { chunk_keys, members: Vec::new(), zones: Vec::new() }
    }

    /// Adds an availability zone and returns its index.
    pub fn add_zone(&mut self, region: usize) -> usize {
        self.zones.push(Zone { region, members: 0, owners: vec![NO_OWNER; self.chunk_keys.len()] });
        self.zones.len() - 1
    }

    /// Adds a member, which takes over the chunks for which it has the highest score.
    pub fn insert(&mut self, peer: PeerIndex, member: Member) {
        let index = peer as usize;
        if self.members.len() <= index {
            self.members.resize(index + 1, None);
        }
        if self.members[index].replace(member).is_some() {
            return;
        }
        let mut owners = std::mem::take(&mut self.zones[member.zone].owners);
        for (chunk, owner) in owners.iter_mut().enumerate() {
            if *owner == NO_OWNER || self.score(peer, chunk) > self.score(*owner, chunk) {
                *owner = peer;
            }
        }
        self.zones[member.zone].owners = owners;
        self.zones[member.zone].members += 1;
    }

    /// Removes a member; the next in rank takes over each of its chunks.
    pub fn remove(&mut self, peer: PeerIndex) {
        let Some(member) = self.members.get_mut(peer as usize).and_then(Option::take) else {
            return;
        };
        let in_zone = |index: &usize| self.members[*index].is_some_and(|m| m.zone == member.zone);
        let candidates: Vec<_> = (0..self.members.len()).filter(in_zone).collect();
        let mut owners = std::mem::take(&mut self.zones[member.zone].owners);
        for (chunk, owner) in owners.iter_mut().enumerate().filter(|(_, owner)| **owner == peer) {
            let best =
                candidates.iter().copied().max_by_key(|&m| self.score(m as PeerIndex, chunk));
            *owner = best.map_or(NO_OWNER, |best| best as PeerIndex);
        }
        self.zones[member.zone].owners = owners;
        self.zones[member.zone].members -= 1;
    }

    /// Whether the peer is a member.
    pub fn contains(&self, peer: PeerIndex) -> bool {
        self.members.get(peer as usize).is_some_and(Option::is_some)
    }

    /// The owner of a chunk in an availability zone.
    pub fn in_zone(&self, zone: usize, chunk: u32) -> Option<PeerIndex> {
        let owner = self.zones[zone].owners[chunk as usize];
        (owner != NO_OWNER).then_some(owner)
    }

    /// The owner of a chunk in a region: the highest-scoring of its zones' owners.
    pub fn in_region(&self, region: usize, chunk: u32) -> Option<PeerIndex> {
        let zones = (0..self.zones.len()).filter(|&zone| self.zones[zone].region == region);
        let owners = zones.filter_map(|zone| self.in_zone(zone, chunk));
        owners.max_by_key(|&owner| self.score(owner, chunk as usize))
    }

    /// The global owner of a chunk: the highest-scoring owner of all zones.
    pub fn overall(&self, chunk: u32) -> Option<PeerIndex> {
        let owners = (0..self.zones.len()).filter_map(|zone| self.in_zone(zone, chunk));
        owners.max_by_key(|&owner| self.score(owner, chunk as usize))
    }

    /// The instance that acts for the owner of a chunk in a region while that one does not: the one
    /// with the second-highest score.
    pub fn standby_in_region(&self, region: usize, chunk: u32) -> Option<PeerIndex> {
        let owner = self.in_region(region, chunk)?;
        let in_region = |index: &usize| {
            self.members[*index].is_some_and(|member| self.zones[member.zone].region == region)
        };
        let members = (0..self.members.len()).filter(in_region).map(|index| index as PeerIndex);
        let others = members.filter(|&index| index != owner);
        others.max_by_key(|&index| self.score(index, chunk as usize))
    }

    /// Rank of this instance among those that may fetch a chunk from the origin, if it is one of
    /// them: the region owners by their scores (zone owners if there is only one region).
    pub fn origin_fetch_rank(&self, chunk: u32) -> Option<usize> {
        let zone = self.members.first().copied().flatten()?.zone;
        let own_score = self.score(SELF, chunk as usize);
        if self.in_zone(zone, chunk) != Some(SELF) {
            return None;
        }
        let region = self.zones[zone].region;
        let by_region = self.regions() > 1;
        if by_region && self.in_region(region, chunk) != Some(SELF) {
            return None;
        }
        let outranks = |zone: &usize| {
            let owner = self.in_zone(*zone, chunk);
            owner.is_some_and(|owner| self.score(owner, chunk as usize) > own_score)
        };
        let mut groups: Vec<_> = (0..self.zones.len()).filter(outranks).collect();
        if by_region {
            groups.iter_mut().for_each(|zone| *zone = self.zones[*zone].region);
            groups.sort_unstable();
            groups.dedup();
        }
        Some(groups.len())
    }

    /// Number of instances that fetch a chunk from the origin. The fractional part of `copies` is
    /// the share of chunks that are fetched once more.
    pub fn copies_of(&self, chunk: u32, copies: f64) -> usize {
        let whole = copies.floor();
        let fraction = (mix(self.chunk_keys[chunk as usize]) >> 32) as f64 / 4_294_967_296.0;
        whole as usize + usize::from(fraction < copies - whole)
    }

    /// Regions with at least one member.
    pub fn regions(&self) -> usize {
        let mut regions: Vec<_> = self.populated().map(|zone| zone.region).collect();
        regions.sort_unstable();
        regions.dedup();
        regions.len()
    }

    /// Availability zones with at least one member.
    pub fn populated_zones(&self) -> usize {
        self.populated().count()
    }

    /// The index of every availability zone with that of its region.
    pub fn zones(&self) -> impl Iterator<Item = (usize, usize)> + '_ {
        self.zones.iter().enumerate().map(|(index, zone)| (index, zone.region))
    }

    fn populated(&self) -> impl Iterator<Item = &Zone> {
        self.zones.iter().filter(|zone| zone.members > 0)
    }

    fn score(&self, peer: PeerIndex, chunk: usize) -> u64 {
        let key = self.members[peer as usize].map_or(0, |member| member.key);
        mix(key ^ self.chunk_keys[chunk])
    }
}

/// The first eight bytes of a hash as a number.
pub fn key_of(hash: &[u8; digest::DIGEST_BYTES]) -> u64 {
    u64::from_le_bytes(std::array::from_fn(|index| hash[index]))
}

/// The finaliser of SplitMix64: spreads a difference in any bit over all bits.
pub fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    const CHUNKS: u32 = 300;

    fn owners(members: u32) -> Owners {
        let digests: Vec<_> = (0..CHUNKS).map(|c| digest::Digest::of(&c.to_le_bytes())).collect();
        let mut owners = Owners::new(&digests);
        for region in 0..2 {
            owners.add_zone(region);
            owners.add_zone(region);
        }
        for peer in 0..members {
            let key = key_of(digest::Digest::of(format!("i{peer}").as_bytes()).as_bytes());
            owners.insert(peer, Member { key, zone: peer as usize % 4 });
        }
        owners
    }

    #[googletest::test]
    fn a_departure_moves_only_the_chunks_of_the_departed() {
        let before = owners(40);
        let mut after = before.clone();
        after.remove(5);
        for chunk in 0..CHUNKS {
            let owner = before.in_zone(1, chunk);
            if owner != Some(5) {
                expect_that!(after.in_zone(1, chunk), eq(owner));
            }
            expect_that!(after.in_zone(1, chunk), not(some(eq(5))));
        }
        after.insert(5, before.members[5].unwrap());
        (0..CHUNKS).for_each(|c| expect_that!(after.in_zone(1, c), eq(before.in_zone(1, c))));
    }

    #[googletest::test]
    fn the_best_owner_of_all_is_also_owner_of_its_region_and_zone() {
        let owners = owners(40);
        for chunk in 0..CHUNKS {
            let best = owners.overall(chunk).unwrap();
            let zone = owners.members[best as usize].unwrap().zone;
            expect_that!(owners.in_zone(zone, chunk), some(eq(best)));
            expect_that!(owners.in_region(owners.zones[zone].region, chunk), some(eq(best)));
        }
    }

    #[googletest::test]
    fn ownership_is_spread_evenly() {
        let owners = owners(12);
        let owned = |peer| (0..CHUNKS).filter(|&c| owners.overall(c) == Some(peer)).count();
        (0..12).for_each(|peer| expect_that!(owned(peer), all!(gt(5), lt(60))));
    }
}
