//! The leases that an entry holds on the upstreams that announce themselves to it.

use std::collections;

use crate::{
    membership::{self, Stamp, Status, Upstream},
    name,
};

/// An upstream's announcement to one entry.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Announce {
    /// The upstream's instance.
    pub name: name::InstanceName,
    /// The upstream's incarnation.
    pub incarnation: u64,
    /// Number of its present description.
    pub description: u32,
    /// The description, left out once the entry has acknowledged this number because it is most
    /// of the message.
    pub upstream: Option<Upstream>,
    /// Whether it leaves and accepts no new calls.
    pub leaving: bool,
    /// Reading of the upstream's own clock at the sending.
    pub sent: Stamp,
    /// The entry's latest stamp that the upstream holds; without one no lease is granted.
    pub echo: Option<Stamp>,
}

/// The entry's answer to an announcement.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Ack {
    /// The upstream's stamp from the announcement.
    pub echo: Stamp,
    /// Reading of the entry's clock, to be echoed by the next announcement.
    pub stamp: Stamp,
    /// Result of the announcement.
    pub outcome: Outcome,
    /// Incarnation and description number of the announcement.
    pub described: (u64, u32),
    /// Some live entries of the zone with their addresses, which the upstream may choose from.
    pub entries: Vec<(name::InstanceName, std::net::SocketAddr)>,
}

/// Result of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// The lease is granted for the configured duration after the announcement was sent.
    Leased,
    /// The entry has recorded that the upstream leaves.
    Leaving,
    /// The announcement echoed no recent stamp; announce again at once with this answer's stamp.
    Stale,
    /// The entry does not hold this description; announce again at once and include it.
    Undescribed,
    /// This higher incarnation is known, so the upstream must choose one above it.
    Superseded(u64),
}

/// A change of this entry's record of an upstream, to be sent to the other entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The record is new or differs.
    Put(membership::Record),
    /// The record's tombstone has expired.
    Forget(name::InstanceName),
}

#[derive(Debug)]
struct Lease {
    record: membership::Record,
    until_ms: u64,
}

/// The leases of one entry.
#[derive(Debug)]
pub struct LeaseTable {
    settings: membership::Settings,
    incarnation: u64,
    leases: collections::BTreeMap<name::InstanceName, Lease>,
}

impl LeaseTable {
    /// An empty table. `incarnation` must differ from that of any earlier process of this name.
    pub fn new(settings: membership::Settings, incarnation: u64) -> Self {
        Self { settings, incarnation, leases: collections::BTreeMap::new() }
    }

    /// Handles an announcement. `known` is the highest incarnation of the name known in the zone.
    ///
    /// # Returns
    /// The outcome for the upstream, and the change to propagate if there is one.
    pub fn receive_announce(
        &mut self,
        now_ms: u64,
        announce: &Announce,
        known: Option<u64>,
    ) -> (Outcome, Option<Change>) {
        let held = self.leases.get(&announce.name).map(|l| l.record.upstream.incarnation);
        let highest = held.max(known).unwrap_or(0);
        if announce.incarnation < highest {
            return (Outcome::Superseded(highest), None);
        }
        let Some(upstream) = self.latest_description(announce) else {
            return (Outcome::Undescribed, None);
        };
        if announce.leaving {
            return (Outcome::Leaving, self.put(now_ms, &upstream, Status::Leaving));
        }
        let Some(until_ms) = self.lease_end(now_ms, announce) else {
            return (Outcome::Stale, None);
        };
        if self.has_left(&upstream) {
            return (Outcome::Leaving, None);
        }
        (Outcome::Leased, self.put(until_ms, &upstream, Status::Serving))
    }

    /// The latest description of the announced incarnation.
    ///
    /// An announcement that arrives out of order would otherwise restore the version that the
    /// upstream served before, and calls for it would be refused there.
    fn latest_description(&self, announce: &Announce) -> Option<Upstream> {
        let held = self.leases.get(&announce.name).map(|lease| &lease.record.upstream);
        let held = held.filter(|held| {
            held.incarnation == announce.incarnation && held.description >= announce.description
        });
        let given = announce.upstream.as_ref().filter(|given| {
            given.name == announce.name && given.incarnation == announce.incarnation
        });
        held.or(given).cloned()
    }

    /// End of the lease that an announcement grants, if it is in the future.
    ///
    /// An announcement that was queued while this process was paused would otherwise renew the
    /// lease of an upstream that died meanwhile, and calls to it would fail for a whole lease.
    /// Counting from the echoed stamp, such an announcement grants nothing.
    fn lease_end(&self, now_ms: u64, announce: &Announce) -> Option<u64> {
        let echoed_ms = announce.echo?.reading_of(self.incarnation, now_ms)?;
        let until_ms = echoed_ms + self.settings.upstream_lease_ms;
        (until_ms > now_ms).then_some(until_ms)
    }

    /// Whether the upstream has announced that it leaves. An announcement that was sent before
    /// that one but arrives after it must not undo it.
    fn has_left(&self, upstream: &Upstream) -> bool {
        self.leases.get(&upstream.name).is_some_and(|lease| {
            lease.record.status == Status::Leaving
                && lease.record.upstream.incarnation == upstream.incarnation
        })
    }

    fn put(&mut self, until_ms: u64, upstream: &Upstream, status: Status) -> Option<Change> {
        let record = membership::Record { upstream: upstream.clone(), status };
        let name = upstream.name.clone();
        match self.leases.get_mut(&name) {
            Some(lease) if lease.record == record => {
                // Repeated announcements of leaving keep the time of the first one, from which the
                // tombstone counts.
                if status == Status::Serving {
                    lease.until_ms = lease.until_ms.max(until_ms);
                }
                None
            }
            _ => {
                self.leases.insert(name, Lease { record: record.clone(), until_ms });
                Some(Change::Put(record))
            }
        }
    }

    /// Expires leases, and forgets ended ones when their tombstones expire.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Change> {
        let mut changes = Vec::new();
        let tombstone_ms = self.settings.tombstone_ms;
        self.leases.retain(|name, lease| {
            if lease.until_ms > now_ms {
                return true;
            }
            if lease.record.status == Status::Serving {
                lease.record.status = Status::Lapsed;
                changes.push(Change::Put(lease.record.clone()));
            }
            let keep = lease.until_ms + tombstone_ms > now_ms;
            if !keep {
                changes.push(Change::Forget(name.clone()));
            }
            keep
        });
        changes
    }

    /// Number of upstreams of which this entry holds a record.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Whether this entry holds no record.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }
}
