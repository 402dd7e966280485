//! What callers get from engines that all work longer than their document says, where callers tell
//! an upper bound of their answers.

use googletest::prelude::*;

use super::{COUNTED_FROM_MS, EntryRule, fleet, many_entries, prefill_heavy};

const UNTIL_MS: u64 = 30_000;

/// Requests that may be refused below the capacity of the engines, as a fraction of all.
const REFUSED_MAX: f64 = 0.02;

/// How often large prompts are answered at least, relative to all requests.
const LARGE_SHARE_MIN: f64 = 0.5;

/// All engines take `factor` times as long as documented, and reports tell so or not. `load` is
/// the offered load as a fraction of what these engines can do.
fn outcome(setup: fleet::Setup, factor: f64, reported: bool, load: f64) -> fleet::Outcome {
    let paces = fleet::Paces { slow_share: 1.0, slow_factor: factor, mean_ms: 600.0, reported };
    let longest = setup.kinds.iter().map(|kind| kind.answer_tokens).fold(0.0, f64::max);
    let told = fleet::Told::AtMost(longest * fleet::LONGEST_MEANS);
    let rate_per_s = load / factor * setup.capacity_per_s();
    let setup = fleet::Setup { paces: Some(paces), told, ..setup };
    let load = [(0, rate_per_s)];
    let outcome = fleet::simulate::<EntryRule>(&setup, &load, UNTIL_MS, COUNTED_FROM_MS, 1);
    println!("{factor} times as long, reported {reported}: {outcome}");
    outcome
}

macro_rules! slow_engines {
    ($($name:ident: $setup:expr, $factor:expr, $reported:expr;)*) => {
        $(
            /// Guards against refusals by estimates while engines have free slots.
            #[googletest::test]
            fn $name() {
                let within = outcome($setup, $factor, $reported, 0.75);
                expect_that!(within.refused_fraction(), le(REFUSED_MAX));
                expect_that!(within.large_prompt_share(), ge(LARGE_SHARE_MIN));
                for load in [1.0, 1.5] {
                    let past = outcome($setup, $factor, $reported, load);
                    expect_that!(past.large_prompt_share(), ge(LARGE_SHARE_MIN), "load {load}");
                }
            }
        )*
    };
}

slow_engines! {
    engines_as_documented_serve_what_they_can: prefill_heavy(), 1.0, true;
    engines_as_documented_serve_what_they_can_behind_many_entries: many_entries(), 1.0, true;
    engines_twice_as_slow_serve_what_they_can: prefill_heavy(), 2.0, true;
    engines_twice_as_slow_serve_what_they_can_behind_many_entries: many_entries(), 2.0, true;
    engines_three_times_as_slow_serve_what_they_can: many_entries(), 3.0, true;
    engines_twice_as_slow_that_do_not_tell_serve_what_they_can: prefill_heavy(), 2.0, false;
    engines_twice_as_slow_that_do_not_tell_serve_what_they_can_behind_many_entries:
        many_entries(), 2.0, false;
}
