//! Orders to the engine of one instance, and the life of weights on it.
//!
//! Only the agent beside an engine gives it orders. `docs/design/weights.md` tells how the switch
//! of a version fits into a spread.

pub mod issuer;
pub mod order;
pub mod serving_set;
pub mod switch_schedule;
pub mod weights;
