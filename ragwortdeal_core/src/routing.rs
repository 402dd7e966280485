//! Choice of an upstream among those that may serve a call.
//!
//! A [`Router`] knows every upstream that its entry has heard of. Calls of one kind share a
//! [`pool::Pool`], whose members are worked out when an upstream or a rule changes, so that a
//! decision costs the same at 12 and at 5,600 upstreams. `docs/design/routing.md` tells which
//! ways of choosing were weighed and what each measured.

pub mod choice;
pub mod hints;
pub mod load;
pub mod pool;
pub mod upstream;

use std::collections;

use crate::name;

/// Most pools at a time. A rule names an account's selector, so callers could otherwise make
/// the entry hold a member list for each text that they invent.
pub const POOLS_MAX: usize = 1_024;

/// How a router weighs what it knows.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Age at which a load report counts half, in milliseconds.
    pub report_half_life_ms: u64,
    /// How far above its pool's mean load the preferred upstream of a prefix may be, in percent.
    pub affinity_bound_percent: u32,
    /// Part of its slots up to which the preferred upstream is taken whatever the mean, in percent.
    pub affinity_free_percent: u32,
    /// Failures in a row after which an upstream is put aside.
    pub failures_until_ejection: u32,
    /// First time aside in milliseconds; it doubles with each further failure.
    pub ejection_ms: u64,
    /// Longest time aside in milliseconds.
    pub ejection_max_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            report_half_life_ms: 250,
            affinity_bound_percent: 125,
            affinity_free_percent: 50,
            failures_until_ejection: 3,
            ejection_ms: 1_000,
            ejection_max_ms: 30_000,
        }
    }
}

/// What one entry knows of all upstreams.
#[derive(Debug, Default)]
pub struct Router {
    settings: Settings,
    slots: Vec<Option<upstream::Upstream>>,
    generations: Vec<u32>,
    free: Vec<u32>,
    by_instance: collections::BTreeMap<name::InstanceName, upstream::UpstreamId>,
    rules: collections::BTreeMap<pool::Rule, pool::PoolId>,
    pools: collections::BTreeMap<pool::PoolId, pool::Pool>,
    next_pool: u64,
    hints: hints::Hints,
}

/// Result of a call as far as an upstream's health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream answered, be it with a refusal.
    Answered,
    /// The upstream was unreachable, went silent or broke off.
    Failed,
    /// The caller went away, which says nothing about the upstream.
    Cancelled,
}

impl Router {
    /// A router that knows nobody yet.
    pub fn new(settings: Settings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Takes in what an upstream says of itself, or a renewal of its lease.
    ///
    /// A leaving upstream stays leaving however many late announcements arrive, until its
    /// incarnation is a higher one: a reordered announcement must not call it back to work.
    pub fn announce(&mut self, announcement: upstream::Announcement) -> upstream::UpstreamId {
        let Some(&id) = self.by_instance.get(&announcement.instance) else {
            return self.insert(announcement);
        };
        let known = self.slots[id.index()].as_mut().expect("an indexed upstream has a slot");
        if announcement.incarnation < known.announcement.incarnation {
            return id;
        }
        if announcement.incarnation > known.announcement.incarnation {
            self.remove(id);
            return self.insert(announcement);
        }
        let same = known.announcement.offers_the_same(&announcement);
        known.renew(announcement);
        if !same {
            self.place(id);
        }
        id
    }

    /// Stops giving an upstream new work; calls in flight go on.
    pub fn leave(&mut self, instance: &name::InstanceName) {
        let Some(&id) = self.by_instance.get(instance) else { return };
        if let Some(upstream) = self.slots[id.index()].as_mut() {
            upstream.state = upstream::State::Leaving;
        }
        self.place(id);
    }

    /// Forgets upstreams whose lease ran out, and returns their names.
    pub fn expire(&mut self, now_ms: u64) -> Vec<name::InstanceName> {
        let expired = self.by_instance.iter().filter(|(_, id)| {
            self.upstream(**id).is_none_or(|upstream| upstream.lease_until_ms() <= now_ms)
        });
        let expired: Vec<_> = expired.map(|(instance, &id)| (instance.clone(), id)).collect();
        for &(_, id) in &expired {
            self.remove(id);
        }
        expired.into_iter().map(|(instance, _)| instance).collect()
    }

    /// Takes in a load report; one older than the last is dropped, because reports are reordered.
    pub fn report(&mut self, instance: &name::InstanceName, report: load::Report) {
        let Some(&id) = self.by_instance.get(instance) else { return };
        if let Some(upstream) = self.slots[id.index()].as_mut() {
            upstream.load.take_in(report);
        }
    }

    /// Takes in a cache event as a hint. Events come late and with gaps, so nothing depends on it.
    pub fn cache_event(&mut self, instance: &name::InstanceName, prefix: u64, now_ms: u64) {
        if let Some(&id) = self.by_instance.get(instance) {
            self.hints.note(prefix, id, now_ms);
        }
    }

    /// The pool of the upstreams that meet a rule, or nothing if there are too many pools.
    pub fn pool(&mut self, rule: &pool::Rule) -> Option<pool::PoolId> {
        if let Some(&id) = self.rules.get(rule) {
            return Some(id);
        }
        if self.rules.len() >= POOLS_MAX {
            return None;
        }
        let id = pool::PoolId(self.next_pool);
        self.next_pool += 1;
        let mut pool = pool::Pool::new(rule.clone());
        for (index, upstream) in self.slots.iter().enumerate() {
            if let Some(upstream) = upstream.as_ref().filter(|upstream| rule.admits(upstream)) {
                pool.insert(self.id_at(index), &upstream.announcement.instance);
            }
        }
        pool.refresh(&self.slots);
        self.rules.insert(rule.clone(), id);
        self.pools.insert(id, pool);
        Some(id)
    }

    /// Drops a pool whose rule no longer stands in the configuration.
    pub fn forget_pool(&mut self, id: pool::PoolId) {
        if let Some(pool) = self.pools.remove(&id) {
            self.rules.remove(pool.rule());
        }
    }

    /// Drops all pools, because the configuration that they were made by has changed.
    pub fn forget_pools(&mut self) {
        self.pools.clear();
        self.rules.clear();
    }

    /// Forgets an upstream whose lease ended elsewhere.
    pub fn forget(&mut self, instance: &name::InstanceName) {
        if let Some(&id) = self.by_instance.get(instance) {
            self.remove(id);
        }
    }

    /// Brings the pools' mean loads up to date; to be called about ten times a second.
    pub fn refresh(&mut self) {
        for pool in self.pools.values_mut() {
            pool.refresh(&self.slots);
        }
    }

    /// Counts a call that is about to be sent.
    pub fn begin(&mut self, id: upstream::UpstreamId, prefix: Option<u64>, now_ms: u64) {
        if let Some(upstream) = self.upstream_mut(id) {
            upstream.load.in_flight_here += 1;
        }
        if let Some(prefix) = prefix {
            self.hints.note(prefix, id, now_ms);
        }
    }

    /// Counts a call as ended and judges the upstream's health by it.
    pub fn finish(&mut self, id: upstream::UpstreamId, outcome: Outcome, now_ms: u64) {
        let settings = self.settings.clone();
        let Some(upstream) = self.upstream_mut(id) else { return };
        upstream.load.in_flight_here = upstream.load.in_flight_here.saturating_sub(1);
        match outcome {
            Outcome::Answered => upstream.health.recovered(),
            Outcome::Failed => upstream.health.failed(&settings, now_ms),
            Outcome::Cancelled => (),
        }
    }

    /// An upstream by its identifier, unless it has been forgotten.
    pub fn upstream(&self, id: upstream::UpstreamId) -> Option<&upstream::Upstream> {
        let current = *self.generations.get(id.index())? == id.generation;
        self.slots[id.index()].as_ref().filter(|_| current)
    }

    /// The identifier of an instance's upstream.
    pub fn find(&self, instance: &name::InstanceName) -> Option<upstream::UpstreamId> {
        self.by_instance.get(instance).copied()
    }

    /// Slots of all upstreams that a pool may choose from: the capacity to admit against.
    pub fn capacity_slots(&self, id: pool::PoolId, now_ms: u64) -> u32 {
        let Some(pool) = self.pools.get(&id) else { return 0 };
        let live = pool.members().iter().filter_map(|&member| self.upstream(member));
        live.filter(|upstream| upstream.takes_new_work(now_ms))
            .map(|upstream| upstream.announcement.slots)
            .sum()
    }

    fn upstream_mut(&mut self, id: upstream::UpstreamId) -> Option<&mut upstream::Upstream> {
        let current = *self.generations.get(id.index())? == id.generation;
        self.slots[id.index()].as_mut().filter(|_| current)
    }

    fn id_at(&self, index: usize) -> upstream::UpstreamId {
        upstream::UpstreamId { index: index as u32, generation: self.generations[index] }
    }

    fn insert(&mut self, announcement: upstream::Announcement) -> upstream::UpstreamId {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.generations.push(0);
            (self.slots.len() - 1) as u32
        }) as usize;
        let id = self.id_at(index);
        self.by_instance.insert(announcement.instance.clone(), id);
        self.slots[index] = Some(upstream::Upstream::new(announcement));
        self.place(id);
        id
    }

    /// Puts an upstream into the pools that admit it and takes it out of the others.
    fn place(&mut self, id: upstream::UpstreamId) {
        let Some(upstream) = self.slots[id.index()].as_ref() else { return };
        for pool in self.pools.values_mut() {
            let admitted = pool.rule().admits(upstream);
            pool.set_member(id, &upstream.announcement.instance, admitted);
        }
    }

    fn remove(&mut self, id: upstream::UpstreamId) {
        let Some(upstream) = self.slots[id.index()].take() else { return };
        for pool in self.pools.values_mut() {
            pool.set_member(id, &upstream.announcement.instance, false);
        }
        self.by_instance.remove(&upstream.announcement.instance);
        // A call that still holds the old identifier must not count against the slot's next
        // owner: that one would look idle for good.
        self.generations[id.index()] += 1;
        self.free.push(id.index);
    }
}
