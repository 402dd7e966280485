//! A fleet on loopback: voters, entries and agents as library tasks, with stand-ins for upstreams,
//! the origin of weights and the operator. Each process has a loopback address of its own.

pub mod caller;
pub mod engine;
pub mod operator;
pub mod origin;
pub mod process;
pub mod raw;
pub mod world;
