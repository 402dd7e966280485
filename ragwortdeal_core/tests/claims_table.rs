//! The claim table and the attempt registry: single cases, and comparison with a reference model.

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

/// A short name of an outcome, so that the cases read as tables.
fn short(outcome: &state::Outcome) -> &'static str {
    match outcome {
        state::Outcome::Granted => "granted",
        state::Outcome::Existing(record) => match record.state {
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
    /// A caller misses the answer and retries at another entry.
    a_retry_gets_the_recorded_answer: [
        0, claim("a", 1, None) => "granted";
        5, record("a", 1) => "done";
        9, claim("a", 2, None) => "recorded";
    ],
    /// The upstream answers minutes after the reply was "unknown"; the next retry gets the answer.
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
    /// A claim is proposed twice and released, and the delayed first proposal commits afterwards.
    /// If it were granted, the attempt could run in parallel with a retry.
    a_delayed_copy_of_a_released_claim_is_not_granted: [
        0, claim("a", 1, None) => "granted";
        1, release("a", 1, 1) => "done";
        2, claim("a", 1, None) => "released";
    ],
    a_repeated_proposal_is_granted_again: [
        0, claim("a", 1, None) => "granted";
        1, claim("a", 1, None) => "granted";
    ],
    /// Another incarnation of the agent does not know what this one started.
    a_promise_of_another_incarnation_does_not_release: [
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
    /// The operation took effect after an operator had checked the ledger. The contradiction
    /// between the answer and the verdict must be reported.
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
    /// If an unresolved key expired, a retry could run a second time.
    an_unresolved_key_never_expires: [
        0, claim("a", 1, None) => "granted";
        1, doubt("a", 1) => "done";
        1_000_000, state::Command::Tick => "done";
        2_000_000, claim("a", 2, None) => "in doubt";
    ],
    /// A new leader's clock is far behind; the log time must not decrease.
    the_log_time_never_decreases: [
        9_000, claim("a", 1, None) => "granted";
        9_001, record("a", 1) => "done";
        3, claim("a", 2, None) => "recorded";
        4, claim("b", 3, None) => "granted";
        5, settle("b", 3, state::Verdict::Ran) => "too early";
    ],
}

/// A caller uses one key for two different requests by mistake. The second must not get the answer
/// of the first.
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

/// A service supports idempotency keys, so an attempt in doubt is replaced, and the second attempt
/// does not start. The first may still have run: if the reply were "did not run", the caller could
/// repeat the operation under another key.
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

/// The table fills up before any key expires. New keys are refused and no key is dropped.
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

/// Operations in doubt are listed immediately, running ones only when they take too long.
#[googletest::test]
fn unresolved_operations_are_listed_oldest_first() {
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

/// The recorded bodies exceed their limit. The oldest are replaced by their hashes, but their keys
/// stay claimed, so no retry runs again.
#[googletest::test]
fn recorded_bodies_are_bounded_and_the_keys_stay_claimed() {
    let mut table = table::ClaimTable::new(limits(), all_slots());
    let mut apply = |now_ms, command| table.apply(state::TimestampedCommand { now_ms, command });
    for sequence in 0..40 {
        let key = format!("k{sequence}");
        apply(sequence, claim(&key, sequence, None));
        apply(sequence, record(&key, sequence));
    }
    let body_of = |outcome| match outcome {
        state::Outcome::Existing(record) => match record.state {
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

/// A slot moves to another group. A retry finds its answer there, and the previous group rejects
/// requests from entries with an outdated map.
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

/// A reference model: a map of keys without limits, expiry or groups.
#[derive(Default)]
struct ReferenceModel {
    claims: collections::HashMap<String, (u64, &'static str)>,
}

impl ReferenceModel {
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

/// Random commands on few keys are applied to the table and to the reference model. A replica that
/// is restored from a snapshot midway must arrive at the same state.
#[googletest::test]
fn the_table_agrees_with_a_reference_model_and_its_own_snapshot() {
    for seed in 0..200 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut table = table::ClaimTable::new(limits(), all_slots());
        let mut replica = table.clone();
        let mut model = ReferenceModel::default();
        for step in 0..200 {
            let key = format!("k{}", rng.random_range(0..4));
            let sequence = rng.random_range(0..6);
            let after = rng.random_bool(0.5).then(|| rng.random_range(0..6));
            let (command, expected) = match rng.random_range(0..4) {
                0 => (claim(&key, sequence, after), model.claim(&key, sequence, after)),
                1 => (record(&key, sequence), model.change(&key, sequence, "recorded")),
                2 => (release(&key, sequence, 1), model.change(&key, sequence, "released")),
                _ => (doubt(&key, sequence), model.change(&key, sequence, "in doubt")),
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

fn small_registry(max_attempts: usize) -> registry::AttemptRegistry {
    let limits =
        registry::RegistryLimits { max_attempts, max_answer_bytes: 8, watermark_ttl_ms: 1_000 };
    registry::AttemptRegistry::new(attempt::Incarnation(7), limits)
}

const OWN: attempt::Incarnation = attempt::Incarnation(7);

/// More promises are made than fit into the registry, and the calls for evicted ones arrive later.
/// Starting one of them would break a promise that has allowed a retry to run.
#[googletest::test]
fn an_evicted_promise_is_kept() {
    let mut attempts = small_registry(4);
    for sequence in 0..100 {
        let status = attempts.promise(&attempt_id(sequence), OWN, 0);
        expect_that!(status, eq(&registry::AttemptStatus::NeverStarts));
    }
    expect_that!(attempts.len(), le(4));
    for sequence in 0..100 {
        expect_that!(attempts.start(&attempt_id(sequence), OWN, 1), err(anything()));
    }
    expect_that!(attempts.start(&attempt_id(100), OWN, 1), ok(anything()));
}

/// The registry is full of attempts that run or whose answers are not recorded. The agent refuses
/// further attempts instead of evicting one of these, and still keeps its promises.
#[googletest::test]
fn a_full_registry_evicts_no_unrecorded_attempt() {
    let mut attempts = small_registry(2);
    expect_that!(attempts.start(&attempt_id(1), OWN, 0), ok(anything()));
    expect_that!(attempts.start(&attempt_id(2), OWN, 0), ok(anything()));
    attempts.finish(&attempt_id(2), ok_answer());
    let full = attempts.start(&attempt_id(3), OWN, 0);
    expect_that!(full, err(eq(registry::StartRefusal::Full)));
    let promised = attempts.promise(&attempt_id(4), OWN, 0);
    expect_that!(promised, eq(&registry::AttemptStatus::NeverStarts));
    attempts.acknowledge(&attempt_id(2));
    let late = attempts.start(&attempt_id(4), OWN, 0);
    expect_that!(late, err(eq(registry::StartRefusal::Forgotten)));
    expect_that!(attempts.start(&attempt_id(5), OWN, 0), ok(anything()));
    expect_that!(attempts.inspect(&attempt_id(2), OWN), eq(&registry::AttemptStatus::Unknown));
}

#[googletest::test]
fn a_new_incarnation_of_the_agent_neither_starts_nor_judges_older_attempts() {
    let mut attempts = small_registry(4);
    let older = attempt::Incarnation(6);
    let refused = attempts.start(&attempt_id(1), older, 0);
    expect_that!(refused, err(eq(registry::StartRefusal::OtherIncarnation)));
    expect_that!(attempts.promise(&attempt_id(1), older, 0), eq(&registry::AttemptStatus::Unknown));
}

#[googletest::test]
fn an_unrecorded_answer_is_offered_until_it_is_acknowledged() {
    let mut attempts = small_registry(4);
    expect_that!(attempts.start(&attempt_id(1), OWN, 0), ok(anything()));
    expect_that!(attempts.running(), eq(1));
    attempts.mark_lost(&attempt_id(1));
    attempts.finish(&attempt_id(1), ok_answer());
    expect_that!(attempts.unrecorded().count(), eq(1));
    attempts.acknowledge(&attempt_id(1));
    expect_that!(attempts.unrecorded().count(), eq(0));
    expect_that!(attempts.inspect(&attempt_id(1), OWN), eq(&registry::AttemptStatus::Recorded));
}
