//! At-most-once operations: durable claims of keys and their recorded outcomes.
