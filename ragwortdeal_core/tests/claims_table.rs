//! The table of claims and the agent's guard, case by case and beside a naive map.

use std::collections;

use googletest::prelude::*;
use ragwortdeal_core::{
    claims::{answer, attempt, key, registry, state, table},
    digest, name,
};
use rand::{RngExt as _, SeedableRng as _};

const EXPIRE_AFTER_MS: u64 = 10_000;
const SETTLE_AFTER_MS: u64 = 1_000;

fn limits() -> table::TableLimits {
    table::TableLimits {
        max_claims: 64,
        max_answer_bytes: 8,
        max_bodies_bytes: 4 * 16,
        expire_after_ms: EXPIRE_AFTER_MS,
        settle_after_ms: SETTLE_AFTER_MS,
        max_expired_per_entry: 4,
    }
}

fn all_slots() -> impl Iterator<Item = key::Slot> {
    (0..=u8::MAX).map(key::Slot)
}

fn scoped(key: &str) -> key::ScopedKey {
    key::ScopedKey {
        account: name::AccountName::new("aqaba-branch").unwrap(),
        service: name::ServiceName::new("ledger").unwrap(),
        key: name::OperationKey::new(key).unwrap(),
    }
}

fn attempt_id(sequence: u64) -> attempt::AttemptId {
    let entry = name::InstanceName::new("entry-1").unwrap();
    attempt::AttemptId { entry, entry_incarnation: 1, sequence }
}

fn upstream(incarnation: u64) -> attempt::Upstream {
    let instance = name::InstanceName::new("ledger-1").unwrap();
    attempt::Upstream { instance, incarnation: attempt::Incarnation(incarnation) }
}

fn claim(key: &str, sequence: u64, after: Option<u64>) -> state::Command {
    state::Command::Claim(state::Claim {
        key: scoped(key),
        body_digest: digest::Digest::of(b"body"),
        attempt: attempt_id(sequence),
        replaces: after.map(attempt_id),
        upstream: upstream(1),
        key_support: state::KeySupport::None,
    })
}

fn ok_answer() -> answer::Answer {
    answer::Answer::new(201, Some("text/plain"), b"done")
}

fn record(key: &str, sequence: u64) -> state::Command {
    let id = scoped(key).id();
    state::Command::Record { id, attempt: attempt_id(sequence), answer: ok_answer() }
}

fn release(key: &str, sequence: u64, incarnation: u64) -> state::Command {
    let evidence = state::Evidence::Promise { incarnation: attempt::Incarnation(incarnation) };
    state::Command::Release { id: scoped(key).id(), attempt: attempt_id(sequence), evidence }
}

fn doubt(key: &str, sequence: u64) -> state::Command {
    let doubt = state::DoubtReason::AgentReplaced;
    state::Command::MarkInDoubt { id: scoped(key).id(), attempt: attempt_id(sequence), doubt }
}

fn settle(key: &str, sequence: u64, verdict: state::Verdict) -> state::Command {
    let operator = name::AccountName::new("finance").unwrap();
    let id = scoped(key).id();
    state::Command::Settle { id, attempt: attempt_id(sequence), verdict, operator }
}

/// A short name for what a command came to, so that cases read as tables.
fn short(outcome: &state::Outcome) -> &'static str {
    match outcome {
        state::Outcome::Granted => "granted",
        state::Outcome::Existing(standing) => match standing.state {
            state::State::Claimed => "running",
            state::State::Recorded(_) => "recorded",
            state::State::Released(_) => "released",
            state::State::InDoubt(_) => "in doubt",
            state::State::Settled { .. } => "settled",
        },
        state::Outcome::BodyMismatch => "other body",
        state::Outcome::Full => "full",
        state::Outcome::WrongGroup => "wrong group",
        state::Outcome::Done => "done",
        state::Outcome::NotClaimed => "not claimed",
        state::Outcome::Superseded(_) => "superseded",
        state::Outcome::Conflict(_) => "conflict",
        state::Outcome::BadEvidence => "bad evidence",
        state::Outcome::TooEarly => "too early",
        state::Outcome::Unresolved(_) => "open",
        state::Outcome::SlotClosed(_) => "slot closed",
    }
}

fn apply_all(commands: Vec<(u64, state::Command)>) -> Vec<&'static str> {
    let mut table = table::ClaimTable::new(limits(), all_slots());
    let apply =
        |(now_ms, command)| short(&table.apply(state::TimestampedCommand { now_ms, command }));
    commands.into_iter().map(apply).collect()
}

macro_rules! outcomes {
    ($($(#[$doc:meta])* $case:ident: [$($at:expr, $command:expr => $outcome:expr;)*],)*) => {$(
        $(#[$doc])*
        #[googletest::test]
        fn $case() {
            let outcomes = apply_all(vec![$(($at, $command)),*]);
            expect_that!(outcomes, eq(&vec![$($outcome),*]));
        }
    )*};
}

outcomes! {
    /// A caller loses the answer and asks again at another entry; it gets the first answer.
    a_resend_gets_the_recorded_answer: [
        0, claim("a", 1, None) => "granted";
        5, record("a", 1) => "done";
        9, claim("a", 2, None) => "recorded";
    ],
    /// The mainframe answers minutes after the caller was told "unknown"; the next resend gets it.
    a_late_answer_ends_the_doubt: [
        0, claim("a", 1, None) => "granted";
        5, doubt("a", 1) => "done";
        6, claim("a", 2, None) => "in doubt";
        9_000, record("a", 1) => "done";
        9_001, claim("a", 3, None) => "recorded";
    ],
    a_released_key_is_claimed_by_a_new_attempt: [
        0, claim("a", 1, None) => "granted";
        1, release("a", 1, 1) => "done";
        2, claim("a", 2, None) => "released";
        3, claim("a", 2, Some(1)) => "granted";
        4, claim("a", 3, Some(1)) => "running";
    ],
    /// A claim was proposed, given up and released, and its first copy is committed long after.
    /// It would run beside a resend if it were granted.
    a_delayed_copy_of_a_released_claim_is_not_granted: [
        0, claim("a", 1, None) => "granted";
        1, release("a", 1, 1) => "done";
        2, claim("a", 1, None) => "released";
    ],
    a_repeated_proposal_is_granted_again: [
        0, claim("a", 1, None) => "granted";
        1, claim("a", 1, None) => "granted";
    ],
    /// Another life of the agent knows nothing of what this one started, so it proves nothing.
    a_promise_of_another_life_does_not_release: [
        0, claim("a", 1, None) => "granted";
        1, release("a", 1, 2) => "bad evidence";
        2, claim("a", 2, None) => "running";
    ],
    a_doubt_is_not_settled_while_the_call_may_still_start: [
        0, claim("a", 1, None) => "granted";
        1, doubt("a", 1) => "done";
        999, settle("a", 1, state::Verdict::DidNotRun) => "too early";
        1_000, settle("a", 1, state::Verdict::DidNotRun) => "done";
        1_001, settle("a", 1, state::Verdict::Ran) => "conflict";
        1_002, claim("a", 2, Some(1)) => "settled";
    ],
    /// An operator saw nothing in the ledger, and the effect came after that look. The answer
    /// contradicts the verdict, which must not pass unseen.
    an_answer_against_a_verdict_is_a_conflict: [
        0, claim("a", 1, None) => "granted";
        2_000, settle("a", 1, state::Verdict::DidNotRun) => "done";
        2_001, record("a", 1) => "conflict";
    ],
    an_answer_against_a_promise_is_a_conflict: [
        0, claim("a", 1, None) => "granted";
        1, release("a", 1, 1) => "done";
        2, record("a", 1) => "conflict";
    ],
    an_answer_of_a_replaced_attempt_is_not_recorded: [
        0, claim("a", 1, None) => "granted";
        1, release("a", 1, 1) => "done";
        2, claim("a", 2, Some(1)) => "granted";
        3, record("a", 1) => "superseded";
    ],
    a_recorded_key_is_forgotten_only_at_the_stated_age: [
        0, claim("a", 1, None) => "granted";
        5, record("a", 1) => "done";
        10_004, claim("a", 2, None) => "recorded";
        10_005, claim("a", 3, None) => "granted";
    ],
    /// Forgetting an unresolved key would let a resend run a second time.
    an_unresolved_key_never_expires: [
        0, claim("a", 1, None) => "granted";
        1, doubt("a", 1) => "done";
        1_000_000, state::Command::Tick => "done";
        2_000_000, claim("a", 2, None) => "in doubt";
    ],
    /// A new leader's clock is far behind; the log's time does not go back with it.
    a_clock_set_back_changes_nothing: [
        9_000, claim("a", 1, None) => "granted";
        9_001, record("a", 1) => "done";
        3, claim("a", 2, None) => "recorded";
        4, claim("b", 3, None) => "granted";
        5, settle("b", 3, state::Verdict::Ran) => "too early";
    ],
}

/// A caller uses one key for two different transfers by mistake; the second must not get the
/// first one's answer.
#[googletest::test]
fn a_key_with_another_body_is_refused() {
    let mut table = table::ClaimTable::new(limits(), all_slots());
    let first = claim("a", 1, None);
    let state::Command::Claim(mut other) = claim("a", 2, None) else { unreachable!() };
    other.body_digest = digest::Digest::of(b"another body");
    table.apply(state::TimestampedCommand { now_ms: 0, command: first });
    let command = state::Command::Claim(other);
    let outcome = table.apply(state::TimestampedCommand { now_ms: 1, command });
    expect_that!(outcome, eq(&state::Outcome::BodyMismatch));
}

/// An upstream runs each key once, so an attempt in doubt is replaced; the second attempt turns out
/// not to have started. The first may have run all the same, and a caller who were told that the
/// operation did not run would order it again under another key.
#[googletest::test]
fn a_release_after_a_replaced_doubt_goes_back_to_doubt() {
    let mut table = table::ClaimTable::new(limits(), all_slots());
    let mut apply = |command| short(&table.apply(state::TimestampedCommand { now_ms: 0, command }));
    let honoured = |sequence, after| {
        let state::Command::Claim(mut claim) = claim("a", sequence, after) else { unreachable!() };
        claim.key_support = state::KeySupport::Service;
        state::Command::Claim(claim)
    };
    expect_that!(apply(honoured(1, None)), eq("granted"));
    expect_that!(apply(doubt("a", 1)), eq("done"));
    expect_that!(apply(honoured(2, Some(1))), eq("granted"));
    expect_that!(apply(release("a", 2, 1)), eq("in doubt"));
    expect_that!(apply(honoured(3, Some(2))), eq("granted"));
    expect_that!(apply(record("a", 1)), eq("done"));
    expect_that!(apply(honoured(4, None)), eq("recorded"));
}

/// Many keys arrive and none expires. New ones are refused as not run; none is forgotten.
#[googletest::test]
fn a_full_table_refuses_and_forgets_nothing() {
    let mut table = table::ClaimTable::new(limits(), all_slots());
    for sequence in 0..64 {
        let command = claim(&format!("k{sequence}"), sequence, None);
        table.apply(state::TimestampedCommand { now_ms: 0, command });
    }
    let refused =
        table.apply(state::TimestampedCommand { now_ms: 1, command: claim("more", 99, None) });
    let known =
        table.apply(state::TimestampedCommand { now_ms: 2, command: claim("k0", 99, None) });
    expect_that!(short(&refused), eq("full"));
    expect_that!(short(&known), eq("running"));
    expect_that!(table.len(), eq(64));
}

/// Staff see what is in doubt at once, and what is merely under way only when it takes too long.
#[googletest::test]
fn open_operations_are_listed_longest_waiting_first() {
    let mut table = table::ClaimTable::new(limits(), all_slots());
    let mut apply = |now_ms, command| table.apply(state::TimestampedCommand { now_ms, command });
    apply(0, claim("slow", 1, None));
    apply(900, claim("doubtful", 2, None));
    apply(901, doubt("doubtful", 2));
    apply(950, claim("running", 3, None));
    apply(960, claim("done", 4, None));
    apply(961, record("done", 4));
    let mut listed = |now_ms| match apply(now_ms, state::Command::ListUnresolved { max: 9 }) {
        state::Outcome::Unresolved(open) => open.iter().map(|s| s.key.key.to_string()).collect(),
        _ => Vec::new(),
    };
    expect_that!(listed(999), eq(&vec!["doubtful".to_owned()]));
    expect_that!(listed(1_000), eq(&vec!["slow".to_owned(), "doubtful".to_owned()]));
}

#[googletest::test]
fn an_attempt_id_is_read_back_from_its_text() {
    expect_that!(attempt_id(7).to_string().parse::<attempt::AttemptId>(), ok(eq(&attempt_id(7))));
    for text in ["", "entry-1/1", "a b/1/1", "entry-1/x/1", "entry-1/1/-1", "a/b/1/1"] {
        expect_that!(text.parse::<attempt::AttemptId>(), err(anything()), "{text}");
    }
}

/// More answers are recorded than there is memory for. The oldest shrink to their hash; each key
/// stays taken, so no resend runs again.
#[googletest::test]
fn recorded_bodies_are_bounded_and_the_keys_stay_taken() {
    let mut table = table::ClaimTable::new(limits(), all_slots());
    let mut apply = |now_ms, command| table.apply(state::TimestampedCommand { now_ms, command });
    for sequence in 0..40 {
        let key = format!("k{sequence}");
        apply(sequence, claim(&key, sequence, None));
        apply(sequence, record(&key, sequence));
    }
    let body_of = |outcome| match outcome {
        state::Outcome::Existing(standing) => match standing.state {
            state::State::Recorded(answer) => Some(answer.body),
            _ => None,
        },
        _ => None,
    };
    let digest = digest::Digest::of(b"done");
    let dropped = answer::Body::Dropped { len_bytes: 4, digest };
    expect_that!(body_of(apply(50, claim("k0", 90, None))), some(eq(&dropped)));
    let kept = answer::Body::Kept(b"done".to_vec());
    expect_that!(body_of(apply(51, claim("k39", 91, None))), some(eq(&kept)));
    expect_that!(table.bodies_bytes(), eq(64));
    expect_that!(table.len(), eq(40));
}

#[googletest::test]
fn a_long_answer_is_kept_as_its_hash() {
    let long = answer::Answer::new(200, None, b"123456789").bounded(8);
    let expected = answer::Body::Dropped { len_bytes: 9, digest: digest::Digest::of(b"123456789") };
    expect_that!(long.body, eq(&expected));
}

/// Claims outgrow one group and a slot moves to another. A resend finds its answer there, and the
/// former group, asked by an entry with an old map, refuses.
#[googletest::test]
fn a_moved_slot_keeps_its_claims() {
    let slot = scoped("a").id().slot();
    let mut from = table::ClaimTable::new(limits(), all_slots());
    let mut to = table::ClaimTable::new(limits(), []);
    let stamped = |command| state::TimestampedCommand { now_ms: 1, command };
    from.apply(stamped(claim("a", 1, None)));
    from.apply(stamped(record("a", 1)));
    expect_that!(short(&to.apply(stamped(claim("a", 2, None)))), eq("wrong group"));
    let state::Outcome::SlotClosed(claims) = from.apply(stamped(state::Command::CloseSlot(slot)))
    else {
        return add_failure!("the slot was not closed");
    };
    to.apply(stamped(state::Command::OpenSlot { slot, claims: claims.clone() }));
    to.apply(stamped(state::Command::OpenSlot { slot, claims }));
    expect_that!(short(&from.apply(stamped(claim("a", 3, None)))), eq("wrong group"));
    expect_that!(short(&to.apply(stamped(claim("a", 3, None)))), eq("recorded"));
}

#[googletest::test]
fn slots_are_spread_evenly_over_groups() {
    let map = key::SlotMap::even(3);
    let sizes: Vec<_> = (0..3).map(|g| map.slots(key::GroupNumber(g)).count()).collect();
    expect_that!(sizes, eq(&vec![86, 85, 85]));
}

/// The obvious version: a map of keys without bounds, expiry or groups.
#[derive(Default)]
struct NaiveMap {
    claims: collections::HashMap<String, (u64, &'static str)>,
}

impl NaiveMap {
    fn claim(&mut self, key: &str, sequence: u64, after: Option<u64>) -> &'static str {
        match self.claims.get(key).copied() {
            None if after.is_some() => "not claimed",
            Some((latest, "running")) if latest == sequence => "granted",
            Some((latest, "released")) if after == Some(latest) => self.grant(key, sequence),
            Some((_, standing)) => standing,
            None => self.grant(key, sequence),
        }
    }

    fn grant(&mut self, key: &str, sequence: u64) -> &'static str {
        self.claims.insert(key.to_owned(), (sequence, "running"));
        "granted"
    }

    fn change(&mut self, key: &str, sequence: u64, to: &'static str) -> &'static str {
        let Some((latest, standing)) = self.claims.get_mut(key) else { return "not claimed" };
        if *latest != sequence {
            return "superseded";
        }
        match (*standing, to) {
            ("running" | "in doubt", _) => {
                *standing = to;
                "done"
            }
            (now, "in doubt") => now,
            (now, to) if now == to => "done",
            _ => "conflict",
        }
    }
}

/// Random commands on few keys go to the table and to the naive map, and the replica that starts
/// from a snapshot in the middle comes to the same state as the one that never stopped.
#[googletest::test]
fn the_table_agrees_with_a_naive_map_and_its_own_snapshot() {
    for seed in 0..200 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut table = table::ClaimTable::new(limits(), all_slots());
        let mut replica = table.clone();
        let mut naive = NaiveMap::default();
        for step in 0..200 {
            let key = format!("k{}", rng.random_range(0..4));
            let sequence = rng.random_range(0..6);
            let after = rng.random_bool(0.5).then(|| rng.random_range(0..6));
            let (command, expected) = match rng.random_range(0..4) {
                0 => (claim(&key, sequence, after), naive.claim(&key, sequence, after)),
                1 => (record(&key, sequence), naive.change(&key, sequence, "recorded")),
                2 => (release(&key, sequence, 1), naive.change(&key, sequence, "released")),
                _ => (doubt(&key, sequence), naive.change(&key, sequence, "in doubt")),
            };
            let stamped = state::TimestampedCommand { now_ms: step, command };
            let outcome = table.apply(stamped.clone());
            expect_that!(short(&outcome), eq(expected), "seed {seed} step {step}");
            if step == 100 {
                replica = snapshot_round_trip(&replica);
            }
            replica.apply(stamped);
        }
        expect_that!(replica, eq(&table));
    }
}

fn snapshot_round_trip(table: &table::ClaimTable) -> table::ClaimTable {
    let mut bytes = Vec::new();
    ciborium::into_writer(table, &mut bytes).unwrap();
    ciborium::from_reader(bytes.as_slice()).unwrap()
}

fn small_guard(max_attempts: usize) -> registry::AttemptRegistry {
    let limits =
        registry::RegistryLimits { max_attempts, max_answer_bytes: 8, watermark_ttl_ms: 1_000 };
    registry::AttemptRegistry::new(attempt::Incarnation(7), limits)
}

const OWN: attempt::Incarnation = attempt::Incarnation(7);

/// More promises are made than the agent remembers, and the forgotten calls arrive after all.
/// Starting one would break a promise that has let a resend run.
#[googletest::test]
fn a_forgotten_promise_is_still_kept() {
    let mut guard = small_guard(4);
    for sequence in 0..100 {
        let knowledge = guard.promise(&attempt_id(sequence), OWN, 0);
        expect_that!(knowledge, eq(&registry::AttemptStatus::NeverStarts));
    }
    expect_that!(guard.len(), le(4));
    for sequence in 0..100 {
        expect_that!(guard.start(&attempt_id(sequence), OWN, 1), err(anything()));
    }
    expect_that!(guard.start(&attempt_id(100), OWN, 1), ok(anything()));
}

/// The agent is full of calls that run or whose answers nobody recorded. It starts no more rather
/// than forget one of them, and a promise is kept all the same.
#[googletest::test]
fn a_full_guard_forgets_no_unrecorded_attempt() {
    let mut guard = small_guard(2);
    expect_that!(guard.start(&attempt_id(1), OWN, 0), ok(anything()));
    expect_that!(guard.start(&attempt_id(2), OWN, 0), ok(anything()));
    guard.finish(&attempt_id(2), ok_answer());
    let full = guard.start(&attempt_id(3), OWN, 0);
    expect_that!(full, err(eq(registry::StartRefusal::Full)));
    let promised = guard.promise(&attempt_id(4), OWN, 0);
    expect_that!(promised, eq(&registry::AttemptStatus::NeverStarts));
    guard.acknowledge(&attempt_id(2));
    let late = guard.start(&attempt_id(4), OWN, 0);
    expect_that!(late, err(eq(registry::StartRefusal::Forgotten)));
    expect_that!(guard.start(&attempt_id(5), OWN, 0), ok(anything()));
    expect_that!(guard.inspect(&attempt_id(2), OWN), eq(&registry::AttemptStatus::Unknown));
}

#[googletest::test]
fn a_new_life_of_the_agent_neither_starts_nor_judges_older_attempts() {
    let mut guard = small_guard(4);
    let older = attempt::Incarnation(6);
    let refused = guard.start(&attempt_id(1), older, 0);
    expect_that!(refused, err(eq(registry::StartRefusal::OtherIncarnation)));
    expect_that!(guard.promise(&attempt_id(1), older, 0), eq(&registry::AttemptStatus::Unknown));
}

#[googletest::test]
fn an_unrecorded_answer_is_offered_until_it_is_acknowledged() {
    let mut guard = small_guard(4);
    expect_that!(guard.start(&attempt_id(1), OWN, 0), ok(anything()));
    expect_that!(guard.running(), eq(1));
    guard.mark_lost(&attempt_id(1));
    guard.finish(&attempt_id(1), ok_answer());
    expect_that!(guard.unrecorded().count(), eq(1));
    guard.acknowledge(&attempt_id(1));
    expect_that!(guard.unrecorded().count(), eq(0));
    expect_that!(guard.inspect(&attempt_id(1), OWN), eq(&registry::AttemptStatus::Recorded));
}
