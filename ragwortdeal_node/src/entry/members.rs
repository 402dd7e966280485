//! Upstreams as they announced themselves, each believed until its lease ends.

use std::{collections, sync, time};

use ragwortdeal_core::name;
use ragwortdeal_wire::link as wire;

use super::Entry;

/// How often ended leases are looked for.
const EXPIRY_PERIOD: time::Duration = time::Duration::from_millis(250);

/// One upstream.
#[derive(Clone, Debug)]
pub(super) struct Member {
    /// Its last announcement.
    pub(super) announcement: sync::Arc<wire::Announcement>,
    /// Until when it is believed.
    lease_ends_ms: u64,
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
        let lease_ends_ms = now_ms + self.lease_ms;
        match self.by_instance.get_mut(&name) {
            Some(member) => {
                let known = &member.announcement;
                // An announcement of an earlier life, delayed on the way, would bring back
                // an upstream that has left.
                if number < (known.incarnation, known.sequence) {
                    return;
                }
                member.announcement = sync::Arc::new(announcement);
                member.lease_ends_ms = lease_ends_ms;
            }
            None => {
                log::info!("entry: upstream {name} announced itself");
                let announcement = sync::Arc::new(announcement);
                let member = Member { announcement, lease_ends_ms };
                self.by_instance.insert(name, member);
            }
        }
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
            member.lease_ends_ms > now_ms && !member.announcement.leaving
        })
    }

    /// One upstream, if it is believed.
    pub(super) fn get(&self, instance: &name::InstanceName) -> Option<&Member> {
        self.by_instance.get(instance)
    }

    /// All upstreams that are believed, those that are leaving included.
    pub(super) fn all(&self) -> impl Iterator<Item = (&name::InstanceName, &Member)> {
        self.by_instance.iter()
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
