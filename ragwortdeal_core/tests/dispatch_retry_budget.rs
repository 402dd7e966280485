//! The retry budget that all entries share, where entries start again and again.

use googletest::prelude::*;
use ragwortdeal_core::dispatch::retry_budget::{Budget, Usage};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Seeds of each case.
const SEEDS: u64 = 20;
/// Length of a play.
const PLAY_MS: u64 = 45_000;
/// Step of a play.
const STEP_MS: u64 = 10;
/// Longest time from the decision on a repeat to its arrival: one part in twenty of the window.
const UNDER_WAY_MS: u64 = 500;

/// How entries come and go.
#[derive(Clone, Copy, Debug)]
enum Starts {
    /// None does.
    Never,
    /// Each lives for a random time of up to this many milliseconds.
    Each { longest_ms: u64 },
    /// All are killed together, so often.
    All { every_ms: u64 },
}

/// When requests want a repeat.
#[derive(Clone, Copy, Debug)]
enum Failures {
    Always,
    /// From `calm_ms` on in each turn of `turn_ms`.
    InTurns {
        calm_ms: u64,
        turn_ms: u64,
    },
}

impl Failures {
    fn fails(self, now_ms: u64) -> bool {
        match self {
            Self::Always => true,
            Self::InTurns { calm_ms, turn_ms } => now_ms % turn_ms >= calm_ms,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Play {
    entries: usize,
    starts: Starts,
    failures: Failures,
    /// Chance in a thousand that an entry gets a request in a step.
    requests_per_mille: u32,
}

/// A process of an entry.
struct Process {
    usage: Usage,
    start_ms: u64,
    ends_ms: u64,
}

impl Process {
    fn start(starts: Starts, now_ms: u64, random: &mut ChaCha8Rng) -> Self {
        let ends_ms = match starts {
            Starts::Never => u64::MAX,
            Starts::Each { longest_ms } => now_ms + random.random_range(STEP_MS..=longest_ms),
            Starts::All { every_ms } => (now_ms / every_ms + 1) * every_ms,
        };
        Self { usage: Usage::default(), start_ms: now_ms, ends_ms }
    }
}

/// Requests and arrivals beyond the first of each, at one service.
#[derive(Default)]
struct Service {
    requests_ms: Vec<u64>,
    repeats_ms: Vec<u64>,
}

impl Service {
    /// Plays entries of which each request that fails wants a repeat at once.
    fn play(play: Play, budget: &Budget, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut service = Self::default();
        let start = |random: &mut _| Process::start(play.starts, 0, random);
        let mut processes: Vec<_> = (0..play.entries).map(|_| start(&mut random)).collect();
        for now_ms in (0..PLAY_MS).step_by(STEP_MS as usize) {
            for process in &mut processes {
                if process.ends_ms <= now_ms {
                    *process = Process::start(play.starts, now_ms, &mut random);
                }
                if random.random_range(0..1_000) < play.requests_per_mille {
                    let late_ms = random.random_range(0..=UNDER_WAY_MS);
                    service.request(process, &play, budget, now_ms, late_ms);
                }
            }
        }
        service.repeats_ms.sort_unstable();
        service
    }

    fn request(
        &mut self,
        process: &mut Process,
        play: &Play,
        budget: &Budget,
        now_ms: u64,
        late_ms: u64,
    ) {
        let process_ms = now_ms - process.start_ms;
        self.requests_ms.push(now_ms);
        process.usage.record_first_attempt(budget, process_ms);
        let wants_repeat = play.failures.fails(now_ms);
        let entries = Some(play.entries);
        if wants_repeat && process.usage.try_retry(budget, entries, process_ms).is_granted {
            self.repeats_ms.push(now_ms + late_ms);
        }
    }

    /// The window with the greatest excess over the budget, with repeats and what is allowed.
    fn worst_window(&self, budget: &Budget) -> (u64, usize, f64) {
        let window_ms = budget.window_ms;
        let within = |times: &[u64], from_ms: u64| {
            let before = |bound_ms: u64| times.partition_point(|at_ms| *at_ms < bound_ms);
            before(from_ms + window_ms) - before(from_ms)
        };
        let windows = self.repeats_ms.iter().map(|from_ms| {
            let earlier = [0, window_ms / 2, window_ms].map(|ms| from_ms.saturating_sub(ms));
            let requests = earlier.map(|from_ms| within(&self.requests_ms, from_ms));
            let requests = requests.into_iter().max().unwrap_or_default();
            let allowed = budget.ratio * requests as f64 + budget.allowance;
            (*from_ms, within(&self.repeats_ms, *from_ms), allowed)
        });
        let excess = |(_, repeats, allowed): &(u64, usize, f64)| *repeats as f64 - allowed;
        let worst = windows.max_by(|one, other| excess(one).total_cmp(&excess(other)));
        worst.unwrap_or_default()
    }
}

macro_rules! the_budget_holds {
    ($($case:ident: $entries:expr, $starts:expr, $failures:expr, $requests_per_mille:expr,
       $allowance:expr;)*) => {$(
        /// Guards against repeats beyond the budget of all entries in any window.
        #[googletest::test]
        fn $case() {
            let budget = Budget { ratio: 0.2, allowance: $allowance, window_ms: 10_000 };
            let play = Play {
                entries: $entries,
                starts: $starts,
                failures: $failures,
                requests_per_mille: $requests_per_mille,
            };
            for seed in 0..SEEDS {
                let service = Service::play(play, &budget, seed);
                let (from_ms, repeats, allowed) = service.worst_window(&budget);
                expect_that!(repeats as f64, le(allowed), "seed {seed}, from {from_ms} ms");
                expect_that!(service.repeats_ms.len(), gt(0));
            }
        }
    )*};
}

the_budget_holds! {
    one_entry_that_never_starts_again: 1, Starts::Never, Failures::Always, 150, 100.0;
    one_entry_in_short_lives: 1, Starts::Each { longest_ms: 3_000 }, Failures::Always, 150, 100.0;
    one_entry_in_lives_of_a_window: 1, Starts::Each { longest_ms: 20_000 }, Failures::Always, 150, 100.0;
    few_entries_that_never_start_again: 4, Starts::Never, Failures::Always, 100, 106.0;
    few_entries_in_short_lives: 4, Starts::Each { longest_ms: 3_000 }, Failures::Always, 100, 106.0;
    few_entries_in_lives_of_a_window: 4, Starts::Each { longest_ms: 20_000 }, Failures::Always, 100, 106.0;
    few_entries_killed_together_often: 4, Starts::All { every_ms: 2_500 }, Failures::Always, 100, 106.0;
    few_entries_killed_together_once_a_window: 4, Starts::All { every_ms: 9_900 }, Failures::Always, 100, 106.0;
    few_entries_under_load: 4, Starts::All { every_ms: 2_500 }, Failures::Always, 400, 106.0;
    many_entries_in_short_lives: 39, Starts::Each { longest_ms: 3_000 }, Failures::Always, 30, 454.0;
    many_entries_killed_together_often: 39, Starts::All { every_ms: 2_500 }, Failures::Always, 30, 454.0;
    entries_killed_once_failures_have_begun: 4, Starts::All { every_ms: 11_000 },
        Failures::InTurns { calm_ms: 10_000, turn_ms: 11_000 }, 300, 106.0;
    entries_killed_amid_failures: 13, Starts::All { every_ms: 3_300 },
        Failures::InTurns { calm_ms: 9_000, turn_ms: 21_000 }, 500, 212.0;
    entries_killed_one_by_one_amid_failures: 13, Starts::Each { longest_ms: 15_000 },
        Failures::InTurns { calm_ms: 9_000, turn_ms: 21_000 }, 500, 212.0;
    hundreds_of_entries_in_short_lives: 180, Starts::Each { longest_ms: 3_000 }, Failures::Always, 20, 2_000.0;
    hundreds_of_entries_killed_together_often: 180, Starts::All { every_ms: 2_500 }, Failures::Always, 20, 2_000.0;
}
