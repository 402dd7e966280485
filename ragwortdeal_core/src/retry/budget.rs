//! Token buckets that limit retries, per entry and per upstream.

use std::collections;

use crate::{retry, routing::upstream};

/// Cost of one retry in thousandths of a token.
const RETRY_MILLITOKENS: u64 = 1_000;

/// Retry budget settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Retries per hundred first attempts.
    pub ratio_percent: u64,
    /// Capacity of the entry's bucket in retries. It also lets an entry with little traffic retry
    /// at all.
    pub saved_max: u64,
    /// Capacity of each upstream's bucket in retries.
    pub saved_per_upstream_max: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { ratio_percent: 10, saved_max: 20, saved_per_upstream_max: 5 }
    }
}

/// A token bucket that first attempts fill and retries empty.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    millitokens: u64,
}

impl Bucket {
    fn full(saved_max: u64) -> Self {
        Self { millitokens: saved_max * RETRY_MILLITOKENS }
    }

    fn deposit(&mut self, ratio_percent: u64, saved_max: u64) {
        let deposit = ratio_percent * RETRY_MILLITOKENS / 100;
        self.millitokens = (self.millitokens + deposit).min(saved_max * RETRY_MILLITOKENS);
    }

    fn can_pay(&self) -> bool {
        self.millitokens >= RETRY_MILLITOKENS
    }

    fn pay(&mut self) {
        self.millitokens -= RETRY_MILLITOKENS;
    }
}

/// The budgets of one entry.
///
/// The entry's bucket limits the load that retries add. The buckets of the upstreams keep one
/// failing upstream from using up the budget for calls to all others.
#[derive(Debug)]
pub struct Budgets {
    settings: Settings,
    entry: Bucket,
    upstreams: collections::BTreeMap<upstream::UpstreamId, Bucket>,
}

impl Budgets {
    /// Starts with full buckets.
    pub fn new(settings: Settings) -> Self {
        let entry = Bucket::full(settings.saved_max);
        Self { settings, entry, upstreams: collections::BTreeMap::new() }
    }

    /// Counts the first attempt of a call.
    pub fn first_attempt(&mut self, at: upstream::UpstreamId) {
        let settings = self.settings;
        self.entry.deposit(settings.ratio_percent, settings.saved_max);
        let saved_max = settings.saved_per_upstream_max;
        self.bucket(at).deposit(settings.ratio_percent, saved_max);
    }

    /// Asks for a retry after a failure and spends a token if it is granted.
    pub fn spend(&mut self, failed_at: upstream::UpstreamId) -> Result<(), retry::GiveUp> {
        let upstream_can_pay = self.bucket(failed_at).can_pay();
        if !upstream_can_pay || !self.entry.can_pay() {
            return Err(retry::GiveUp::Budget);
        }
        self.entry.pay();
        self.bucket(failed_at).pay();
        Ok(())
    }

    /// Drops the bucket of an upstream that is gone.
    pub fn forget(&mut self, upstream: upstream::UpstreamId) {
        self.upstreams.remove(&upstream);
    }

    fn bucket(&mut self, upstream: upstream::UpstreamId) -> &mut Bucket {
        let saved_max = self.settings.saved_per_upstream_max;
        self.upstreams.entry(upstream).or_insert_with(|| Bucket::full(saved_max))
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;
    use crate::{labels, name, routing};

    fn ids(count: u32) -> Vec<upstream::UpstreamId> {
        let mut router = routing::Router::new(routing::Settings::default());
        let announced = (0..count).map(|index| upstream::Announcement {
            instance: name::InstanceName::new(&format!("engine-{index}")).unwrap(),
            incarnation: 1,
            zone: name::ZoneName::new("amman").unwrap(),
            labels: labels::Labels::new(),
            served: Vec::new(),
            slots: 1,
            lease_until_ms: 1,
        });
        announced.map(|announcement| router.announce(announcement)).collect()
    }

    /// All upstreams fail at once. Retries must not keep multiplying the load.
    #[googletest::test]
    fn retries_stay_within_a_tenth_of_the_calls_and_the_bucket() {
        let settings = Settings::default();
        let mut budgets = Budgets::new(settings);
        let ids = ids(50);
        let mut retries = 0;
        for call in 0..10_000 {
            let at = ids[call % ids.len()];
            budgets.first_attempt(at);
            retries += u64::from(budgets.spend(at).is_ok());
        }
        expect_that!(retries, le(1_000 + settings.saved_max));
        expect_that!(retries, ge(1_000 - settings.saved_max));
    }

    /// One upstream fails all the time. It must leave budget for calls to the others.
    #[googletest::test]
    fn one_failing_upstream_does_not_use_up_the_budget() {
        let settings = Settings::default();
        let mut budgets = Budgets::new(settings);
        let ids = ids(2);
        let granted = (0..100).filter(|_| budgets.spend(ids[0]).is_ok()).count() as u64;
        expect_that!(granted, eq(settings.saved_per_upstream_max));
        expect_that!(budgets.spend(ids[1]), ok(eq(())));
    }
}
