//! Upstreams as they announced themselves, each believed until its lease ends.

use std::{collections, sync, time};

use ragwortdeal_core::name;
use ragwortdeal_wire::link as wire;

use super::Entry;
use crate::lease;

/// How often ended leases are looked for.
const EXPIRY_PERIOD: time::Duration = time::Duration::from_millis(250);

/// One upstream.
#[derive(Clone, Debug)]
pub(super) struct Member {
    /// Its last announcement.
    pub(super) announcement: sync::Arc<wire::Announcement>,
    /// Until when it is believed.
    lease_ends_ms: u64,
    /// Whether its lease was granted once. An announcement alone may have waited in a queue while
    /// this process was stopped and its sender died.
    granted: bool,
}

/// All upstreams that are believed now.
#[derive(Debug)]
pub(super) struct Members {
    lease_ms: u64,
    by_instance: collections::BTreeMap<name::InstanceName, Member>,
}

impl Members {
    pub(super) fn new(lease_ms: u64) -> Self {
        Self { lease_ms, by_instance: collections::BTreeMap::new() }
    }

    /// Takes an announcement, unless a later one is known.
    pub(super) fn announced(&mut self, announcement: wire::Announcement, now_ms: u64) {
        let Ok(name) = name::InstanceName::new(&announcement.instance) else {
            log::warn!("entry: an announcement without a valid name");
            return;
        };
        let number = (announcement.incarnation, announcement.sequence);
        match self.by_instance.get_mut(&name) {
            Some(member) => {
                let known = &member.announcement;
                if announcement.incarnation != known.incarnation {
                    member.granted = false;
                    member.lease_ends_ms = now_ms + self.lease_ms;
                }
                // An announcement of an earlier life, delayed on the way, would bring back
                // an upstream that has left.
                if number < (known.incarnation, known.sequence) {
                    return;
                }
                member.announcement = sync::Arc::new(announcement);
            }
            None => {
                log::info!("entry: upstream {name} announced itself");
                let announcement = sync::Arc::new(announcement);
                let lease_ends_ms = now_ms + self.lease_ms;
                let member = Member { announcement, lease_ends_ms, granted: false };
                self.by_instance.insert(name, member);
            }
        }
    }

    /// Takes a renewal of an announced upstream's lease; says whether the lease stands.
    pub(super) fn renewed(
        &mut self,
        instance: &str,
        renewal: &lease::Renewal,
        entry_incarnation: u64,
        now_ms: u64,
    ) -> bool {
        let end_ms = lease::end_ms(renewal, entry_incarnation, now_ms, self.lease_ms);
        let Some(member) = self.by_instance.get_mut(instance) else { return false };
        let (Some(end_ms), true) = (end_ms, member.announcement.incarnation == renewal.incarnation)
        else {
            return false;
        };
        member.granted = true;
        member.lease_ends_ms = member.lease_ends_ms.max(end_ms);
        true
    }

    /// Forgets upstreams whose lease ended.
    fn expire(&mut self, now_ms: u64) {
        self.by_instance.retain(|name, member| {
            let believed = member.lease_ends_ms > now_ms;
            if !believed {
                log::info!("entry: the lease of upstream {name} ended");
            }
            believed
        });
    }

    /// Upstreams that may get new work: announced, not leaving, lease not ended.
    pub(super) fn available(
        &self,
        now_ms: u64,
    ) -> impl Iterator<Item = (&name::InstanceName, &Member)> {
        self.by_instance.iter().filter(move |(_, member)| {
            member.granted && member.lease_ends_ms > now_ms && !member.announcement.leaving
        })
    }

    /// One upstream, if it is believed.
    pub(super) fn get(&self, instance: &name::InstanceName) -> Option<&Member> {
        self.by_instance.get(instance).filter(|member| member.granted)
    }

    /// All upstreams that are believed, those that are leaving included.
    pub(super) fn all(&self) -> impl Iterator<Item = (&name::InstanceName, &Member)> {
        self.by_instance.iter().filter(|(_, member)| member.granted)
    }
}

/// Forgets upstreams whose lease ended, for as long as the process runs.
pub(super) async fn expire(entry: sync::Arc<Entry>) {
    let mut ticks = tokio::time::interval(EXPIRY_PERIOD);
    loop {
        ticks.tick().await;
        let now_ms = entry.clock.now_ms();
        entry.members.lock().expect("no panic under lock").expire(now_ms);
    }
}

#[cfg(test)]
pub(super) mod tests {
    use googletest::prelude::*;
    use ragwortdeal_core::membership;

    use super::*;

    pub(in crate::entry) const LIFE: u64 = 7;
    pub(in crate::entry) const LEASE_MS: u64 = 2_500;

    pub(in crate::entry) fn announcement(incarnation: u64, sequence: u64) -> wire::Announcement {
        wire::Announcement {
            applied_revision: 0,
            behind: None,
            call_address: "127.0.0.1:7300".to_owned(),
            from_here: 0,
            holds: None,
            incarnation,
            instance: "engine-a".to_owned(),
            kind: wire::AnnouncementKind::Engine,
            leaving: false,
            origin_bytes: 0,
            peer_bytes: 0,
            phase: "serving".to_owned(),
            queued: 0,
            region: "jordan".to_owned(),
            region_bytes: 0,
            report_age_ms: 0,
            running: 0,
            sequence,
            serving: None,
            size_bytes: 0,
            slots: 1,
            staged_bytes: 0,
            target: "match".to_owned(),
            zone: "amman".to_owned(),
        }
    }

    pub(in crate::entry) fn renewal(
        incarnation: u64,
        entry_incarnation: u64,
        at_ms: u64,
    ) -> lease::Renewal {
        lease::Renewal {
            incarnation,
            echo: Some(membership::Stamp { incarnation: entry_incarnation, at_ms }),
        }
    }

    /// A member that was granted a lease at 1,000 ms.
    fn granted() -> Members {
        let mut members = Members::new(LEASE_MS);
        members.announced(announcement(1, 0), 1_000);
        assert!(members.renewed("engine-a", &renewal(1, LIFE, 1_000), LIFE, 1_001));
        members
    }

    #[googletest::test]
    fn a_lease_counts_from_the_echoed_stamp() {
        let members = granted();
        expect_that!(members.available(3_499).count(), eq(1));
        expect_that!(members.available(3_500).count(), eq(0));
    }

    /// The entry was stopped for 30 s. Its queue holds an announcement and a renewal of an agent
    /// that died meanwhile; callers would be sent to a dead machine if they counted from arrival.
    #[googletest::test]
    fn what_waited_during_a_pause_grants_nothing() {
        let mut members = granted();
        members.announced(announcement(1, 1), 31_000);
        expect_false!(members.renewed("engine-a", &renewal(1, LIFE, 1_500), LIFE, 31_000));
        expect_that!(members.available(31_000).count(), eq(0));
        members.expire(31_000);
        members.announced(announcement(1, 2), 31_001);
        expect_that!(members.available(31_002).count(), eq(0));
        expect_that!(members.all().count(), eq(0));
    }

    #[googletest::test]
    fn a_stamp_of_another_life_grants_nothing() {
        let mut members = granted();
        members.expire(10_000);
        members.announced(announcement(1, 1), 10_000);
        expect_false!(members.renewed("engine-a", &renewal(1, LIFE - 1, 9_999), LIFE, 10_001));
        expect_false!(members.renewed("engine-a", &renewal(1, LIFE, 10_500), LIFE, 10_001));
        expect_that!(members.available(10_001).count(), eq(0));
    }

    /// An agent restarts. What its earlier life was granted says nothing about the new one, and a
    /// late renewal of the earlier life must not keep it.
    #[googletest::test]
    fn a_new_life_needs_a_lease_of_its_own() {
        let mut members = granted();
        members.announced(announcement(2, 0), 1_100);
        expect_false!(members.renewed("engine-a", &renewal(1, LIFE, 1_090), LIFE, 1_101));
        expect_that!(members.available(1_102).count(), eq(0));
        expect_true!(members.renewed("engine-a", &renewal(2, LIFE, 1_100), LIFE, 1_103));
        expect_that!(members.available(1_104).count(), eq(1));
    }
}
