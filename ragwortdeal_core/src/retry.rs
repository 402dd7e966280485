//! Retry budgets, and the rule that decides whether a call may run again.
//!
//! A retry is work that nobody asked for. Without a bound, upstreams that fail under load get the
//! same load once more for every failure, and never recover. `docs/design/limits.md` gives the
//! measured amplification.

pub mod budget;

use crate::digest;

/// Attempts of one call, the first included.
pub const ATTEMPTS_MAX: u32 = 3;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The call never left, or the upstream's agent promised not to start it.
    NotRun,
    /// The call left and no byte of an answer came: it may have run.
    NoAnswer,
    /// The answer broke off after its first byte.
    Truncated,
}

/// What is known of a call when an attempt has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedCall {
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Attempts so far.
    pub attempts: u32,
    /// How the last one failed.
    pub failure: Failure,
    /// Version that the answer began on, if its engine can resume.
    pub resumable_on: Option<digest::Digest>,
    /// When the caller stops waiting, in milliseconds.
    pub deadline_ms: u64,
    /// Shortest time in milliseconds in which an answer can be expected.
    pub min_answer_ms: u64,
}

/// What to do about a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it from the start at another upstream.
    Retry,
    /// Carry the answer on at an upstream with this very version.
    Resume(digest::Digest),
    /// Tell the caller now.
    GiveUp(GiveUp),
}

/// Why a call is not tried again; the caller is told at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUp {
    /// It may have run, and running it twice could do harm.
    MayHaveRun,
    /// Part of the answer is with the caller and no engine can carry it on.
    AnswerCut,
    /// It has had its attempts.
    Attempts,
    /// Too little time is left for another one.
    Deadline,
    /// The budget of this entry or of the failing upstream is used up.
    Budget,
}

/// Whether a failed call may be tried again, before budgets are asked.
pub fn decide(call: &FailedCall, now_ms: u64) -> Decision {
    let wanted = match (call.failure, call.resumable_on) {
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
    wanted
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    fn attempted(idempotent: bool, failure: Failure) -> FailedCall {
        FailedCall {
            idempotent,
            attempts: 1,
            failure,
            resumable_on: None,
            deadline_ms: 1_000,
            min_answer_ms: 10,
        }
    }

    macro_rules! judged {
        ($($case:ident: $call:expr => $verdict:expr,)*) => {$(
            #[googletest::test]
            fn $case() {
                expect_that!(decide(&$call, 500), eq($verdict));
            }
        )*};
    }

    judged! {
        an_unsent_transfer_goes_elsewhere: attempted(false, Failure::NotRun) => Decision::Retry,
        a_lost_read_is_repeated: attempted(true, Failure::NoAnswer) => Decision::Retry,
        a_lost_transfer_is_not_repeated:
            attempted(false, Failure::NoAnswer) => Decision::GiveUp(GiveUp::MayHaveRun),
        a_begun_answer_is_not_begun_again:
            attempted(true, Failure::Truncated) => Decision::GiveUp(GiveUp::AnswerCut),
        a_begun_answer_goes_on_with_its_version: FailedCall {
            resumable_on: Some(digest::Digest::of(b"v1")),
            ..attempted(true, Failure::Truncated)
        } => Decision::Resume(digest::Digest::of(b"v1")),
        a_begun_transfer_is_never_resumed: FailedCall {
            resumable_on: Some(digest::Digest::of(b"v1")),
            ..attempted(false, Failure::Truncated)
        } => Decision::GiveUp(GiveUp::AnswerCut),
        the_last_attempt_was_the_last: FailedCall {
            attempts: ATTEMPTS_MAX,
            ..attempted(true, Failure::NoAnswer)
        } => Decision::GiveUp(GiveUp::Attempts),
        no_time_for_another: FailedCall {
            min_answer_ms: 501,
            ..attempted(true, Failure::NoAnswer)
        } => Decision::GiveUp(GiveUp::Deadline),
    }
}
