//! Proof that the checks find faults: each planted one must be found within a bounded number of
//! seeds.

use googletest::prelude::*;

use crate::{exploration, world};

const SEEDS: u64 = 20_000;

fn is_found(planted: world::Planted, changing: bool) -> Option<(u64, String)> {
    (0..SEEDS).find_map(|seed| {
        let plan = world::Plan {
            planted: Some(planted),
            changing,
            duration_ms: 4_000,
            ..exploration::plan(seed)
        };
        exploration::explore(seed, plan).err().map(|fault| (seed, fault))
    })
}

macro_rules! found {
    ($($case:ident: $planted:ident, changing $changing:expr => $fault:expr,)*) => {$(
        #[googletest::test]
        fn $case() {
            let found = is_found(world::Planted::$planted, $changing);
            expect_that!(found, some((anything(), contains_substring($fault))));
        }
    )*};
}

found! {
    acknowledged_before_sync: AckBeforeSync, changing false => "changed",
    emptied_disk_votes_on: EmptiedKeepsId, changing true => "changed",
    rolled_back_disk_votes_on: RolledBack, changing false => "two leaders",
    forgotten_vote: VoteForgotten, changing false => "two leaders",
    forgotten_commit: CommitForgotten, changing false => "applied fell",
    read_without_quorum: LocalReads, changing false => "read at",
}
