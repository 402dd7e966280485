//! Leases of upstreams and entries, and the deltas and summaries that spread them.
