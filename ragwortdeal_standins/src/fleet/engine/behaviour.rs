//! What a stand-in for an upstream does with requests, and what it asks in its answers.

/// What the engine does with requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Behaviour {
    /// Answers.
    Good,
    /// Takes a request and never answers.
    Hang,
    /// Says that it did not run the request.
    Shed,
    /// Runs a request and closes the connection without an answer.
    LoseAnswer,
    /// Breaks a stream off in the middle of the event with this number.
    CutWithin(u64),
    /// Answers with the identifier of another request.
    OtherAnswer,
    /// Answers with this status.
    Fail(u16),
    /// Answers with a body without end, which holds no whole event.
    Endless,
    /// Answers every second request with this status, so that it is never avoided for long.
    FailEverySecond(u16),
}

impl Behaviour {
    /// What it means for a request with this number.
    pub(super) fn at(&self, index: usize) -> Self {
        match self {
            Self::FailEverySecond(_) if index.is_multiple_of(2) => Self::Good,
            Self::FailEverySecond(status) => Self::Fail(*status),
            behaviour => behaviour.clone(),
        }
    }
}

/// What an engine asks in its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Asks {
    /// Requests a second that it takes from all entries together.
    pub limit_per_s: Option<f64>,
    /// Seconds of pause that it asks for; it then turns each request away.
    pub pause_s: Option<f64>,
    /// Whether it says that it leaves.
    pub leaving: bool,
}
