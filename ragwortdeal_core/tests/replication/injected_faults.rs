//! Verifies the checks themselves: each injected fault must be detected within a bounded number of
//! seeds.

use googletest::prelude::*;

use crate::{exploration, simulation};

const SEEDS: u64 = 20_000;

fn first_detection(injected: simulation::InjectedFault, changing: bool) -> Option<(u64, String)> {
    (0..SEEDS).find_map(|seed| {
        let plan = simulation::Plan {
            injected: Some(injected),
            changing,
            duration_ms: 4_000,
            ..exploration::plan(seed)
        };
        exploration::explore(seed, plan).err().map(|fault| (seed, fault))
    })
}

macro_rules! detected {
    ($($case:ident: $injected:ident, changing $changing:expr => $fault:expr,)*) => {$(
        #[googletest::test]
        fn $case() {
            let detection = first_detection(simulation::InjectedFault::$injected, $changing);
            expect_that!(detection, some((anything(), contains_substring($fault))));
        }
    )*};
}

detected! {
    acknowledged_before_sync: AckBeforeSync, changing false => "changed",
    emptied_disk_votes_on: EmptiedKeepsId, changing true => "changed",
    rolled_back_disk_votes_on: RolledBack, changing false => "two leaders",
    forgotten_vote: VoteForgotten, changing false => "two leaders",
    forgotten_commit: CommitForgotten, changing false => "applied fell",
    read_without_quorum: LocalReads, changing false => "read at",
}
