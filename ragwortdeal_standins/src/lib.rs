//! Small stand-ins for the outside systems that ragwortdeal meets.
//!
//! They speak the published protocols over loopback, can be told to fail, and count what happened
//! to them, so that a test compares what the system says with what took place. [`deployment`] runs
//! the system's own programs beside them, each on a runtime of its own, which can be killed or
//! frozen as a process can.

pub mod caller;
pub mod checkers;
pub mod deployment;
pub mod engine;
pub mod fleet;
pub mod history;
pub mod network;
pub mod origin;
pub mod peer;
pub mod process;
pub mod service;

mod http;
