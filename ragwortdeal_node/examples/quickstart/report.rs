//! What the quickstart measured.

use std::{sync::atomic, time};

use ragwortdeal_standins::{deployment, engine};

use crate::live;

/// One rollout.
#[derive(Debug)]
pub(crate) struct Rollout {
    pub(crate) what: &'static str,
    pub(crate) replicas: usize,
    pub(crate) time_to_n: time::Duration,
    pub(crate) origin_copies: f64,
}

/// All that was measured.
#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) rollouts: Vec<Rollout>,
    rows: Vec<(&'static str, String)>,
    mixed_answers: u64,
    lost_answers: u64,
    duplicate_transfers: usize,
    untrue_refusals: usize,
    partial_loads: u64,
}

impl Report {
    /// Takes what the callers and the stand-ins saw.
    pub(crate) fn take(&mut self, live: &live::Live, running: &deployment::Deployment) {
        let get = |counter: &atomic::AtomicU64| counter.load(atomic::Ordering::Relaxed);
        self.mixed_answers = get(&live.mixed);
        self.lost_answers = get(&live.lost);
        self.duplicate_transfers = running.ledger.duplicates();
        let effects = running.ledger.effects();
        let not_run = live.not_run.lock().expect("no panic under lock");
        self.untrue_refusals = not_run.iter().filter(|key| effects.contains_key(*key)).count();
        let engines = running.engines.iter().filter_map(|agent| agent.engine.as_ref());
        self.partial_loads = engines.map(engine::Engine::partial_loads).sum();
        self.rows = vec![
            ("whole answers", get(&live.whole).to_string()),
            ("asked again", get(&live.asked_again).to_string()),
            ("transfers, each sent three times", get(&live.transfers).to_string()),
            ("transfers that took effect", effects.len().to_string()),
            ("transfers left in doubt", get(&live.in_doubt).to_string()),
            ("refused as not run", not_run.len().to_string()),
            ("refused as not run, but ran", self.untrue_refusals.to_string()),
            ("loads of partial weights", self.partial_loads.to_string()),
            ("first byte, 95 in 100", at_95(&live.first_bytes.lock().expect("no panic"))),
            ("longest gap, 95 in 100", at_95(&live.gaps.lock().expect("no panic"))),
        ];
    }

    /// Whether everything that must always hold did.
    pub(crate) fn holds(&self) -> bool {
        self.mixed_answers == 0
            && self.lost_answers == 0
            && self.duplicate_transfers == 0
            && self.untrue_refusals == 0
            && self.partial_loads == 0
    }

    /// Prints the table and the last line.
    pub(crate) fn print(&self) {
        println!();
        for rollout in &self.rollouts {
            let Rollout { what, replicas, time_to_n, origin_copies } = rollout;
            let time_to_n_s = time_to_n.as_secs_f64();
            println!(
                "{what:34} {replicas} replicas in {time_to_n_s:.2} s, {origin_copies:.2} copies \
                 from the origin"
            );
        }
        for (what, value) in &self.rows {
            println!("{what:34} {value}");
        }
        let Some(last) = self.rollouts.last() else {
            return;
        };
        let verdict = if self.holds() { "ok" } else { "failed" };
        println!(
            "quickstart: {verdict} replicas={} time_to_n_s={:.2} origin_copies={:.2} \
             mixed_answers={} lost_answers={} duplicate_transfers={}",
            last.replicas,
            last.time_to_n.as_secs_f64(),
            last.origin_copies,
            self.mixed_answers,
            self.lost_answers,
            self.duplicate_transfers,
        );
    }
}

fn at_95(samples: &[time::Duration]) -> String {
    let mut sorted = samples.to_vec();
    sorted.sort_unstable();
    let at = sorted.get((sorted.len() * 95 / 100).min(sorted.len().saturating_sub(1)));
    at.map_or_else(|| "-".to_owned(), |at| format!("{:.1} ms", at.as_secs_f64() * 1_000.0))
}
