//! Which requests a process that is about to stop may still pass on.
//!
//! Callers keep their connections up to the end of a planned stop, and a body can be complete at any
//! moment of it. A request that is passed on too late for its answer is cut when the process ends,
//! and its caller cannot tell whether it ran.

/// What is known of a request whose body is complete.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Time until its caller or its route's timeout ends it, in milliseconds.
    pub remaining_ms: u64,
    /// For how long the caller of a stream waits for an event, in milliseconds; `None` if the answer
    /// is no stream. A stream that has begun can be resumed by its caller elsewhere.
    pub first_event_ms: Option<u64>,
}

/// Whether a request may be passed on by a process that ends in `rest_ms` milliseconds.
pub fn admits(candidate: Candidate, rest_ms: u64) -> bool {
    let needed_ms = candidate.first_event_ms.unwrap_or(u64::MAX).min(candidate.remaining_ms);
    rest_ms >= needed_ms
}
