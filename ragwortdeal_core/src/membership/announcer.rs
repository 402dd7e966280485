//! The agent's side of an upstream's leases: announces, renews and leaves.

use std::{cmp, collections, marker, net};

use crate::{
    membership::{self, Stamp, Upstream, leases},
    name,
};

/// Unanswered announcements in a row that an entry may leave before it is replaced by another one.
const UNANSWERED_MAX: u32 = 2;

/// Entries that an agent remembers at most, so that answers cannot grow its memory without bound.
const ENTRIES_MAX: usize = 64;

/// The upstream accepts calls.
#[derive(Debug)]
pub struct Serving;

/// The upstream finishes its calls and accepts no new ones.
#[derive(Debug)]
pub struct Leaving;

/// An announcement to send to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The entry.
    pub to: name::InstanceName,
    /// Address at which the entry listens.
    pub address: net::SocketAddr,
    /// The announcement.
    pub announce: leases::Announce,
}

#[derive(Debug, Default)]
struct Entry {
    stamp: Option<Stamp>,
    leased_until_ms: u64,
    unanswered: u32,
    leaving_acknowledged: bool,
    next_ms: u64,
    /// Incarnation and description number that the entry has acknowledged.
    described: Option<(u64, u32)>,
}

#[derive(Debug)]
struct Shared {
    settings: membership::Settings,
    process_incarnation: u64,
    upstream: Upstream,
    known: collections::BTreeMap<name::InstanceName, net::SocketAddr>,
    chosen: collections::BTreeMap<name::InstanceName, Entry>,
    /// Entries that did not answer, with the time from which they may be chosen again.
    unresponsive: collections::BTreeMap<name::InstanceName, u64>,
    leaving_since_ms: Option<u64>,
}

/// Announces the agent's upstream to entries of its zone, in either phase of the upstream.
#[derive(Debug)]
pub struct Announcer<Phase> {
    shared: Shared,
    phase: marker::PhantomData<Phase>,
}

impl Announcer<Serving> {
    /// Starts to announce `upstream`, at first to `entries`, which come from the settings.
    pub fn new(
        settings: membership::Settings,
        process_incarnation: u64,
        upstream: Upstream,
        entries: impl IntoIterator<Item = (name::InstanceName, net::SocketAddr)>,
    ) -> Self {
        let shared = Shared {
            settings,
            process_incarnation,
            upstream,
            known: entries.into_iter().collect(),
            chosen: collections::BTreeMap::new(),
            unresponsive: collections::BTreeMap::new(),
            leaving_since_ms: None,
        };
        Self { shared, phase: marker::PhantomData }
    }

    /// Changes the upstream's description and announces it with the next tick.
    pub fn update_description(&mut self, change: impl FnOnce(&mut Upstream)) {
        change(&mut self.shared.upstream);
        self.shared.upstream.description += 1;
        self.shared.due_at_once();
    }

    /// Whether a call may start: the lease of some entry is valid by this process's own clock.
    ///
    /// After this process was paused, the entries have retried the calls in its queue elsewhere.
    /// The lease counts from the time the announcement was sent and has ended by then, so those
    /// calls are refused as not run and are not executed twice.
    pub fn may_start(&self, now_ms: u64) -> bool {
        self.shared.leased(now_ms)
    }

    /// Begins to leave; every chosen entry is notified with the next tick.
    pub fn leave(mut self, now_ms: u64) -> Announcer<Leaving> {
        self.shared.leaving_since_ms = Some(now_ms);
        self.shared.due_at_once();
        Announcer { shared: self.shared, phase: marker::PhantomData }
    }
}

impl Announcer<Leaving> {
    /// Whether a call may start that an entry sent before it learned that the upstream leaves.
    ///
    /// If the announcements of leaving are lost, new calls would keep arriving. The grace period
    /// by this process's own clock bounds that whatever the network does.
    pub fn may_start(&self, now_ms: u64) -> bool {
        let since_ms = self.shared.leaving_since_ms.unwrap_or(0);
        now_ms < since_ms + self.shared.settings.leave_grace_ms && self.shared.leased(now_ms)
    }

    /// Whether every chosen entry has acknowledged that the upstream leaves.
    pub fn is_acknowledged_by_all(&self) -> bool {
        self.shared.chosen.values().all(|entry| entry.leaving_acknowledged)
    }
}

impl<Phase> Announcer<Phase> {
    /// Replaces unresponsive entries and returns the announcements that are due.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Outgoing> {
        self.shared.drop_unresponsive(now_ms);
        self.shared.choose_missing(now_ms);
        self.shared.due_announcements(now_ms)
    }

    /// Handles an entry's answer to an announcement.
    pub fn receive_ack(&mut self, now_ms: u64, from: &name::InstanceName, ack: &leases::Ack) {
        self.shared.receive_ack(now_ms, from, ack);
    }

    /// Entries to which the upstream announces itself, whether or not they have answered.
    pub fn chosen_entries(&self) -> impl Iterator<Item = &name::InstanceName> {
        self.shared.chosen.keys()
    }

    /// Incarnation of the upstream, which rises above any higher one that an entry reports.
    pub fn incarnation(&self) -> u64 {
        self.shared.upstream.incarnation
    }
}

impl Shared {
    fn leased(&self, now_ms: u64) -> bool {
        self.chosen.values().any(|entry| entry.leased_until_ms > now_ms)
    }

    fn due_at_once(&mut self) {
        self.chosen.values_mut().for_each(|entry| entry.next_ms = 0);
    }

    fn drop_unresponsive(&mut self, now_ms: u64) {
        let retry_ms = now_ms + self.settings.entry_lease_ms;
        let unresponsive = &mut self.unresponsive;
        self.chosen.retain(|name, entry| {
            let silent = entry.unanswered > UNANSWERED_MAX && entry.next_ms <= now_ms;
            if silent {
                unresponsive.insert(name.clone(), retry_ms);
            }
            !silent
        });
        self.unresponsive.retain(|_, until_ms| *until_ms > now_ms);
    }

    fn choose_missing(&mut self, now_ms: u64) {
        let missing = self.settings.entries_per_upstream.saturating_sub(self.chosen.len());
        if missing == 0 {
            return;
        }
        let own = &self.upstream.name;
        let available = |name: &&name::InstanceName| {
            !self.chosen.contains_key(*name) && !self.unresponsive.contains_key(*name)
        };
        let mut ranked: Vec<_> = self.known.keys().filter(available).cloned().collect();
        ranked.sort_by_key(|name| cmp::Reverse(membership::rendezvous_weight(own, name)));
        for name in ranked.into_iter().take(missing) {
            self.chosen.insert(name, Entry { next_ms: now_ms, ..Entry::default() });
        }
    }

    fn due_announcements(&mut self, now_ms: u64) -> Vec<Outgoing> {
        let sent = Stamp { incarnation: self.process_incarnation, at_ms: now_ms };
        let mut sends = Vec::new();
        for (name, entry) in &mut self.chosen {
            let Some(&address) = self.known.get(name) else { continue };
            if entry.next_ms > now_ms || entry.leaving_acknowledged {
                continue;
            }
            entry.next_ms = now_ms + self.settings.announce_every_ms;
            entry.unanswered += 1;
            let current = (self.upstream.incarnation, self.upstream.description);
            let known = entry.described == Some(current);
            let announce = leases::Announce {
                name: self.upstream.name.clone(),
                incarnation: self.upstream.incarnation,
                description: self.upstream.description,
                upstream: (!known).then(|| self.upstream.clone()),
                leaving: self.leaving_since_ms.is_some(),
                sent,
                echo: entry.stamp,
            };
            sends.push(Outgoing { to: name.clone(), address, announce });
        }
        sends
    }

    fn receive_ack(&mut self, now_ms: u64, from: &name::InstanceName, ack: &leases::Ack) {
        let Some(sent_ms) = ack.echo.reading_of(self.process_incarnation, now_ms) else { return };
        for (name, address) in &ack.entries {
            if self.known.len() < ENTRIES_MAX || self.known.contains_key(name) {
                self.known.insert(name.clone(), *address);
            }
        }
        let Some(entry) = self.chosen.get_mut(from) else { return };
        entry.unanswered = 0;
        entry.stamp = Some(ack.stamp);
        match ack.outcome {
            leases::Outcome::Leased => {
                let until_ms = sent_ms + self.settings.upstream_lease_ms;
                entry.leased_until_ms = entry.leased_until_ms.max(until_ms);
                entry.described = Some(ack.described);
            }
            leases::Outcome::Leaving => {
                entry.leaving_acknowledged = self.leaving_since_ms.is_some();
            }
            leases::Outcome::Stale => entry.next_ms = now_ms,
            leases::Outcome::Undescribed => {
                entry.described = None;
                entry.next_ms = now_ms;
            }
            leases::Outcome::Superseded(known) => self.supersede(known),
        }
    }

    /// Raises the incarnation above that of an earlier process whose clock ran ahead.
    fn supersede(&mut self, known: u64) {
        self.upstream.incarnation = self.upstream.incarnation.max(known + 1);
        self.due_at_once();
    }
}
