//! Alternative topologies on the same links, for comparison with the swarm: all from the origin, a
//! chain and a binary tree, each with full knowledge and without faults except one slow machine.

use super::model;

/// Time until all instances have the version, and copies fetched from the origin.
pub struct Cost {
    pub time_ms: f64,
    pub origin_copies: f64,
}

/// Every instance fetches every chunk from the origin.
pub fn all_from_origin(setup: &model::Setup) -> Cost {
    let mut origin = model::Link::default();
    let mut last_ms = 0.0f64;
    for _ in 0..setup.chunks {
        for _ in 0..setup.instances {
            last_ms = origin.pass(0.0, setup.origin_chunk_ms());
        }
    }
    Cost { time_ms: last_ms, origin_copies: setup.instances as f64 }
}

/// Each instance forwards every chunk to `fanout` others; `slow` sends at a quarter of the rate.
pub fn tree(setup: &model::Setup, fanout: usize, slow: Option<usize>) -> Cost {
    let mut origin = model::Link::default();
    let mut up = vec![model::Link::default(); setup.instances];
    let mut last_ms = 0.0f64;
    for _ in 0..setup.chunks {
        let mut at_ms = vec![0.0; setup.instances];
        at_ms[0] = origin.pass(0.0, setup.chunk_ms as f64);
        for child in 1..setup.instances {
            let parent = (child - 1) / fanout;
            let factor = if slow == Some(parent) { 4.0 } else { 1.0 };
            at_ms[child] = up[parent].pass(at_ms[parent], setup.chunk_ms as f64 * factor);
        }
        last_ms = at_ms.into_iter().fold(last_ms, f64::max);
    }
    Cost { time_ms: last_ms, origin_copies: 1.0 }
}
