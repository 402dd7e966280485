//! The other voters: the ways to reach them, and what they said about themselves.

use std::collections;

use ragwortdeal_core::{
    name,
    replication::{entry, membership, reconfiguration, replacement, replica},
};
use ragwortdeal_wire::link as wire;

use super::{Event, letter::Letter, operate};
use crate::{link, settings};

/// For how long an announcement counts. Voters announce themselves several times within it.
const ANNOUNCED_MS: u64 = 3_000;

/// Silence after which a standby takes a voter's place. Longer than an election, and short enough
/// that the group is whole again before a second loss is to be borne.
const LOST_MS: u64 = 2_000;

/// Voters that are remembered, so that false names do not fill the memory.
const KNOWN_MAX: usize = 64;

/// Opens a link to a voter that was not known before.
pub(super) type OpenLink = Box<dyn Fn(&name::InstanceName) -> link::Link + Send>;

/// How voters are found and chosen where the settings name only some addresses to begin with.
pub(super) struct Discovery {
    /// Zone of this voter.
    pub(super) zone: String,
    /// Voters that the group should have.
    pub(super) wanted: usize,
    /// Whether a group may be founded: only when all of the system starts for the first time.
    pub(super) founds: bool,
    /// Opens links to voters that others tell of.
    pub(super) open: OpenLink,
    /// Zones by instance.
    pub(super) zones: collections::BTreeMap<String, String>,
}

/// The other voters as one voter sees them.
pub(super) struct Peers {
    own: entry::ReplicaId,
    /// Whether this process was asked to stop.
    own_leaves: bool,
    /// Voters of the settings, this one included.
    initial: collections::BTreeMap<name::InstanceName, String>,
    links: collections::BTreeMap<name::InstanceName, link::Link>,
    /// Links that other voters opened; the way back to one that the settings do not name.
    sessions: collections::BTreeMap<link::SessionId, link::Session>,
    announced: collections::BTreeMap<name::InstanceName, Announced>,
    /// Replacements that an operator asked for, by the lost and the new instance.
    replacements: collections::BTreeSet<Replacement>,
    discovery: Option<Discovery>,
}

type Replacement = (Option<name::InstanceName>, Option<name::InstanceName>);

struct Announced {
    id: entry::ReplicaId,
    role: Role,
    at_ms: u64,
}

/// What a voter says of its replica.
#[derive(Clone, Copy)]
pub(super) struct Role {
    /// Whether it has never been part of a group.
    pub(super) empty: bool,
    /// Whether it leads the group.
    pub(super) leads: bool,
    /// Whether it was asked to stop.
    pub(super) leaves: bool,
}

impl Peers {
    pub(super) fn new(own: entry::ReplicaId, initial: &[settings::voter::Member]) -> Self {
        let named = |member: &settings::voter::Member| {
            Some((name::InstanceName::new(&member.name).ok()?, member.address.to_string()))
        };
        Self {
            own,
            own_leaves: false,
            initial: initial.iter().filter_map(named).collect(),
            links: collections::BTreeMap::new(),
            sessions: collections::BTreeMap::new(),
            announced: collections::BTreeMap::new(),
            replacements: collections::BTreeSet::new(),
            discovery: None,
        }
    }

    /// Voters that find each other and choose who votes. Links to the initial ones are opened.
    pub(super) fn discovering(
        own: entry::ReplicaId,
        initial: &[settings::voter::Member],
        discovery: Discovery,
    ) -> Self {
        let mut peers = Self::new(own, initial);
        peers.discovery = Some(discovery);
        let names: Vec<_> = peers.initial.keys().cloned().collect();
        peers.get_to_know(&names);
        peers
    }

    /// Asks to be replaced from now on, as this process stops.
    pub(super) fn leave(&mut self) {
        self.own_leaves = true;
    }

    /// Whether voters find each other, so that one that stops can be replaced.
    pub(super) fn replaces(&self) -> bool {
        self.discovery.is_some()
    }

    /// Replicas that were asked to stop, this one included.
    pub(super) fn leaving(&self, now_ms: u64) -> collections::BTreeSet<entry::ReplicaId> {
        let others = self.fresh(now_ms).filter(|it| it.role.leaves).map(|it| it.id.clone());
        others.chain(self.own_leaves.then(|| self.own.clone())).collect()
    }

    /// Whether a replica that is no member and stays could take the place of one that stops.
    pub(super) fn has_standby(&self, present: &membership::Membership, now_ms: u64) -> bool {
        let is_member =
            |id: &entry::ReplicaId| present.members().any(|it| it.instance == id.instance);
        self.fresh(now_ms).any(|it| !it.role.leaves && !is_member(&it.id))
    }

    /// Voters that the group should have.
    pub(super) fn target_voters(&self) -> usize {
        self.discovery.as_ref().map_or(self.initial.len(), |it| it.wanted)
    }

    /// Goes on as another replica, after the data folder was given up.
    pub(super) fn rebind(&mut self, own: entry::ReplicaId) {
        self.own = own;
    }

    /// Opens links to voters that are not known yet.
    pub(super) fn get_to_know(&mut self, names: &[name::InstanceName]) {
        let Some(discovery) = &self.discovery else {
            return;
        };
        for name in names {
            let known = *name == self.own.instance || self.links.contains_key(name);
            if !known && self.links.len() < KNOWN_MAX {
                log::info!("voter: opens a link to {name}");
                self.links.insert(name.clone(), (discovery.open)(name));
            }
        }
    }

    /// Names of all voters heard lately, this one included.
    pub(super) fn heard_lately(&self, now_ms: u64) -> Vec<name::InstanceName> {
        let others = self.fresh(now_ms).map(|it| it.id.instance.clone());
        let mut names: Vec<_> = others.chain([self.own.instance.clone()]).collect();
        names.sort_unstable();
        names.dedup();
        names
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
    pub(super) fn announce(&self, role: Role, now_ms: u64) {
        let Role { empty, leads, leaves } = role;
        let zone = self.discovery.as_ref().map_or_else(String::new, |it| it.zone.clone());
        let known = match self.discovery {
            Some(_) => self.heard_lately(now_ms),
            None => Vec::new(),
        };
        let letter = Letter::Announce { id: self.own.clone(), empty, zone, leads, leaves, known };
        let sessions = self.sessions.values().map(|session| session.hello.name.as_str());
        let accepted = sessions.filter_map(|name| name::InstanceName::new(name).ok());
        let names: collections::BTreeSet<_> = self.links.keys().cloned().chain(accepted).collect();
        for name in names {
            self.send(&name, &letter);
        }
    }

    /// Notes what a voter said of itself and of others.
    pub(super) fn introduced(
        &mut self,
        id: &entry::ReplicaId,
        zone: String,
        known: &[name::InstanceName],
    ) {
        if let Some(discovery) = &mut self.discovery {
            discovery.zones.insert(id.instance.to_string(), zone);
        }
        self.get_to_know(std::slice::from_ref(&id.instance));
        self.get_to_know(known);
    }

    /// Notes what an event tells about other voters, and drops the rest of it.
    pub(super) fn observe(&mut self, event: Event, now_ms: u64) {
        match event {
            Event::Opened(session) => self.opened(session),
            Event::Closed(session) => self.closed(session),
            Event::Named(names) => self.get_to_know(&names),
            Event::Letter(Letter::Announce { id, empty, zone, leads, leaves, known }) => {
                self.introduced(&id, zone, &known);
                self.heard(id, Role { empty, leads, leaves }, now_ms);
            }
            Event::Letter(_)
            | Event::Subscribe { .. }
            | Event::Propose { .. }
            | Event::Read { .. }
            | Event::Operate { .. }
            | Event::Synced { .. }
            | Event::DiskFailed { .. } => {}
        }
    }

    pub(super) fn heard(&mut self, id: entry::ReplicaId, role: Role, now_ms: u64) {
        let announced = Announced { id: id.clone(), role, at_ms: now_ms };
        self.announced.insert(id.instance, announced);
    }

    /// The voter that said last that it leads the group.
    pub(super) fn leader(&self, now_ms: u64) -> Option<&name::InstanceName> {
        let leaders = self.fresh(now_ms).filter(|it| it.role.leads);
        leaders.max_by_key(|it| it.at_ms).map(|it| &it.id.instance)
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
        let may_found = |discovery: &Discovery| {
            discovery.founds && self.initial.contains_key(&self.own.instance)
        };
        if !self.discovery.as_ref().is_none_or(may_found) {
            return None;
        }
        let others = self.others();
        if others.iter().any(|(name, _)| *name < self.own.instance) {
            return None;
        }
        let empty = self.fresh(now_ms).filter(|it| it.role.empty);
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
        status: &replica::Status,
        now_ms: u64,
    ) -> Option<membership::Change> {
        let present = &status.membership;
        if let Some(discovery) = &self.discovery {
            return reconfiguration::next_change(&self.view(discovery, status, now_ms));
        }
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
        let mut steps = ids.filter_map(|id| {
            replacement::next_change(present, id, replacement::replaced_by(present, id))
        });
        steps.next().or_else(|| self.take_out(present))
    }

    fn view(
        &self,
        discovery: &Discovery,
        status: &replica::Status,
        now_ms: u64,
    ) -> reconfiguration::GroupView {
        let zone_of = |instance: &name::InstanceName| {
            discovery.zones.get(&**instance).cloned().unwrap_or_default()
        };
        let candidates = self.fresh(now_ms).map(|it| it.id.clone());
        let candidate =
            |id: entry::ReplicaId| reconfiguration::LiveReplica { zone: zone_of(&id.instance), id };
        let mut candidates: Vec<_> = candidates.map(candidate).collect();
        let own =
            reconfiguration::LiveReplica { zone: discovery.zone.clone(), id: self.own.clone() };
        candidates.push(own);
        let leaving: collections::BTreeSet<_> = self.leaving(now_ms);
        let silent = status.followers.iter().filter(|it| it.silent_ms > LOST_MS || it.memory_lost);
        let mut zones = discovery.zones.clone();
        zones.insert(self.own.instance.to_string(), discovery.zone.clone());
        reconfiguration::GroupView {
            membership: status.membership.clone(),
            live_replicas: candidates,
            failed: silent.map(|it| it.id.clone()).collect(),
            leaving,
            leader: Some(self.own.clone()),
            zones,
            target_voters: discovery.wanted,
        }
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
