//! The life of one version on one instance, with a type for each stage.
//!
//! An instance that served weights of which a part is missing or wrong would give answers that no
//! check notices later. So serving can be reached only through staging, verifying and loading; a
//! step that is left out does not compile:
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
//! The whole way does compile:
//!
//! ```
//! use ragwortdeal_core::{digest, orders::weights};
//!
//! fn whole_way(
//!     announced: weights::Weights<weights::Announced>,
//!     whole: digest::Digest,
//! ) -> Option<weights::Weights<weights::Serving>> {
//!     let verified = announced.staged().verify(whole).ok()?;
//!     Some(verified.loaded().activate())
//! }
//! ```

use crate::{digest, orders::order};

/// The version is committed; its chunks are on their way.
#[derive(Debug)]
pub struct Announced(());

/// All chunks are here, each checked by its own hash.
#[derive(Debug)]
pub struct Staged(());

/// The whole has the hash that the manifest gives.
#[derive(Debug)]
pub struct Verified(());

/// The engine has loaded the whole and serves nothing on it.
#[derive(Debug)]
pub struct Loaded(());

/// New calls begin on it.
#[derive(Debug)]
pub struct Serving {
    calls: u64,
}

/// No new call begins on it; calls in progress end on it.
#[derive(Debug)]
pub struct Draining {
    calls: u64,
}

/// Weights in one stage of their life.
#[derive(Debug)]
pub struct Weights<S> {
    id: order::WeightsId,
    whole: digest::Digest,
    stage: S,
}

/// A call in progress, which ends on the weights it began on.
#[derive(Debug)]
pub struct Call {
    id: order::WeightsId,
}

impl Call {
    /// Weights that the answer is made by.
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
        Weights { id: self.id, whole: self.whole, stage }
    }
}

impl Weights<Announced> {
    /// Begins a life with the hash of the whole from the committed manifest.
    pub fn new(id: order::WeightsId, whole: digest::Digest) -> Self {
        Self { id, whole, stage: Announced(()) }
    }

    /// The last chunk has arrived.
    pub fn staged(self) -> Weights<Staged> {
        self.into_stage(Staged(()))
    }
}

impl Weights<Staged> {
    /// Compares the hash of what is staged; on a difference all chunks have to be looked at anew.
    pub fn verify(self, found: digest::Digest) -> Result<Weights<Verified>, Weights<Announced>> {
        if found == self.whole {
            return Ok(self.into_stage(Verified(())));
        }
        Err(self.into_stage(Announced(())))
    }
}

impl Weights<Verified> {
    /// The engine has confirmed the load.
    pub fn loaded(self) -> Weights<Loaded> {
        self.into_stage(Loaded(()))
    }
}

impl Weights<Loaded> {
    /// The engine has confirmed the activation.
    pub fn activate(self) -> Weights<Serving> {
        self.into_stage(Serving { calls: 0 })
    }

    /// The engine has dropped them; the staged copy stays, so that going back is quick.
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

    /// Others serve from now on.
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

    /// Goes back to loaded once no call is in progress.
    pub fn drained(self) -> Result<Weights<Loaded>, Self> {
        if self.stage.calls > 0 {
            return Err(self);
        }
        Ok(self.into_stage(Loaded(())))
    }

    /// Serves again, with the calls that are still in progress.
    pub fn resume(self) -> Weights<Serving> {
        let calls = self.stage.calls;
        self.into_stage(Serving { calls })
    }
}
