//! Retry budgets, and the rule that decides whether a call may be retried.
//!
//! Retries are additional load. Without a bound, upstreams that fail under load receive the same
//! load again for every failure and never recover. `docs/design/limits.md` gives the measured
//! amplification.

pub mod budget;

use crate::digest;

/// Attempts per call, including the first.
pub const ATTEMPTS_MAX: u32 = 3;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The call was never sent, or the upstream's agent promised not to start it.
    NotRun,
    /// The call was sent and no byte of an answer came: it may have run.
    NoAnswer,
    /// The answer broke off after its first byte.
    Truncated,
}

/// A call whose last attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedCall {
    /// Whether it may run twice without harm.
    pub idempotent: bool,
    /// Attempts so far.
    pub attempts: u32,
    /// How the last one failed.
    pub failure: Failure,
    /// Version that the answer began on, if its engine can resume.
    pub resumable_on: Option<digest::Digest>,
    /// When the caller stops waiting, in milliseconds.
    pub deadline_ms: u64,
    /// Shortest time to an answer, in milliseconds.
    pub min_answer_ms: u64,
}

/// What to do about a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it from the start at another upstream.
    Retry,
    /// Resume the answer at an upstream with exactly this version.
    Resume(digest::Digest),
    /// Tell the caller now.
    GiveUp(GiveUp),
}

/// Why a call is not retried. The caller is told at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUp {
    /// It may have run, and running it twice could do harm.
    MayHaveRun,
    /// Part of the answer was delivered and no engine can resume it.
    AnswerCut,
    /// All attempts are used up.
    Attempts,
    /// Too little time is left for another attempt.
    Deadline,
    /// The budget of this entry or of the failing upstream is used up.
    Budget,
}

/// Whether a failed call may be retried, before budgets are considered.
pub fn decide(call: &FailedCall, now_ms: u64) -> Decision {
    let decision = match (call.failure, call.resumable_on) {
        (Failure::NotRun, _) => Decision::Retry,
        (Failure::NoAnswer, _) if call.idempotent => Decision::Retry,
        (Failure::NoAnswer, _) => return Decision::GiveUp(GiveUp::MayHaveRun),
        (Failure::Truncated, Some(version)) if call.idempotent => Decision::Resume(version),
        (Failure::Truncated, _) => return Decision::GiveUp(GiveUp::AnswerCut),
    };
    if call.attempts >= ATTEMPTS_MAX {
        return Decision::GiveUp(GiveUp::Attempts);
    }
    if now_ms.saturating_add(call.min_answer_ms) > call.deadline_ms {
        return Decision::GiveUp(GiveUp::Deadline);
    }
    decision
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    fn failed_call(idempotent: bool, failure: Failure) -> FailedCall {
        FailedCall {
            idempotent,
            attempts: 1,
            failure,
            resumable_on: None,
            deadline_ms: 1_000,
            min_answer_ms: 10,
        }
    }

    macro_rules! decides {
        ($($case:ident: $call:expr => $verdict:expr,)*) => {$(
            #[googletest::test]
            fn $case() {
                expect_that!(decide(&$call, 500), eq($verdict));
            }
        )*};
    }

    decides! {
        an_unsent_transfer_is_retried: failed_call(false, Failure::NotRun) => Decision::Retry,
        a_lost_read_is_retried: failed_call(true, Failure::NoAnswer) => Decision::Retry,
        a_lost_transfer_is_not_retried:
            failed_call(false, Failure::NoAnswer) => Decision::GiveUp(GiveUp::MayHaveRun),
        a_started_answer_is_not_restarted:
            failed_call(true, Failure::Truncated) => Decision::GiveUp(GiveUp::AnswerCut),
        a_started_answer_is_resumed_on_its_version: FailedCall {
            resumable_on: Some(digest::Digest::of(b"v1")),
            ..failed_call(true, Failure::Truncated)
        } => Decision::Resume(digest::Digest::of(b"v1")),
        a_started_transfer_is_never_resumed: FailedCall {
            resumable_on: Some(digest::Digest::of(b"v1")),
            ..failed_call(false, Failure::Truncated)
        } => Decision::GiveUp(GiveUp::AnswerCut),
        attempts_are_limited: FailedCall {
            attempts: ATTEMPTS_MAX,
            ..failed_call(true, Failure::NoAnswer)
        } => Decision::GiveUp(GiveUp::Attempts),
        no_time_for_another_attempt: FailedCall {
            min_answer_ms: 501,
            ..failed_call(true, Failure::NoAnswer)
        } => Decision::GiveUp(GiveUp::Deadline),
    }
}
