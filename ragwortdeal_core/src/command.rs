//! Entries of the voters' log, and the state machine that they drive.

use std::collections;

use crate::{config, digest};

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// A change of the configuration.
    Change(config::change::Change),
    /// Claims an operation's key before its call leaves the entry.
    Claim {
        /// Digest of account, service and key.
        operation: digest::Digest,
        /// Digest of the request's body.
        body: digest::Digest,
    },
    /// Records the answer of a claimed operation.
    Record {
        /// Digest of account, service and key.
        operation: digest::Digest,
        /// The upstream's answer.
        answer: Answer,
    },
}

/// An operation's answer, kept for resends.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// What a command led to.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// A change was decided.
    Change(config::change::Decision),
    /// The key is claimed for this call.
    Granted,
    /// The key was claimed before and its outcome is not known.
    InDoubt,
    /// The operation ran; here is its answer.
    Recorded(Answer),
    /// The key was claimed before for another body.
    BodyMismatch,
}

#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
struct Claim {
    body: digest::Digest,
    answer: Option<Answer>,
}

/// The state that every voter computes from the log.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct Machine {
    config: config::state::State,
    claims: collections::BTreeMap<digest::Digest, Claim>,
}

impl Machine {
    /// The configuration.
    pub fn config(&self) -> &config::state::State {
        &self.config
    }

    /// Applies one committed entry.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        match command {
            Command::Change(change) => Outcome::Change(self.config.apply(change)),
            Command::Claim { operation, body } => self.claim(*operation, *body),
            Command::Record { operation, answer } => self.record(*operation, answer),
        }
    }

    fn claim(&mut self, operation: digest::Digest, body: digest::Digest) -> Outcome {
        match self.claims.get(&operation) {
            None => {
                self.claims.insert(operation, Claim { body, answer: None });
                Outcome::Granted
            }
            Some(held) if held.body != body => Outcome::BodyMismatch,
            Some(Claim { answer: Some(answer), .. }) => Outcome::Recorded(answer.clone()),
            Some(Claim { answer: None, .. }) => Outcome::InDoubt,
        }
    }

    fn record(&mut self, operation: digest::Digest, answer: &Answer) -> Outcome {
        let Some(held) = self.claims.get_mut(&operation) else {
            return Outcome::InDoubt;
        };
        Outcome::Recorded(held.answer.get_or_insert_with(|| answer.clone()).clone())
    }
}
