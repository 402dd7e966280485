//! The side of an upstream's agent: announcing, renewing and leaving.

use std::{cmp, collections, marker, net};

use crate::{
    membership::{self, Stamp, Upstream, leases},
    name,
};

/// Announcements without an answer after which an entry is given up for another one.
const UNANSWERED_MAX: u32 = 2;

/// Most entries that an agent remembers, so that answers cannot grow its memory.
const ENTRIES_MAX: usize = 64;

/// The upstream takes work.
#[derive(Debug)]
pub struct Serving;

/// The upstream finishes what it has and takes nothing new.
#[derive(Debug)]
pub struct Leaving;

/// An announcement to send to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The entry.
    pub to: name::InstanceName,
    /// Where that entry listens.
    pub address: net::SocketAddr,
    /// What to send.
    pub announce: leases::Announce,
}

#[derive(Debug, Default)]
struct Entry {
    stamp: Option<Stamp>,
    leased_until_ms: u64,
    unanswered: u32,
    told_leaving: bool,
    next_ms: u64,
    /// Life and description that the entry has acknowledged.
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
    shunned: collections::BTreeMap<name::InstanceName, u64>,
    leaving_since_ms: Option<u64>,
}

/// The announcing part of an agent in one phase of its life.
#[derive(Debug)]
pub struct Announcer<Phase> {
    shared: Shared,
    phase: marker::PhantomData<Phase>,
}

impl Announcer<Serving> {
    /// Starts to announce `upstream`, first to those of the `entries` named in the settings.
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
            shunned: collections::BTreeMap::new(),
            leaving_since_ms: None,
        };
        Self { shared, phase: marker::PhantomData }
    }

    /// Changes what the upstream serves, and tells it with the next tick.
    pub fn update_description(&mut self, change: impl FnOnce(&mut Upstream)) {
        change(&mut self.shared.upstream);
        self.shared.upstream.description += 1;
        self.shared.due_at_once();
    }

    /// Whether a call may start: some entry's lease stands by this process's own clock.
    ///
    /// After a pause the entries have given the calls that wait here to others. The lease, which
    /// counts from the sending of the announcement, has then ended, so those calls are refused as
    /// not run and not started a second time.
    pub fn may_start(&self, now_ms: u64) -> bool {
        self.shared.leased(now_ms)
    }

    /// Begins to leave; every keeper is told with the next tick.
    pub fn leave(mut self, now_ms: u64) -> Announcer<Leaving> {
        self.shared.leaving_since_ms = Some(now_ms);
        self.shared.due_at_once();
        Announcer { shared: self.shared, phase: marker::PhantomData }
    }
}

impl Announcer<Leaving> {
    /// Whether a call may start that an entry sent before it heard of the leaving.
    ///
    /// A lost word of leaving would otherwise let new work arrive for long; this side's own bound
    /// holds whatever the network does.
    pub fn may_start(&self, now_ms: u64) -> bool {
        let since_ms = self.shared.leaving_since_ms.unwrap_or(0);
        now_ms < since_ms + self.shared.settings.leave_grace_ms && self.shared.leased(now_ms)
    }

    /// Whether every chosen entry has answered that it knows.
    pub fn is_acknowledged_by_all(&self) -> bool {
        self.shared.chosen.values().all(|entry| entry.told_leaving)
    }
}

impl<Phase> Announcer<Phase> {
    /// Chooses entries where some are missing and returns the announcements that are due.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Outgoing> {
        self.shared.drop_silent(now_ms);
        self.shared.choose(now_ms);
        self.shared.due(now_ms)
    }

    /// Takes an entry's answer.
    pub fn receive_ack(&mut self, now_ms: u64, from: &name::InstanceName, ack: &leases::Ack) {
        self.shared.ack(now_ms, from, ack);
    }

    /// Keepers that were chosen, whether or not they have answered.
    pub fn chosen_entries(&self) -> impl Iterator<Item = &name::InstanceName> {
        self.shared.chosen.keys()
    }

    /// Number of this life, which rises if an entry knew a higher one.
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

    fn drop_silent(&mut self, now_ms: u64) {
        let again_ms = now_ms + self.settings.entry_lease_ms;
        let shunned = &mut self.shunned;
        self.chosen.retain(|name, entry| {
            let silent = entry.unanswered > UNANSWERED_MAX && entry.next_ms <= now_ms;
            if silent {
                shunned.insert(name.clone(), again_ms);
            }
            !silent
        });
        self.shunned.retain(|_, until_ms| *until_ms > now_ms);
    }

    fn choose(&mut self, now_ms: u64) {
        let missing = self.settings.entries_per_upstream.saturating_sub(self.chosen.len());
        if missing == 0 {
            return;
        }
        let own = &self.upstream.name;
        let free = |name: &&name::InstanceName| {
            !self.chosen.contains_key(*name) && !self.shunned.contains_key(*name)
        };
        let mut ranked: Vec<_> = self.known.keys().filter(free).cloned().collect();
        ranked.sort_by_key(|name| cmp::Reverse(membership::rendezvous_weight(own, name)));
        for name in ranked.into_iter().take(missing) {
            self.chosen.insert(name, Entry { next_ms: now_ms, ..Entry::default() });
        }
    }

    fn due(&mut self, now_ms: u64) -> Vec<Outgoing> {
        let sent = Stamp { incarnation: self.process_incarnation, at_ms: now_ms };
        let mut sends = Vec::new();
        for (name, entry) in &mut self.chosen {
            let Some(&address) = self.known.get(name) else { continue };
            if entry.next_ms > now_ms || entry.told_leaving {
                continue;
            }
            entry.next_ms = now_ms + self.settings.announce_every_ms;
            entry.unanswered += 1;
            let numbers = (self.upstream.incarnation, self.upstream.description);
            let known = entry.described == Some(numbers);
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

    fn ack(&mut self, now_ms: u64, from: &name::InstanceName, ack: &leases::Ack) {
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
            leases::Outcome::Leaving => entry.told_leaving = self.leaving_since_ms.is_some(),
            leases::Outcome::Stale => entry.next_ms = now_ms,
            leases::Outcome::Undescribed => {
                entry.described = None;
                entry.next_ms = now_ms;
            }
            leases::Outcome::Superseded(known) => self.outlive(known),
        }
    }

    /// Takes a number above one that belongs to an earlier life whose clock ran ahead.
    fn outlive(&mut self, known: u64) {
        self.upstream.incarnation = self.upstream.incarnation.max(known + 1);
        self.due_at_once();
    }
}
