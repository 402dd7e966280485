//! Tests of single failures.

use std::collections;

use googletest::prelude::*;
use ragwortdeal_core::replication::{
    Input, Output, Rejection, RoleKind, StopReason, entry, membership, message, replica,
};

use crate::node;

const STEP_MS: u64 = 10;

/// Replicas with instant disks and links, some of which may be partitioned.
struct Group {
    replicas: collections::BTreeMap<entry::ReplicaId, replica::Replica>,
    synced: collections::BTreeMap<entry::ReplicaId, entry::PersistentState>,
    partitioned: collections::BTreeSet<entry::ReplicaId>,
    messages: collections::VecDeque<(entry::ReplicaId, entry::ReplicaId, message::Message)>,
    outputs: Vec<(entry::ReplicaId, Output)>,
    now_ms: u64,
}

impl Group {
    fn new(count: usize) -> Self {
        let ids: Vec<_> = (0..count).map(|number| node::replica_id(number, 1)).collect();
        let bootstrap = node::bootstrap(&ids);
        let open = |(seed, id): (usize, &entry::ReplicaId)| {
            let options = node::options(seed as u64);
            (id.clone(), replica::Replica::new(id.clone(), options, bootstrap.clone(), 0))
        };
        Self {
            replicas: ids.iter().enumerate().map(open).collect(),
            synced: ids.iter().map(|id| (id.clone(), bootstrap.clone())).collect(),
            partitioned: collections::BTreeSet::new(),
            messages: collections::VecDeque::new(),
            outputs: Vec::new(),
            now_ms: 0,
        }
    }

    fn add_empty(&mut self, node: usize, storage: u64) -> entry::ReplicaId {
        let id = node::replica_id(node, storage);
        let options = node::options(storage);
        let stored = entry::PersistentState::default();
        let replica = replica::Replica::new(id.clone(), options, stored, self.now_ms);
        self.replicas.insert(id.clone(), replica);
        self.synced.insert(id.clone(), entry::PersistentState::default());
        id
    }

    /// Passes an input to a replica and returns all outputs, with writes synced immediately.
    fn input(&mut self, id: &entry::ReplicaId, input: Input) -> Vec<Output> {
        let mut all = Vec::new();
        let mut inputs = collections::VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let replica = self.replicas.get_mut(id).expect("a replica");
            for output in replica.step(input, self.now_ms) {
                if let Output::Persist(write) = &output {
                    self.synced.get_mut(id).expect("a disk").apply(write);
                    inputs.push_back(Input::WriteSynced { write_id: write.id });
                }
                if let Output::Send { to, message } = &output {
                    self.messages.push_back((id.clone(), to.clone(), message.clone()));
                }
                self.outputs.push((id.clone(), output.clone()));
                all.push(output);
            }
        }
        all
    }

    fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            let ids: Vec<_> = self.replicas.keys().cloned().collect();
            for id in
                ids.iter().filter(|id| !self.partitioned.contains(id)).cloned().collect::<Vec<_>>()
            {
                self.input(&id, Input::Tick);
            }
            self.deliver();
        }
    }

    /// Starts a replica anew from what it had synced.
    fn restart(&mut self, id: &entry::ReplicaId) {
        let synced = self.synced[id].clone();
        let options = node::options(self.now_ms);
        let replica = replica::Replica::new(id.clone(), options, synced, self.now_ms);
        self.replicas.insert(id.clone(), replica);
    }

    fn deliver(&mut self) {
        while let Some((from, to, message)) = self.messages.pop_front() {
            let cut = self.partitioned.contains(&from) || self.partitioned.contains(&to);
            if !cut && self.replicas.contains_key(&to) {
                self.input(&to, Input::Receive { from, message });
            }
        }
    }

    fn leader(&self) -> entry::ReplicaId {
        let leaders = self.replicas.values().filter(|replica| replica.is_leader());
        let newest = leaders.max_by_key(|replica| replica.status().term);
        newest.expect("a leader").id().clone()
    }

    fn follower(&self) -> entry::ReplicaId {
        let mut others = self.replicas.values().filter(|replica| !replica.is_leader());
        others.next().expect("a follower").id().clone()
    }

    fn propose(&mut self, id: &entry::ReplicaId, text: &str) -> Vec<Output> {
        let outputs = self.input(id, Input::Propose { token: 7, data: text.as_bytes().into() });
        self.deliver();
        outputs
    }

    fn term(&self, id: &entry::ReplicaId) -> u64 {
        self.replicas[id].status().term
    }
}

fn rejected(outputs: &[Output]) -> Option<Rejection> {
    outputs.iter().find_map(|output| match output {
        Output::Rejected { reason, .. } => Some(*reason),
        _ => None,
    })
}

// The leader's process is suspended for 30 s and resumes while a new leader has committed changes.
// It must neither serve a read from state that is half a minute old, nor accept a proposal that can
// never commit.
#[googletest::test]
fn resumed_leader_serves_no_stale_requests() {
    let mut group = Group::new(3);
    group.run(1_000);
    let old = group.leader();
    group.partitioned.insert(old.clone());
    group.run(30_000);
    let new = group.leader();
    expect_that!(new, not(eq(&old)));
    group.propose(&new, "committed meanwhile");
    let read = group.input(&old, Input::Read { token: 1 });
    expect_that!(rejected(&read), some(eq(Rejection::NotLeader)));
    let proposal = group.propose(&old, "too late");
    expect_that!(rejected(&proposal), some(eq(Rejection::NotLeader)));
}

// The leader is partitioned and receives a read before it can notice. The read must stay unanswered
// instead of being served from stale state.
#[googletest::test]
fn partitioned_leader_confirms_no_read() {
    let mut group = Group::new(3);
    group.run(1_000);
    let leader = group.leader();
    group.partitioned.insert(leader.clone());
    group.input(&leader, Input::Read { token: 1 });
    group.now_ms += 150;
    let outputs = group.input(&leader, Input::Tick);
    let answered = outputs.iter().any(|output| matches!(output, Output::ReadReady { .. }));
    expect_that!(answered, eq(false));
    group.now_ms += 1_000;
    let outputs = group.input(&leader, Input::Tick);
    expect_that!(rejected(&outputs), some(eq(Rejection::LostLeadership)));
}

// A voter is partitioned for a long time and returns. If it had increased its term, its return
// would depose the leader and block all changes for an election.
#[googletest::test]
fn returning_voter_does_not_depose_the_leader() {
    let mut group = Group::new(3);
    group.run(1_000);
    let (leader, isolated) = (group.leader(), group.follower());
    let term = group.term(&leader);
    group.partitioned.insert(isolated.clone());
    // It keeps requesting votes that no other replica receives.
    for _ in 0..200 {
        group.run(50);
        group.input(&isolated, Input::Tick);
        group.deliver();
    }
    group.partitioned.clear();
    group.run(1_000);
    expect_that!(group.leader(), eq(&leader));
    expect_that!(group.term(&leader), eq(term));
    expect_that!(group.term(&isolated), eq(term));
}

// Two disks of three are full, and a change is proposed meanwhile. Both voters are silent until there
// is room and then go on with what they had synced; a group whose disks are all there must not stop.
#[googletest::test]
fn group_goes_on_after_two_disks_refused_writes() {
    let mut group = Group::new(3);
    group.run(1_000);
    let leader = group.leader();
    group.propose(&leader, "before");
    group.run(200);
    let full: Vec<_> = group.replicas.keys().filter(|id| **id != leader).cloned().collect();
    for id in &full {
        group.input(id, Input::WriteFailed);
    }
    group.propose(&leader, "meanwhile");
    group.run(3_000);
    for id in &full {
        group.restart(id);
    }
    group.run(2_000);
    let leader = group.leader();
    group.propose(&leader, "after");
    group.run(200);
    let status = group.replicas[&leader].status();
    expect_that!(status.membership.voters, len(eq(3)));
    expect_that!(status.commit, eq(status.last.index));
    expect_that!(status.followers, each(field!(&replica::FollowerStatus.memory_lost, eq(false))));
}

// The disk reports a failed sync. A retry could report success for pages that the operating system
// has already dropped, so a change would be acknowledged that is not on disk.
#[googletest::test]
fn failed_sync_stops_the_replica_permanently() {
    let mut group = Group::new(3);
    group.run(1_000);
    let leader = group.leader();
    let outputs = group.input(&leader, Input::WriteFailed);
    let stopped = Output::Stopped { reason: StopReason::WriteFailed };
    expect_that!(outputs, contains(eq(&stopped)));
    expect_that!(group.input(&leader, Input::Tick), is_empty());
    expect_that!(group.propose(&leader, "lost?"), is_empty());
    group.run(2_000);
    expect_that!(group.leader(), not(eq(&leader)));
}

// A voter restarts with its disk rolled back to an older state under the same storage id. If the
// leader continued to count its acknowledgements, they would stand for copies that are lost.
#[googletest::test]
fn leader_detects_a_rolled_back_disk() {
    let mut group = Group::new(3);
    group.run(1_000);
    let (leader, victim) = (group.leader(), group.follower());
    for change in 0..10 {
        group.propose(&leader, &format!("change {change}"));
    }
    group.run(200);
    let ids: Vec<_> = group.replicas.keys().cloned().collect();
    let mut old_disk = node::bootstrap(&ids);
    old_disk.hard_state.incarnation = 1;
    let replica = replica::Replica::new(victim.clone(), node::options(9), old_disk, group.now_ms);
    group.replicas.insert(victim.clone(), replica);
    group.run(300);
    let lost = (victim.clone(), Output::Stopped { reason: StopReason::MemoryLost });
    expect_that!(group.outputs, contains(eq(&lost)));
    let status = group.replicas[&leader].status();
    let marked = status.followers.iter().any(|it| it.id == victim && it.memory_lost);
    expect_that!(marked, eq(true));
}

// The leader is stopped as planned. Without a leadership transfer all changes would wait for an
// election timeout.
#[googletest::test]
fn leadership_transfer_needs_no_election_timeout() {
    let mut group = Group::new(3);
    group.run(1_000);
    let old = group.leader();
    group.input(&old, Input::TransferLeadership { token: 1, except: collections::BTreeSet::new() });
    group.deliver();
    expect_that!(group.leader(), not(eq(&old)));
    expect_that!(group.replicas[&old].role(), eq(RoleKind::Follower));
}

// An operator promotes a new replica before it has the log. If it counted as a voter, a change
// could be committed on the basis of a copy that does not exist.
#[googletest::test]
fn learner_is_promoted_only_once_it_has_the_log() {
    let mut group = Group::new(3);
    group.run(1_000);
    let leader = group.leader();
    group.propose(&leader, "before");
    let new = group.add_empty(3, 77);
    group.partitioned.insert(new.clone());
    let change = membership::Change::AddLearner(new.clone());
    group.input(&leader, Input::ChangeMembership { token: 1, change });
    group.run(100);
    let promote = membership::Change::Promote(new.clone());
    let early = group.input(&leader, Input::ChangeMembership { token: 2, change: promote.clone() });
    expect_that!(rejected(&early), some(eq(Rejection::NotCaughtUp)));
    group.partitioned.clear();
    group.run(300);
    let late = group.input(&leader, Input::ChangeMembership { token: 3, change: promote });
    expect_that!(rejected(&late), none());
    group.run(100);
    expect_that!(group.replicas[&new].status().membership.voters, contains(eq(&new)));
    expect_that!(group.replicas[&new].applied(), eq(group.replicas[&leader].applied()));
}

// Two operators change the membership at the same time. Two concurrent changes could lead to two
// quorums that thread no voter.
#[googletest::test]
fn second_membership_change_waits_for_the_first() {
    let mut group = Group::new(5);
    group.run(1_000);
    let leader = group.leader();
    let others: Vec<_> = group.replicas.keys().filter(|id| **id != leader).cloned().collect();
    let remove = |id: &entry::ReplicaId| Input::ChangeMembership {
        token: 1,
        change: membership::Change::Remove(id.clone()),
    };
    let first = group.input(&leader, remove(&others[0]));
    let second = group.input(&leader, remove(&others[1]));
    expect_that!(rejected(&first), none());
    expect_that!(rejected(&second), some(eq(Rejection::ChangeInProgress)));
}

// A removal is requested while another voter is down. The remaining voters would have no quorum,
// and no further change could be committed.
#[googletest::test]
fn removal_that_would_lose_the_quorum_is_rejected() {
    let mut group = Group::new(3);
    group.run(1_000);
    let (leader, down) = (group.leader(), group.follower());
    group.partitioned.insert(down.clone());
    group.run(400);
    let mut ids = group.replicas.keys().cloned();
    let alive = ids.find(|id| *id != leader && *id != down).expect("a third voter");
    let change = membership::Change::Remove(alive);
    let outputs = group.input(&leader, Input::ChangeMembership { token: 1, change });
    expect_that!(rejected(&outputs), some(eq(Rejection::WouldLoseQuorum)));
}

// A follower returns after its entries were trimmed and needs the whole state. Sent in one message
// it would delay the heartbeats on the same link and cause an election.
#[googletest::test]
fn snapshot_is_sent_in_bounded_pieces() {
    let mut group = Group::new(3);
    group.run(1_000);
    let (leader, away) = (group.leader(), group.follower());
    group.partitioned.insert(away.clone());
    for change in 0..30 {
        group.propose(&leader, &format!("change {change}"));
    }
    let index = group.replicas[&leader].applied();
    let state = vec![5; 1_000].into();
    group.input(&leader, Input::Compact { index, state });
    group.partitioned.clear();
    group.run(1_000);
    let pieces = group.outputs.iter().filter_map(|(_, output)| match output {
        Output::Send { message: message::Message { body, .. }, .. } => Some(body),
        _ => None,
    });
    let lengths: Vec<_> = pieces
        .filter_map(|body| match body {
            message::Body::SnapshotPiece { piece, .. } => Some(piece.len()),
            _ => None,
        })
        .collect();
    expect_that!(lengths, each(le(&node::options(0).snapshot_piece_bytes)));
    expect_that!(lengths.iter().sum::<usize>(), eq(1_000));
    expect_that!(group.replicas[&away].applied(), eq(group.replicas[&leader].applied()));
}

// A follower is slow. Without flow control the leader would queue the whole log on its link.
#[googletest::test]
fn unacknowledged_appends_stay_within_the_limit() {
    let mut group = Group::new(3);
    group.run(1_000);
    let leader = group.leader();
    let slow = group.follower();
    let before = group.outputs.len();
    for change in 0..40 {
        let text = format!("change {change}");
        group.input(&leader, Input::Propose { token: 7, data: text.as_bytes().into() });
    }
    let sent = group.outputs[before..].iter().filter(|(_, output)| {
        matches!(output, Output::Send { to, message: message::Message {
            body: message::Body::Append { entries, .. }, ..
        }} if *to == slow && !entries.is_empty())
    });
    expect_that!(sent.count(), eq(node::options(0).max_inflight_appends));
}

// Proposals arrive faster than a quorum syncs them. Without a limit the memory of the leader would
// grow until the process is killed together with all pending proposals.
#[googletest::test]
fn proposals_beyond_the_limit_are_rejected() {
    let mut group = Group::new(3);
    group.run(1_000);
    let leader = group.leader();
    let bound = node::options(0).max_uncommitted_entries;
    let mut last = Vec::new();
    for _ in 0..=bound {
        last = group.input(&leader, Input::Propose { token: 7, data: b"x".as_slice().into() });
    }
    expect_that!(rejected(&last), some(eq(Rejection::Overloaded)));
}
