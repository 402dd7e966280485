//! The other voters: the ways to reach them, and what they said about themselves.

use std::collections;

use ragwortdeal_core::{
    name,
    replication::{entry, membership, repair},
};
use ragwortdeal_wire::link as wire;

use super::{letter::Letter, operate};
use crate::{link, settings};

/// For how long an announcement counts. Voters announce themselves several times within it.
const ANNOUNCED_MS: u64 = 3_000;

/// The other voters as one voter sees them.
pub(super) struct Peers {
    own: entry::ReplicaId,
    /// Voters of the settings, this one included.
    initial: collections::BTreeMap<name::InstanceName, String>,
    links: collections::BTreeMap<name::InstanceName, link::Link>,
    /// Links that other voters opened; the way back to one that the settings do not name.
    sessions: collections::BTreeMap<link::SessionId, link::Session>,
    announced: collections::BTreeMap<name::InstanceName, Announced>,
    /// Replacements that an operator asked for, by the lost and the new instance.
    replacements: collections::BTreeSet<Replacement>,
}

type Replacement = (Option<name::InstanceName>, Option<name::InstanceName>);

struct Announced {
    id: entry::ReplicaId,
    empty: bool,
    at_ms: u64,
}

impl Peers {
    pub(super) fn new(own: entry::ReplicaId, initial: &[settings::voter::Member]) -> Self {
        let named = |member: &settings::voter::Member| {
            Some((name::InstanceName::new(&member.name).ok()?, member.address.to_string()))
        };
        Self {
            own,
            initial: initial.iter().filter_map(named).collect(),
            links: collections::BTreeMap::new(),
            sessions: collections::BTreeMap::new(),
            announced: collections::BTreeMap::new(),
            replacements: collections::BTreeSet::new(),
        }
    }

    /// Voters of the settings other than this one, with their addresses.
    pub(super) fn others(&self) -> Vec<(name::InstanceName, String)> {
        let others = self.initial.iter().filter(|(name, _)| **name != self.own.instance);
        others.map(|(name, address)| (name.clone(), address.clone())).collect()
    }

    pub(super) fn add_link(&mut self, name: name::InstanceName, link: link::Link) {
        self.links.insert(name, link);
    }

    pub(super) fn opened(&mut self, session: link::Session) {
        if session.hello.role == "voter" {
            self.sessions.insert(session.id, session);
        }
    }

    pub(super) fn closed(&mut self, session: link::SessionId) {
        self.sessions.remove(&session);
    }

    /// Address of a voter's links, where the settings name it.
    pub(super) fn address(&self, id: &entry::ReplicaId) -> Option<String> {
        self.initial.get(&id.instance).cloned()
    }

    /// Whether a letter would leave this process at present.
    pub(super) fn reaches(&self, name: &name::InstanceName) -> bool {
        let accepted = || self.sessions.values().any(|session| session.hello.name == **name);
        self.links.get(name).is_some_and(link::Link::is_up) || accepted()
    }

    /// Sends a letter; it may be lost, and replication sends what matters again.
    pub(super) fn send(&self, to: &name::InstanceName, letter: &Letter) {
        let message = operate::seal(letter);
        if let Some(link) = self.links.get(to).filter(|link| link.is_up()) {
            if let Err(error) = link.push("replicate", message) {
                log::debug!("voter: {error}");
            }
            return;
        }
        let newest = self.sessions.values().rfind(|session| session.hello.name == **to);
        if let Some(session) = newest {
            session.push(message);
        }
    }

    /// Tells all reachable voters which replica this is.
    pub(super) fn announce(&self, empty: bool) {
        let letter = Letter::Announce { id: self.own.clone(), empty };
        let sessions = self.sessions.values().map(|session| session.hello.name.as_str());
        let accepted = sessions.filter_map(|name| name::InstanceName::new(name).ok());
        let names: collections::BTreeSet<_> = self.links.keys().cloned().chain(accepted).collect();
        for name in names {
            self.send(&name, &letter);
        }
    }

    pub(super) fn heard(&mut self, id: entry::ReplicaId, empty: bool, now_ms: u64) {
        let announced = Announced { id: id.clone(), empty, at_ms: now_ms };
        self.announced.insert(id.instance, announced);
    }

    fn fresh(&self, now_ms: u64) -> impl Iterator<Item = &Announced> {
        let is_fresh = move |it: &&Announced| now_ms.saturating_sub(it.at_ms) <= ANNOUNCED_MS;
        self.announced.values().filter(is_fresh)
    }

    /// The voters of a new group, where this voter is to found it.
    ///
    /// The first by name founds, once every voter of the settings has said that it is empty. If
    /// its own disk was emptied later, the others say that they are not, and it waits to be taken
    /// in. Were one silent voter enough to go on, two groups could accept changes side by side.
    pub(super) fn founding(&self, now_ms: u64) -> Option<membership::Membership> {
        let others = self.others();
        if others.iter().any(|(name, _)| *name < self.own.instance) {
            return None;
        }
        let empty = self.fresh(now_ms).filter(|it| it.empty);
        let empty: collections::BTreeMap<_, _> =
            empty.map(|it| (&it.id.instance, it.id.clone())).collect();
        let ids: Option<collections::BTreeSet<_>> =
            others.iter().map(|(name, _)| empty.get(name).cloned()).collect();
        let mut voters = ids?;
        voters.insert(self.own.clone());
        Some(membership::Membership { voters, ..membership::Membership::default() })
    }

    /// Notes a replacement that an operator asked for.
    pub(super) fn replace(&mut self, replacement: Replacement) {
        self.replacements.insert(replacement);
    }

    /// The next step to take in a voter that came back with an empty disk, or one that the
    /// settings name and the group lacks, or to carry on a replacement.
    pub(super) fn repair(
        &self,
        present: &membership::Membership,
        now_ms: u64,
    ) -> Option<membership::Change> {
        let taken_out = |id: &entry::ReplicaId| {
            self.replacements.iter().any(|(lost, _)| lost.as_ref() == Some(&id.instance))
        };
        let expected = |id: &entry::ReplicaId| {
            let on_instance = present.members().any(|member| member.instance == id.instance);
            let asked_for =
                self.replacements.iter().any(|(_, new)| new.as_ref() == Some(&id.instance));
            on_instance || asked_for || self.initial.contains_key(&id.instance)
        };
        let ids = self.fresh(now_ms).map(|it| &it.id);
        let ids = ids.filter(|id| expected(id) && !taken_out(id));
        let mut steps =
            ids.filter_map(|id| repair::next_change(present, id, repair::replaced_by(present, id)));
        steps.next().or_else(|| self.take_out(present))
    }

    /// Takes a lost voter out, once the one that stands in for it votes.
    fn take_out(&self, present: &membership::Membership) -> Option<membership::Change> {
        let on =
            |name: &name::InstanceName| present.members().find(|member| member.instance == *name);
        let votes =
            |name: &name::InstanceName| present.voters.iter().any(|voter| voter.instance == *name);
        let ready = self.replacements.iter().filter(|(_, new)| new.as_ref().is_none_or(votes));
        let lost = ready.filter_map(|(lost, _)| on(lost.as_ref()?)).next();
        lost.map(|id| membership::Change::Remove(id.clone()))
    }
}

/// Whether a letter's sender is on the instance that the link's opener named.
pub(super) fn is_from(hello: &wire::Hello, id: &entry::ReplicaId) -> bool {
    hello.name == *id.instance
}
