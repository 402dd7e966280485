//! Summaries of zones, which are exchanged between zones in place of their members.

use std::{cmp, collections, net};

use crate::{
    digest,
    membership::{self, Upstream},
    name,
};

/// Groups in one summary at most; the smallest are left out, so that its size is bounded.
pub const GROUPS_MAX: usize = 16;

/// Entries that a summary lists at most, from which other zones pull the next one.
pub const GATEWAYS_MAX: usize = 3;

/// Entries of a zone that pull the summary of one other zone directly.
pub const PULLERS_PER_ZONE: usize = 2;

/// Age after which a summary is no longer used. It exceeds the time that a summary takes to reach
/// every entry of a large zone; an older summary means that its zone is unreachable.
pub const SUMMARY_MAX_AGE_MS: u64 = 30_000;

/// The upstreams of a zone that serve one version of one model.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Group {
    /// The model; absent for plain services.
    pub model: Option<name::ModelName>,
    /// The version of its weights.
    pub version: Option<digest::Digest>,
    /// Number of upstreams.
    pub upstreams: u32,
    /// Calls that they can serve concurrently in total.
    pub capacity: u64,
}

/// Upstream counts and capacities of a zone.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Summary {
    /// The zone.
    pub zone: name::ZoneName,
    /// Its groups in descending order of capacity.
    pub groups: Vec<Group>,
    /// Some of its live entries.
    pub gateways: Vec<(name::InstanceName, net::SocketAddr)>,
}

/// Counts the zone's eligible upstreams by model and version.
pub fn summarise<'a>(
    zone: &name::ZoneName,
    upstreams: impl IntoIterator<Item = &'a Upstream>,
    gateways: Vec<(name::InstanceName, net::SocketAddr)>,
) -> Summary {
    let mut counts = collections::BTreeMap::new();
    for upstream in upstreams {
        let key = (upstream.model.as_ref(), upstream.version.as_ref());
        let (count, capacity) = counts.entry(key).or_insert((0_u32, 0_u64));
        *count += 1;
        *capacity += u64::from(upstream.capacity);
    }
    let group = |((model, version), (upstreams, capacity)): ((Option<&_>, Option<&_>), _)| Group {
        model: model.cloned(),
        version: version.copied(),
        upstreams,
        capacity,
    };
    let mut groups: Vec<Group> = counts.into_iter().map(group).collect();
    groups.sort_by_key(|group| cmp::Reverse(group.capacity));
    groups.truncate(GROUPS_MAX);
    Summary { zone: zone.clone(), groups, gateways }
}

#[derive(Clone, Debug, Default)]
struct RemoteZone {
    summary: Option<Summary>,
    /// Time at which the summary was current, on the own clock.
    current_ms: u64,
    gateways: Vec<(name::InstanceName, net::SocketAddr)>,
    /// Turn in which it was last requested from an entry of the own zone. Zones take turns: if the
    /// oldest summary were requested, unreachable zones would use up every request.
    requested_turn: u64,
    /// Turn in which it was last pulled from the zone itself.
    pulled_turn: u64,
}

/// The summaries of the other zones.
#[derive(Clone, Debug, Default)]
pub struct ZoneSummaries {
    zones: collections::BTreeMap<name::ZoneName, RemoteZone>,
    turn: u64,
}

impl ZoneSummaries {
    /// Starts without summaries; `gateways` are entries of other zones from the settings.
    pub fn new(
        gateways: impl IntoIterator<Item = (name::ZoneName, name::InstanceName, net::SocketAddr)>,
    ) -> Self {
        let mut zones = Self::default();
        for (zone, entry, address) in gateways {
            zones.zones.entry(zone).or_default().gateways.push((entry, address));
        }
        zones
    }

    /// Stores a summary that was current at `current_ms` of the own clock, if it is newer than the
    /// one held.
    pub fn update(&mut self, summary: Summary, current_ms: u64) {
        let Some(held) = self.zones.get_mut(&summary.zone) else { return };
        if held.summary.is_some() && held.current_ms >= current_ms {
            return;
        }
        if !summary.gateways.is_empty() {
            held.gateways = summary.gateways.clone();
            held.gateways.truncate(GATEWAYS_MAX);
        }
        held.summary = Some(summary);
        held.current_ms = current_ms;
    }

    /// The zones whose summaries are to be requested next within the own zone.
    pub fn next_wanted(&mut self, count: usize) -> Vec<name::ZoneName> {
        self.turn += 1;
        let mut zones: Vec<_> = self.zones.iter_mut().collect();
        zones.sort_by_key(|(_, remote)| remote.requested_turn);
        zones.truncate(count);
        zones.iter_mut().for_each(|(_, remote)| remote.requested_turn = self.turn);
        zones.into_iter().map(|(zone, _)| zone.clone()).collect()
    }

    /// The summary of a zone with the time at which it was current, unless it is too old.
    pub fn get(&self, zone: &name::ZoneName, now_ms: u64) -> Option<(&Summary, u64)> {
        let held = self.zones.get(zone)?;
        let fresh = now_ms.saturating_sub(held.current_ms) < SUMMARY_MAX_AGE_MS;
        held.summary.as_ref().filter(|_| fresh).map(|summary| (summary, held.current_ms))
    }

    /// An entry of the zone to pull from next, of those zones for which `own` is among the pullers.
    /// Pulling from one zone at a time bounds the messages per entry whatever the number of zones.
    pub fn next_pull_target(
        &mut self,
        own: &name::InstanceName,
        live: &[name::InstanceName],
        pick: u64,
    ) -> Option<(name::InstanceName, net::SocketAddr)> {
        self.turn += 1;
        let assigned = self.zones.iter_mut().filter(|(zone, _)| is_puller(zone, own, live));
        let (_, remote) = assigned.min_by_key(|(_, remote)| remote.pulled_turn)?;
        remote.pulled_turn = self.turn;
        let index = pick as usize % remote.gateways.len().max(1);
        remote.gateways.get(index).cloned()
    }
}

/// Whether fewer than [`PULLERS_PER_ZONE`] live entries have a higher weight for the zone.
fn is_puller(zone: &name::ZoneName, own: &name::InstanceName, live: &[name::InstanceName]) -> bool {
    let weight = |entry| (membership::rendezvous_weight(zone, entry), entry);
    let own = weight(own);
    live.iter().filter(|entry| weight(entry) > own).count() < PULLERS_PER_ZONE
}
