//! The versions that serve or drain on one instance, and the calls in progress on them.

use std::mem;

use crate::orders::{order, weights};

/// Why a call cannot begin here.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
pub enum BeginCallError {
    /// Nothing serves yet.
    #[snafu(display("no version serves on this instance"))]
    NothingServes,
    /// The entry chose this instance for another version.
    #[snafu(display("another version serves on this instance"))]
    OtherVersion {
        /// What serves.
        serving: Box<order::WeightsId>,
    },
}

/// What serves and what drains.
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

    /// Lets new calls begin on these weights; those that served begin to drain.
    pub fn switch(&mut self, next: weights::Weights<weights::Loaded>) {
        let former = self.serving.replace(next.activate());
        self.draining.extend(former.map(weights::Weights::drain));
    }

    /// Goes back to weights that still drain; says whether there were any.
    pub fn switch_back(&mut self, id: &order::WeightsId) -> bool {
        let Some(index) = self.draining.iter().position(|weights| weights.id() == id) else {
            return false;
        };
        let next = self.draining.swap_remove(index).resume();
        let former = self.serving.replace(next);
        self.draining.extend(former.map(weights::Weights::drain));
        true
    }

    /// Begins a call, if what serves is what the entry expects.
    ///
    /// The entry picked this instance by an announcement that may be old. Without the check a call
    /// could begin on a version that its selector does not allow.
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
        let mut rest = Some(call);
        if let Some(serving) = self.serving.as_mut() {
            rest = rest.and_then(|call| serving.end_call(call).err());
        }
        for draining in &mut self.draining {
            rest = rest.and_then(|call| draining.end_call(call).err());
        }
    }

    /// Whether a call is or may be in progress on these weights.
    pub fn is_in_use(&self, id: &order::WeightsId) -> bool {
        self.serving() == Some(id) || self.draining.iter().any(|weights| weights.id() == id)
    }

    /// Takes out what no call uses any more, to be unloaded or kept.
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
