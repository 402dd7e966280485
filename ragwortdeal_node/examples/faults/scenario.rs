//! The faults, in an order that the seed decides.

use std::time;

use ragwortdeal_standins::{deployment, engine, history, origin};
use rand::{RngExt as _, SeedableRng as _, seq::SliceRandom as _};

use crate::load;

/// Size of each version.
const VERSION_BYTES: usize = 4 << 20;

/// Size of a chunk.
const CHUNK_BYTES: u32 = 128 << 10;

/// Time between two faults, in which the system is to recover.
const BETWEEN: time::Duration = time::Duration::from_millis(1_500);

/// How long a zone stays cut off and a process frozen: longer than leases and silence.
const LONG: time::Duration = time::Duration::from_millis(3_500);

#[derive(Clone, Copy, Debug)]
enum Fault {
    LoseEngine,
    RestartEngineAgent,
    LoseEntry,
    RestartLedgerAgent,
    LoseVoterAndAnother,
    CutZone,
    ForgetLinks,
    FreezeVoter,
    CorruptOrigin,
    ChangeVersionMidway,
}

const FAULTS: [Fault; 10] = [
    Fault::LoseEngine,
    Fault::RestartEngineAgent,
    Fault::LoseEntry,
    Fault::RestartLedgerAgent,
    Fault::LoseVoterAndAnother,
    Fault::CutZone,
    Fault::ForgetLinks,
    Fault::FreezeVoter,
    Fault::CorruptOrigin,
    Fault::ChangeVersionMidway,
];

/// One run.
pub(crate) struct Scenario {
    rng: rand_chacha::ChaCha8Rng,
    recorder: history::Recorder,
    load: load::Load,
    next_version: u64,
    lost_engines: Vec<usize>,
}

impl Scenario {
    pub(crate) fn new(seed: u64, recorder: history::Recorder, load: load::Load) -> Self {
        let rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        Self { rng, recorder, load, next_version: seed * 1_000, lost_engines: Vec::new() }
    }

    pub(crate) async fn play(mut self, running: &mut deployment::Deployment) {
        let first = self.roll_out(running).await;
        self.serving(running, &first).await;
        let mut faults = FAULTS.to_vec();
        faults.shuffle(&mut self.rng);
        for fault in faults {
            eprintln!("{:6.2} s: {fault:?}", self.recorder.now().as_secs_f64());
            self.make(fault, running).await;
            tokio::time::sleep(BETWEEN).await;
        }
        let last = self.roll_out(running).await;
        self.serving(running, &last).await;
        self.planned_stops(running).await;
    }

    async fn make(&mut self, fault: Fault, running: &mut deployment::Deployment) {
        match fault {
            Fault::LoseEngine => self.lose_engine(running),
            Fault::RestartEngineAgent => {
                let number = self.living_engine(running);
                running.engines[number].process.take().expect("it lives").kill();
                running.restart_engine_agent(number).await.expect("its port is free");
            }
            Fault::LoseEntry => {
                let number = self.rng.random_range(0..running.entries.len());
                running.entries[number].process.take().expect("it lives").kill();
                tokio::time::sleep(BETWEEN).await;
                running.restart_entry(number).await.expect("its ports are free");
            }
            Fault::RestartLedgerAgent => {
                let number = self.rng.random_range(0..2);
                running.services[number].process.take().expect("it lives").kill();
                running.restart_service_agent(number).await.expect("its port is free");
            }
            Fault::LoseVoterAndAnother => self.lose_two_voters(running).await,
            Fault::CutZone => {
                let zone = ["amman", "irbid", "aqaba"][self.rng.random_range(0..3)];
                running.set_cut(zone, true);
                tokio::time::sleep(LONG).await;
                running.set_cut(zone, false);
            }
            Fault::ForgetLinks => running.forget_links(),
            Fault::FreezeVoter => {
                let number = self.rng.random_range(0..running.voters.len());
                running.voters[number].process.as_ref().expect("it lives").freeze(LONG);
                tokio::time::sleep(LONG).await;
            }
            Fault::CorruptOrigin => {
                let faults = origin::Faults { corrupt_next: 5, fail_next: 5 };
                running.origin.set_faults(faults);
                self.roll_out(running).await;
            }
            Fault::ChangeVersionMidway => {
                self.roll_out(running).await;
                tokio::time::sleep(time::Duration::from_millis(200)).await;
                self.roll_out(running).await;
            }
        }
    }

    fn living_engine(&mut self, running: &deployment::Deployment) -> usize {
        loop {
            let number = self.rng.random_range(0..running.engines.len());
            if running.engines[number].process.is_some() {
                return number;
            }
        }
    }

    fn lose_engine(&mut self, running: &mut deployment::Deployment) {
        let number = self.living_engine(running);
        running.engines[number].process.take().expect("it lives").kill();
        if let Some(engine) = running.engines[number].engine.take() {
            let partial_loads = engine.partial_loads();
            self.recorder.note(|history| history.partial_loads += partial_loads);
        }
        self.lost_engines.push(number);
    }

    /// One voter is lost and comes back with its disk, and right after that another is lost.
    async fn lose_two_voters(&mut self, running: &mut deployment::Deployment) {
        let first = self.rng.random_range(0..running.voters.len());
        let second = (first + 1) % running.voters.len();
        running.voters[first].process.take().expect("it lives").kill();
        tokio::time::sleep(BETWEEN).await;
        running.restart_voter(first).await.expect("its port is free");
        running.voters[second].process.take().expect("it lives").kill();
        tokio::time::sleep(BETWEEN).await;
        running.restart_voter(second).await.expect("its port is free");
    }

    async fn roll_out(&mut self, running: &deployment::Deployment) -> String {
        self.next_version += 1;
        let weights = origin::Weights::of_seed(self.next_version, VERSION_BYTES, CHUNK_BYTES);
        running.roll_out(&weights).await;
        weights.version().to_string()
    }

    async fn serving(&self, running: &deployment::Deployment, version: &str) {
        let replicas = running.engines.len() - self.lost_engines.len();
        for entry in 0..running.entries.len() {
            running.serving(entry, version, replicas).await;
        }
    }

    /// An agent and an entry are stopped for maintenance while nothing else happens.
    async fn planned_stops(&mut self, running: &mut deployment::Deployment) {
        self.load.set_planned_stops_only(true);
        tokio::time::sleep(BETWEEN).await;
        let number = self.living_engine(running);
        let at = self.recorder.now();
        eprintln!("{:6.2} s: planned stop of engine-{number}", at.as_secs_f64());
        running.engines[number].process.take().expect("it lives").stop().await;
        let begun = running.engines[number].engine.as_ref().map(engine::Engine::begun);
        let begun = begun.unwrap_or_default();
        let begun = begun.into_iter().map(|one| self.recorder.since_start(one)).collect();
        let instance = running.engines[number].name.clone();
        let leaving = history::Leaving { instance, at, begun };
        self.recorder.note(|history| history.leaving.push(leaving));
        let entry = self.rng.random_range(0..running.entries.len());
        eprintln!("{:6.2} s: planned stop of entry-{entry}", self.recorder.now().as_secs_f64());
        running.entries[entry].process.take().expect("it lives").stop().await;
        running.restart_entry(entry).await.expect("its ports are free");
        tokio::time::sleep(BETWEEN).await;
        self.load.set_planned_stops_only(false);
    }
}
