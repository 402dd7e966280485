//! Reconciles the engine with the intended version.
//!
//! One loop compares the intended version with the engine's report and takes the next step: fetch,
//! load, withdraw. Whatever fails is retried in the next round.

use std::{sync, time};

use ragwortdeal_core::{
    directory,
    document::naming,
    orders::{outstanding, switch_schedule},
};

use super::{Agent, engine, loading, manifests, orders, spread};
use crate::fleet::dialect;

/// Interval between two rounds while there is nothing to do.
const IDLE_INTERVAL: time::Duration = time::Duration::from_millis(150);

/// Layers of an engine that must not serve. A request needs all of them.
const WITHDRAWN_LAYERS: directory::Layers = directory::Layers { from: 0, to: 1 };

/// What the loop remembers between two rounds.
#[derive(Debug, Default)]
struct Memory {
    orders: orders::OrderBook,
    /// Versions for which it was last logged that the engine does not serve the newer one in time.
    logged_overdue: Option<(u64, u64)>,
}

/// Reconciles the engine for as long as the process runs.
pub(super) async fn run(agent: sync::Arc<Agent>) {
    let mut changes = agent.voter_state.subscribe();
    let mut memory = Memory::default();
    loop {
        agent.reconcile(&mut memory).await;
        tokio::select! {
            () = tokio::time::sleep(IDLE_INTERVAL) => (),
            () = agent.spread.wait_complete() => (),
            _ = changes.changed() => (),
        }
    }
}

impl Agent {
    /// The weights that the engine should serve.
    fn intended(&self) -> Option<manifests::Weights> {
        let voter_state = self.voter_state.borrow();
        let document = voter_state.document.as_ref()?;
        let engine = document.service(&self.service)?.engine.as_ref()?;
        let model = engine.models.first()?.to_string();
        let version = voter_state.namings.newest(&model).unwrap_or(0).max(naming::FIRST_VERSION);
        Some(manifests::Weights { model, version })
    }

    /// Takes the next step.
    async fn reconcile(self: &sync::Arc<Self>, memory: &mut Memory) {
        let Some(weights) = self.intended() else {
            return;
        };
        let Some(report) = self.observe().await else {
            return;
        };
        let serving = self.serving_version(&report, &weights.model);
        let Some(settled) = self.settle(&mut memory.orders, &report) else {
            // The order may be accepted between this report and the next one.
            self.report_status(serving, false);
            if !report.busy {
                self.repeat(&mut memory.orders).await;
            }
            return;
        };
        if report.busy {
            return;
        }
        let proof = self.prove_held(&weights.model, serving).await;
        let proven = if proof == loading::Proof::Sound { serving } else { 0 };
        self.report_status(serving, proven > 0);
        if self.spread.manifest_file(&weights).is_none() || self.spread.suspects_manifest() {
            tokio::spawn(self.clone().start_fetch(weights.clone(), serving));
        }
        self.log_overdue(&weights, serving, &mut memory.logged_overdue);
        // Loading the same version anew would be one more order to an engine that does not answer.
        let is_needless = |complete: &spread::CompleteVersion| {
            proof == loading::Proof::Unanswered && complete.weights.version == serving
        };
        let complete = self.version_to_load(&weights, proven).filter(|it| !is_needless(it));
        let is_refuted = serving > 0 && self.load_proofs().is_refuted();
        if let Some(complete) = complete {
            self.switch(&mut memory.orders, settled, &complete, &report).await;
        } else if self.must_withdraw(&weights, serving) || is_refuted {
            self.withdraw(&mut memory.orders, settled, &weights, serving).await;
        }
    }

    /// Version that the engine serves, 0 if it holds only some of the layers.
    pub(super) fn serving_version(&self, report: &dialect::EngineReport, model: &str) -> u64 {
        let layers = self.layers();
        if report.layers.is_some_and(|held| !held.covers_all(layers)) {
            return 0;
        }
        let versions = report.held.iter().filter(|held| *held.model == *model);
        versions.map(|held| held.version).max().unwrap_or(0)
    }

    /// Number of layers of the model, 0 if no document tells it.
    pub(super) fn layers(&self) -> u32 {
        let voter_state = self.voter_state.borrow();
        let document = voter_state.document.as_ref();
        let engine = document.and_then(|it| it.service(&self.service)?.engine.as_ref());
        engine.map_or(0, |engine| engine.layers)
    }

    /// Whether the engine serves weights whose time is nearly up, and cannot switch in time.
    pub(super) fn must_withdraw(&self, weights: &manifests::Weights, serving: u64) -> bool {
        let superseded_ms =
            self.voter_state.borrow().namings.superseded_at_ms(&weights.model, serving);
        let since = switch_schedule::VersionTimes { superseded_ms, ..Default::default() };
        let narrow = self.spread.congestion().is_narrow();
        let now_ms = self.clock.now_ms() as i64;
        serving > 0 && since.must_withdraw(narrow, self.settings.bounds.weights_ms, now_ms)
    }

    /// Orders the engine to hold only some of the layers. It finishes the answers in progress and
    /// rejects new requests, until it is ordered to load weights that may be served.
    async fn withdraw(
        &self,
        orders: &mut orders::OrderBook,
        settled: outstanding::Settled,
        newest: &manifests::Weights,
        serving: u64,
    ) {
        self.report_status(serving, false);
        let weights = manifests::Weights { model: newest.model.clone(), version: serving };
        let order = engine::LoadOrder {
            weights: weights.clone(),
            layers: Some(WITHDRAWN_LAYERS),
            cutover: dialect::Cutover::Drain,
        };
        let why = match self.load_proofs().is_refuted() {
            true => "weights that may be corrupt",
            false => "superseded weights",
        };
        let accepted = self.give(orders, settled, order).await;
        log::warn!(
            model = &*weights.model, version = serving, newest = newest.version, accepted;
            "agent: the engine is ordered to stop serving {why}"
        );
        self.telemetry.count("agent.withdrawals", 1);
    }

    /// Logs once for each pair of versions that the engine does not serve the newer one in time.
    fn log_overdue(
        &self,
        weights: &manifests::Weights,
        serving: u64,
        logged_overdue: &mut Option<(u64, u64)>,
    ) {
        let pair = (serving, weights.version);
        if !self.is_overdue(weights, serving) || logged_overdue.replace(pair) == Some(pair) {
            return;
        }
        let missing = self.spread.missing(weights).map_or(-1, |chunks| chunks as i64);
        log::warn!(
            model = &*weights.model, version = serving, newest = weights.version,
            missing_chunks = missing;
            "agent: the engine serves weights whose time is up"
        );
    }

    /// Whether the engine serves weights to which entries no longer send requests.
    fn is_overdue(&self, weights: &manifests::Weights, serving: u64) -> bool {
        let bound_ms = self.settings.bounds.weights_ms;
        let namings = &self.voter_state.borrow().namings;
        serving > 0
            && namings.min_servable_version(&weights.model, bound_ms, self.clock.now_ms()) > serving
    }

    /// Fetches the manifest of a version and starts the transfer. It runs beside the loop: the
    /// origin may be unreachable for long, and the engine must meanwhile switch to weights that are
    /// available.
    async fn start_fetch(self: sync::Arc<Self>, weights: manifests::Weights, serving: u64) {
        let Ok(_alone) = self.manifest_fetch.try_lock() else {
            return;
        };
        let from_origin = self.spread.suspects_manifest();
        if let Some(file) = self.fetch_manifest(&weights, from_origin).await {
            let staged = self.staged_chunks(&weights, &file.manifest).await;
            self.begin_fetch(serving, weights, file, staged);
        }
    }

    /// The version to load now, if any: the newest one, or while it is not complete the last
    /// complete one before it, by the schedule of its own naming. Waiting for the newest would
    /// leave one second at the end of the bound in which all engines switch at once.
    fn version_to_load(
        &self,
        weights: &manifests::Weights,
        serving: u64,
    ) -> Option<spread::CompleteVersion> {
        let now_ms = self.clock.now_ms() as i64;
        let complete =
            self.spread.complete(weights).or_else(|| self.spread.complete_below(weights));
        let complete = complete.filter(|complete| complete.weights.version > serving)?;
        if !self.is_worth_loading(&complete.weights, serving > 0, now_ms) {
            return None;
        }
        let since = {
            let namings = &self.voter_state.borrow().namings;
            switch_schedule::VersionTimes {
                complete_ms: Some(complete.at_ms as i64),
                named_ms: namings.named_at_ms(&weights.model, complete.weights.version),
                superseded_ms: namings.superseded_at_ms(&weights.model, serving),
            }
        };
        let position = self.switch_position(complete.weights.version);
        let due = serving == 0 || since.is_due(position, self.settings.bounds.weights_ms, now_ms);
        due.then_some(complete)
    }

    /// Position of the engine among all that switch to a version. Engines switch one after the
    /// other, so that most of them accept requests at any time.
    fn switch_position(&self, version: u64) -> f64 {
        let agents = self.other_agents();
        let agents: Vec<_> =
            agents.values().map(|agent| (agent.address.to_string(), agent.zone.as_str())).collect();
        let others = agents
            .iter()
            .map(|(instance, zone)| switch_schedule::Engine { instance: instance.as_str(), zone });
        let own = switch_schedule::Engine {
            instance: &self.identity.name,
            zone: &self.settings.process.availability_zone,
        };
        switch_schedule::position(own, others, version)
    }
}
