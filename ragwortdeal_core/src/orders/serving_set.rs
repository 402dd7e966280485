//! The weights that serve or drain on one instance, and the calls in progress on them.

use std::mem;

use crate::orders::{order, weights};

/// Why a call cannot begin here.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
pub enum BeginCallError {
    /// No weights serve yet.
    #[snafu(display("no version serves on this instance"))]
    NothingServes,
    /// The entry selected this instance for another version.
    #[snafu(display("another version serves on this instance"))]
    OtherVersion {
        /// The weights that serve.
        serving: Box<order::WeightsId>,
    },
}

/// The weights that serve and those that drain.
#[derive(Debug, Default)]
pub struct ServingSet {
    serving: Option<weights::Weights<weights::Serving>>,
    draining: Vec<weights::Weights<weights::Draining>>,
}

impl ServingSet {
    /// Weights on which new calls begin.
    pub fn serving(&self) -> Option<&order::WeightsId> {
        self.serving.as_ref().map(weights::Weights::id)
    }

    /// Starts to serve these weights; those that served before begin to drain.
    pub fn switch(&mut self, next: weights::Weights<weights::Loaded>) {
        let former = self.serving.replace(next.activate());
        self.draining.extend(former.map(weights::Weights::drain));
    }

    /// Switches back to weights that are still draining; returns whether there were any.
    pub fn switch_back(&mut self, id: &order::WeightsId) -> bool {
        let Some(index) = self.draining.iter().position(|weights| weights.id() == id) else {
            return false;
        };
        let next = self.draining.swap_remove(index).resume();
        let former = self.serving.replace(next);
        self.draining.extend(former.map(weights::Weights::drain));
        true
    }

    /// Begins a call if the serving weights are those that the entry expects.
    ///
    /// The entry selected this instance by an announcement that may be outdated. Without the check,
    /// a call could begin on a version that its selector does not allow.
    pub fn begin_call(
        &mut self,
        expected: &order::WeightsId,
    ) -> Result<weights::Call, BeginCallError> {
        let serving = self.serving.as_mut().ok_or(BeginCallError::NothingServes)?;
        if serving.id() != expected {
            return Err(BeginCallError::OtherVersion { serving: Box::new(serving.id().clone()) });
        }
        Ok(serving.begin_call())
    }

    /// Ends a call on the weights it began on.
    pub fn end_call(&mut self, call: weights::Call) {
        let mut open_call = Some(call);
        if let Some(serving) = self.serving.as_mut() {
            open_call = open_call.and_then(|call| serving.end_call(call).err());
        }
        for draining in &mut self.draining {
            open_call = open_call.and_then(|call| draining.end_call(call).err());
        }
    }

    /// Whether calls are or may be in progress on these weights.
    pub fn is_in_use(&self, id: &order::WeightsId) -> bool {
        self.serving() == Some(id) || self.draining.iter().any(|weights| weights.id() == id)
    }

    /// Removes and returns drained weights without calls in progress, to be unloaded or kept.
    pub fn take_drained(&mut self) -> Vec<weights::Weights<weights::Loaded>> {
        let mut drained = Vec::new();
        for weights in mem::take(&mut self.draining) {
            match weights.drained() {
                Ok(loaded) => drained.push(loaded),
                Err(busy) => self.draining.push(busy),
            }
        }
        drained
    }
}
