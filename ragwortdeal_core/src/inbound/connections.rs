//! Chooses the connection to close when a listener has no place for another one.
//!
//! The load that this answers: more connections than a process can hold, most of which send nothing,
//! stop in the middle of a head, or take no answer. Those at work are kept.

/// Time in a phase after which a connection gives way before one that was kept after an answer: a
/// head takes a round trip.
const HEAD_USUAL_MS: u64 = 1_000;

/// Time without progress after which an answer counts as one that its caller does not take.
const ANSWER_STALLED_MS: u64 = 5_000;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has sent nothing yet.
    Silent,
    /// A part of a head has come.
    Head,
    /// A request is read or served.
    Working,
    /// An answer waits for the caller to take it.
    AnswerBlocked,
    /// It is kept after an answer.
    Idle,
    /// It is answered, and what it still sends is discarded.
    Draining,
}

/// How early a connection gives way, the first of them first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Silent,
    Draining,
    LateHead,
    Idle,
    Head,
    AnswerStalled,
}

fn rank(phase: Phase, phase_ms: u64) -> Option<Rank> {
    match phase {
        Phase::Silent => Some(Rank::Silent),
        Phase::Draining => Some(Rank::Draining),
        Phase::Head if phase_ms >= HEAD_USUAL_MS => Some(Rank::LateHead),
        Phase::Head => Some(Rank::Head),
        Phase::Idle => Some(Rank::Idle),
        Phase::AnswerBlocked if phase_ms >= ANSWER_STALLED_MS => Some(Rank::AnswerStalled),
        Phase::AnswerBlocked | Phase::Working => None,
    }
}

/// The connection that gives way to a new one, of those given by key, phase and milliseconds in it.
/// None where all are at work.
pub fn choose_to_close<K>(connections: impl Iterator<Item = (K, Phase, u64)>) -> Option<K> {
    let ranked = connections.filter_map(|(key, phase, phase_ms)| {
        Some((rank(phase, phase_ms)?, std::cmp::Reverse(phase_ms), key))
    });
    let first = ranked.min_by_key(|(rank, longest_first, _)| (*rank, *longest_first));
    first.map(|(_, _, key)| key)
}
