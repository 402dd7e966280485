//! Which process of an availability zone passes configuration deltas on to which.
