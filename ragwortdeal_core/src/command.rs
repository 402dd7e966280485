//! Entries of the voters' log, and the state machine that they drive.

use crate::{claims, config, document};

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// A change of the configuration.
    Change(config::change::Change),
    /// A change to the claims of operations that may not be repeated.
    Operation(claims::state::TimestampedCommand),
    /// A step of the configuration that is kept as one document.
    Document(document::store::Step),
}

impl Command {
    /// A command about an operation, to be stamped by the leader.
    pub fn operation(command: claims::state::Command) -> Self {
        Self::Operation(claims::state::TimestampedCommand { now_ms: 0, command })
    }

    /// Writes the time of the log into the entry. The leader does so before it appends the entry,
    /// by [`claims::clock::LogClock`]; whatever a proposer wrote there is not believed.
    pub fn stamp(&mut self, log_now_ms: u64) {
        if let Command::Operation(stamped) = self {
            stamped.now_ms = log_now_ms;
        }
    }
}

/// What a command led to.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// A change was decided.
    Change(config::change::Decision),
    /// What became of a command about an operation.
    Operation(claims::state::Outcome),
    /// The document or the weights in force are at least as new as the step.
    Document,
}

/// The state that every voter computes from the log.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct StateMachine {
    config: config::state::State,
    claims: claims::table::ClaimTable,
    /// Absent in snapshots that were written before there were documents.
    #[serde(default)]
    documents: document::store::Store,
}

impl Default for StateMachine {
    fn default() -> Self {
        let slots = (0..=u8::MAX).map(claims::key::Slot);
        let claims = claims::table::ClaimTable::new(claims::table::TableLimits::default(), slots);
        let documents = document::store::Store::default();
        Self { config: config::state::State::default(), claims, documents }
    }
}

impl StateMachine {
    /// The configuration.
    pub fn config(&self) -> &config::state::State {
        &self.config
    }

    /// The claims of operations.
    pub fn claims(&self) -> &claims::table::ClaimTable {
        &self.claims
    }

    /// The document and the weights in force.
    pub fn documents(&self) -> &document::store::Store {
        &self.documents
    }

    /// Applies one committed entry.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        match command {
            Command::Change(change) => Outcome::Change(self.config.apply(change)),
            Command::Operation(stamped) => Outcome::Operation(self.claims.apply(stamped.clone())),
            Command::Document(step) => {
                self.documents.apply(step);
                Outcome::Document
            }
        }
    }
}
