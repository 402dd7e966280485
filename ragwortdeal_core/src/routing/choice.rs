//! The selection itself: affinity with bounded load, else power of two choices.

use crate::{
    routing,
    routing::{pool, upstream},
};

/// Upstreams tried along the ring before a call gives up affinity.
const RING_CANDIDATES: usize = 4;

/// Random draws before the whole pool is scanned. That happens only when most members are excluded,
/// expired or ejected.
const RANDOM_DRAWS: u64 = 8;

/// One call that needs an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Hash of the prompt's first block, if the engine can reuse it.
    pub prefix: Option<u64>,
    /// Upstreams at which this call has already failed.
    pub excluded: &'a [upstream::UpstreamId],
    /// A random value for this call.
    pub draw: u64,
    /// The current time in milliseconds.
    pub now_ms: u64,
}

/// Why an upstream was selected, for metrics and traces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It probably has the prefix in its cache.
    Affinity,
    /// It had the lower load of two.
    LessLoaded,
    /// A scan found it, because random draws hit only unusable members.
    Scan,
}

/// A selected upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The upstream.
    pub id: upstream::UpstreamId,
    /// Why it was selected.
    pub reason: Reason,
}

impl routing::Router {
    /// Selects an upstream of a pool, or `None` if no member takes new work.
    pub fn choose(&self, pool: pool::PoolId, call: &Call<'_>) -> Option<Choice> {
        let pool = self.pools.get(&pool)?;
        let preferred = call.prefix.and_then(|prefix| self.preferred(pool, prefix, call));
        if let Some(id) = preferred {
            return Some(Choice { id, reason: Reason::Affinity });
        }
        if let Some(id) = self.better_of_two(pool, call) {
            return Some(Choice { id, reason: Reason::LessLoaded });
        }
        self.scan(pool, call).map(|id| Choice { id, reason: Reason::Scan })
    }

    /// The first of the prefix's upstreams whose load is within the bound.
    fn preferred(
        &self,
        pool: &pool::Pool,
        prefix: u64,
        call: &Call<'_>,
    ) -> Option<upstream::UpstreamId> {
        let hinted = self.hints.holder(prefix, call.now_ms);
        let hinted = hinted
            .filter(|id| self.upstream(*id).is_some_and(|upstream| pool.rule().admits(upstream)));
        let candidates = hinted.into_iter().chain(pool.walk(prefix).take(RING_CANDIDATES));
        candidates.into_iter().find(|&id| {
            self.usable(id, call).is_some_and(|upstream| self.within_bound(pool, upstream, call))
        })
    }

    fn within_bound(
        &self,
        pool: &pool::Pool,
        upstream: &upstream::Upstream,
        call: &Call<'_>,
    ) -> bool {
        let slots = f64::from(upstream.announcement.slots);
        let with_call = self.estimate(pool, upstream, call.now_ms) + 1.0;
        let by_mean =
            (pool.mean_load() * slots + 1.0) * percent(self.settings.affinity_bound_percent);
        let by_slots = slots * percent(self.settings.affinity_free_percent);
        with_call <= by_mean.max(by_slots)
    }

    fn better_of_two(&self, pool: &pool::Pool, call: &Call<'_>) -> Option<upstream::UpstreamId> {
        let members = pool.members();
        if members.is_empty() {
            return None;
        }
        let drawn = (0..RANDOM_DRAWS).map(|draw| {
            let random = pool::mix(call.draw.wrapping_add(draw));
            // Multiplication instead of a remainder: negligible bias, and no division.
            members[((u128::from(random) * members.len() as u128) >> 64) as usize]
        });
        let mut usable = drawn.filter_map(|id| Some((id, self.usable(id, call)?)));
        let (first, first_upstream) = usable.next()?;
        let Some((second, second_upstream)) = usable.find(|&(id, _)| id != first) else {
            return Some(first);
        };
        let first_load = self.relative_load(pool, first_upstream, call.now_ms);
        let second_load = self.relative_load(pool, second_upstream, call.now_ms);
        Some(if second_load < first_load { second } else { first })
    }

    /// The least loaded member. An ejected upstream is better than no answer, so it is the last
    /// choice.
    fn scan(&self, pool: &pool::Pool, call: &Call<'_>) -> Option<upstream::UpstreamId> {
        let eligible = pool.members().iter().filter_map(|&id| Some((id, self.eligible(id, call)?)));
        let keyed = eligible.map(|(id, upstream)| {
            let ejected = upstream.health.is_ejected(call.now_ms);
            (ejected, self.relative_load(pool, upstream, call.now_ms), id)
        });
        let least = keyed.min_by(|left, right| {
            left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)).then(left.2.cmp(&right.2))
        });
        least.map(|(_, _, id)| id)
    }

    fn eligible(&self, id: upstream::UpstreamId, call: &Call<'_>) -> Option<&upstream::Upstream> {
        let upstream = self.upstream(id)?;
        let eligible = upstream.takes_new_work(call.now_ms) && !call.excluded.contains(&id);
        eligible.then_some(upstream)
    }

    fn usable(&self, id: upstream::UpstreamId, call: &Call<'_>) -> Option<&upstream::Upstream> {
        self.eligible(id, call).filter(|upstream| !upstream.health.is_ejected(call.now_ms))
    }

    fn relative_load(&self, pool: &pool::Pool, upstream: &upstream::Upstream, now_ms: u64) -> f64 {
        let slots = f64::from(upstream.announcement.slots.max(1));
        (self.estimate(pool, upstream, now_ms) + 1.0) / slots
    }

    fn estimate(&self, pool: &pool::Pool, upstream: &upstream::Upstream, now_ms: u64) -> f64 {
        upstream.load.estimate(pool.mean_others(), self.settings.report_half_life_ms, now_ms)
    }
}

fn percent(value: u32) -> f64 {
    f64::from(value) / 100.0
}
