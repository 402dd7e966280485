//! The configuration as the state that relay trees pass on.

use ragwortdeal_core::{
    config::{delta, replica},
    relay::{self, payload},
};
use snafu::Snafu;

/// Why a step or snapshot was not taken.
#[derive(Debug, Snafu)]
pub enum RelayError {
    /// The payload is not what this version writes.
    #[snafu(display("read payload: it is no configuration"))]
    Unreadable,
    /// The configuration refused it.
    #[snafu(display("apply: {source}"), context(false))]
    Refused {
        /// Why.
        source: replica::ApplyError,
    },
    /// It leads elsewhere than it says.
    #[snafu(display("apply: leads to another position than announced"))]
    OtherPosition,
}

/// A receiver's configuration behind the relay's view of it.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    replica: replica::Replica,
}

impl Configuration {
    /// The configuration itself.
    pub fn replica(&self) -> &replica::Replica {
        &self.replica
    }
}

/// A step of the voters' log as the relay passes it on.
pub fn step(delta: &delta::Delta) -> relay::Delta {
    let revision = delta.from_revision + delta.steps.len() as relay::Revision;
    relay::Delta {
        from: delta.from_revision,
        to: relay::Position { revision, digest: delta.digest },
        payload: encode(&delta.steps),
    }
}

fn encode(value: &impl serde::Serialize) -> payload::Payload {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("own types encode into memory");
    payload::Payload::new(bytes)
}

fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, RelayError> {
    ciborium::from_reader(bytes).map_err(|_| RelayError::Unreadable)
}

impl relay::State for Configuration {
    type Error = RelayError;

    fn position(&self) -> relay::Position {
        let digest = self.replica.digest().value();
        relay::Position { revision: self.replica.revision(), digest }
    }

    fn apply(&mut self, step: &relay::Delta) -> Result<(), RelayError> {
        let steps: Vec<delta::Step> = decode(&step.payload)?;
        if step.from + steps.len() as relay::Revision != step.to.revision {
            return Err(RelayError::OtherPosition);
        }
        let delta = delta::Delta { from_revision: step.from, steps, digest: step.to.digest };
        self.replica.apply(&delta::Update::Delta(delta))?;
        Ok(())
    }

    fn snapshot(&self) -> payload::Payload {
        encode(&self.replica.objects().iter().collect::<Vec<_>>())
    }

    fn install(&mut self, position: &relay::Position, snapshot: &[u8]) -> Result<(), RelayError> {
        let &relay::Position { revision, digest } = position;
        let snapshot = delta::Snapshot { revision, objects: decode(snapshot)?, digest };
        let mut fresh = replica::Replica::default();
        fresh.apply(&delta::Update::Snapshot(snapshot))?;
        self.replica = fresh;
        Ok(())
    }
}
