//! Commands in the voters' replicated log, and the state machine that applies them.

use crate::{claims, config, document};

/// A command in the log.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// A change of the configuration.
    Change(config::change::Change),
    /// A change of the claims on operations that must not run twice.
    Operation(claims::state::TimestampedCommand),
    /// A change of the configuration document or of the versions in force.
    Document(document::store::Step),
}

impl Command {
    /// A command about an operation, which the leader timestamps.
    pub fn operation(command: claims::state::Command) -> Self {
        Self::Operation(claims::state::TimestampedCommand { now_ms: 0, command })
    }

    /// Sets the log time of the command. The leader does so before it appends the command, by
    /// [`claims::clock::LogClock`]; a time set by the proposer is overwritten.
    pub fn stamp(&mut self, log_now_ms: u64) {
        if let Command::Operation(stamped) = self {
            stamped.now_ms = log_now_ms;
        }
    }
}

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// Decision on a change of the configuration.
    Change(config::change::Decision),
    /// Result of a command about an operation.
    Operation(claims::state::Outcome),
    /// The document or the weights in force are now at least as new as those of the command.
    Document,
}

/// The state that every voter derives from the log.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct StateMachine {
    config: config::state::State,
    claims: claims::table::ClaimTable,
    /// Absent from snapshots written by versions that did not support documents.
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

    /// Applies one committed command.
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
