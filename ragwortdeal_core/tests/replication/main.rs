//! Seeded exploration of the replicated log, and its focused failure tests.

mod checks;
mod exploration;
mod failures;
mod node;
mod planted;
mod world;
