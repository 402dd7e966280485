//! Replicas on simulated clocks, disks and links, driven by one seed.

use std::{collections, mem};

use ragwortdeal_core::replication::{self, Input, Output, entry, membership, message, replica};
use rand::{RngExt as _, SeedableRng as _};

use crate::{checks, node};

/// A fault that no correct surroundings have; the checks must find each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// Writes are reported as synced before they are.
    AckBeforeSync,
    /// An emptied disk comes back under its old storage id.
    EmptiedKeepsId,
    /// A disk comes back with an older content under its storage id.
    RolledBack,
    /// A crash loses the synced vote.
    VoteForgotten,
    /// A crash loses the synced commit index.
    CommitForgotten,
    /// A leader answers reads from its own state without asking a quorum.
    LocalReads,
}

/// How a run goes.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub replicas: usize,
    pub duration_ms: u64,
    pub planted: Option<Planted>,
    /// Whether disks are emptied and the membership changes.
    pub changing: bool,
}

const TICK_MS: u64 = 20;
const CALM_LIMIT_MS: u64 = 20_000;

enum Event {
    Deliver { to: entry::ReplicaId, from: entry::ReplicaId, message: message::Message },
    Tick { node: usize, life: u64 },
    Sync { node: usize, life: u64 },
    Restart { node: usize, life: u64 },
    Crash { node: usize, life: u64 },
    Trouble,
    Load,
}

pub struct World {
    pub nodes: Vec<node::Node>,
    pub checks: checks::Checks,
    pub random: rand_chacha::ChaCha8Rng,
    pub now_ms: u64,
    plan: Plan,
    events: collections::BTreeMap<(u64, u64), Event>,
    sequence: u64,
    calm: bool,
    next_storage: u64,
    next_token: u64,
    lost: collections::BTreeSet<entry::ReplicaId>,
}

impl World {
    pub fn new(seed: u64, plan: Plan) -> Self {
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let ids: Vec<_> = (0..plan.replicas).map(|n| node::replica_id(n, n as u64 + 1)).collect();
        let founding = node::founding(&ids);
        let nodes = ids.into_iter().map(|id| node::Node::new(id, &founding, &mut random)).collect();
        let mut world = Self {
            nodes,
            checks: checks::Checks::new(),
            random,
            now_ms: 0,
            plan,
            events: collections::BTreeMap::new(),
            sequence: 0,
            calm: false,
            next_storage: 100,
            next_token: 0,
            lost: collections::BTreeSet::new(),
        };
        for node in 0..plan.replicas {
            world.schedule(0, Event::Restart { node, life: 0 });
        }
        world.schedule(50, Event::Trouble);
        world.schedule(30, Event::Load);
        world
    }

    /// Runs troubled for the planned time, then calm until the group has recovered.
    pub fn run(&mut self) -> checks::Verdict {
        while self.now_ms < self.plan.duration_ms {
            self.step()?;
        }
        self.become_calm();
        let calm_since_ms = self.now_ms;
        while !self.beyond_repair() && !self.recovered() {
            if self.now_ms > calm_since_ms + CALM_LIMIT_MS {
                let states: Vec<_> = self.nodes.iter().map(node::Node::describe).collect();
                let fault = "the group did not recover after all faults ended";
                return Err(format!("{fault}:\n{}", states.join("\n")));
            }
            self.step()?;
        }
        self.checks.tally.runs += 1;
        self.checks.tally.beyond_repair += u64::from(self.beyond_repair());
        Ok(())
    }

    fn step(&mut self) -> checks::Verdict {
        let Some(((at_ms, _), event)) = self.events.pop_first() else {
            return Err("nothing left to happen".to_owned());
        };
        self.now_ms = at_ms;
        match event {
            Event::Deliver { to, from, message } => self.deliver(to, from, message),
            Event::Tick { node, life } => self.on_tick(node, life),
            Event::Sync { node, life } => self.on_sync(node, life),
            Event::Restart { node, life } => self.on_restart(node, life),
            Event::Crash { node, life } => {
                if self.nodes[node].life == life {
                    self.crash(node);
                }
                Ok(())
            }
            Event::Trouble => self.trouble(),
            Event::Load => self.load(),
        }
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now_ms + after_ms, self.sequence), event);
    }

    fn node_of(&self, id: &entry::ReplicaId) -> Option<usize> {
        self.nodes.iter().position(|node| node.id == *id)
    }

    fn deliver(
        &mut self,
        to: entry::ReplicaId,
        from: entry::ReplicaId,
        message: message::Message,
    ) -> checks::Verdict {
        let Some(node) = self.node_of(&to) else {
            return Ok(());
        };
        let target = &self.nodes[node];
        if target.paused_until_ms > self.now_ms {
            let wait_ms = target.paused_until_ms - self.now_ms;
            self.schedule(wait_ms, Event::Deliver { to, from, message });
            return Ok(());
        }
        if target.cut_in {
            return Ok(());
        }
        self.input(node, Input::Receive { from, message })
    }

    fn on_tick(&mut self, node: usize, life: u64) -> checks::Verdict {
        let target = &self.nodes[node];
        if target.life != life || target.replica.is_none() {
            return Ok(());
        }
        let wait_ms = target.paused_until_ms.saturating_sub(self.now_ms);
        if wait_ms > 0 {
            self.schedule(wait_ms, Event::Tick { node, life });
            return Ok(());
        }
        self.schedule(TICK_MS, Event::Tick { node, life });
        self.input(node, Input::Tick)
    }

    fn on_sync(&mut self, node: usize, life: u64) -> checks::Verdict {
        let target = &mut self.nodes[node];
        if target.life != life || target.replica.is_none() {
            return Ok(());
        }
        let wait_ms = target.paused_until_ms.saturating_sub(self.now_ms);
        if wait_ms > 0 {
            self.schedule(wait_ms, Event::Sync { node, life });
            return Ok(());
        }
        let Some(write_id) = target.unsynced.back().map(|write| write.id) else {
            return Ok(());
        };
        for write in target.unsynced.drain(..) {
            target.durable.apply(&write);
        }
        if self.plan.planted == Some(Planted::AckBeforeSync) {
            return Ok(());
        }
        self.input(node, Input::WriteSynced { write_id })
    }

    /// Gives an input to a replica and carries out what it asks for.
    pub fn input(&mut self, node: usize, input: Input) -> checks::Verdict {
        let now_ms = self.nodes[node].clock_ms(self.now_ms);
        let Some(replica) = &mut self.nodes[node].replica else {
            return Ok(());
        };
        for output in replica.step(input, now_ms) {
            self.output(node, output)?;
        }
        Ok(())
    }

    fn output(&mut self, node: usize, output: Output) -> checks::Verdict {
        match output {
            Output::Send { to, message } => self.send(node, to, message),
            Output::Persist(write) => return self.persist(node, write),
            Output::Restore(snapshot) => {
                let target = &mut self.nodes[node];
                self.checks.restored(target.applied, &snapshot)?;
                target.applied = snapshot.position.index;
            }
            Output::Apply(entries) => {
                for entry in &entries {
                    let target = &mut self.nodes[node];
                    self.checks.applied(target.applied, entry)?;
                    target.applied = entry.position.index;
                }
            }
            Output::ReadReady { token, index } => {
                let applied = self.nodes[node].applied;
                self.checks.read_answered(token, index, applied)?;
            }
            Output::RoleChanged { role: replication::RoleKind::Leader, term, .. } => {
                let id = self.nodes[node].id.clone();
                self.checks.leader(term, &id)?;
            }
            Output::Stopped { .. } => self.empty_disk(node),
            Output::Appended { .. } | Output::Rejected { .. } | Output::RoleChanged { .. } => {}
        }
        Ok(())
    }

    fn send(&mut self, node: usize, to: entry::ReplicaId, message: message::Message) {
        let from = self.nodes[node].id.clone();
        let votes = matches!(message.body, message::Body::VoteReply { granted: true });
        if votes && self.plan.planted == Some(Planted::VoteForgotten) {
            // Rare by chance alone: the crash has to fall between two requests for a vote.
            let life = self.nodes[node].life;
            self.schedule(0, Event::Crash { node, life });
        }
        let lost = !self.calm && self.random.random_bool(0.05);
        if self.nodes[node].cut_out || lost {
            return;
        }
        let copies = if !self.calm && self.random.random_bool(0.03) { 2 } else { 1 };
        for _ in 0..copies {
            let late = !self.calm && self.random.random_bool(0.03);
            let delay_ms = self.random.random_range(if late { 20..600 } else { 0..8 });
            let (to, from, message) = (to.clone(), from.clone(), message.clone());
            self.schedule(delay_ms, Event::Deliver { to, from, message });
        }
    }

    fn persist(&mut self, node: usize, write: entry::Write) -> checks::Verdict {
        let write_id = write.id;
        let life = self.nodes[node].life;
        self.nodes[node].unsynced.push_back(write);
        let slow = !self.calm && self.random.random_bool(0.05);
        let delay_ms = self.random.random_range(if slow { 10..150 } else { 0..5 });
        self.schedule(delay_ms, Event::Sync { node, life });
        if self.plan.planted == Some(Planted::AckBeforeSync) {
            return self.input(node, Input::WriteSynced { write_id });
        }
        Ok(())
    }

    /// Ends a process; of its unsynced writes any number of the first ones may be on disk.
    fn crash(&mut self, node: usize) {
        let kept = self.random.random_range(0..=self.nodes[node].unsynced.len());
        let target = &mut self.nodes[node];
        let unsynced = mem::take(&mut target.unsynced);
        for write in unsynced.iter().take(kept) {
            target.durable.apply(write);
        }
        target.replica = None;
        if matches!(self.plan.planted, Some(Planted::AckBeforeSync | Planted::RolledBack)) {
            // Only the loss of an entry is to count here, not that this replica fell back.
            target.applied = 0;
        }
        target.life += 1;
        let life = target.life;
        match self.plan.planted {
            Some(Planted::VoteForgotten) => target.durable.hard_state.vote = None,
            Some(Planted::CommitForgotten) => target.durable.hard_state.commit = 0,
            Some(Planted::RolledBack) => target.durable = target.older.clone(),
            _ => {}
        }
        // A forgotten vote only shows while the election goes on.
        let at_once = self.plan.planted == Some(Planted::VoteForgotten);
        let delay_ms = self.random.random_range(if at_once { 0..2 } else { 0..500 });
        self.schedule(delay_ms, Event::Restart { node, life });
    }

    /// The disk comes back empty: the process starts with a new storage id and knows nothing.
    fn empty_disk(&mut self, node: usize) {
        self.crash(node);
        self.next_storage += 1;
        let target = &mut self.nodes[node];
        target.durable = entry::PersistentState::default();
        if self.plan.planted == Some(Planted::EmptiedKeepsId) {
            target.applied = 0;
            return;
        }
        self.lost.insert(target.id.clone());
        target.id = node::replica_id(node, self.next_storage);
        target.applied = 0;
    }

    fn on_restart(&mut self, node: usize, life: u64) -> checks::Verdict {
        if self.nodes[node].life != life || self.nodes[node].replica.is_some() {
            return Ok(());
        }
        let offset_ms = self.random.random_range(0..100_000);
        let seed = self.random.random();
        let target = &mut self.nodes[node];
        target.offset_ms = offset_ms;
        let options = node::options(seed);
        let stored = target.durable.clone();
        if self.random.random_bool(0.5) {
            target.older = stored.clone();
        }
        let former = mem::take(&mut target.applied);
        let clock_ms = target.clock_ms(self.now_ms);
        target.replica = Some(replica::Replica::new(target.id.clone(), options, stored, clock_ms));
        self.schedule(TICK_MS, Event::Tick { node, life });
        self.input(node, Input::Tick)?;
        if self.nodes[node].applied < former && self.nodes[node].replica.is_some() {
            let applied = self.nodes[node].applied;
            return Err(format!("applied fell from {former} to {applied} over a restart"));
        }
        Ok(())
    }

    fn load(&mut self) -> checks::Verdict {
        let pause_ms = self.random.random_range(5..60);
        self.schedule(pause_ms, Event::Load);
        for node in 0..self.nodes.len() {
            let node_up = self.nodes[node].replica.is_some();
            if !node_up || self.nodes[node].paused_until_ms > self.now_ms {
                continue;
            }
            self.next_token += 1;
            let token = self.next_token;
            if self.random.random_bool(0.3) {
                self.ask_read(node, token)?;
            } else {
                let data = token.to_le_bytes().as_slice().into();
                self.input(node, Input::Propose { token, data })?;
            }
        }
        Ok(())
    }

    fn ask_read(&mut self, node: usize, token: u64) -> checks::Verdict {
        let Some(replica) = &self.nodes[node].replica else {
            return Ok(());
        };
        if self.plan.planted == Some(Planted::LocalReads) && replica.is_leader() {
            let applied = self.nodes[node].applied;
            self.checks.read_asked(token);
            return self.checks.read_answered(token, applied, applied);
        }
        self.checks.read_asked(token);
        self.input(node, Input::Read { token })
    }

    fn trouble(&mut self) -> checks::Verdict {
        let pause_ms = self.random.random_range(20..250);
        self.schedule(pause_ms, Event::Trouble);
        let node = self.random.random_range(0..self.nodes.len());
        let kind = if self.calm { 12 } else { self.random.random_range(0..16) };
        match kind {
            0 | 1 => self.crash(node),
            2 => self.nodes[node].cut_in = true,
            3 => self.nodes[node].cut_out = true,
            4 => {
                self.nodes[node].cut_in = true;
                self.nodes[node].cut_out = true;
            }
            5..=7 => self.heal(),
            8 => {
                let length_ms = self.random.random_range(50..3_000);
                self.nodes[node].paused_until_ms = self.now_ms + length_ms;
            }
            9 if self.may_lose(node) => self.empty_disk(node),
            10 if self.may_lose(node) => return self.input(node, Input::WriteFailed),
            11 => {
                let token = 0;
                return self.input(node, Input::TransferLeadership { token });
            }
            12 | 13 => return self.repair(),
            14 => return self.remove_some(),
            _ => return self.compact(node),
        }
        Ok(())
    }

    fn heal(&mut self) {
        for node in &mut self.nodes {
            node.cut_in = false;
            node.cut_out = false;
        }
    }

    fn become_calm(&mut self) {
        self.calm = true;
        self.heal();
        for node in &mut self.nodes {
            node.paused_until_ms = 0;
        }
    }

    /// All memberships that some log holds as its newest one.
    fn memberships(&self) -> Vec<membership::Membership> {
        let memberships = self.nodes.iter().map(node::Node::membership);
        memberships.filter(|membership| !membership.voters.is_empty()).collect()
    }

    /// Whether the group outlives the loss of this disk under every membership in some log.
    fn may_lose(&self, node: usize) -> bool {
        let victim = &self.nodes[node].id;
        let survives = |membership: &membership::Membership| {
            let gone = |id: &&entry::ReplicaId| *id == victim || self.lost.contains(id);
            let lost = membership.voters.iter().filter(gone).count();
            membership.voters.len() - lost >= membership.quorum()
        };
        self.plan.changing && self.memberships().iter().all(survives)
    }

    fn leader(&self) -> Option<usize> {
        let leads =
            |node: &node::Node| node.replica.as_ref().is_some_and(replica::Replica::is_leader);
        let leaders = (0..self.nodes.len()).filter(|node| leads(&self.nodes[*node]));
        leaders.max_by_key(|node| self.nodes[*node].term())
    }

    /// Brings the first replica that is no voter back in, as an operator's repair would.
    fn repair(&mut self) -> checks::Verdict {
        let Some(leader) = self.leader() else {
            return Ok(());
        };
        let present = self.nodes[leader].membership();
        let change = self.nodes.iter().find_map(|node| {
            let lost = replication::replacement::replaced_by(&present, &node.id);
            replication::replacement::next_change(&present, &node.id, lost)
        });
        match change {
            Some(change) => self.input(leader, Input::ChangeMembership { token: 0, change }),
            None => Ok(()),
        }
    }

    fn remove_some(&mut self) -> checks::Verdict {
        let victim = self.random.random_range(0..self.nodes.len());
        let Some(leader) = self.leader().filter(|_| self.plan.changing) else {
            return Ok(());
        };
        let change = membership::Change::Remove(self.nodes[victim].id.clone());
        self.input(leader, Input::ChangeMembership { token: 0, change })
    }

    fn compact(&mut self, node: usize) -> checks::Verdict {
        let index = self.nodes[node].applied;
        if index == 0 {
            return Ok(());
        }
        let state = self.checks.state_at(index);
        self.input(node, Input::Compact { index, state })
    }

    /// Whether too many disks were lost for any protocol to go on without losing changes.
    fn beyond_repair(&self) -> bool {
        let newest = self.nodes.iter().max_by_key(|node| node.last()).map(node::Node::membership);
        newest.is_some_and(|membership| {
            let intact = membership.voters.iter().filter(|id| !self.lost.contains(id)).count();
            intact < membership.quorum()
        })
    }

    /// Whether all replicas vote again and have applied all that was accepted.
    fn recovered(&self) -> bool {
        let accepted = self.checks.accepted();
        let all = self.nodes.iter().all(|node| {
            let voters = node.membership().voters;
            node.applied + 20 > accepted
                && voters.len() == self.nodes.len()
                && self.nodes.iter().all(|other| voters.contains(&other.id))
        });
        all && self.leader().is_some()
    }
}
