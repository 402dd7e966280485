//! Policies under load and faults, each compared with a naive version, in a queueing model.
//!
//! Each test prints the rows that `docs/design/routing.md` and `docs/design/limits.md` quote;
//! `cargo test -p ragwortdeal_core --test policies -- --nocapture --test-threads 1` shows them.

mod admission;
mod model;
mod retries;
mod routing;
