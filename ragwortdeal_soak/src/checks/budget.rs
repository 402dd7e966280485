//! Checks how often requests are sent again.

use std::collections;

use crate::history::{Arrived, History, Sent};

/// Repeats that a window may hold for each request of a service.
pub const RATIO: f64 = 0.02;
/// Repeats that a window may hold beside these.
pub const ALLOWANCE: f64 = 9.0;
/// Length of a window in milliseconds.
pub const WINDOW_MS: u64 = 10_000;

/// Requests for a service and arrivals beyond the first of each, in the order of time.
#[derive(Default)]
struct Service {
    sent_ms: Vec<u64>,
    repeats_ms: Vec<u64>,
}

/// Requests count for the service that they reached first. Those that reached none are left out, so
/// that a window allows rather less.
fn services(history: &History) -> collections::BTreeMap<&str, Service> {
    let mut arrivals: Vec<(&Arrived, &Sent)> = history.arrivals().collect();
    arrivals.sort_by_key(|(arrived, _)| arrived.at_ms);
    let mut services = collections::BTreeMap::<&str, Service>::new();
    let mut seen = collections::BTreeSet::new();
    for (arrived, sent) in arrivals {
        let service = services.entry(&arrived.service).or_default();
        match seen.insert(&arrived.id) {
            true => service.sent_ms.push(sent.at_ms),
            false => service.repeats_ms.push(arrived.at_ms),
        }
    }
    services.values_mut().for_each(|service| service.sent_ms.sort_unstable());
    services
}

fn within(times_ms: &[u64], from_ms: u64) -> usize {
    let before = |bound_ms: u64| times_ms.partition_point(|at_ms| *at_ms < bound_ms);
    before(from_ms + WINDOW_MS) - before(from_ms)
}

/// The first window with more repeats than are allowed.
fn excess(name: &str, service: &Service) -> Option<String> {
    service.repeats_ms.iter().find_map(|from_ms| {
        let earlier = [0, WINDOW_MS / 2, WINDOW_MS].map(|ms| from_ms.saturating_sub(ms));
        let requests = earlier.map(|from_ms| within(&service.sent_ms, from_ms));
        let requests = requests.into_iter().max().unwrap_or_default();
        let repeats = within(&service.repeats_ms, *from_ms);
        let is_over = repeats as f64 > RATIO * requests as f64 + ALLOWANCE;
        is_over.then(|| format!("{repeats} for {requests} at {name} from {from_ms} ms on"))
    })
}

pub(super) fn repeated(history: &History) -> Vec<String> {
    services(history).iter().filter_map(|(name, service)| excess(name, service)).collect()
}
