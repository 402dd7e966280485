//! Which agents take part in the spread of a version, and where they listen.

use std::{collections, net};

use ragwortdeal_core::{
    config::{intent, replica},
    digest, name,
    spread::{event, roster},
};

/// The rosters of all entries, and who was reported to the policy.
#[derive(Debug, Default)]
pub(super) struct Neighbours {
    by_entry: collections::BTreeMap<String, roster::Roster>,
    known: roster::Roster,
    reported: collections::BTreeMap<name::InstanceName, u64>,
    /// Revision and version for which `reported` holds; `None` after a change of the rosters.
    judged: Option<(u64, digest::Digest)>,
}

impl Neighbours {
    /// Takes an entry's word. An agent counts for as long as one entry believes it.
    pub(super) fn update(&mut self, entry: &str, update: roster::Update) {
        update.apply(self.by_entry.entry(entry.to_owned()).or_default());
        self.known.clear();
        for (name, seat) in self.by_entry.values().flatten() {
            let later = |held: &roster::AgentInfo| held.incarnation >= seat.incarnation;
            if !self.known.get(name).is_some_and(later) {
                self.known.insert(name.clone(), seat.clone());
            }
        }
        self.judged = None;
    }

    /// Address of an agent.
    pub(super) fn address(&self, instance: &name::InstanceName) -> Option<net::SocketAddr> {
        self.known.get(instance).map(|seat| seat.address)
    }

    /// A new download knows nobody yet.
    pub(super) fn reset(&mut self) {
        self.reported.clear();
        self.judged = None;
    }

    /// Who came and who left among the agents whose instances are to serve the version.
    pub(super) fn changes(
        &mut self,
        config: &replica::Replica,
        version: digest::Digest,
        me: &name::InstanceName,
    ) -> Vec<event::Event> {
        let judged = Some((config.revision(), version));
        if self.judged == judged {
            return Vec::new();
        }
        self.judged = judged;
        let wants = |name: &name::InstanceName| {
            name != me && intent::for_instance(config, name).is_some_and(|i| i.version == version)
        };
        let taking_part = self.known.iter().filter(|(name, _)| wants(name));
        let now: collections::BTreeMap<_, _> =
            taking_part.map(|(name, seat)| (name.clone(), seat.incarnation)).collect();
        let new = now.iter().filter(|(name, life)| self.reported.get(*name) != Some(*life));
        let joined = new.map(|(name, _)| event::Event::Joined(self.known[name].location.clone()));
        let gone = self.reported.keys().filter(|name| !now.contains_key(*name));
        let events = gone.cloned().map(event::Event::Left).chain(joined).collect();
        self.reported = now;
        events
    }
}
