//! Which faults come when. The same seed gives the same schedule.

use std::ops;

use ragwortdeal_standins::fleet::engine;
use rand::{RngExt as _, SeedableRng as _};

use crate::{
    fleet::Size,
    history::{Kind, WINDOW_MS, Who},
    proxy,
};

/// Milliseconds without faults after the last, in which all has to come back.
pub const CALM_MS: u64 = 20_000;
/// Milliseconds before the first fault.
pub const QUIET_MS: u64 = 3_000;
/// Milliseconds between two faults, on average.
const FAULT_GAP_MS: u64 = 450;
/// Longest fault.
const FAULT_MAX_MS: u64 = 4_000;
/// Milliseconds between two times at which an engine asks for less work, on average.
const ASKS_GAP_MS: u64 = 1_500;
/// Longest time for which an engine asks for less work.
const ASKS_MAX_MS: u64 = 9_000;
/// Sets the draws of what engines ask apart from those of faults.
const ASKS_SEED: u64 = 0x5eed_a5c5;
/// Longest time for which all engines fail while entries are killed one after the other.
const REPEATS_MS: u64 = 5_000;
/// Longest time from one of these kills to the next.
const REPEATS_KILL_GAP_MS: u64 = 700;
/// Longest time from such a kill to the start.
const REPEATS_DOWN_MS: u64 = 400;
/// Sets the draws of these kills apart from those of faults.
const REPEATS_SEED: u64 = 0x5eed_b0d9;
/// Requests on which engines end, the first of them before any fault.
const FATAL_REQUESTS: u8 = 3;
/// Attempts of the caller of each, and the longest pause between two.
const FATAL_ATTEMPTS: u8 = 10;
const FATAL_PAUSE_MS: u64 = 300;
/// Sets the draws of these requests apart from those of faults.
const FATAL_SEED: u64 = 0x5eed_fa7a;
/// Times at which the answers of an engine do not end.
const ENDLESS_TIMES: usize = 4;
/// Longest such time.
const ENDLESS_MAX_MS: u64 = 2_000;
/// Sets the draws of these times apart from those of faults.
const ENDLESS_SEED: u64 = 0x5eed_e4d1;
/// Longest time in which engines fall silent of themselves, amid new weights and documents.
const SILENCES_MS: u64 = 12_000;
/// Milliseconds from one of these weights to the next.
const SILENCES_NAME_GAP_MS: ops::Range<u64> = 300..1_200;
/// Milliseconds from one of these documents to the next.
const SILENCES_DOCUMENT_GAP_MS: ops::Range<u64> = 500..2_000;
/// Sets the draws of this time apart from those of faults.
const SILENCES_SEED: u64 = 0x5eed_511e;
/// Milliseconds around the loss of a folder in which no other voter is disturbed. One that was
/// disturbed before counts as lost until it has caught up.
const LOSS_APART_MS: u64 = 6_000;
/// Of the calm, when requests have to be served again.
pub const RECOVERY_MS: u64 = 14_000;
/// Plain services' engines: ledgers, second ledgers, and one that no route names.
pub const LEDGERS: [(u8, &str); 6] = [
    (30, "ledger"),
    (31, "ledger"),
    (32, "ledger"),
    (40, "ledger-b"),
    (41, "ledger-b"),
    (50, "archive"),
];

/// Signals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGSTOP.
    Stop,
    /// SIGCONT.
    Continue,
    /// SIGKILL.
    Kill,
    /// SIGTERM.
    Terminate,
    /// SIGHUP, after the settings file has changed.
    HangUp,
}

/// One step of a schedule.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A signal to a process.
    Signal(Who, Signal),
    /// A process is started unless it runs.
    Start(Who),
    /// A dead voter loses its folder.
    Erase(u8),
    /// A dead voter's newest file is cut.
    Tear(u8),
    /// What lies on a way changes.
    Way(Who, proxy::Condition),
    /// All connections of a way are reset.
    Reset(Who),
    /// An engine behaves otherwise.
    Behave(u8, engine::Behaviour),
    /// An engine asks something else in its answers.
    Ask(u8, engine::Asks),
    /// An engine falls silent of itself from now on, as this seed decides, or no longer.
    FallSilent(u8, Option<u64>),
    /// A document is sent.
    Document,
    /// An invalid document is sent.
    BadDocument,
    /// Weights are named.
    Name,
    /// An engine says that it leaves, and ends.
    Drain(u8),
    /// An engine ends, and one of another service starts at its address.
    Replace(u8),
    /// A caller sends a request again on which engines end: number of the request, its kind, number
    /// of the attempt, and the entry.
    Fatal(u8, Kind, u8, u8),
    /// All faults end.
    Heal,
}

/// A step and its time.
#[derive(Clone, Debug)]
pub struct Event {
    /// Milliseconds since the run began.
    pub at_ms: u64,
    /// What happens.
    pub step: Step,
}

struct Maker {
    rng: rand_chacha::ChaCha8Rng,
    size: Size,
    events: Vec<Event>,
    end_ms: u64,
}

/// The schedule of a run with faults until `end_ms`.
pub fn make(seed: u64, size: Size, end_ms: u64) -> Vec<Event> {
    let rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut maker = Maker { rng, size, events: Vec::new(), end_ms };
    maker.faults();
    maker.changes();
    maker.loss_of_a_folder();
    maker.calm();
    // The schedules of earlier seeds stay as they were.
    maker.rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed ^ ASKS_SEED);
    maker.asks();
    maker.rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed ^ REPEATS_SEED);
    maker.repeats();
    maker.rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed ^ FATAL_SEED);
    maker.fatal_requests();
    maker.rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed ^ ENDLESS_SEED);
    maker.endless_answers();
    maker.rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed ^ SILENCES_SEED);
    maker.silences();
    maker.events.sort_by_key(|event| event.at_ms);
    maker.events
}

impl Maker {
    fn push(&mut self, at_ms: u64, step: Step) {
        self.events.push(Event { at_ms, step });
    }

    fn some(&mut self, from: u8, count: u8) -> u8 {
        from + self.rng.random_range(0..count)
    }

    fn process(&mut self) -> Who {
        let processes = self.size.processes();
        processes[self.rng.random_range(0..processes.len())]
    }

    fn way(&mut self) -> Who {
        match self.rng.random_range(0..10) {
            0..3 => Who::Engine(self.some(20, self.size.agents)),
            3..5 => Who::Engine(self.some(30, 3)),
            5..8 => Who::Callers(self.some(10, self.size.entries)),
            8 => Who::Control(self.some(1, self.size.voters)),
            _ => Who::Origin,
        }
    }

    fn faults(&mut self) {
        let mut at_ms = QUIET_MS;
        loop {
            at_ms += self.rng.random_range(1..2 * FAULT_GAP_MS);
            let until_ms = at_ms + self.rng.random_range(100..FAULT_MAX_MS);
            if until_ms >= self.end_ms {
                return;
            }
            self.fault(at_ms, until_ms);
        }
    }

    fn fault(&mut self, at_ms: u64, until_ms: u64) {
        match self.rng.random_range(0..14) {
            0..2 => self.stop(at_ms, until_ms, Signal::Kill),
            2..4 => self.stop(at_ms, until_ms, Signal::Terminate),
            4..6 => {
                let who = self.process();
                self.push(at_ms, Step::Signal(who, Signal::Stop));
                self.push(until_ms, Step::Signal(who, Signal::Continue));
            }
            6 => {
                let who = self.process();
                self.push(at_ms, Step::Signal(who, Signal::HangUp));
            }
            7 => {
                for _ in 0..self.rng.random_range(2..5) {
                    self.stop(at_ms, until_ms, Signal::Kill);
                }
            }
            8..12 => {
                let way = self.way();
                let condition = self.condition();
                match condition {
                    Some(condition) => {
                        self.push(at_ms, Step::Way(way, condition));
                        self.push(until_ms, Step::Way(way, proxy::Condition::default()));
                    }
                    None => self.push(at_ms, Step::Reset(way)),
                }
            }
            _ => {
                let engine = match self.rng.random_bool(0.5) {
                    true => self.some(20, self.size.agents),
                    false => self.some(30, 3),
                };
                let behaviour = self.behaviour();
                self.push(at_ms, Step::Behave(engine, behaviour));
                self.push(until_ms, Step::Behave(engine, engine::Behaviour::Good));
            }
        }
    }

    fn stop(&mut self, at_ms: u64, until_ms: u64, signal: Signal) {
        let who = self.process();
        self.push(at_ms, Step::Signal(who, signal));
        self.push(until_ms, Step::Start(who));
    }

    /// What a way does, none where its connections are reset at once.
    fn condition(&mut self) -> Option<proxy::Condition> {
        let none = proxy::Condition::default();
        let delay_ms = self.rng.random_range(5..400);
        match self.rng.random_range(0..6) {
            0 => Some(proxy::Condition { delay_ms, ..none }),
            1 => Some(proxy::Condition { holds_there: true, ..none }),
            2 => Some(proxy::Condition { holds_back: true, ..none }),
            3 => Some(proxy::Condition { holds_there: true, holds_back: true, ..none }),
            4 => Some(proxy::Condition { refuses: true, ..none }),
            _ => None,
        }
    }

    fn behaviour(&mut self) -> engine::Behaviour {
        match self.rng.random_range(0..6) {
            0 => engine::Behaviour::Shed,
            1 => engine::Behaviour::LoseAnswer,
            2 => engine::Behaviour::CutWithin(self.rng.random_range(1..8)),
            3 => engine::Behaviour::Fail(500),
            4 => engine::Behaviour::OtherAnswer,
            _ => engine::Behaviour::Hang,
        }
    }

    fn changes(&mut self) {
        let mut at_ms = QUIET_MS;
        while at_ms < self.end_ms {
            let step = match self.rng.random_range(0..8) {
                0..4 => Step::Document,
                4 => Step::BadDocument,
                5 => Step::Replace(41),
                _ => Step::Name,
            };
            self.push(at_ms, step);
            at_ms += self.rng.random_range(300..4_000);
        }
    }

    /// In half of the runs one voter loses its folder or a part of a file, within what is borne.
    fn loss_of_a_folder(&mut self) {
        let (first_ms, last_ms) = (QUIET_MS, self.end_ms.saturating_sub(LOSS_APART_MS));
        if first_ms >= last_ms || self.rng.random_bool(0.5) {
            return;
        }
        let at_ms = self.rng.random_range(first_ms..last_ms);
        let voter = self.some(1, self.size.voters);
        let back_ms = at_ms + self.rng.random_range(100..2_000);
        let apart = at_ms.saturating_sub(LOSS_APART_MS)..back_ms + LOSS_APART_MS;
        let mut returns = Vec::new();
        self.events.retain(|event| {
            let at_voter = match event.step {
                Step::Signal(who, _) | Step::Start(who) => {
                    matches!(who, Who::Voter(_)).then_some(who)
                }
                _ => None,
            };
            let kept = at_voter.is_none() || !apart.contains(&event.at_ms);
            if !kept {
                returns.extend(at_voter);
            }
            kept
        });
        // What was to end in this time ends before it.
        for who in returns {
            self.push(apart.start, Step::Signal(who, Signal::Continue));
            self.push(apart.start, Step::Start(who));
        }
        let lost = if self.rng.random_bool(0.5) { Step::Erase(voter) } else { Step::Tear(voter) };
        self.push(at_ms, Step::Signal(Who::Voter(voter), Signal::Kill));
        self.push(at_ms + 1, lost);
        self.push(back_ms, Step::Start(Who::Voter(voter)));
    }

    /// Engines ask for less work, in the time of faults and in the calm after it.
    fn asks(&mut self) {
        let mut at_ms = QUIET_MS;
        while at_ms < self.end_ms + CALM_MS / 2 {
            let place = match self.rng.random_bool(0.6) {
                true => self.some(20, self.size.agents),
                false => self.some(30, 3),
            };
            let asks = self.asked();
            let until_ms = at_ms + self.rng.random_range(1_000..ASKS_MAX_MS);
            self.push(at_ms, Step::Ask(place, asks));
            self.push(until_ms, Step::Ask(place, engine::Asks::default()));
            at_ms += self.rng.random_range(1..2 * ASKS_GAP_MS);
        }
        // One engine says that it leaves and tells no voter, another one before it tells them.
        let settled_ms = self.end_ms + WINDOW_MS + 1_000;
        let leaving = engine::Asks { leaving: true, ..engine::Asks::default() };
        self.events.retain(|event| !matches!(event.step, Step::Ask(20 | 32, _)));
        self.push(settled_ms, Step::Ask(20, leaving));
        self.push(settled_ms + 2_500, Step::Ask(32, leaving));
    }

    /// All engines fail every second request while entries are killed one after the other.
    fn repeats(&mut self) {
        let latest_ms = self.end_ms.saturating_sub(REPEATS_MS).max(QUIET_MS + 1);
        let from_ms = self.rng.random_range(QUIET_MS..latest_ms);
        let until_ms = (from_ms + REPEATS_MS).min(self.end_ms);
        let engines: Vec<u8> = (20..20 + self.size.agents).chain(30..33).collect();
        for engine in engines {
            self.push(from_ms, Step::Behave(engine, engine::Behaviour::FailEverySecond(500)));
            self.push(until_ms, Step::Behave(engine, engine::Behaviour::Good));
        }
        let mut at_ms = from_ms;
        while at_ms < until_ms {
            let entry = Who::Entry(self.some(10, self.size.entries));
            let back_ms = at_ms + self.rng.random_range(100..REPEATS_DOWN_MS);
            self.push(at_ms, Step::Signal(entry, Signal::Kill));
            self.push(back_ms, Step::Start(entry));
            at_ms += self.rng.random_range(100..REPEATS_KILL_GAP_MS);
        }
    }

    /// Callers send requests on which engines end, again and again at any entry.
    fn fatal_requests(&mut self) {
        for request in 0..FATAL_REQUESTS {
            let kinds = [Kind::Read, Kind::Transfer, Kind::Stream];
            let kind = kinds[self.rng.random_range(0..kinds.len())];
            let mut at_ms = match request {
                0 => FATAL_PAUSE_MS,
                _ => self.rng.random_range(QUIET_MS..self.end_ms.max(QUIET_MS + 1)),
            };
            for attempt in 0..FATAL_ATTEMPTS {
                let entry = self.some(10, self.size.entries);
                self.push(at_ms, Step::Fatal(request, kind, attempt, entry));
                at_ms += self.rng.random_range(1..FATAL_PAUSE_MS);
            }
        }
    }

    /// Engines send answers without end.
    fn endless_answers(&mut self) {
        for _ in 0..ENDLESS_TIMES {
            let at_ms = self.rng.random_range(QUIET_MS..self.end_ms.max(QUIET_MS + 1));
            let until_ms = (at_ms + self.rng.random_range(100..ENDLESS_MAX_MS)).min(self.end_ms);
            let engine = match self.rng.random_bool(0.5) {
                true => self.some(20, self.size.agents),
                false => self.some(30, 3),
            };
            self.push(at_ms, Step::Behave(engine, engine::Behaviour::Endless));
            self.push(until_ms, Step::Behave(engine, engine::Behaviour::Good));
        }
    }

    /// Engines with weights fall silent as they get orders and chunks, while weights are named one
    /// soon after the other and documents change.
    fn silences(&mut self) {
        let latest_ms = self.end_ms.saturating_sub(SILENCES_MS).max(QUIET_MS + 1);
        let from_ms = self.rng.random_range(QUIET_MS..latest_ms);
        let until_ms = (from_ms + SILENCES_MS).min(self.end_ms);
        for engine in 20..20 + self.size.agents {
            let seed = self.rng.random();
            self.push(from_ms, Step::FallSilent(engine, Some(seed)));
            self.push(until_ms, Step::FallSilent(engine, None));
        }
        let series =
            [(Step::Name, SILENCES_NAME_GAP_MS), (Step::Document, SILENCES_DOCUMENT_GAP_MS)];
        for (step, gap_ms) in series {
            let mut at_ms = from_ms;
            while at_ms < until_ms {
                self.push(at_ms, step.clone());
                at_ms += self.rng.random_range(gap_ms.clone());
            }
        }
    }

    fn asked(&mut self) -> engine::Asks {
        let none = engine::Asks::default();
        match self.rng.random_bool(0.5) {
            true => {
                let limit_per_s = Some(self.rng.random_range(0.5..6.0));
                engine::Asks { limit_per_s, ..none }
            }
            false => {
                let pause_s = Some(self.rng.random_range(1.0..4.0));
                engine::Asks { pause_s, ..none }
            }
        }
    }

    /// All faults end; what is planned goes on, under which bounds of time are judged.
    fn calm(&mut self) {
        let heal_ms = self.end_ms;
        let settled_ms = heal_ms + WINDOW_MS + 1_000;
        let entry = Who::Entry(self.some(10, self.size.entries));
        self.push(heal_ms, Step::Heal);
        self.push(settled_ms, Step::Name);
        self.push(settled_ms + 1_000, Step::Document);
        self.push(settled_ms + 2_000, Step::Signal(Who::Entry(10), Signal::HangUp));
        self.push(settled_ms + 3_000, Step::Drain(32));
        self.push(settled_ms + 4_000, Step::Document);
        self.push(settled_ms + 5_000, Step::Signal(entry, Signal::Terminate));
        self.push(settled_ms + 6_500, Step::Start(entry));
        self.push(settled_ms + 9_000, Step::Document);
    }
}
