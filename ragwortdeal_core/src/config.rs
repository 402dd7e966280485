//! The configuration that operators set, as a state machine with revisions.
//!
//! Committed changes are applied in the order of the voters' log, and each accepted change raises
//! the revision by one. A receiver holds a [`replica::Replica`], whose revision only increases.
//! `docs/design/control-state.md` explains the reasons.

pub mod change;
pub mod delta;
pub mod intent;
pub mod object;
pub mod replica;
pub mod state;

/// Number of accepted changes so far. It also serves as fencing token of orders to engines.
pub type Revision = u64;
