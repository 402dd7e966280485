//! At-most-once execution of operations: claims of their keys, the agent's promises, and recorded
//! answers.
//!
//! `docs/design/at-most-once.md` compares the alternatives and gives measurements.

pub mod answer;
pub mod attempt;
pub mod clock;
pub mod key;
pub mod operation;
pub mod registry;
pub mod state;
pub mod table;
