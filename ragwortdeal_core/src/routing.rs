//! Selection of an upstream among those that may serve a call.
//!
//! A [`Router`] knows every upstream that its entry has heard of. Calls of one kind share a
//! [`pool::Pool`], whose members are updated when an upstream or a rule changes, so that a decision
//! costs the same at 12 and at 5,600 upstreams. `docs/design/routing.md` compares the policies and
//! their measurements.

pub mod choice;
pub mod hints;
pub mod load;
pub mod pool;
pub mod upstream;

use std::collections;

use crate::name;

/// Largest number of pools. A rule names an account's selector, so without a limit callers could
/// make the entry keep a member list for each selector that they invent.
pub const POOLS_MAX: usize = 1_024;

/// Settings of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Half-life of a load report in milliseconds.
    pub report_half_life_ms: u64,
    /// Largest load of the preferred upstream of a prefix relative to its pool's mean load, in
    /// percent.
    pub affinity_bound_percent: u32,
    /// Utilisation of its slots up to which the preferred upstream is selected regardless of the
    /// mean, in percent.
    pub affinity_free_percent: u32,
    /// Consecutive failures after which an upstream is ejected.
    pub failures_until_ejection: u32,
    /// Duration of the first ejection in milliseconds. It doubles with each further failure.
    pub ejection_ms: u64,
    /// Longest ejection in milliseconds.
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

/// All upstreams known to one entry.
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

/// Result of a call as far as it concerns the upstream's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream answered, possibly with a refusal.
    Answered,
    /// The upstream was unreachable, became silent or broke off.
    Failed,
    /// The caller went away, which says nothing about the upstream.
    Cancelled,
}

impl Router {
    /// A router without upstreams.
    pub fn new(settings: Settings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Processes an announcement of an upstream, or the renewal of its lease.
    ///
    /// A leaving upstream stays leaving, whatever late announcements arrive, until its incarnation
    /// increases: a reordered announcement must not bring it back.
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
        let same = known.announcement.offers_same(&announcement);
        known.renew(announcement);
        if !same {
            self.update_pools(id);
        }
        id
    }

    /// Stops sending new calls to an upstream. Calls in flight continue.
    pub fn leave(&mut self, instance: &name::InstanceName) {
        let Some(&id) = self.by_instance.get(instance) else { return };
        if let Some(upstream) = self.slots[id.index()].as_mut() {
            upstream.state = upstream::State::Leaving;
        }
        self.update_pools(id);
    }

    /// Removes upstreams whose lease has expired, and returns their names.
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

    /// Processes a load report. Reports may be reordered, so one older than the last is dropped.
    pub fn report(&mut self, instance: &name::InstanceName, report: load::Report) {
        let Some(&id) = self.by_instance.get(instance) else { return };
        if let Some(upstream) = self.slots[id.index()].as_mut() {
            upstream.load.apply(report);
        }
    }

    /// Records a cache event as a hint. Events arrive late and with gaps, so nothing depends on
    /// them.
    pub fn cache_event(&mut self, instance: &name::InstanceName, prefix: u64, now_ms: u64) {
        if let Some(&id) = self.by_instance.get(instance) {
            self.hints.note(prefix, id, now_ms);
        }
    }

    /// The pool of the upstreams that meet a rule, or `None` if there are too many pools.
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

    /// Drops a pool whose rule is no longer configured.
    pub fn forget_pool(&mut self, id: pool::PoolId) {
        if let Some(pool) = self.pools.remove(&id) {
            self.rules.remove(pool.rule());
        }
    }

    /// Drops all pools, because the configuration behind them has changed.
    pub fn forget_pools(&mut self) {
        self.pools.clear();
        self.rules.clear();
    }

    /// Removes an upstream whose lease ended elsewhere.
    pub fn forget(&mut self, instance: &name::InstanceName) {
        if let Some(&id) = self.by_instance.get(instance) {
            self.remove(id);
        }
    }

    /// Updates the pools' mean loads. To be called about ten times a second.
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

    /// Counts a call as ended and updates the upstream's health.
    pub fn finish(&mut self, id: upstream::UpstreamId, outcome: Outcome, now_ms: u64) {
        let settings = self.settings.clone();
        let Some(upstream) = self.upstream_mut(id) else { return };
        upstream.load.in_flight_here = upstream.load.in_flight_here.saturating_sub(1);
        match outcome {
            Outcome::Answered => upstream.health.record_success(),
            Outcome::Failed => upstream.health.record_failure(&settings, now_ms),
            Outcome::Cancelled => (),
        }
    }

    /// Finds an upstream by its identifier, unless it has been removed.
    pub fn upstream(&self, id: upstream::UpstreamId) -> Option<&upstream::Upstream> {
        let current = *self.generations.get(id.index())? == id.generation;
        self.slots[id.index()].as_ref().filter(|_| current)
    }

    /// The identifier of an instance's upstream.
    pub fn find(&self, instance: &name::InstanceName) -> Option<upstream::UpstreamId> {
        self.by_instance.get(instance).copied()
    }

    /// Slots of all upstreams that a pool may select: the capacity for admission control.
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
        self.update_pools(id);
        id
    }

    /// Adds an upstream to the pools that admit it and removes it from the others.
    fn update_pools(&mut self, id: upstream::UpstreamId) {
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
        // A call that still holds the old identifier must not count for the slot's next owner,
        // which would look idle for good.
        self.generations[id.index()] += 1;
        self.free.push(id.index);
    }
}
