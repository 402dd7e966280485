//! Keeps the engine on the version that is intended.
//!
//! One loop looks at what is intended and what the engine says, and takes the next step: fetch,
//! check what is staged, order, wait. Whatever fails is looked at anew in the next turn.

use std::{sync, time};

use bytes::Bytes;
use ragwortdeal_core::spread::manifest;

use super::{Agent, origin};
use crate::fleet::dialect;

/// Pause between two looks while there is nothing to do.
const PAUSE: time::Duration = time::Duration::from_millis(150);

/// Pause between two looks while the engine loads.
const LOADING_PAUSE: time::Duration = time::Duration::from_millis(40);

/// Time that entries get to stop sending before the engine is ordered to load: a few times the
/// way of a notice over a voter.
const QUIET: time::Duration = time::Duration::from_millis(30);

/// Longest time for which one order is waited for. An engine finishes its answers first.
const LOAD: time::Duration = time::Duration::from_secs(12);

/// Times that a staged chunk is staged anew before the order is put off.
const STAGE_TRIES: u32 = 3;

/// Earliest start of the switches after weights were named, while others still fetch.
const SWITCHES_BEGIN_MS: u64 = 2_500;

/// The last switch begins this long before the bound, so that a request that was on its way still
/// begins in time.
const SWITCHES_END_MARGIN_MS: u64 = 2_800;

/// Version that engines hold before any is named.
const FIRST_VERSION: u64 = 1;

/// Looks after the engine for as long as the process runs.
pub(super) async fn run(agent: sync::Arc<Agent>) {
    let mut told = agent.told.subscribe();
    loop {
        agent.look().await;
        tokio::select! {
            () = tokio::time::sleep(PAUSE) => (),
            () = agent.spread.wait() => (),
            _ = told.changed() => (),
        }
    }
}

impl Agent {
    /// The weights that the engine is to serve, and when they were named.
    fn intended(&self) -> Option<(origin::Weights, Option<u64>)> {
        let told = self.told.borrow();
        let document = told.document.as_ref()?;
        let engine = document.service(&self.service)?.engine.as_ref()?;
        let model = engine.models.first()?.to_string();
        let named = told.named.get(&model).copied();
        let version = named.map_or(FIRST_VERSION, |(version, _)| version.max(FIRST_VERSION));
        Some((origin::Weights { model, version }, named.map(|(_, heard_ms)| heard_ms)))
    }

    async fn look(self: &sync::Arc<Self>) {
        let Some((weights, named_ms)) = self.intended() else {
            return;
        };
        let Some(report) = self.report().await else {
            return;
        };
        let serving = held(&report, &weights.model);
        if report.busy {
            return;
        }
        self.say(serving, serving > 0);
        if self.spread.listed(&weights).is_none() || self.spread.doubts_manifest() {
            let doubted = self.spread.doubts_manifest();
            let Some(listed) = self.manifest(&weights, doubted).await else {
                return;
            };
            let kept = self.kept(&weights, &listed.manifest).await;
            self.begin(weights.clone(), listed, kept);
        }
        let begins = self.switch_at_ms(named_ms, serving);
        if serving < weights.version
            && self.spread.is_complete(&weights)
            && self.clock.now_ms() >= begins
        {
            self.switch(&weights, &report).await;
        }
    }

    /// When the switch may begin. Engines that serve an older version switch one after the other,
    /// so that most of them take work at any time; one that serves nothing switches at once.
    fn switch_at_ms(&self, named_ms: Option<u64>, serving: u64) -> u64 {
        let Some(named_ms) = named_ms.filter(|_| serving > 0) else {
            return 0;
        };
        let seats = self.seats();
        let own = self.settings.fleet.address;
        let earlier = seats.keys().filter(|address| **address < own).count() as u64;
        let count = seats.len() as u64 + 1;
        let bound_ms = self.settings.bounds.weights_ms;
        let span_ms = bound_ms.saturating_sub(SWITCHES_BEGIN_MS + SWITCHES_END_MARGIN_MS);
        named_ms + SWITCHES_BEGIN_MS + span_ms * earlier / count
    }

    /// Chunks that are staged at the engine and fit the manifest.
    async fn kept(
        &self,
        weights: &origin::Weights,
        manifest: &manifest::Manifest,
    ) -> Vec<(manifest::VerifiedChunk, Bytes)> {
        let mut kept = Vec::new();
        let max_bytes = manifest.chunk_bytes() as usize + 1;
        for chunk in 0..manifest.chunks().len() as u32 {
            let Some(bytes) = self.staged(&weights.model, chunk, max_bytes).await else {
                break;
            };
            if let Ok(proof) = manifest.verify_chunk(chunk, &bytes) {
                kept.push((proof, bytes));
            }
        }
        kept
    }

    /// Brings the engine to the version. The order goes out only after everything that is staged
    /// was read back: staged bytes rot, and an engine loads them without a look.
    async fn switch(
        self: &sync::Arc<Self>,
        weights: &origin::Weights,
        report: &dialect::EngineReport,
    ) {
        let Some(listed) = self.spread.listed(weights) else {
            return;
        };
        if !self.check_staged(weights, &listed.manifest).await {
            log::warn!("agent: {weights:?} is not whole where it is staged, tried again");
            return;
        }
        let serving = held(report, &weights.model);
        self.say(serving, false);
        if serving > 0 {
            tokio::time::sleep(QUIET).await;
        }
        let status = self.order_load(&weights.model, weights.version, report.orders).await;
        log::info!("agent: ordered {weights:?}, status={status:?}");
        self.await_load(weights, report.orders).await;
    }

    /// Reads all staged chunks back, and stages those anew that are missing or spoilt.
    async fn check_staged(&self, weights: &origin::Weights, manifest: &manifest::Manifest) -> bool {
        let max_bytes = manifest.chunk_bytes() as usize + 1;
        for chunk in 0..manifest.chunks().len() as u32 {
            let mut tries = 0;
            loop {
                let staged = self.staged(&weights.model, chunk, max_bytes).await;
                if staged.is_some_and(|bytes| manifest.verify_chunk(chunk, &bytes).is_ok()) {
                    break;
                }
                tries += 1;
                let Some(bytes) = self.spread.chunk(chunk).filter(|_| tries <= STAGE_TRIES) else {
                    return false;
                };
                log::info!("agent: chunk {chunk} of {weights:?} is staged anew");
                self.stage(&weights.model, chunk, bytes).await;
            }
        }
        true
    }

    /// Waits until the engine serves the version or is done with the order otherwise. An order
    /// whose answer was lost shows in the engine's count of orders.
    async fn await_load(&self, weights: &origin::Weights, orders: u64) {
        let begun = time::Instant::now();
        while begun.elapsed() < LOAD {
            if let Some(report) = self.report().await {
                let serving = held(&report, &weights.model);
                if !report.busy && serving >= weights.version {
                    return self.say(serving, true);
                }
                let refused = !report.busy && report.orders == orders;
                if refused && begun.elapsed() > PAUSE {
                    return;
                }
            }
            tokio::time::sleep(LOADING_PAUSE).await;
        }
        log::warn!("agent: the engine did not load {weights:?} in time");
    }
}

fn held(report: &dialect::EngineReport, model: &str) -> u64 {
    let versions = report.held.iter().filter(|held| *held.model == *model);
    versions.map(|held| held.version).max().unwrap_or(0)
}
