//! Runs the programs of a fleet as processes on loopback addresses, disturbs them from outside, and
//! checks what callers, engines and the operator see against what the system promises.
//!
//! `docs/operators/soak.md` tells how it is run and what it checks.

pub mod callers;
pub mod checks;
pub mod engines;
pub mod fleet;
pub mod history;
pub mod operator;
pub mod proxy;
pub mod record;
pub mod regressions;
pub mod run;
pub mod schedule;
pub mod verdict;
