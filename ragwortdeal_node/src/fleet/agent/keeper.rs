//! Keeps the engine on the version that is intended.
//!
//! One loop looks at what is intended and what the engine says, and takes the next step: fetch,
//! check what is staged, order, wait. Whatever fails is looked at anew in the next turn.

use std::{sync, time};

use bytes::Bytes;
use ragwortdeal_core::{directory, orders::switch_schedule, spread::manifest};

use super::{Agent, engine, origin, spread};
use crate::fleet::dialect;

/// Pause between two looks while there is nothing to do.
const PAUSE: time::Duration = time::Duration::from_millis(150);

/// Pause between two looks while the engine loads.
const LOADING_PAUSE: time::Duration = time::Duration::from_millis(40);

/// Time in which running requests may end before the engine loads. Most do; the rest is broken off
/// and goes on at other engines, which costs them one reading of a prompt. Waiting for the longest
/// kept each engine away for 2.5 s in place of 1.3 s.
const QUIET: time::Duration = time::Duration::from_millis(900);

/// How often the engine is asked meanwhile whether all have ended.
const QUIET_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Longest time for which one order is waited for. An engine finishes its answers first.
const LOAD: time::Duration = time::Duration::from_secs(12);

/// Times that a staged chunk is staged anew before the order is put off.
const STAGE_TRIES: u32 = 3;

/// Layers of an engine that must not serve. A request needs all of them.
const WITHDRAWN: directory::Layers = directory::Layers { from: 0, to: 1 };

/// Version that engines hold before any is named.
const FIRST_VERSION: u64 = 1;

/// Looks after the engine for as long as the process runs.
pub(super) async fn run(agent: sync::Arc<Agent>) {
    let mut told = agent.told.subscribe();
    let mut overdue = None;
    loop {
        agent.reconcile(&mut overdue).await;
        tokio::select! {
            () = tokio::time::sleep(PAUSE) => (),
            () = agent.spread.wait() => (),
            _ = told.changed() => (),
        }
    }
}

impl Agent {
    /// The weights that the engine is to serve.
    fn intended(&self) -> Option<origin::Weights> {
        let told = self.told.borrow();
        let document = told.document.as_ref()?;
        let engine = document.service(&self.service)?.engine.as_ref()?;
        let model = engine.models.first()?.to_string();
        let version = told.named.newest(&model).unwrap_or(0).max(FIRST_VERSION);
        Some(origin::Weights { model, version })
    }

    /// Takes the next step. `overdue` holds for which versions it was told last that the engine does
    /// not serve the newer one in time.
    async fn reconcile(self: &sync::Arc<Self>, overdue: &mut Option<(u64, u64)>) {
        let Some(weights) = self.intended() else {
            return;
        };
        let Some(report) = self.report().await else {
            return;
        };
        let serving = self.serving(&report, &weights.model);
        if report.busy {
            return;
        }
        self.say(serving, serving > 0);
        if self.spread.listed(&weights).is_none() || self.spread.doubts_manifest() {
            tokio::spawn(self.clone().list(weights.clone(), serving));
        }
        self.tell_overdue(&weights, serving, overdue);
        if let Some(whole) = self.due(&weights, serving) {
            self.switch(&whole, &report).await;
        } else if self.must_withdraw(&weights, serving) {
            self.withdraw(&weights, serving, &report).await;
        }
    }

    /// Version that the engine serves, 0 where it holds a part of the layers alone.
    fn serving(&self, report: &dialect::EngineReport, model: &str) -> u64 {
        let told = self.told.borrow();
        let document = told.document.as_ref();
        let engine = document.and_then(|it| it.service(&self.service)?.engine.as_ref());
        let layers = engine.map_or(0, |engine| engine.layers);
        if report.layers.is_some_and(|held| !held.is_all(layers)) {
            return 0;
        }
        let versions = report.held.iter().filter(|held| *held.model == *model);
        versions.map(|held| held.version).max().unwrap_or(0)
    }

    /// Whether the engine serves weights that must not be served any more soon, and cannot change.
    fn must_withdraw(&self, weights: &origin::Weights, serving: u64) -> bool {
        let superseded_ms = self.told.borrow().named.superseded_at_ms(&weights.model, serving);
        let since = switch_schedule::VersionTimes { named_ms: None, superseded_ms };
        let narrow = self.spread.congestion().is_narrow();
        let now_ms = self.clock.now_ms() as i64;
        serving > 0 && since.must_withdraw(narrow, self.settings.bounds.weights_ms, now_ms)
    }

    /// Orders the engine to hold a part of the layers alone. It ends the answers in progress and
    /// rejects whatever still arrives, until it is ordered to load weights that may be served.
    async fn withdraw(
        &self,
        newest: &origin::Weights,
        serving: u64,
        report: &dialect::EngineReport,
    ) {
        self.say(serving, false);
        let weights = origin::Weights { model: newest.model.clone(), version: serving };
        let load = engine::Load {
            weights: &weights,
            layers: Some(WITHDRAWN),
            cutover: dialect::Cutover::Drain,
            orders: report.orders_accepted,
        };
        let status = self.order_load(&load).await;
        log::warn!(
            model = &*weights.model, version = serving, newest = newest.version, status:?;
            "agent: the engine is ordered to stop serving superseded weights"
        );
        self.telemetry.count("agent.withdrawals", 1);
    }

    /// Tells once for each pair of versions that the engine does not serve the newer one in time.
    fn tell_overdue(
        &self,
        weights: &origin::Weights,
        serving: u64,
        overdue: &mut Option<(u64, u64)>,
    ) {
        let pair = (serving, weights.version);
        if !self.is_overdue(weights, serving) || overdue.replace(pair) == Some(pair) {
            return;
        }
        let missing = self.spread.missing(weights).map_or(-1, |chunks| chunks as i64);
        log::warn!(
            model = &*weights.model, version = serving, newest = weights.version,
            missing_chunks = missing;
            "agent: the engine serves weights whose time is up"
        );
    }

    /// Whether the engine serves weights that entries send nothing to any more.
    fn is_overdue(&self, weights: &origin::Weights, serving: u64) -> bool {
        let bound_ms = self.settings.bounds.weights_ms;
        let named = &self.told.borrow().named;
        serving > 0
            && named.min_servable_version(&weights.model, bound_ms, self.clock.now_ms()) > serving
    }

    /// Gets the manifest of a version and begins to fetch it. It runs beside the loop: the origin may
    /// be lost for long, and the engine must go to weights that are at hand meanwhile.
    async fn list(self: sync::Arc<Self>, weights: origin::Weights, serving: u64) {
        let Ok(_alone) = self.listing.try_lock() else {
            return;
        };
        let doubted = self.spread.doubts_manifest();
        if let Some(listed) = self.manifest(&weights, doubted).await {
            let kept = self.kept(&weights, &listed.manifest).await;
            self.begin(serving, weights, listed, kept);
        }
    }

    /// The version to switch to now, if any: the newest one, or while it is not complete the last
    /// complete one before, in the turns of its own naming. Waiting for the newest would leave one
    /// second at the end of the bound in which all engines switch at once.
    fn due(&self, weights: &origin::Weights, serving: u64) -> Option<spread::Whole> {
        let now_ms = self.clock.now_ms() as i64;
        let whole = self.spread.whole(weights).or_else(|| self.spread.whole_below(weights));
        let whole = whole.filter(|whole| whole.weights.version > serving)?;
        if self.must_withdraw(weights, whole.weights.version) {
            return None;
        }
        let since = {
            let named = &self.told.borrow().named;
            switch_schedule::VersionTimes {
                named_ms: named.named_at_ms(&weights.model, whole.weights.version),
                superseded_ms: named.superseded_at_ms(&weights.model, serving),
            }
        };
        let share = self.turn(whole.weights.version);
        let due = serving == 0 || since.is_due(share, self.settings.bounds.weights_ms, now_ms);
        due.then_some(whole)
    }

    /// Turn of the engine among all that switch to a version. Engines switch one after the other, so
    /// that most of them take work at any time.
    fn turn(&self, version: u64) -> f64 {
        let seats = self.seats();
        let seats: Vec<_> =
            seats.values().map(|seat| (seat.address.to_string(), seat.zone.as_str())).collect();
        let others = seats
            .iter()
            .map(|(instance, zone)| switch_schedule::Engine { instance: instance.as_str(), zone });
        let own = switch_schedule::Engine {
            instance: &self.identity.name,
            zone: &self.settings.process.availability_zone,
        };
        switch_schedule::position(own, others, version)
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
    async fn switch(&self, whole: &spread::Whole, report: &dialect::EngineReport) {
        let weights = &whole.weights;
        if !self.check_staged(whole).await {
            log::warn!("agent: {weights:?} is not whole where it is staged, tried again");
            return;
        }
        let serving = self.serving(report, &weights.model);
        self.say(serving, false);
        if serving > 0 {
            let model = weights.model.clone();
            self.let_requests_end(&origin::Weights { model, version: serving }).await;
        }
        let load = engine::Load {
            weights,
            layers: None,
            cutover: dialect::Cutover::Abort,
            orders: report.orders_accepted,
        };
        let status = self.order_load(&load).await;
        log::info!("agent: ordered {weights:?}, status={status:?}");
        let begun = time::Instant::now();
        self.await_load(weights, report.orders_accepted).await;
        self.telemetry.took("agent.load_ms", begun.elapsed().as_millis() as u64);
    }

    /// Waits until running requests have ended, for a while. Where the time of the weights is nearly
    /// up, a late request would begin meanwhile, so nothing is waited for.
    async fn let_requests_end(&self, weights: &origin::Weights) {
        let begun = time::Instant::now();
        while begun.elapsed() < QUIET && !self.must_withdraw(weights, weights.version) {
            tokio::time::sleep(QUIET_PAUSE).await;
            let report = self.report().await;
            if report.is_some_and(|report| report.running + report.waiting == 0) {
                return;
            }
        }
    }

    /// Reads all staged chunks back, and stages those anew that are missing or spoilt.
    async fn check_staged(&self, whole: &spread::Whole) -> bool {
        let spread::Whole { weights, manifest, bytes } = whole;
        let max_bytes = manifest.chunk_bytes() as usize + 1;
        for (&chunk, bytes) in bytes {
            let mut tries = 0;
            loop {
                let staged = self.staged(&weights.model, chunk, max_bytes).await;
                if staged.is_some_and(|bytes| manifest.verify_chunk(chunk, &bytes).is_ok()) {
                    break;
                }
                tries += 1;
                if tries > STAGE_TRIES {
                    log::warn!("agent: chunk {chunk} of {weights:?} cannot be staged");
                    return false;
                }
                self.stage(&weights.model, chunk, bytes.clone()).await;
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
                let serving = self.serving(&report, &weights.model);
                if !report.busy && serving >= weights.version {
                    return self.say(serving, true);
                }
                let refused = !report.busy && report.orders_accepted == orders;
                if refused && begun.elapsed() > PAUSE {
                    return;
                }
            }
            tokio::time::sleep(LOADING_PAUSE).await;
        }
        log::warn!("agent: the engine did not load {weights:?} in time");
    }
}
