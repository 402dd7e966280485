//! The entries of a deployment, as voters list them, and their order at each upstream.
//!
//! Entries have no links to each other, and each of them orders all entries in the same way without
//! a message, as long as they know the same ones.

use std::{collections, net};

use super::flow_control::share;
use crate::{digest, directory, spread::owners};

/// Time after which an entry that no voter lists is forgotten. One that is cut off from the voters
/// goes on sending requests, and comes back within it.
const FORGET_MS: u64 = 900_000;

/// An entry and its location.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EntryInfo {
    /// Its address.
    pub address: net::Ipv4Addr,
    /// Its availability zone.
    pub zone: directory::Text,
}

#[derive(Clone, Debug)]
struct Member {
    zone: directory::Text,
    listed_by: collections::BTreeSet<net::Ipv4Addr>,
    /// When it was last listed.
    listed_at_ms: u64,
}

/// All entries that this one knows of.
#[derive(Clone, Debug, Default)]
pub struct EntryRoster {
    members: collections::BTreeMap<net::Ipv4Addr, Member>,
}

impl EntryRoster {
    /// Records all entries that a voter lists.
    pub fn record_all(&mut self, voter: net::Ipv4Addr, entries: Vec<EntryInfo>, now_ms: u64) {
        let listed: collections::BTreeSet<_> = entries.iter().map(|it| it.address).collect();
        let held = self.members.keys().copied();
        let left = held.filter(|address| !listed.contains(address)).collect();
        self.record_changes(voter, entries, left, now_ms);
    }

    /// Records the entries that joined and left by the account of a voter.
    pub fn record_changes(
        &mut self,
        voter: net::Ipv4Addr,
        joined: Vec<EntryInfo>,
        left: Vec<net::Ipv4Addr>,
        now_ms: u64,
    ) {
        for EntryInfo { address, zone } in joined {
            let listed_by = collections::BTreeSet::new();
            let unknown = Member { zone: zone.clone(), listed_by, listed_at_ms: now_ms };
            let member = self.members.entry(address).or_insert(unknown);
            member.zone = zone;
            member.listed_by.insert(voter);
        }
        for address in left {
            if let Some(member) = self.members.get_mut(&address)
                && member.listed_by.remove(&voter)
            {
                member.listed_at_ms = now_ms;
            }
        }
        self.members.retain(|_, member| {
            !member.listed_by.is_empty() || now_ms < member.listed_at_ms + FORGET_MS
        });
    }

    /// The place of an entry among those that use an upstream. Entries of the upstream's own zone
    /// come first, because they are the ones that send most to it.
    pub fn place(&self, own: net::Ipv4Addr, instance: &str, zone: &str) -> share::Place {
        let upstream = owners::key_of(digest::Digest::of(instance.as_bytes()).as_bytes());
        let order = |address: net::Ipv4Addr, entry_zone: &str| {
            let score = owners::mix(upstream ^ owners::mix(u64::from(address.to_bits())));
            (entry_zone != zone, score, address)
        };
        let Some(member) = self.members.get(&own) else {
            return share::Place { rank: 0, entries: None };
        };
        let own_place = order(own, &member.zone);
        let places = self.members.iter().map(|(address, it)| order(*address, &it.zone));
        share::Place {
            rank: places.filter(|place| *place < own_place).count() as u32,
            entries: Some(self.members.len() as u32),
        }
    }
}
