//! A deterministic simulation of replicas with their clocks, disks and links.

use std::{collections, mem, ops};

use ragwortdeal_core::replication::{
    self, Input, Output, StopReason, entry, membership, message, replica,
};
use rand::{RngExt as _, SeedableRng as _};

use crate::{checks, node};

/// A fault of the host that the checks must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Writes are reported as synced before they are.
    AckBeforeSync,
    /// An emptied disk returns under its old storage id.
    EmptiedKeepsId,
    /// A disk returns with older content under its storage id.
    RolledBack,
    /// A crash loses the synced vote.
    VoteForgotten,
    /// A crash loses the synced commit index.
    CommitForgotten,
    /// A leader serves reads from its own state without confirmation by a quorum.
    LocalReads,
}

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub replicas: usize,
    pub duration_ms: u64,
    pub injected: Option<InjectedFault>,
    /// Whether disks are lost and the membership changes.
    pub changing: bool,
    /// Whether a disk that fails a write only refuses it and keeps what was synced; otherwise it is
    /// lost.
    pub refusing: bool,
    /// Whether the faults end with the loss of as many disks as the group bears, while all other
    /// processes lose power.
    pub final_loss: bool,
}

const TICK_MS: u64 = 20;
const RECOVERY_LIMIT_MS: u64 = 20_000;
const CRASH_MAX_MS: u64 = 500;
const FULL_DISK_MAX_MS: u64 = 3_000;

enum Event {
    Deliver { to: entry::ReplicaId, from: entry::ReplicaId, message: message::Message },
    Tick { node: usize, incarnation: u64 },
    Sync { node: usize, incarnation: u64 },
    Restart { node: usize, incarnation: u64 },
    Crash { node: usize, incarnation: u64 },
    InjectFault,
    Load,
}

pub struct Simulation {
    pub nodes: Vec<node::Node>,
    pub checks: checks::Checks,
    pub random: rand_chacha::ChaCha8Rng,
    pub now_ms: u64,
    plan: Plan,
    events: collections::BTreeMap<(u64, u64), Event>,
    sequence: u64,
    faults_ended: bool,
    next_storage: u64,
    next_token: u64,
    lost: collections::BTreeSet<entry::ReplicaId>,
}

impl Simulation {
    pub fn new(seed: u64, plan: Plan) -> Self {
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let ids: Vec<_> = (0..plan.replicas).map(|n| node::replica_id(n, n as u64 + 1)).collect();
        let bootstrap = node::bootstrap(&ids);
        let nodes =
            ids.into_iter().map(|id| node::Node::new(id, &bootstrap, &mut random)).collect();
        let mut simulation = Self {
            nodes,
            checks: checks::Checks::new(),
            random,
            now_ms: 0,
            plan,
            events: collections::BTreeMap::new(),
            sequence: 0,
            faults_ended: false,
            next_storage: 100,
            next_token: 0,
            lost: collections::BTreeSet::new(),
        };
        for node in 0..plan.replicas {
            simulation.schedule(0, Event::Restart { node, incarnation: 0 });
        }
        simulation.schedule(50, Event::InjectFault);
        simulation.schedule(30, Event::Load);
        simulation
    }

    /// Runs with faults for the planned time, then without faults until the group has recovered.
    pub fn run(&mut self) -> checks::CheckResult {
        while self.now_ms < self.plan.duration_ms {
            self.step()?;
        }
        if self.plan.final_loss {
            self.lose_disks_and_power();
        }
        self.end_faults();
        let faults_ended_ms = self.now_ms;
        while !self.unrecoverable() && !self.recovered() {
            if self.now_ms > faults_ended_ms + RECOVERY_LIMIT_MS {
                let states: Vec<_> = self.nodes.iter().map(node::Node::describe).collect();
                let fault = "the group did not recover after all faults ended";
                return Err(format!("{fault}:\n{}", states.join("\n")));
            }
            self.step()?;
        }
        self.checks.tally.runs += 1;
        self.checks.tally.unrecoverable += u64::from(self.unrecoverable());
        Ok(())
    }

    fn step(&mut self) -> checks::CheckResult {
        let Some(((at_ms, _), event)) = self.events.pop_first() else {
            return Err("no events are left".to_owned());
        };
        self.now_ms = at_ms;
        match event {
            Event::Deliver { to, from, message } => self.deliver(to, from, message),
            Event::Tick { node, incarnation } => self.on_tick(node, incarnation),
            Event::Sync { node, incarnation } => self.on_sync(node, incarnation),
            Event::Restart { node, incarnation } => self.on_restart(node, incarnation),
            Event::Crash { node, incarnation } => {
                if self.nodes[node].incarnation == incarnation {
                    self.crash(node);
                }
                Ok(())
            }
            Event::InjectFault => self.inject_fault(),
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
    ) -> checks::CheckResult {
        let Some(node) = self.node_of(&to) else {
            return Ok(());
        };
        let target = &self.nodes[node];
        if target.paused_until_ms > self.now_ms {
            let wait_ms = target.paused_until_ms - self.now_ms;
            self.schedule(wait_ms, Event::Deliver { to, from, message });
            return Ok(());
        }
        if target.inbound_cut {
            return Ok(());
        }
        self.input(node, Input::Receive { from, message })
    }

    fn on_tick(&mut self, node: usize, incarnation: u64) -> checks::CheckResult {
        let target = &self.nodes[node];
        if target.incarnation != incarnation || target.replica.is_none() {
            return Ok(());
        }
        let wait_ms = target.paused_until_ms.saturating_sub(self.now_ms);
        if wait_ms > 0 {
            self.schedule(wait_ms, Event::Tick { node, incarnation });
            return Ok(());
        }
        self.schedule(TICK_MS, Event::Tick { node, incarnation });
        self.input(node, Input::Tick)
    }

    fn on_sync(&mut self, node: usize, incarnation: u64) -> checks::CheckResult {
        let target = &mut self.nodes[node];
        if target.incarnation != incarnation || target.replica.is_none() {
            return Ok(());
        }
        let wait_ms = target.paused_until_ms.saturating_sub(self.now_ms);
        if wait_ms > 0 {
            self.schedule(wait_ms, Event::Sync { node, incarnation });
            return Ok(());
        }
        let Some(write_id) = target.unsynced.back().map(|write| write.id) else {
            return Ok(());
        };
        for write in target.unsynced.drain(..) {
            target.durable.apply(&write);
        }
        if self.plan.injected == Some(InjectedFault::AckBeforeSync) {
            return Ok(());
        }
        self.input(node, Input::WriteSynced { write_id })
    }

    /// Passes an input to a replica and carries out its outputs.
    pub fn input(&mut self, node: usize, input: Input) -> checks::CheckResult {
        let now_ms = self.nodes[node].clock_ms(self.now_ms);
        let Some(replica) = &mut self.nodes[node].replica else {
            return Ok(());
        };
        for output in replica.step(input, now_ms) {
            self.output(node, output)?;
        }
        Ok(())
    }

    fn output(&mut self, node: usize, output: Output) -> checks::CheckResult {
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
                self.checks.leader_elected(term, &id)?;
            }
            Output::Stopped { reason: StopReason::WriteFailed } if self.plan.refusing => {
                self.refuse_writes(node);
            }
            Output::Stopped { .. } => self.empty_disk(node),
            Output::Appended { .. } | Output::Rejected { .. } | Output::RoleChanged { .. } => {}
        }
        Ok(())
    }

    fn send(&mut self, node: usize, to: entry::ReplicaId, message: message::Message) {
        let from = self.nodes[node].id.clone();
        let votes = matches!(message.body, message::Body::VoteReply { granted: true });
        if votes && self.plan.injected == Some(InjectedFault::VoteForgotten) {
            // At random this would be rare: the crash must fall between two vote requests.
            let incarnation = self.nodes[node].incarnation;
            self.schedule(0, Event::Crash { node, incarnation });
        }
        let lost = !self.faults_ended && self.random.random_bool(0.05);
        if self.nodes[node].outbound_cut || lost {
            return;
        }
        let copies = if !self.faults_ended && self.random.random_bool(0.03) { 2 } else { 1 };
        for _ in 0..copies {
            let late = !self.faults_ended && self.random.random_bool(0.03);
            let delay_ms = self.random.random_range(if late { 20..600 } else { 0..8 });
            let (to, from, message) = (to.clone(), from.clone(), message.clone());
            self.schedule(delay_ms, Event::Deliver { to, from, message });
        }
    }

    fn persist(&mut self, node: usize, write: entry::Write) -> checks::CheckResult {
        let write_id = write.id;
        let incarnation = self.nodes[node].incarnation;
        self.nodes[node].unsynced.push_back(write);
        let slow = !self.faults_ended && self.random.random_bool(0.05);
        let delay_ms = self.random.random_range(if slow { 10..150 } else { 0..5 });
        self.schedule(delay_ms, Event::Sync { node, incarnation });
        if self.plan.injected == Some(InjectedFault::AckBeforeSync) {
            return self.input(node, Input::WriteSynced { write_id });
        }
        Ok(())
    }

    /// Crashes a process; any prefix of its unsynced writes may have reached the disk.
    fn crash(&mut self, node: usize) {
        self.crash_for(node, 0..CRASH_MAX_MS);
    }

    /// The disk refuses writes for some time. The process is silent and then goes on with what was
    /// synced, in the same way as after a crash.
    fn refuse_writes(&mut self, node: usize) {
        self.crash_for(node, 0..FULL_DISK_MAX_MS);
    }

    fn crash_for(&mut self, node: usize, down_ms: ops::Range<u64>) {
        let kept = self.random.random_range(0..=self.nodes[node].unsynced.len());
        let target = &mut self.nodes[node];
        let unsynced = mem::take(&mut target.unsynced);
        for write in unsynced.iter().take(kept) {
            target.durable.apply(write);
        }
        target.replica = None;
        if matches!(
            self.plan.injected,
            Some(InjectedFault::AckBeforeSync | InjectedFault::RolledBack)
        ) {
            // Only a lost entry counts here, not that this replica's applied index decreased.
            target.applied = 0;
        }
        target.incarnation += 1;
        let incarnation = target.incarnation;
        match self.plan.injected {
            Some(InjectedFault::VoteForgotten) => target.durable.hard_state.vote = None,
            Some(InjectedFault::CommitForgotten) => target.durable.hard_state.commit = 0,
            Some(InjectedFault::RolledBack) => target.durable = target.old_disk.clone(),
            _ => {}
        }
        // A lost vote has an effect only during the same election.
        let at_once = self.plan.injected == Some(InjectedFault::VoteForgotten);
        let delay_ms = self.random.random_range(if at_once { 0..2 } else { down_ms });
        self.schedule(delay_ms, Event::Restart { node, incarnation });
    }

    /// Restarts a process with an empty disk and a new storage id.
    fn empty_disk(&mut self, node: usize) {
        self.crash(node);
        self.next_storage += 1;
        let target = &mut self.nodes[node];
        target.durable = entry::PersistentState::default();
        if self.plan.injected == Some(InjectedFault::EmptiedKeepsId) {
            target.applied = 0;
            return;
        }
        self.lost.insert(target.id.clone());
        target.id = node::replica_id(node, self.next_storage);
        target.applied = 0;
    }

    /// As many disks are lost as the group bears, and all other processes lose power at the same
    /// moment.
    fn lose_disks_and_power(&mut self) {
        let count = self.nodes.len();
        let first = self.random.random_range(0..count);
        for node in (first..count).chain(0..first) {
            match self.may_lose(node) {
                true => self.empty_disk(node),
                false => self.crash(node),
            }
        }
    }

    fn on_restart(&mut self, node: usize, incarnation: u64) -> checks::CheckResult {
        if self.nodes[node].incarnation != incarnation || self.nodes[node].replica.is_some() {
            return Ok(());
        }
        let offset_ms = self.random.random_range(0..100_000);
        let seed = self.random.random();
        let target = &mut self.nodes[node];
        target.offset_ms = offset_ms;
        let options = node::options(seed);
        let stored = target.durable.clone();
        if self.random.random_bool(0.5) {
            target.old_disk = stored.clone();
        }
        let former = mem::take(&mut target.applied);
        let clock_ms = target.clock_ms(self.now_ms);
        target.replica = Some(replica::Replica::new(target.id.clone(), options, stored, clock_ms));
        self.schedule(TICK_MS, Event::Tick { node, incarnation });
        self.input(node, Input::Tick)?;
        if self.nodes[node].applied < former && self.nodes[node].replica.is_some() {
            let applied = self.nodes[node].applied;
            return Err(format!("applied fell from {former} to {applied} over a restart"));
        }
        Ok(())
    }

    fn load(&mut self) -> checks::CheckResult {
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
                self.request_read(node, token)?;
            } else {
                let data = token.to_le_bytes().as_slice().into();
                self.input(node, Input::Propose { token, data })?;
            }
        }
        Ok(())
    }

    fn request_read(&mut self, node: usize, token: u64) -> checks::CheckResult {
        let Some(replica) = &self.nodes[node].replica else {
            return Ok(());
        };
        if self.plan.injected == Some(InjectedFault::LocalReads) && replica.is_leader() {
            let applied = self.nodes[node].applied;
            self.checks.read_requested(token);
            return self.checks.read_answered(token, applied, applied);
        }
        self.checks.read_requested(token);
        self.input(node, Input::Read { token })
    }

    fn inject_fault(&mut self) -> checks::CheckResult {
        let pause_ms = self.random.random_range(20..250);
        self.schedule(pause_ms, Event::InjectFault);
        let node = self.random.random_range(0..self.nodes.len());
        let kind = if self.faults_ended { 12 } else { self.random.random_range(0..16) };
        match kind {
            0 | 1 => self.crash(node),
            2 => self.nodes[node].inbound_cut = true,
            3 => self.nodes[node].outbound_cut = true,
            4 => {
                self.nodes[node].inbound_cut = true;
                self.nodes[node].outbound_cut = true;
            }
            5..=7 => self.heal(),
            8 => {
                let length_ms = self.random.random_range(50..3_000);
                self.nodes[node].paused_until_ms = self.now_ms + length_ms;
            }
            9 if self.may_lose(node) => self.empty_disk(node),
            10 if self.plan.refusing || self.may_lose(node) => {
                return self.input(node, Input::WriteFailed);
            }
            11 => {
                let (token, except) = (0, collections::BTreeSet::new());
                return self.input(node, Input::TransferLeadership { token, except });
            }
            12 | 13 => return self.repair(),
            14 => return self.remove_some(),
            _ => return self.compact(node),
        }
        Ok(())
    }

    fn heal(&mut self) {
        for node in &mut self.nodes {
            node.inbound_cut = false;
            node.outbound_cut = false;
        }
    }

    fn end_faults(&mut self) {
        self.faults_ended = true;
        self.heal();
        for node in &mut self.nodes {
            node.paused_until_ms = 0;
        }
    }

    /// The latest membership in each replica's log.
    fn memberships(&self) -> Vec<membership::Membership> {
        let memberships = self.nodes.iter().map(node::Node::membership);
        memberships.filter(|membership| !membership.voters.is_empty()).collect()
    }

    /// Whether the group survives the loss of this disk under each of these memberships.
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

    /// Adds the first replica that is not a voter, as an operator would to repair the group.
    fn repair(&mut self) -> checks::CheckResult {
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

    fn remove_some(&mut self) -> checks::CheckResult {
        let victim = self.random.random_range(0..self.nodes.len());
        let Some(leader) = self.leader().filter(|_| self.plan.changing) else {
            return Ok(());
        };
        let change = membership::Change::Remove(self.nodes[victim].id.clone());
        self.input(leader, Input::ChangeMembership { token: 0, change })
    }

    fn compact(&mut self, node: usize) -> checks::CheckResult {
        let index = self.nodes[node].applied;
        if index == 0 {
            return Ok(());
        }
        let state = self.checks.state_at(index);
        self.input(node, Input::Compact { index, state })
    }

    /// Whether too many disks were lost for any protocol to continue without losing changes.
    fn unrecoverable(&self) -> bool {
        let newest = self.nodes.iter().max_by_key(|node| node.last()).map(node::Node::membership);
        newest.is_some_and(|membership| {
            let intact = membership.voters.iter().filter(|id| !self.lost.contains(id)).count();
            intact < membership.quorum()
        })
    }

    /// Whether all replicas are voters again and have applied nearly all committed entries.
    fn recovered(&self) -> bool {
        let committed = self.checks.committed();
        let all = self.nodes.iter().all(|node| {
            let voters = node.membership().voters;
            node.applied + 20 > committed
                && voters.len() == self.nodes.len()
                && self.nodes.iter().all(|other| voters.contains(&other.id))
        });
        all && self.leader().is_some()
    }
}
