//! How entries and agents speak about attempts at operations: headers of calls, questions, answers.

use hyper::header;
use ragwortdeal_core::claims::{answer, attempt, key, registry};

/// Header with the attempt that a call makes.
const ATTEMPT: &str = "x-ragwortdeal-attempt";

/// Header with the life of the agent that the attempt is meant for.
const INCARNATION: &str = "x-ragwortdeal-incarnation";

/// Header with the operation that the attempt is at.
const OPERATION: &str = "x-ragwortdeal-operation";

/// Header with what is asked about an attempt.
const QUESTION: &str = "x-ragwortdeal-question";

/// All of them; none is passed on to the upstream.
pub(crate) const HEADERS: [&str; 4] = [ATTEMPT, INCARNATION, OPERATION, QUESTION];

/// Path of an agent that takes questions.
pub(crate) const QUESTIONS_PATH: &str = "/internal/attempts";

/// Media type of answers about attempts.
pub(crate) const CBOR: &str = "application/cbor";

/// Largest answer about an attempt, which can hold an upstream's answer.
pub(crate) const ANSWER_MAX_BYTES: usize = 2 << 20;

/// An attempt at an operation and the life of the agent that it is meant for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Addressed {
    pub(crate) operation: key::OperationId,
    pub(crate) attempt: attempt::AttemptId,
    pub(crate) incarnation: attempt::Incarnation,
}

impl Addressed {
    /// Whether a call belongs to an operation.
    pub(crate) fn is_named_in(headers: &header::HeaderMap) -> bool {
        headers.contains_key(ATTEMPT)
    }

    /// Reads the attempt of a call, `None` where a header is missing or malformed.
    pub(crate) fn read(headers: &header::HeaderMap) -> Option<Self> {
        let text = |name: &str| headers.get(name)?.to_str().ok();
        Some(Self {
            operation: key::OperationId::parse(text(OPERATION)?).ok()?,
            attempt: text(ATTEMPT)?.parse().ok()?,
            incarnation: attempt::Incarnation(text(INCARNATION)?.parse().ok()?),
        })
    }

    /// Writes the attempt into the headers of a call.
    pub(crate) fn write(&self, headers: &mut header::HeaderMap) {
        let fields = [
            (OPERATION, self.operation.to_string()),
            (ATTEMPT, self.attempt.to_string()),
            (INCARNATION, self.incarnation.0.to_string()),
        ];
        for (name, text) in fields {
            let value = text.parse().expect("checked names and numbers make valid headers");
            headers.insert(name, value);
        }
    }
}

/// What an entry asks an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Question {
    /// What it knows of the attempt.
    Inspect,
    /// To promise never to start the attempt, or what it knows if that comes too late.
    Promise,
    /// To let the attempt go, since its outcome stands in the log.
    Acknowledge,
}

impl Question {
    const NAMES: [(Self, &str); 3] = [
        (Self::Inspect, "inspect"),
        (Self::Promise, "promise"),
        (Self::Acknowledge, "acknowledge"),
    ];

    /// Reads the question from the headers of a request.
    pub(crate) fn read(headers: &header::HeaderMap) -> Option<Self> {
        let text = headers.get(QUESTION)?.to_str().ok()?;
        Self::NAMES.iter().find(|(_, name)| *name == text).map(|(question, _)| *question)
    }

    /// Writes the question into the headers of a request.
    pub(crate) fn write(self, headers: &mut header::HeaderMap) {
        let name = Self::NAMES.iter().find(|(question, _)| *question == self);
        let (_, name) = name.expect("all questions have a name");
        headers.insert(QUESTION, header::HeaderValue::from_static(name));
    }
}

/// What an agent answers to the call of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) enum Report {
    /// It did not start the attempt.
    Refused(registry::StartRefusal),
    /// It started the attempt, and this came of it.
    Knows(registry::AttemptStatus),
}

/// An answer that an agent offers to any entry, because the one that waited for it may be gone.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) struct LateAnswer {
    pub(crate) operation: key::OperationId,
    pub(crate) attempt: attempt::AttemptId,
    pub(crate) answer: answer::Answer,
}

/// Encodes a message between own processes.
pub(crate) fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("own types encode into memory");
    bytes
}

/// Decodes a message of an own process.
pub(crate) fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
