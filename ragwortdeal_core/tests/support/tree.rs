//! Voters and the relay trees of several zones on the seeded network.

use std::collections;

use ragwortdeal_core::{
    digest, name,
    relay::{self, Delta, Position, Revision, node, payload, topology},
};

use super::network;

const STEP_MS: u64 = 10;
const TICK_MS: u64 = 100;
/// Time after which a dead member leaves the others' views.
const VIEW_DEAD_MS: u64 = 6_000;
/// Voters, one in each of the first zones.
pub const VOTERS: usize = 3;
/// Length of a snapshot, several pieces long.
const SNAPSHOT_BYTES: usize = 40_000;

/// A state whose hash runs over all changes, so that a lost or doubled one shows.
#[derive(Clone, Debug)]
pub struct Chain {
    position: Position,
}

/// The step was not the next one or led elsewhere.
#[derive(Debug)]
pub struct NotNext;

impl Chain {
    /// The state before any change.
    pub fn new() -> Self {
        Self { position: Position { revision: 0, digest: digest::Digest::of(b"") } }
    }

    /// The step that adds one change.
    pub fn next(&self, change: &[u8]) -> Delta {
        let to = Position {
            revision: self.position.revision + 1,
            digest: digest::Digest::of(&[self.position.digest.as_bytes(), change].concat()),
        };
        Delta { from: self.position.revision, to, payload: payload::Payload::new(change) }
    }
}

impl relay::State for Chain {
    type Error = NotNext;

    fn position(&self) -> Position {
        self.position
    }

    fn apply(&mut self, delta: &Delta) -> Result<(), NotNext> {
        let next = self.next(&delta.payload);
        if next != *delta {
            return Err(NotNext);
        }
        self.position = next.to;
        Ok(())
    }

    fn snapshot(&self) -> payload::Payload {
        let mut bytes = self.position.digest.as_bytes().to_vec();
        bytes.resize(SNAPSHOT_BYTES, 0);
        payload::Payload::new(bytes)
    }

    fn install(&mut self, position: &Position, snapshot: &[u8]) -> Result<(), NotNext> {
        let whole = snapshot.len() == SNAPSHOT_BYTES;
        if !whole || !snapshot.starts_with(position.digest.as_bytes()) {
            return Err(NotNext);
        }
        self.position = *position;
        Ok(())
    }
}

/// One member's process with what is known of it from outside.
struct Member {
    relay: Option<node::Relay<Chain>>,
    died_ms: Option<u64>,
    /// Highest revision that its zone had served when this life began.
    zone_had: Revision,
}

/// Zones of members below three voters.
pub struct Trees {
    /// The network.
    pub network: network::Network<relay::Message>,
    /// Simulated time.
    pub now_ms: u64,
    /// Stopped members and the time at which they go on.
    pub paused: collections::BTreeMap<usize, u64>,
    /// Whether starting processes serve without asking, to show that the checks notice it.
    pub plant_no_floor: bool,
    /// Whether roots take themselves for the only witness, to show that the checks notice it.
    pub plant_no_notes: bool,
    /// Messages received by each node.
    pub received: Vec<u64>,
    members: Vec<Member>,
    /// Positions by revision: what everyone would know who knew all.
    naive: Vec<Position>,
    changes: Vec<Delta>,
    zone_served: Vec<Revision>,
    members_per_zone: usize,
    lives: u64,
}

/// Instance name of a node.
pub fn name_of(node: usize) -> name::InstanceName {
    name::InstanceName::new(&format!("node-{node:04}")).expect("a valid name")
}

fn node_of(name: &name::InstanceName) -> usize {
    name.trim_start_matches("node-").parse().expect("a node's name")
}

fn zone_name(zone: usize) -> name::ZoneName {
    name::ZoneName::new(&format!("zone-{zone:02}")).expect("a valid name")
}

impl Trees {
    /// Starts the voters and all members.
    pub fn new(seed: u64, zones: usize, members_per_zone: usize) -> Self {
        let nodes = VOTERS + zones * members_per_zone;
        let mut this = Self {
            network: network::Network::new(seed, network::Faults::NONE),
            now_ms: 0,
            paused: collections::BTreeMap::new(),
            plant_no_floor: false,
            plant_no_notes: false,
            received: vec![0; nodes],
            members: Vec::new(),
            naive: vec![relay::State::position(&Chain::new())],
            changes: Vec::new(),
            zone_served: vec![0; zones.max(VOTERS)],
            members_per_zone,
            lives: 0,
        };
        for node in 0..nodes {
            this.members.push(Member { relay: None, died_ms: Some(0), zone_had: 0 });
            this.restart(node);
        }
        this
    }

    /// Zone of a node.
    pub fn zone_of(&self, node: usize) -> usize {
        if node < VOTERS { node } else { (node - VOTERS) / self.members_per_zone }
    }

    /// Nodes of a zone's members.
    pub fn members_of(&self, zone: usize) -> std::ops::Range<usize> {
        let first = VOTERS + zone * self.members_per_zone;
        first..first + self.members_per_zone
    }

    /// All members.
    pub fn all_members(&self) -> std::ops::Range<usize> {
        VOTERS..self.members.len()
    }

    /// Kills a member.
    pub fn kill(&mut self, node: usize) {
        self.members[node].relay = None;
        self.members[node].died_ms = Some(self.now_ms);
    }

    /// Starts a new life of a member, which remembers nothing.
    pub fn restart(&mut self, node: usize) {
        self.lives += 1;
        let (name, incarnation, now_ms) = (name_of(node), self.lives, self.now_ms);
        let relay = if node < VOTERS {
            node::Relay::for_voter(name, incarnation, now_ms, Chain::new())
        } else {
            node::Relay::new(name, incarnation, now_ms, Chain::new())
        };
        let zone_had = self.zone_served[self.zone_of(node)];
        self.members[node] = Member { relay: Some(relay), died_ms: None, zone_had };
        self.set_view(node);
    }

    /// The leader accepts a change.
    pub fn change(&mut self, change: &[u8]) {
        let last = Chain { position: *self.naive.last().expect("never empty") };
        let delta = last.next(change);
        self.naive.push(delta.to);
        self.changes.push(delta);
    }

    /// The last accepted revision.
    pub fn newest(&self) -> Revision {
        self.changes.len() as Revision
    }

    /// The revision that a member serves now, if it serves.
    pub fn served(&self, node: usize) -> Option<Revision> {
        let relay = self.members[node].relay.as_ref().filter(|relay| relay.may_serve())?;
        Some(relay::State::position(relay.state()).revision)
    }

    /// A living member's relay.
    pub fn relay(&self, node: usize) -> Option<&node::Relay<Chain>> {
        self.members[node].relay.as_ref()
    }

    /// Cuts a zone with its members and its voter off.
    pub fn cut(&mut self, zone: usize) {
        let side = zone as u32 + 1;
        for node in self.members_of(zone).chain((zone < VOTERS).then_some(zone)) {
            self.network.sides.insert(node, side);
        }
    }

    fn set_view(&mut self, node: usize) {
        if node < VOTERS {
            return;
        }
        let zone = self.zone_of(node);
        let in_view = |n: &usize| {
            let died_ms = self.members[*n].died_ms;
            died_ms.is_none_or(|died_ms| self.now_ms < died_ms + VIEW_DEAD_MS)
        };
        let live = self.members_of(zone).filter(|n| *n < self.members.len()).filter(in_view);
        let mut view = topology::View::compute(&zone_name(zone), &name_of(node), live.map(name_of));
        if self.plant_no_notes {
            view.witnesses = vec![name_of(node)];
        }
        let near = (0..VOTERS).filter(|voter| *voter == zone);
        // Zones without a voter of their own begin with different ones.
        let far = (0..VOTERS).map(|i| (i + zone) % VOTERS).filter(|voter| *voter != zone);
        let sources = near.chain(far).map(name_of).collect();
        if let Some(relay) = &mut self.members[node].relay {
            relay.set_view(view, sources);
        }
    }

    /// Lets the time pass, checking after each step what must always hold.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    /// One step of the simulated time.
    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now_ms = self.now_ms;
        self.paused.retain(|_, until_ms| *until_ms > now_ms);
        self.feed_voters();
        self.deliver();
        for node in 0..self.members.len() {
            if (now_ms / STEP_MS + node as u64).is_multiple_of(TICK_MS / STEP_MS) {
                self.tick(node);
            }
        }
        self.check();
    }

    /// Stands in for the voters' own log: whoever reaches the leader has what it accepted.
    fn feed_voters(&mut self) {
        for voter in 0..VOTERS {
            if self.network.sides.get(&voter) != self.network.sides.get(&0) {
                continue;
            }
            let now_ms = self.now_ms;
            let Some(relay) = &mut self.members[voter].relay else { continue };
            let has = relay::State::position(relay.state()).revision as usize;
            let mut sends = Vec::new();
            for delta in &self.changes[has..] {
                sends.extend(relay.publish(delta.clone()));
            }
            relay.confirm_current(now_ms);
            self.send(voter, sends);
        }
    }

    fn deliver(&mut self) {
        while let Some(arrival) = self.network.next(self.now_ms) {
            if let Some(&until_ms) = self.paused.get(&arrival.to) {
                self.network.deliver_at(until_ms, arrival);
                continue;
            }
            let (from, to) = (arrival.from, arrival.to);
            let Some(relay) = &mut self.members[to].relay else { continue };
            self.received[to] += 1;
            let sends = relay.receive(self.now_ms, &name_of(from), arrival.message);
            self.send(to, sends);
        }
    }

    fn tick(&mut self, node: usize) {
        if self.paused.contains_key(&node) {
            return;
        }
        // Views of different members differ for up to two seconds after a change.
        if (self.now_ms / TICK_MS + 7 * node as u64).is_multiple_of(2_000 / TICK_MS) {
            self.set_view(node);
        }
        let plant_no_floor = self.plant_no_floor;
        let now_ms = self.now_ms;
        let Some(relay) = &mut self.members[node].relay else { return };
        let sends = relay.tick(now_ms);
        if plant_no_floor && relay::State::position(relay.state()).revision > 0 {
            relay.accept_unproven_floor();
        }
        self.send(node, sends);
    }

    fn send(&mut self, from: usize, sends: Vec<node::Outgoing>) {
        for send in sends {
            self.network.send(self.now_ms, from, node_of(&send.to), send.message);
        }
    }

    /// No process serves less than its zone had served when it started, or another state than the
    /// accepted one of that revision.
    fn check(&mut self) {
        for node in self.all_members() {
            let Some(revision) = self.served(node) else { continue };
            let position = self.members[node].relay.as_ref().expect("it serves").state().position;
            assert_eq!(position, self.naive[revision as usize], "state of node {node}");
            let had = self.members[node].zone_had;
            assert!(revision >= had, "node {node} serves {revision}, its zone had {had}");
            // Within one life the revision must not fall either.
            self.members[node].zone_had = revision;
            let zone = self.zone_of(node);
            self.zone_served[zone] = self.zone_served[zone].max(revision);
        }
    }
}
