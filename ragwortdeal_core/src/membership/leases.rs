//! An entry's leases on the upstreams that announce themselves to it.

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
    /// Number of this life of it.
    pub incarnation: u64,
    /// Number of its present description.
    pub description: u32,
    /// The description, unless the entry has acknowledged this number: it is most of the bytes.
    pub upstream: Option<Upstream>,
    /// Whether it leaves and wants no new work.
    pub leaving: bool,
    /// The upstream's own clock when it sent this.
    pub sent: Stamp,
    /// The entry's last stamp that the upstream holds; without one no lease is granted.
    pub echo: Option<Stamp>,
}

/// The entry's answer to an announcement.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Ack {
    /// The clock reading of the announcement.
    pub echo: Stamp,
    /// The entry's clock now, to be echoed by the next announcement.
    pub stamp: Stamp,
    /// What became of the announcement.
    pub outcome: Outcome,
    /// Life and description of the announcement.
    pub described: (u64, u32),
    /// Some live entries of the zone with their addresses, from which to choose keepers.
    pub entries: Vec<(name::InstanceName, std::net::SocketAddr)>,
}

/// What became of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// The lease stands for the settings' time after the announcement was sent.
    Leased,
    /// The entry has taken note that the upstream leaves.
    Leaving,
    /// The announcement echoed no recent stamp; announce again at once with this one.
    Stale,
    /// The entry has no such description; announce again at once with it.
    Undescribed,
    /// A life with this higher number is known, so this one must take a higher number still.
    Superseded(u64),
}

/// A change of what this entry holds of an upstream, to be told to the other entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The record is new or differs.
    Put(membership::Record),
    /// The record's end has been remembered long enough.
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
    /// A keeper without leases; `life` must differ from that of any earlier process of this name.
    pub fn new(settings: membership::Settings, incarnation: u64) -> Self {
        Self { settings, incarnation, leases: collections::BTreeMap::new() }
    }

    /// Takes an announcement. `known` is the highest incarnation that the zone knows of the name.
    ///
    /// # Returns
    /// The outcome for the upstream, and the change to spread if there is one.
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
        let Some(upstream) = self.described(announce) else {
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

    /// The latest description of the announced life.
    ///
    /// An overtaken announcement would otherwise bring back the version that the upstream served
    /// before, and calls for it would be refused there.
    fn described(&self, announce: &Announce) -> Option<Upstream> {
        let held = self.leases.get(&announce.name).map(|lease| &lease.record.upstream);
        let held = held.filter(|held| {
            held.incarnation == announce.incarnation && held.description >= announce.description
        });
        let given = announce.upstream.as_ref().filter(|given| {
            given.name == announce.name && given.incarnation == announce.incarnation
        });
        held.or(given).cloned()
    }

    /// End of the lease that an announcement is worth, if that is still to come.
    ///
    /// An announcement that lay in a queue while this process was stopped would otherwise renew an
    /// upstream that died meanwhile; calls to it would fail for a whole lease. Counting from the
    /// echoed stamp makes such an announcement worth nothing.
    fn lease_end(&self, now_ms: u64, announce: &Announce) -> Option<u64> {
        let echoed_ms = announce.echo?.reading_of(self.incarnation, now_ms)?;
        let until_ms = echoed_ms + self.settings.upstream_lease_ms;
        (until_ms > now_ms).then_some(until_ms)
    }

    /// An announcement sent before the word of leaving and overtaken by it must not undo it.
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
                // A repeated word of leaving keeps its first time, which starts the tombstone.
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

    /// Ends the leases whose time is over, and forgets ended ones after the tombstone's time.
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
