//! The roster of running agents, as entries send it to their agents.

use std::{collections, net};

use crate::{digest, name, spread::event};

/// A running agent.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AgentInfo {
    /// Its instance, with availability zone and region.
    #[serde(rename = "place")]
    pub location: event::Location,
    /// Address of its HTTP listener.
    pub address: net::SocketAddr,
    /// Incarnation of the agent; a higher one has lost what it held in memory.
    pub incarnation: u64,
}

/// Agents by instance.
pub type Roster = collections::BTreeMap<name::InstanceName, AgentInfo>;

/// A change of an entry's roster.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Update {
    /// Whether `joined` is the complete roster.
    #[serde(rename = "whole")]
    pub full: bool,
    /// Agents that joined or restarted.
    pub joined: Vec<AgentInfo>,
    /// Instances whose agent left or whose lease ended.
    pub left: Vec<name::InstanceName>,
}

/// A peer's announcement of chunks that it holds.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Holdings {
    /// The peer.
    pub instance: name::InstanceName,
    /// The version.
    pub version: digest::Digest,
    /// Numbers of chunks that it did not announce before.
    pub chunks: Vec<u32>,
}

impl Update {
    /// An update that replaces the complete roster.
    pub fn full(roster: &Roster) -> Self {
        Self { full: true, joined: roster.values().cloned().collect(), left: Vec::new() }
    }

    /// The changes from one roster to another, or `None` if they are equal.
    pub fn between(before: &Roster, after: &Roster) -> Option<Self> {
        let new =
            |(name, agent): &(&name::InstanceName, &AgentInfo)| before.get(*name) != Some(*agent);
        let joined: Vec<_> = after.iter().filter(new).map(|(_, agent)| agent.clone()).collect();
        let missing = before.keys().filter(|name| !after.contains_key(*name));
        let left: Vec<_> = missing.cloned().collect();
        let changed = !joined.is_empty() || !left.is_empty();
        changed.then_some(Self { full: false, joined, left })
    }

    /// Applies the update to a roster.
    pub fn apply(self, roster: &mut Roster) {
        if self.full {
            roster.clear();
        }
        self.left.iter().for_each(|name| _ = roster.remove(name));
        let joined = self.joined.into_iter().map(|agent| (agent.location.instance.clone(), agent));
        roster.extend(joined);
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    fn agent(name: &str, incarnation: u64) -> AgentInfo {
        let location = event::Location {
            instance: name::InstanceName::new(name).unwrap(),
            zone: name::ZoneName::new("zone").unwrap(),
            region: name::RegionName::new("region").unwrap(),
        };
        AgentInfo { location, address: net::SocketAddr::from(([127, 0, 0, 1], 7300)), incarnation }
    }

    fn roster(agents: &[(&str, u64)]) -> Roster {
        let agents = agents.iter().map(|(name, incarnation)| agent(name, *incarnation));
        agents.map(|agent| (agent.location.instance.clone(), agent)).collect()
    }

    #[googletest::test]
    fn an_update_turns_one_roster_into_the_other() {
        let before = roster(&[("a", 1), ("b", 1), ("c", 1)]);
        let after = roster(&[("a", 1), ("b", 2), ("d", 1)]);
        let mut followed = before.clone();
        let update = Update::between(&before, &after).unwrap();
        expect_that!(update.joined.len(), eq(2));
        expect_that!(update.left.len(), eq(1));
        update.apply(&mut followed);
        expect_that!(followed, eq(&after));
        expect_that!(Update::between(&after, &after), none());
    }

    /// Agents leave while the link to an entry is down. The first update on the new link has to
    /// remove them.
    #[googletest::test]
    fn a_full_update_replaces_the_roster() {
        let mut followed = roster(&[("a", 1), ("b", 1)]);
        let now = roster(&[("b", 1)]);
        Update::full(&now).apply(&mut followed);
        expect_that!(followed, eq(&now));
    }
}
