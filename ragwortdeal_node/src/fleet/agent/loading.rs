//! Loads a version into the engine, and proves that the engine took sound chunks.
//!
//! `docs/design/weights.md` tells why a read-back before the order is not enough.

use std::time;

use bytes::Bytes;
use ragwortdeal_core::{directory, orders::outstanding, spread::manifest};

use super::{Agent, engine, manifests, orders, spread};
use crate::fleet::dialect;

/// Interval between two reports while the engine loads.
const LOADING_POLL_INTERVAL: time::Duration = time::Duration::from_millis(40);

/// Longest time to drain running requests before the engine loads. Most end within it; the others
/// are aborted and resumed at other engines, which costs them one more reading of the prompt.
/// Waiting for the longest one kept each engine away for 2.5 s instead of 1.3 s.
const DRAIN_MAX: time::Duration = time::Duration::from_millis(900);

/// Interval between two reports while requests are drained.
const DRAIN_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Longest time to wait for one order. An engine finishes its answers first.
const LOAD_TIMEOUT: time::Duration = time::Duration::from_secs(12);

/// How often a staged chunk is staged again before the order is postponed.
const STAGE_RETRIES_MAX: u32 = 3;

/// Age of a read-back from which on the chunks are read back again before the order, so that the
/// proof after it seldom fails. Reading and draining take less unless the process stood still.
const READ_BACK_MAX_AGE: time::Duration = time::Duration::from_secs(2);

/// How often the chunks are read back before the order is postponed.
const READ_BACKS_MAX: u32 = 3;

/// Two ranges of layers without a common one. An engine that was ordered to hold the first and then
/// the second holds nothing that it took before. It serves no request meanwhile, as that needs all
/// layers.
const DISCARD_FIRST: directory::Layers = directory::Layers { from: 0, to: 1 };
const DISCARD_SECOND: directory::Layers = directory::Layers { from: 1, to: 2 };

/// Whether what an engine loaded is proven to be sound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Proof {
    /// All chunks were read back sound, or there is no reason to doubt them.
    Sound,
    /// It is not proven, and what is staged does not prove it.
    Unproven,
    /// The engine did not answer what it has staged. That is no evidence of corruption.
    Unanswered,
}

/// What was found out of a staged chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadBack {
    Sound,
    Corrupt,
    /// The engine did not answer.
    Unanswered,
}

impl Agent {
    /// Chunks that are staged at the engine and match the manifest.
    pub(super) async fn staged_chunks(
        &self,
        weights: &manifests::Weights,
        manifest: &manifest::Manifest,
    ) -> Vec<(manifest::VerifiedChunk, Bytes)> {
        let mut staged = Vec::new();
        let max_bytes = manifest.chunk_bytes() as usize + 1;
        for chunk in 0..manifest.chunks().len() as u32 {
            let read = self.read_staged_chunk(&weights.model, chunk, max_bytes).await;
            let engine::StagedChunk::Bytes(bytes) = read else {
                break;
            };
            if let Ok(proof) = manifest.verify_chunk(chunk, &bytes) {
                staged.push((proof, bytes));
            }
        }
        staged
    }

    /// Whether what the engine serves is proven. Tries the proof.
    pub(super) async fn prove_held(&self, model: &str, serving: u64) -> Proof {
        {
            let proofs = self.load_proofs();
            if serving > 0 && proofs.may_serve(serving, self.engine_born_ms()) {
                return Proof::Sound;
            }
            if serving == 0 || !proofs.is_provable() {
                return Proof::Unproven;
            }
        }
        let weights = manifests::Weights { model: model.to_owned(), version: serving };
        match self.spread.complete(&weights) {
            Some(complete) => self.prove_load(&complete).await,
            None => Proof::Unproven,
        }
    }

    /// Switches the engine to the version. What it loaded counts only once it is proven, because
    /// staged chunks can become corrupt before the engine takes them.
    pub(super) async fn switch(
        &self,
        orders: &mut orders::OrderBook,
        settled: outstanding::Settled,
        complete: &spread::CompleteVersion,
        report: &dialect::EngineReport,
    ) {
        let weights = &complete.weights;
        // Layers of the same version would stay as they were taken, and an order for a version
        // that the engine holds changes nothing.
        let reloads = holds(report, weights);
        let settled = match reloads {
            true => self.discard(orders, settled, weights, DISCARD_FIRST).await,
            false => Some(settled),
        };
        let Some(settled) = settled else {
            return;
        };
        let Some(mut read_at) = self.verify_staged(&settled, complete).await else {
            log::warn!("agent: {weights:?} is not whole where it is staged, tried again");
            return;
        };
        let serving = self.serving_version(report, &weights.model);
        self.report_status(serving, false);
        if serving > 0 && !reloads {
            let model = weights.model.clone();
            self.drain_requests(&manifests::Weights { model, version: serving }).await;
        }
        let mut read_backs = 1;
        while read_at.elapsed() > READ_BACK_MAX_AGE {
            let age_ms = read_at.elapsed().as_millis() as u64;
            log::warn!(age_ms; "agent: {weights:?} was read back too long ago, read back again");
            if read_backs == READ_BACKS_MAX {
                return;
            }
            read_backs += 1;
            let Some(again_at) = self.verify_staged(&settled, complete).await else {
                return;
            };
            read_at = again_at;
        }
        let settled = match reloads {
            true => self.discard(orders, settled, weights, DISCARD_SECOND).await,
            false => Some(settled),
        };
        let Some(settled) = settled else {
            return;
        };
        let begun = time::Instant::now();
        if self.load(orders, settled, weights, read_at).await
            && self.observe().await.is_some()
            && self.prove_load(complete).await == Proof::Sound
        {
            self.await_load(weights).await;
            self.telemetry.took("agent.load_ms", begun.elapsed().as_millis() as u64);
        }
    }

    /// Orders the engine to load all layers. Returns whether it accepted the order.
    async fn load(
        &self,
        orders: &mut orders::OrderBook,
        settled: outstanding::Settled,
        weights: &manifests::Weights,
        read_at: time::Instant,
    ) -> bool {
        // After the last write to the stage: what is accepted from here on takes what was read back.
        let Some(report) = self.observe().await else {
            return false;
        };
        if report.busy || engine::count_of(&report) != settled.count() {
            let (expected_orders, found) = (settled.count().accepted, report.orders_accepted);
            log::warn!(
                expected_orders, orders = found, busy = report.busy;
                "agent: the engine accepted an order that this process did not give, or is gone"
            );
            return false;
        }
        let order = engine::LoadOrder {
            weights: weights.clone(),
            layers: None,
            cutover: dialect::Cutover::Abort,
        };
        let accepted = self.give(orders, settled, order).await;
        let read_back_age_ms = read_at.elapsed().as_millis() as u64;
        log::info!(
            accepted, read_back_age_ms, expected_orders = report.orders_accepted,
            held = engine::held_version(&report);
            "agent: ordered {weights:?}"
        );
        accepted
    }

    /// Orders the engine to hold a part of the layers only, and waits until it does. Returns
    /// permission for the next step.
    async fn discard(
        &self,
        orders: &mut orders::OrderBook,
        settled: outstanding::Settled,
        weights: &manifests::Weights,
        layers: directory::Layers,
    ) -> Option<outstanding::Settled> {
        if self.layers() < DISCARD_SECOND.to {
            log::error!("agent: {weights:?} has too few layers to load them anew");
            return None;
        }
        log::warn!("agent: the engine is ordered to hold layers {layers:?} of {weights:?} only");
        let order = engine::LoadOrder {
            weights: weights.clone(),
            layers: Some(layers),
            cutover: dialect::Cutover::Abort,
        };
        if !self.give(orders, settled, order).await {
            return None;
        }
        let report = self.await_idle().await?;
        self.settle(orders, &report)
    }

    /// Waits for running requests to end, up to a limit. If the time of the weights is nearly up it
    /// does not wait, because a late request could start meanwhile.
    async fn drain_requests(&self, weights: &manifests::Weights) {
        let begun = time::Instant::now();
        while begun.elapsed() < DRAIN_MAX && !self.must_withdraw(weights, weights.version) {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            let report = self.observe().await;
            if report.is_some_and(|report| report.running + report.waiting == 0) {
                return;
            }
        }
    }

    /// Reads all staged chunks back, and stages those again that are missing or corrupt. Returns
    /// the time of the first read.
    async fn verify_staged(
        &self,
        settled: &outstanding::Settled,
        complete: &spread::CompleteVersion,
    ) -> Option<time::Instant> {
        let spread::CompleteVersion { weights, bytes, .. } = complete;
        let begun = time::Instant::now();
        for (&chunk, bytes) in bytes {
            let mut tries = 0;
            loop {
                match self.read_back(complete, chunk).await {
                    ReadBack::Sound => break,
                    ReadBack::Corrupt => (),
                    ReadBack::Unanswered => return None,
                }
                tries += 1;
                if tries > STAGE_RETRIES_MAX {
                    log::warn!("agent: chunk {chunk} of {weights:?} cannot be staged");
                    return None;
                }
                self.stage_chunk(settled, &weights.model, chunk, bytes.clone()).await;
            }
        }
        Some(begun)
    }

    async fn read_back(&self, complete: &spread::CompleteVersion, chunk: u32) -> ReadBack {
        let spread::CompleteVersion { weights, manifest, .. } = complete;
        let max_bytes = manifest.chunk_bytes() as usize + 1;
        match self.read_staged_chunk(&weights.model, chunk, max_bytes).await {
            engine::StagedChunk::Bytes(bytes) if manifest.verify_chunk(chunk, &bytes).is_ok() => {
                ReadBack::Sound
            }
            engine::StagedChunk::Bytes(_) | engine::StagedChunk::Unusable => ReadBack::Corrupt,
            engine::StagedChunk::Unknown => ReadBack::Unanswered,
        }
    }

    /// Reads all staged chunks back after the engine accepted the order to load them, which proves
    /// that it took them sound.
    async fn prove_load(&self, complete: &spread::CompleteVersion) -> Proof {
        let weights = &complete.weights;
        if !self.load_proofs().is_provable() {
            return Proof::Unproven;
        }
        for &chunk in complete.bytes.keys() {
            let mut tries = 0;
            loop {
                match self.read_back(complete, chunk).await {
                    ReadBack::Sound => break,
                    ReadBack::Corrupt => tries += 1,
                    ReadBack::Unanswered => return Proof::Unanswered,
                }
                if tries > STAGE_RETRIES_MAX {
                    log::warn!(
                        "agent: chunk {chunk} of {weights:?} is not sound after the order, the \
                         engine is ordered to load it again"
                    );
                    self.telemetry.count("agent.loads_refuted", 1);
                    self.load_proofs().refuted();
                    return Proof::Unproven;
                }
            }
        }
        self.load_proofs().proven(weights.version);
        log::info!("agent: {weights:?} was loaded from sound chunks");
        Proof::Sound
    }

    /// Waits until the engine serves the version, or has finished without it.
    async fn await_load(&self, weights: &manifests::Weights) {
        if let Some(report) = self.await_idle().await {
            let serving = self.serving_version(&report, &weights.model);
            let born_ms = self.engine_born_ms();
            if serving == weights.version && self.load_proofs().may_serve(serving, born_ms) {
                self.report_status(serving, true);
            }
        }
    }

    /// Waits until the engine carries out no order.
    async fn await_idle(&self) -> Option<dialect::EngineReport> {
        let begun = time::Instant::now();
        while begun.elapsed() < LOAD_TIMEOUT {
            if let Some(report) = self.observe().await.filter(|report| !report.busy) {
                return Some(report);
            }
            tokio::time::sleep(LOADING_POLL_INTERVAL).await;
        }
        log::warn!("agent: the engine did not carry out an order in time");
        None
    }
}

/// Whether an engine holds any layers of a version.
fn holds(report: &dialect::EngineReport, weights: &manifests::Weights) -> bool {
    let manifests::Weights { model, version } = weights;
    report.held.iter().any(|held| *held.model == **model && held.version == *version)
}
