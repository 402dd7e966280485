//! Keeps the time of namings: tells it again while it runs, and writes into the log that it is up.
//!
//! How long ago weights were named is known in memory only, as clocks of two instances never
//! compare. Were all processes restarted, the time would begin anew and callers would get weights
//! that were superseded long before. What is in the log outlives that.

use std::{sync, time};

use ragwortdeal_core::document::store;
use rand::RngExt as _;
use tokio::sync::mpsc;

use super::{hub, steps};
use crate::voter::Event;

/// How often a voter looks whether something became due.
const LOOK: time::Duration = time::Duration::from_millis(600);

/// Longest further pause, drawn by lot. Every voter knows what is due, and mostly the first that
/// writes it spares the others the writing.
const DRAWN_MAX_MS: u64 = 400;

/// Looks for as long as the process runs.
pub(super) async fn record(hub: sync::Arc<hub::Hub>, events: mpsc::Sender<Event>) {
    while !events.is_closed() {
        let drawn_ms = rand::rng().random_range(0..=DRAWN_MAX_MS);
        tokio::time::sleep(LOOK + time::Duration::from_millis(drawn_ms)).await;
        hub.repeat_open_namings();
        for weights in hub.due_unrecorded() {
            let store::ModelVersion { model, version } = weights.clone();
            match steps::decide(&events, store::Step::Due(weights)).await {
                Ok(()) => log::info!("voter: weights {model} version={version} are due"),
                Err(reason) => {
                    log::warn!(
                        "voter: weights {model} version={version} not noted as due: {reason}"
                    );
                }
            }
        }
    }
}

/// Brings the highest number of connected entries into the log, for as long as the process runs.
pub(super) async fn record_entry_count(hub: sync::Arc<hub::Hub>, events: mpsc::Sender<Event>) {
    while !events.is_closed() {
        let drawn_ms = rand::rng().random_range(0..=DRAWN_MAX_MS);
        tokio::time::sleep(LOOK + time::Duration::from_millis(drawn_ms)).await;
        let Some(count) = hub.unrecorded_entry_count() else {
            continue;
        };
        match steps::decide(&events, store::Step::Entries(count)).await {
            Ok(()) => log::info!("voter: {count} entries are connected, which is noted"),
            Err(reason) => log::warn!("voter: {count} connected entries are not noted: {reason}"),
        }
    }
}

/// Brings verdicts on parts of prompts into the log, for as long as the process runs. Apart from
/// the namings, which must not wait where no quorum takes a verdict.
pub(super) async fn record_verdicts(hub: sync::Arc<hub::Hub>, events: mpsc::Sender<Event>) {
    while !events.is_closed() {
        let drawn_ms = rand::rng().random_range(0..=DRAWN_MAX_MS);
        tokio::time::sleep(LOOK + time::Duration::from_millis(drawn_ms)).await;
        for verdict in hub.unrecorded_verdicts() {
            let part = verdict.part.name.clone();
            if let Err(reason) = steps::decide(&events, store::Step::Isolate(verdict)).await {
                log::warn!(part = &*part; "voter: the verdict on a part is not noted: {reason}");
            }
        }
    }
}
