//! Orders to the engine of one instance, and the lifecycle of weights on it.
//!
//! Only the agent next to an engine issues orders to it. `docs/design/weights.md` describes how the
//! switch to a version fits into its distribution.

pub mod issuer;
pub mod load_proof;
pub mod order;
pub mod outstanding;
pub mod serving_set;
pub mod switch_schedule;
pub mod weights;
