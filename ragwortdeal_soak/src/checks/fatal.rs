//! Checks how far requests are sent on which engines end.

use std::collections;

use crate::history::{Arrived, History, Kind};

/// In the path of each such request.
pub const PATH: &str = "/fatal-";
/// Engines that may end under one request.
const ENDS: usize = 3;
/// Milliseconds in which an end becomes known to all entries.
const KNOWN_MS: u64 = 500;

/// Path of a request on which engines end.
pub fn path(kind: Kind, request: u8) -> String {
    let route = match kind {
        Kind::Read => "read",
        Kind::Transfer => "transfer",
        Kind::Stream => "stream",
    };
    format!("/{route}{PATH}{request}")
}

pub(super) fn sent_on(history: &History) -> Vec<String> {
    let mut runs = collections::BTreeMap::<&str, Vec<&Arrived>>::new();
    for (arrived, _) in history.runs().filter(|(arrived, _)| arrived.path.contains(PATH)) {
        runs.entry(&arrived.path).or_default().push(arrived);
    }
    let mut found = Vec::new();
    for (path, mut arrived) in runs {
        arrived.sort_by_key(|it| it.at_ms);
        let (Some(first), Some(third)) = (arrived.first(), arrived.get(ENDS - 1)) else {
            continue;
        };
        let later = arrived[ENDS..].iter().filter(|it| {
            it.at_ms > third.at_ms + KNOWN_MS
                && history.processes_undisturbed(first.at_ms, it.at_ms)
        });
        found.extend(later.map(|it| format!("{path} reached {} as {}", it.engine, it.id)));
    }
    found
}
