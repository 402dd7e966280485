//! What schedules hold, whatever their seed.

use googletest::prelude::*;
use ragwortdeal_soak::{
    fleet::Size,
    schedule::{self, Step},
};

const SIZE: Size = Size { voters: 3, entries: 3, agents: 4 };

const END_MS: u64 = 19_000;

/// Guards against a run whose engines with weights do not fall silent amid new weights, or stay
/// silent in the calm.
#[googletest::test]
fn each_engine_with_weights_falls_silent_amid_new_weights() {
    for seed in 0..50 {
        let events = schedule::make(seed, SIZE, END_MS);
        let times = |is_it: &dyn Fn(&Step) -> bool| -> Vec<u64> {
            events.iter().filter(|it| is_it(&it.step)).map(|it| it.at_ms).collect()
        };
        let mut span = (0, 0);
        for engine in 20..20 + SIZE.agents {
            let begins = times(&|it| matches!(it, Step::FallSilent(at, Some(_)) if *at == engine));
            let ends = times(&|it| *it == Step::FallSilent(engine, None));
            expect_that!((begins.len(), ends.len()), eq((1, 1)), "seed {seed}");
            span = (begins[0], ends[0]);
            expect_that!(span.1 - span.0, ge(10_000), "seed {seed}");
            expect_that!(span.1, le(END_MS), "seed {seed}");
        }
        let within = |at_ms: &u64| (span.0..span.1).contains(at_ms);
        let named: Vec<u64> = times(&|it| *it == Step::Name).into_iter().filter(within).collect();
        let longest_ms = named.windows(2).map(|it| it[1] - it[0]).max().unwrap_or(u64::MAX);
        expect_that!(named.len(), ge(10), "seed {seed}");
        expect_that!(longest_ms, lt(1_200), "seed {seed}");
        let sent = times(&|it| *it == Step::Document).into_iter().filter(within).count();
        expect_that!(sent, ge(6), "seed {seed}");
    }
}
