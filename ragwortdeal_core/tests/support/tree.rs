//! Simulated voters and relay trees of several zones on the seeded network.

use std::collections;

use ragwortdeal_core::{
    digest, name,
    relay::{self, Delta, Position, Revision, node, payload, topology},
};

use super::network;

const STEP_MS: u64 = 10;
const TICK_MS: u64 = 100;
/// Time after which a crashed member leaves the others' views.
const VIEW_DEAD_MS: u64 = 6_000;
/// Voters, one in each of the first zones.
pub const VOTERS: usize = 3;
/// Size of a snapshot, which spans several pieces.
const SNAPSHOT_BYTES: usize = 40_000;

/// A state whose hash covers all changes in order, so that a lost or duplicated one is detected.
#[derive(Clone, Debug)]
pub struct Chain {
    position: Position,
}

/// The delta or snapshot does not match the state.
#[derive(Debug)]
pub struct Mismatch;

impl Chain {
    /// The state before any change.
    pub fn new() -> Self {
        Self { position: Position { revision: 0, digest: digest::Digest::of(b"") } }
    }

    /// The delta that adds one change.
    pub fn next(&self, change: &[u8]) -> Delta {
        let to = Position {
            revision: self.position.revision + 1,
            digest: digest::Digest::of(&[self.position.digest.as_bytes(), change].concat()),
        };
        Delta { from: self.position.revision, to, payload: payload::Payload::new(change) }
    }
}

impl relay::State for Chain {
    type Error = Mismatch;

    fn position(&self) -> Position {
        self.position
    }

    fn apply(&mut self, delta: &Delta) -> Result<(), Mismatch> {
        let next = self.next(&delta.payload);
        if next != *delta {
            return Err(Mismatch);
        }
        self.position = next.to;
        Ok(())
    }

    fn snapshot(&self) -> payload::Payload {
        let mut bytes = self.position.digest.as_bytes().to_vec();
        bytes.resize(SNAPSHOT_BYTES, 0);
        payload::Payload::new(bytes)
    }

    fn install(&mut self, position: &Position, snapshot: &[u8]) -> Result<(), Mismatch> {
        let complete = snapshot.len() == SNAPSHOT_BYTES;
        if !complete || !snapshot.starts_with(position.digest.as_bytes()) {
            return Err(Mismatch);
        }
        self.position = *position;
        Ok(())
    }
}

/// One member's process with what the checks record of it.
struct Member {
    relay: Option<node::Relay<Chain>>,
    died_ms: Option<u64>,
    /// Lowest revision that it may serve: the highest one that its zone had served when this
    /// process started, or that it has served since.
    min_revision: Revision,
}

/// Zones of members below three voters.
pub struct Trees {
    /// The network.
    pub network: network::Network<relay::Message>,
    /// Simulated time.
    pub now_ms: u64,
    /// Paused members and the time at which they resume.
    pub paused: collections::BTreeMap<usize, u64>,
    /// Injected fault: starting processes serve without asking the witnesses.
    pub skip_floor: bool,
    /// Injected fault: every member considers itself the only witness.
    pub skip_acknowledgements: bool,
    /// Messages received by each node.
    pub received: Vec<u64>,
    members: Vec<Member>,
    /// The accepted positions by revision.
    accepted: Vec<Position>,
    changes: Vec<Delta>,
    zone_served: Vec<Revision>,
    members_per_zone: usize,
    starts: u64,
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
            skip_floor: false,
            skip_acknowledgements: false,
            received: vec![0; nodes],
            members: Vec::new(),
            accepted: vec![relay::State::position(&Chain::new())],
            changes: Vec::new(),
            zone_served: vec![0; zones.max(VOTERS)],
            members_per_zone,
            starts: 0,
        };
        for node in 0..nodes {
            this.members.push(Member { relay: None, died_ms: Some(0), min_revision: 0 });
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

    /// Starts a new incarnation of a member, without any state.
    pub fn restart(&mut self, node: usize) {
        self.starts += 1;
        let (name, incarnation, now_ms) = (name_of(node), self.starts, self.now_ms);
        let relay = if node < VOTERS {
            node::Relay::for_voter(name, incarnation, now_ms, Chain::new())
        } else {
            node::Relay::new(name, incarnation, now_ms, Chain::new())
        };
        let min_revision = self.zone_served[self.zone_of(node)];
        self.members[node] = Member { relay: Some(relay), died_ms: None, min_revision };
        self.set_view(node);
    }

    /// The leader accepts a change.
    pub fn change(&mut self, change: &[u8]) {
        let last = Chain { position: *self.accepted.last().expect("never empty") };
        let delta = last.next(change);
        self.accepted.push(delta.to);
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

    /// A live member's relay.
    pub fn relay(&self, node: usize) -> Option<&node::Relay<Chain>> {
        self.members[node].relay.as_ref()
    }

    /// Partitions a zone off, with its members and its voter.
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
        if self.skip_acknowledgements {
            view.witnesses = vec![name_of(node)];
        }
        let local = (0..VOTERS).filter(|voter| *voter == zone);
        // Zones without a voter of their own prefer different ones.
        let remote = (0..VOTERS).map(|i| (i + zone) % VOTERS).filter(|voter| *voter != zone);
        let sources = local.chain(remote).map(name_of).collect();
        if let Some(relay) = &mut self.members[node].relay {
            relay.set_view(view, sources);
        }
    }

    /// Advances the simulated time and checks the invariants after each step.
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

    /// Stands in for the voters' log: a voter that reaches the leader has all accepted changes.
    fn feed_voters(&mut self) {
        for voter in 0..VOTERS {
            if self.network.sides.get(&voter) != self.network.sides.get(&0) {
                continue;
            }
            let now_ms = self.now_ms;
            let Some(relay) = &mut self.members[voter].relay else { continue };
            let applied = relay::State::position(relay.state()).revision as usize;
            let mut sends = Vec::new();
            for delta in &self.changes[applied..] {
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
        let skip_floor = self.skip_floor;
        let now_ms = self.now_ms;
        let Some(relay) = &mut self.members[node].relay else { return };
        let sends = relay.tick(now_ms);
        if skip_floor && relay::State::position(relay.state()).revision > 0 {
            relay.accept_unproven_floor();
        }
        self.send(node, sends);
    }

    fn send(&mut self, from: usize, sends: Vec<node::Outgoing>) {
        for send in sends {
            self.network.send(self.now_ms, from, node_of(&send.to), send.message);
        }
    }

    /// Checks that no process serves a revision below one that its zone had served when the process
    /// started, or a state other than the accepted one of its revision.
    fn check(&mut self) {
        for node in self.all_members() {
            let Some(revision) = self.served(node) else { continue };
            let position = self.members[node].relay.as_ref().expect("it serves").state().position;
            assert_eq!(position, self.accepted[revision as usize], "state of node {node}");
            let min = self.members[node].min_revision;
            assert!(revision >= min, "node {node} serves {revision}, its zone had {min}");
            // The revision of a running process must not decrease either.
            self.members[node].min_revision = revision;
            let zone = self.zone_of(node);
            self.zone_served[zone] = self.zone_served[zone].max(revision);
        }
    }
}
