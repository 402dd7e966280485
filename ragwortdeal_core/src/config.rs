//! Labels and selectors as a state machine: what operators intend, by revision.
//!
//! Committed changes are applied in the order of the voters' log and each accepted change raises
//! the revision by one. A receiver holds a [`replica::Replica`], which only moves upwards.
//! `docs/design/control-state.md` says why.

pub mod change;
pub mod delta;
pub mod intent;
pub mod object;
pub mod replica;
pub mod state;

/// Number of accepted changes so far. It is also the fencing number of orders to engines.
pub type Revision = u64;
