//! Life cycle of weights on one instance and the fenced orders to its engine.
