//! The lifecycle of one version on one instance, with a type for each stage.
//!
//! An instance that serves weights with missing or wrong parts would give wrong answers that no
//! later check detects. So serving can be reached only through staging, verifying and loading;
//! skipping a step does not compile:
//!
//! ```compile_fail
//! use ragwortdeal_core::orders::weights;
//!
//! fn skip(staged: weights::Weights<weights::Staged>) -> weights::Weights<weights::Serving> {
//!     staged.activate()
//! }
//! ```
//!
//! Weights on which calls are in progress cannot be unloaded either, because only
//! [`Weights::drained`] leads back from draining:
//!
//! ```compile_fail
//! use ragwortdeal_core::orders::weights;
//!
//! fn cut_off(draining: weights::Weights<weights::Draining>) -> weights::Weights<weights::Verified> {
//!     draining.unloaded()
//! }
//! ```
//!
//! The complete sequence compiles:
//!
//! ```
//! use ragwortdeal_core::{digest, orders::weights};
//!
//! fn whole_way(
//!     announced: weights::Weights<weights::Announced>,
//!     expected_digest: digest::Digest,
//! ) -> Option<weights::Weights<weights::Serving>> {
//!     let verified = announced.staged().verify(expected_digest).ok()?;
//!     Some(verified.loaded().activate())
//! }
//! ```

use crate::{digest, orders::order};

/// The version is committed; its chunks are being downloaded.
#[derive(Debug)]
pub struct Announced(());

/// All chunks are present, each verified by its own hash.
#[derive(Debug)]
pub struct Staged(());

/// The complete weights match the hash in the manifest.
#[derive(Debug)]
pub struct Verified(());

/// The engine has loaded the weights completely and does not serve them.
#[derive(Debug)]
pub struct Loaded(());

/// New calls begin on the weights.
#[derive(Debug)]
pub struct Serving {
    calls: u64,
}

/// No new call begins on the weights; calls in progress end on them.
#[derive(Debug)]
pub struct Draining {
    calls: u64,
}

/// Weights in one stage of their lifecycle.
#[derive(Debug)]
pub struct Weights<S> {
    id: order::WeightsId,
    expected_digest: digest::Digest,
    stage: S,
}

/// A call in progress, which ends on the weights it began on.
#[derive(Debug)]
pub struct Call {
    id: order::WeightsId,
}

impl Call {
    /// Weights that produce the answer.
    pub fn weights(&self) -> &order::WeightsId {
        &self.id
    }
}

impl<S> Weights<S> {
    /// Which weights these are.
    pub fn id(&self) -> &order::WeightsId {
        &self.id
    }

    fn into_stage<T>(self, stage: T) -> Weights<T> {
        Weights { id: self.id, expected_digest: self.expected_digest, stage }
    }
}

impl Weights<Announced> {
    /// Starts the lifecycle, with the hash over all weights from the committed manifest.
    pub fn new(id: order::WeightsId, expected_digest: digest::Digest) -> Self {
        Self { id, expected_digest, stage: Announced(()) }
    }

    /// Records that the last chunk has arrived.
    pub fn staged(self) -> Weights<Staged> {
        self.into_stage(Staged(()))
    }
}

impl Weights<Staged> {
    /// Compares the hash of the staged weights; if it differs, all chunks must be verified again.
    pub fn verify(self, found: digest::Digest) -> Result<Weights<Verified>, Weights<Announced>> {
        if found == self.expected_digest {
            return Ok(self.into_stage(Verified(())));
        }
        Err(self.into_stage(Announced(())))
    }
}

impl Weights<Verified> {
    /// Records that the engine has confirmed the load.
    pub fn loaded(self) -> Weights<Loaded> {
        self.into_stage(Loaded(()))
    }
}

impl Weights<Loaded> {
    /// Records that the engine has confirmed the activation.
    pub fn activate(self) -> Weights<Serving> {
        self.into_stage(Serving { calls: 0 })
    }

    /// Records that the engine has unloaded them; the staged copy stays for a fast return.
    pub fn unloaded(self) -> Weights<Verified> {
        self.into_stage(Verified(()))
    }
}

impl Weights<Serving> {
    /// Begins a call on these weights.
    pub fn begin_call(&mut self) -> Call {
        self.stage.calls += 1;
        Call { id: self.id.clone() }
    }

    /// Ends a call that began here; a call of other weights is handed back.
    pub fn end_call(&mut self, call: Call) -> Result<(), Call> {
        if call.id != self.id {
            return Err(call);
        }
        self.stage.calls -= 1;
        Ok(())
    }

    /// Stops new calls, because other weights serve from now on.
    pub fn drain(self) -> Weights<Draining> {
        let calls = self.stage.calls;
        self.into_stage(Draining { calls })
    }
}

impl Weights<Draining> {
    /// Ends a call that began here; a call of other weights is handed back.
    pub fn end_call(&mut self, call: Call) -> Result<(), Call> {
        if call.id != self.id {
            return Err(call);
        }
        self.stage.calls -= 1;
        Ok(())
    }

    /// Returns to the loaded stage if no call is in progress.
    pub fn drained(self) -> Result<Weights<Loaded>, Self> {
        if self.stage.calls > 0 {
            return Err(self);
        }
        Ok(self.into_stage(Loaded(())))
    }

    /// Serves again, keeping the calls that are still in progress.
    pub fn resume(self) -> Weights<Serving> {
        let calls = self.stage.calls;
        self.into_stage(Serving { calls })
    }
}
