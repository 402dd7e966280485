//! What a process accepts from peers that it does not control, within its memory and descriptors.
//!
//! `docs/design/inbound.md` tells who holds what and how the parts add up.

pub mod body_memory;
pub mod capacity;
pub mod connections;
