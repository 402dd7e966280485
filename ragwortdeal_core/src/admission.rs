//! Fair shares, queues bounded by time, and typed refusals for callers' requests.
