//! Operations that may not be repeated: claims of their keys, the agent's promises, and the answers.
//!
//! `docs/design/at-most-once.md` weighs the ways to get there and gives their figures.

pub mod answer;
pub mod attempt;
pub mod clock;
pub mod key;
pub mod operation;
pub mod registry;
pub mod state;
pub mod table;
