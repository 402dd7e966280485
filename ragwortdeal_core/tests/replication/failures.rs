//! Single failures, each shown on its own.

use std::collections;

use googletest::prelude::*;
use ragwortdeal_core::replication::{
    Input, Output, Rejection, RoleKind, StopReason, entry, membership, message, replica,
};

use crate::node;

const STEP_MS: u64 = 10;

/// Replicas with instant disks and links, some of which may be cut off.
struct Group {
    replicas: collections::BTreeMap<entry::ReplicaId, replica::Replica>,
    cut_off: collections::BTreeSet<entry::ReplicaId>,
    mail: collections::VecDeque<(entry::ReplicaId, entry::ReplicaId, message::Message)>,
    seen: Vec<(entry::ReplicaId, Output)>,
    now_ms: u64,
}

impl Group {
    fn new(count: usize) -> Self {
        let ids: Vec<_> = (0..count).map(|number| node::replica_id(number, 1)).collect();
        let founding = node::founding(&ids);
        let open = |(seed, id): (usize, &entry::ReplicaId)| {
            let options = node::options(seed as u64);
            (id.clone(), replica::Replica::new(id.clone(), options, founding.clone(), 0))
        };
        Self {
            replicas: ids.iter().enumerate().map(open).collect(),
            cut_off: collections::BTreeSet::new(),
            mail: collections::VecDeque::new(),
            seen: Vec::new(),
            now_ms: 0,
        }
    }

    fn add_empty(&mut self, node: usize, storage: u64) -> entry::ReplicaId {
        let id = node::replica_id(node, storage);
        let options = node::options(storage);
        let stored = entry::PersistentState::default();
        let replica = replica::Replica::new(id.clone(), options, stored, self.now_ms);
        self.replicas.insert(id.clone(), replica);
        id
    }

    /// Gives one input and returns what was asked for, with writes synced at once.
    fn input(&mut self, id: &entry::ReplicaId, input: Input) -> Vec<Output> {
        let mut all = Vec::new();
        let mut inputs = collections::VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let replica = self.replicas.get_mut(id).expect("a replica");
            for output in replica.step(input, self.now_ms) {
                if let Output::Persist(write) = &output {
                    inputs.push_back(Input::WriteSynced { write_id: write.id });
                }
                if let Output::Send { to, message } = &output {
                    self.mail.push_back((id.clone(), to.clone(), message.clone()));
                }
                self.seen.push((id.clone(), output.clone()));
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
                ids.iter().filter(|id| !self.cut_off.contains(id)).cloned().collect::<Vec<_>>()
            {
                self.input(&id, Input::Tick);
            }
            self.deliver();
        }
    }

    fn deliver(&mut self) {
        while let Some((from, to, message)) = self.mail.pop_front() {
            let cut = self.cut_off.contains(&from) || self.cut_off.contains(&to);
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

// The leader's process is stopped for 30 s and continued while another leader has taken changes.
// A caller who asks the old one first would read a state that is half a minute old, or wait for a
// change that can never be accepted.
#[googletest::test]
fn paused_leader_answers_nothing_from_its_past() {
    let mut group = Group::new(3);
    group.run(1_000);
    let old = group.leader();
    group.cut_off.insert(old.clone());
    group.run(30_000);
    let new = group.leader();
    expect_that!(new, not(eq(&old)));
    group.propose(&new, "accepted meanwhile");
    let read = group.input(&old, Input::Read { token: 1 });
    expect_that!(rejected(&read), some(eq(Rejection::NotLeader)));
    let proposal = group.propose(&old, "too late");
    expect_that!(rejected(&proposal), some(eq(Rejection::NotLeader)));
}

// The leader is cut off silently and an operator's read reaches it at once, before it can know.
// It must stay unanswered, not be answered from the old state.
#[googletest::test]
fn cut_off_leader_confirms_no_read() {
    let mut group = Group::new(3);
    group.run(1_000);
    let leader = group.leader();
    group.cut_off.insert(leader.clone());
    group.input(&leader, Input::Read { token: 1 });
    group.now_ms += 150;
    let outputs = group.input(&leader, Input::Tick);
    let answered = outputs.iter().any(|output| matches!(output, Output::ReadReady { .. }));
    expect_that!(answered, eq(false));
    group.now_ms += 1_000;
    let outputs = group.input(&leader, Input::Tick);
    expect_that!(rejected(&outputs), some(eq(Rejection::LostLeadership)));
}

// A voter is isolated for a long time and returns. Had it raised its term meanwhile, its return
// would depose the leader and stop all changes for an election.
#[googletest::test]
fn returning_voter_does_not_depose_the_leader() {
    let mut group = Group::new(3);
    group.run(1_000);
    let (leader, isolated) = (group.leader(), group.follower());
    let term = group.term(&leader);
    group.cut_off.insert(isolated.clone());
    // Its own clock goes on: it asks for votes and nobody hears it.
    for _ in 0..200 {
        group.run(50);
        group.input(&isolated, Input::Tick);
        group.deliver();
    }
    group.cut_off.clear();
    group.run(1_000);
    expect_that!(group.leader(), eq(&leader));
    expect_that!(group.term(&leader), eq(term));
    expect_that!(group.term(&isolated), eq(term));
}

// The disk reports a failed sync. A retry could report success for pages that the system has
// already dropped, so a change would be acknowledged that is on no disk.
#[googletest::test]
fn failed_sync_stops_the_replica_for_good() {
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

// A voter is stopped, its disk is set back to an older state below the storage id, and it is
// started again. The leader has its acknowledgements; counted further, they would promise copies
// that are gone.
#[googletest::test]
fn older_disk_is_recognised_by_the_leader() {
    let mut group = Group::new(3);
    group.run(1_000);
    let (leader, victim) = (group.leader(), group.follower());
    for change in 0..10 {
        group.propose(&leader, &format!("change {change}"));
    }
    group.run(200);
    let ids: Vec<_> = group.replicas.keys().cloned().collect();
    let mut older = node::founding(&ids);
    older.hard_state.incarnation = 1;
    let replica = replica::Replica::new(victim.clone(), node::options(9), older, group.now_ms);
    group.replicas.insert(victim.clone(), replica);
    group.run(300);
    let lost = (victim.clone(), Output::Stopped { reason: StopReason::MemoryLost });
    expect_that!(group.seen, contains(eq(&lost)));
    let status = group.replicas[&leader].status();
    let marked = status.followers.iter().any(|it| it.id == victim && it.memory_lost);
    expect_that!(marked, eq(true));
}

// A planned stop of the leader. Without a handover every change would wait for an election
// timeout.
#[googletest::test]
fn handover_needs_no_election_timeout() {
    let mut group = Group::new(3);
    group.run(1_000);
    let old = group.leader();
    group.input(&old, Input::TransferLeadership { token: 1 });
    group.deliver();
    expect_that!(group.leader(), not(eq(&old)));
    expect_that!(group.replicas[&old].role(), eq(RoleKind::Follower));
}

// An operator makes a new instance a voter before it has the log. Were it counted, a change could
// be accepted on the strength of a copy that is not there.
#[googletest::test]
fn learner_votes_only_once_it_has_the_log() {
    let mut group = Group::new(3);
    group.run(1_000);
    let leader = group.leader();
    group.propose(&leader, "before");
    let new = group.add_empty(3, 77);
    group.cut_off.insert(new.clone());
    let change = membership::Change::AddLearner(new.clone());
    group.input(&leader, Input::ChangeMembership { token: 1, change });
    group.run(100);
    let promote = membership::Change::Promote(new.clone());
    let early = group.input(&leader, Input::ChangeMembership { token: 2, change: promote.clone() });
    expect_that!(rejected(&early), some(eq(Rejection::NotCaughtUp)));
    group.cut_off.clear();
    group.run(300);
    let late = group.input(&leader, Input::ChangeMembership { token: 3, change: promote });
    expect_that!(rejected(&late), none());
    group.run(100);
    expect_that!(group.replicas[&new].status().membership.voters, contains(eq(&new)));
    expect_that!(group.replicas[&new].applied(), eq(group.replicas[&leader].applied()));
}

// Two operators change the membership at the same time. Two changes under way at once could leave
// two quorums that share no voter.
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

// A removal is asked for while another voter is down. What remained would have no quorum and no
// later change could be accepted.
#[googletest::test]
fn removal_that_would_lose_the_quorum_is_refused() {
    let mut group = Group::new(3);
    group.run(1_000);
    let (leader, down) = (group.leader(), group.follower());
    group.cut_off.insert(down.clone());
    group.run(400);
    let mut ids = group.replicas.keys().cloned();
    let alive = ids.find(|id| *id != leader && *id != down).expect("a third voter");
    let change = membership::Change::Remove(alive);
    let outputs = group.input(&leader, Input::ChangeMembership { token: 1, change });
    expect_that!(rejected(&outputs), some(eq(Rejection::WouldLoseQuorum)));
}

// A follower returns after its entries were dropped from memory and needs the whole state. In one
// message it would hold up the heartbeats on the same link and cost a new election.
#[googletest::test]
fn snapshot_travels_in_bounded_pieces() {
    let mut group = Group::new(3);
    group.run(1_000);
    let (leader, away) = (group.leader(), group.follower());
    group.cut_off.insert(away.clone());
    for change in 0..30 {
        group.propose(&leader, &format!("change {change}"));
    }
    let index = group.replicas[&leader].applied();
    let state = vec![5; 1_000].into();
    group.input(&leader, Input::Compact { index, state });
    group.cut_off.clear();
    group.run(1_000);
    let pieces = group.seen.iter().filter_map(|(_, output)| match output {
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

// A follower is slow. Without a window the leader would queue the whole log on its link.
#[googletest::test]
fn unanswered_appends_stay_within_the_window() {
    let mut group = Group::new(3);
    group.run(1_000);
    let leader = group.leader();
    let slow = group.follower();
    let before = group.seen.len();
    for change in 0..40 {
        let text = format!("change {change}");
        group.input(&leader, Input::Propose { token: 7, data: text.as_bytes().into() });
    }
    let sent = group.seen[before..].iter().filter(|(_, output)| {
        matches!(output, Output::Send { to, message: message::Message {
            body: message::Body::Append { entries, .. }, ..
        }} if *to == slow && !entries.is_empty())
    });
    expect_that!(sent.count(), eq(node::options(0).max_inflight_appends));
}

// Changes come in faster than a quorum syncs them. Without a bound memory would grow until the
// process is killed, with all that it had taken in.
#[googletest::test]
fn proposals_beyond_the_bound_are_refused() {
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
