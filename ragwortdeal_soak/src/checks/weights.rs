//! Checks the chunks of weights on which requests run.

use ragwortdeal_standins::fleet::origin;

use crate::history::{Arrived, History};

/// Version of the weights with which engines start. Their chunks are not recorded.
pub const FIRST: u64 = 1;

type Hash = [u8; 32];

/// Requests that ran on weights that were loaded in the run.
pub fn on_loaded(history: &History) -> usize {
    history.arrived.iter().filter(|it| !it.ran_on_chunks.is_empty()).count()
}

/// Whether an entry was in touch makes no difference: no disturbance excuses mixed weights.
pub(super) fn mixed(history: &History) -> Vec<String> {
    let ran_on = history.arrived.iter().filter_map(|it| it.ran_on);
    // Chunks of weights whose naming is not acknowledged yet may be staged.
    let newest = ran_on.chain(history.named.keys().copied()).max().unwrap_or(0) + 1;
    let versions: Vec<_> = (0..=newest).map(origin::hashes).collect();
    history.arrived.iter().filter_map(|it| fault(it, &versions)).collect()
}

fn fault(arrived: &Arrived, versions: &[Vec<Hash>]) -> Option<String> {
    let (ran_on, chunks) = (arrived.ran_on?, &arrived.ran_on_chunks);
    let unrecorded = chunks.is_empty() && ran_on <= FIRST;
    if unrecorded || versions.get(ran_on as usize) == Some(chunks) {
        return None;
    }
    let version = |hash| versions.iter().position(|hashes| hashes.contains(hash));
    let of: Vec<_> = chunks.iter().map(version).collect();
    let (id, engine, at_ms) = (&arrived.id, &arrived.engine, arrived.at_ms);
    Some(format!("{id} ran at {engine} on {ran_on} at {at_ms} ms, with chunks of {of:?}"))
}
