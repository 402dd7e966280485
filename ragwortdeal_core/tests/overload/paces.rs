//! Waits where the pace of engines changes within the time of an answer.

use googletest::prelude::*;

use super::{COUNTED_FROM_MS, EntryRule, fleet, many_entries, prefill_heavy};

const UNTIL_MS: u64 = 20_000;

/// One engine in seven takes two and a half times as long.
const UNEVEN: fleet::Paces =
    fleet::Paces { slow_share: 1.0 / 7.0, slow_factor: 2.5, mean_ms: 600.0, reported: true };

fn outcome(setup: fleet::Setup, paces: Option<fleet::Paces>, seed: u64) -> fleet::Outcome {
    let setup = fleet::Setup { paces, ..setup };
    let load = [(0, 0.8 * setup.capacity_per_s())];
    fleet::simulate::<EntryRule>(&setup, &load, UNTIL_MS, COUNTED_FROM_MS, seed)
}

macro_rules! shorter_waits {
    ($($name:ident: $setup:expr;)*) => {
        $(
            /// Guards against forecasts that ignore how slow an engine is at the moment.
            #[googletest::test]
            fn $name() {
                let wait_ms = |reported| -> f64 {
                    let paces = Some(fleet::Paces { reported, ..UNEVEN });
                    (1..=4).map(|seed| outcome($setup, paces, seed).mean_wait_ms()).sum()
                };
                expect_that!(wait_ms(true), lt(wait_ms(false)));
            }
        )*
    };
}

shorter_waits! {
    callers_wait_less_with_reported_paces_where_prompts_are_long: prefill_heavy();
    callers_wait_less_with_reported_paces_behind_many_entries: many_entries();
}

/// Guards against decisions that change although all engines work as usual.
#[googletest::test]
fn reports_of_the_usual_pace_change_no_decision() {
    let usual = fleet::Paces { slow_share: 0.0, ..UNEVEN };
    let unreported = outcome(prefill_heavy(), None, 1);
    expect_that!(outcome(prefill_heavy(), Some(usual), 1), eq(&unreported));
}
