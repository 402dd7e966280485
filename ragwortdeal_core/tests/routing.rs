//! The router against a naive scan, over random histories with fixed seeds.

use std::collections;

use googletest::prelude::*;
use ragwortdeal_core::{
    digest, labels, name, routing,
    routing::{choice, load, pool, upstream},
};
use rand::{Rng as _, SeedableRng as _};

const INSTANCES: u64 = 12;
const STEPS: usize = 400;
const LEASE_MS: u64 = 300;

fn model() -> upstream::Target {
    upstream::Target::Model { model: name::ModelName::new("match").unwrap(), adapter: None }
}

fn version(text: &str) -> digest::Digest {
    digest::Digest::of(text.as_bytes())
}

fn instance(index: u64) -> name::InstanceName {
    name::InstanceName::new(&format!("engine-{index}")).unwrap()
}

fn rules() -> Vec<pool::Rule> {
    let rule = |version, selector: &str| pool::Rule {
        target: model(),
        version,
        selectors: vec![selector.parse().unwrap()],
    };
    vec![
        rule(None, ""),
        rule(Some(version("v1")), ""),
        rule(Some(version("v2")), "role=decode"),
        rule(None, "role!=decode"),
    ]
}

/// A naive reference that keeps all announcements and scans them.
#[derive(Default)]
struct Naive {
    known: collections::BTreeMap<name::InstanceName, (upstream::Announcement, bool)>,
}

impl Naive {
    fn announce(&mut self, mut said: upstream::Announcement) {
        let known = self.known.get(&said.instance);
        let mut leaving = false;
        if let Some((before, was_leaving)) = known {
            if said.incarnation < before.incarnation {
                return;
            }
            if said.incarnation == before.incarnation {
                said.lease_until_ms = said.lease_until_ms.max(before.lease_until_ms);
                leaving = *was_leaving;
            }
        }
        self.known.insert(said.instance.clone(), (said, leaving));
    }

    fn eligible(&self, rule: &pool::Rule, now_ms: u64) -> Vec<name::InstanceName> {
        let eligible = self.known.values().filter(|(said, leaving)| {
            let serves = said.served.iter().any(|served| {
                served.target == rule.target
                    && (rule.version.is_none() || served.version == rule.version)
            });
            !leaving
                && said.lease_until_ms > now_ms
                && serves
                && rule.selectors[0].matches(&said.labels)
        });
        eligible.map(|(said, _)| said.instance.clone()).collect()
    }
}

fn announcement(rng: &mut rand_chacha::ChaCha8Rng, now_ms: u64) -> upstream::Announcement {
    let role = ["decode", "prefill"][rng.next_u64() as usize % 2];
    let pair = (name::LabelKey::new("role").unwrap(), name::LabelValue::new(role).unwrap());
    let served = ["v1", "v2"][rng.next_u64() as usize % 2];
    upstream::Announcement {
        instance: instance(rng.next_u64() % INSTANCES),
        incarnation: rng.next_u64() % 3 + now_ms / 1_000,
        zone: name::ZoneName::new("irbid").unwrap(),
        labels: labels::Labels::from([pair]),
        served: vec![upstream::Served { target: model(), version: Some(version(served)) }],
        slots: 4,
        lease_until_ms: now_ms + rng.next_u64() % LEASE_MS,
    }
}

fn check(router: &mut routing::Router, naive: &Naive, call: &choice::Call<'_>) {
    for rule in rules() {
        let mut wanted = naive.eligible(&rule, call.now_ms);
        wanted.retain(|name| !router.find(name).is_some_and(|id| call.excluded.contains(&id)));
        let pool = router.pool(&rule).unwrap();
        let chosen = router
            .choose(pool, call)
            .map(|choice| router.upstream(choice.id).unwrap().announcement.instance.clone());
        match chosen {
            Some(chosen) => assert_that!(wanted, contains(eq(&chosen))),
            None => assert_that!(wanted, is_empty()),
        }
    }
}

macro_rules! agrees_with_a_scan {
    ($($case:ident: $seed:expr,)*) => {$(
        /// Announcements, leaves, expiries and failures arrive in any order. A router that falls
        /// behind them sends calls to an upstream that is leaving, or finds none although some are
        /// available.
        #[googletest::test]
        fn $case() {
            let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64($seed);
            let mut router = routing::Router::new(routing::Settings::default());
            let mut naive = Naive::default();
            for rule in rules() {
                router.pool(&rule);
            }
            for step in 0..STEPS {
                let now_ms = step as u64 * 10;
                random_step(&mut rng, &mut router, &mut naive, now_ms);
                let excluded: Vec<_> =
                    router.find(&instance(rng.next_u64() % INSTANCES)).into_iter().collect();
                let prefix = Some(rng.next_u64() % 5);
                let draw = rng.next_u64();
                let call = choice::Call { prefix, excluded: &excluded, draw, now_ms };
                check(&mut router, &naive, &call);
            }
        }
    )*};
}

fn random_step(
    rng: &mut rand_chacha::ChaCha8Rng,
    router: &mut routing::Router,
    naive: &mut Naive,
    now_ms: u64,
) {
    let named = instance(rng.next_u64() % INSTANCES);
    match rng.next_u64() % 7 {
        0..=2 => {
            let said = announcement(rng, now_ms);
            naive.announce(said.clone());
            router.announce(said);
        }
        3 => {
            router.leave(&named);
            if let Some((_, leaving)) = naive.known.get_mut(&named) {
                *leaving = true;
            }
        }
        4 => {
            for gone in router.expire(now_ms) {
                naive.known.remove(&gone);
            }
        }
        5 => {
            let running = rng.next_u64() as u32 % 20;
            let taken_at_ms = now_ms.saturating_sub(rng.next_u64() % 500);
            let report = load::Report { running, waiting: 0, from_here: 0, taken_at_ms };
            router.report(&named, report);
            router.cache_event(&named, rng.next_u64() % 5, now_ms);
            router.refresh();
        }
        _ => {
            if let Some(id) = router.find(&named) {
                router.begin(id, Some(rng.next_u64() % 5), now_ms);
                router.finish(id, routing::Outcome::Failed, now_ms);
            }
        }
    }
}

agrees_with_a_scan! {
    seed_1: 1,
    seed_2: 2,
    seed_3: 3,
    seed_4: 4,
    seed_5: 5,
    seed_6: 6,
}

fn router_of(count: u64) -> (routing::Router, pool::PoolId) {
    let mut router = routing::Router::new(routing::Settings::default());
    for index in 0..count {
        router.announce(upstream::Announcement {
            instance: instance(index),
            incarnation: 1,
            zone: name::ZoneName::new("irbid").unwrap(),
            labels: labels::Labels::new(),
            served: vec![upstream::Served { target: model(), version: None }],
            slots: 4,
            lease_until_ms: u64::MAX,
        });
    }
    let rule =
        pool::Rule { target: model(), version: None, selectors: vec![labels::Selector::default()] };
    let pool = router.pool(&rule).unwrap();
    (router, pool)
}

/// One popular prefix would attract every call to one upstream. Its callers would wait in one queue
/// while all other upstreams are idle.
#[googletest::test]
fn a_popular_prefix_stays_within_the_bound() {
    let (mut router, pool) = router_of(20);
    let mut busiest = 0;
    for draw in 0..200 {
        router.refresh();
        let call = choice::Call { prefix: Some(7), excluded: &[], draw, now_ms: 0 };
        let choice = router.choose(pool, &call).unwrap();
        router.begin(choice.id, Some(7), 0);
        let load = router.upstream(choice.id).unwrap().load.in_flight_here;
        busiest = busiest.max(load);
        let mean_before = draw as f64 / 20.0;
        if choice.reason == choice::Reason::Affinity {
            expect_that!(f64::from(load), le((1.25 * (mean_before + 1.0)).max(2.0)));
        }
    }
    expect_that!(busiest, le(13));
}

/// Losing an upstream must not move the prefixes of all others: every engine would start with a
/// cold cache at once, and first tokens would be late everywhere.
#[googletest::test]
fn other_prefixes_stay_when_an_upstream_leaves() {
    let (mut router, pool) = router_of(20);
    let choose = |router: &routing::Router, prefix: u64| {
        let call = choice::Call { prefix: Some(prefix), excluded: &[], draw: 0, now_ms: 0 };
        router.choose(pool, &call).unwrap().id
    };
    let before: Vec<_> = (0..500).map(|prefix| choose(&router, prefix)).collect();
    let gone = router.find(&instance(3)).unwrap();
    router.leave(&instance(3));
    for (prefix, &id) in before.iter().enumerate() {
        let now = choose(&router, prefix as u64);
        expect_that!(now, ne(gone));
        expect_that!(id == gone || now == id, eq(true));
    }
}

/// An upstream that dies before its lease ends refuses each call. Without ejection, every second
/// call to a pair would fail until the lease is over.
#[googletest::test]
fn a_failing_upstream_is_ejected_and_returns() {
    let (mut router, pool) = router_of(2);
    let dead = router.find(&instance(0)).unwrap();
    for _ in 0..3 {
        router.begin(dead, None, 0);
        router.finish(dead, routing::Outcome::Failed, 0);
    }
    let chosen = |router: &routing::Router, now_ms: u64| {
        let choose = |draw| {
            let call = choice::Call { prefix: None, excluded: &[], draw, now_ms };
            router.choose(pool, &call).unwrap().id
        };
        (0..50).filter(|&draw| choose(draw) == dead).count()
    };
    expect_that!(chosen(&router, 500), eq(0));
    expect_that!(chosen(&router, 1_001), gt(0));
    router.leave(&instance(1));
    expect_that!(chosen(&router, 500), eq(50));
}
