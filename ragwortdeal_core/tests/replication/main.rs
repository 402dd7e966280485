//! Randomised simulation of the replicated log, and tests of single failures.

mod checks;
mod exploration;
mod failures;
mod injected_faults;
mod node;
mod simulation;
