//! Voters as processes whose disks refuse writes for some seconds.

mod support;

use std::time;

use googletest::prelude::*;
use ragwortdeal_soak::{
    fleet::{Fleet, Size},
    history::Who,
};
use rustix::process as signals;

/// For how long a disk is full.
const FULL: time::Duration = time::Duration::from_millis(4_500);

/// Longest wait. What these tests guard against lasts for good; a machine whose disk stalls may need
/// many seconds for a sync.
const WAIT: time::Duration = time::Duration::from_secs(60);

/// Waits until something holds.
async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let begun = time::Instant::now();
    while !holds().await {
        assert!(begun.elapsed() < WAIT, "in vain: {what}");
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

struct Voters {
    fleet: Fleet,
    _folder: tempfile::TempDir,
}

impl Voters {
    async fn start() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let size = Size { voters: 3, entries: 0, agents: 0 };
        let programs = support::programs();
        let fleet = Fleet::new(size, folder.path(), &programs).expect("settings are written");
        for who in size.processes() {
            fleet.start(who).await.expect("a voter starts");
        }
        let voters = Self { fleet, _folder: folder };
        voters.install(3).await;
        voters.until_all_read(3).await;
        voters
    }

    async fn install(&self, version: u64) {
        let document = self.fleet.world.document(version, None);
        until("a change is acknowledged", async || self.acknowledged(&document).await).await;
    }

    async fn acknowledged(&self, document: &serde_json::Value) -> bool {
        let (world, document) = (&self.fleet.world, document.to_string());
        for voter in 1..=3 {
            let answer = world
                .operator()
                .call(world.control(voter), "PUT", "/configuration", &document)
                .await;
            if answer.is_some_and(|(status, _)| status == 200) {
                return true;
            }
        }
        false
    }

    /// Waits until each voter gives a version, or names a leader that does.
    async fn until_all_read(&self, version: u64) {
        let world = &self.fleet.world;
        for voter in 1..=3 {
            until("the newest change is read back", async || {
                let read =
                    world.operator().call(world.control(voter), "GET", "/configuration", "").await;
                let text = read.filter(|(status, _)| *status == 200).map(|(_, text)| text);
                let document: Option<serde_json::Value> =
                    text.and_then(|text| serde_json::from_str(&text).ok());
                document.is_some_and(|it| it["version"].as_u64() == Some(version))
            })
            .await;
        }
    }

    fn fill(&self, voters: &[u8], full: bool) {
        for &voter in voters {
            self.fleet.fill_disk(voter, full).expect("the limit is set");
        }
    }

    /// A voter loses its disk and starts again with an empty one.
    async fn lose(&self, voter: u8) {
        let who = Who::Voter(voter);
        self.fleet.signal(who, signals::Signal::KILL).expect("the voter is killed");
        self.fleet.erase(voter).expect("the folder is removed");
        self.fleet.write_settings(who, false, 0).expect("settings are written");
        self.fleet.start(who).await.expect("the voter starts");
    }

    fn none_ended(&self) {
        expect_that!(self.fleet.ended(), is_empty());
    }
}

/// One disk is full for some seconds, and meanwhile another voter loses its disk right after an
/// acknowledgement. The change is on two disks; giving up the full one would lose the quorum.
#[googletest::test]
#[tokio::test]
async fn a_full_disk_is_not_a_second_lost_one() {
    let voters = Voters::start().await;
    voters.fill(&[1], true);
    voters.install(9).await;
    voters.lose(2).await;
    tokio::time::sleep(FULL).await;
    voters.fill(&[1], false);
    voters.install(11).await;
    voters.until_all_read(11).await;
    voters.none_ended();
}

macro_rules! several_full_disks {
    ($($case:ident: $full:expr,)*) => {$(
        /// Several disks are full at the same time and a change is sent meanwhile. No disk is lost,
        /// so the group has to go on once there is room.
        #[googletest::test]
        #[tokio::test]
        async fn $case() {
            let voters = Voters::start().await;
            voters.fill(&$full, true);
            let document = voters.fleet.world.document(7, None);
            let tried = time::Instant::now();
            while tried.elapsed() < FULL {
                expect_that!(voters.acknowledged(&document).await, eq(false));
            }
            voters.fill(&$full, false);
            voters.install(9).await;
            voters.until_all_read(9).await;
            voters.none_ended();
        }
    )*};
}

several_full_disks! {
    two_disks_are_full_at_the_same_time: [1, 2],
    all_disks_are_full_at_the_same_time: [1, 2, 3],
}
