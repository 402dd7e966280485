//! Calls of the agent that a stand-in for an engine takes in and carries out late.

use std::{ops, sync, time};

use bytes::Bytes;
use hyper::Response;
use rand::{RngExt as _, SeedableRng as _};
use tokio::sync::{oneshot, watch};

use super::{Body, Engine};

/// Longest time after waking within which an engine answers what it reads.
const READ_DELAY_MAX: time::Duration = time::Duration::from_millis(20);

/// Longest time after waking within which an engine carries out what changes it.
const CHANGE_DELAY_MAX: time::Duration = time::Duration::from_millis(400);

/// A call of the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentCall {
    /// For the engine's report.
    Report,
    /// An order.
    Order,
    /// A read of a staged chunk.
    Read,
    /// A write to the stage.
    Write,
}

/// When an engine falls silent of itself: it takes in what is sent, and carries it out as it wakes,
/// in no fixed order between connections.
#[derive(Clone, Debug)]
pub struct Spells {
    /// Decides on what it falls silent, for how long, and in which order it wakes.
    pub seed: u64,
    /// Share of orders that begin a spell.
    pub on_orders: f64,
    /// Share of writes to the stage that begin a spell.
    pub on_writes: f64,
    /// How long a spell lasts.
    pub lasts: ops::Range<time::Duration>,
}

/// Whether calls of the agent wait.
#[derive(Debug)]
pub(super) struct Silence {
    spells: Option<(Spells, rand_chacha::ChaCha8Rng)>,
    /// Number of spells that began.
    begun: u64,
    silent: watch::Sender<bool>,
    /// Calls of this kind are taken in and wait to be let through.
    held: Option<AgentCall>,
    /// Those that wait, in the order in which they came. Told whether they are carried out.
    waiting: Vec<oneshot::Sender<bool>>,
}

impl Default for Silence {
    fn default() -> Self {
        Self {
            spells: None,
            begun: 0,
            silent: watch::Sender::new(false),
            held: None,
            waiting: Vec::new(),
        }
    }
}

impl Silence {
    /// Begins a spell if this call does. Returns how long it lasts.
    fn begin_spell(&mut self, call: AgentCall) -> Option<time::Duration> {
        let (spells, random) = self.spells.as_mut()?;
        let chance = match call {
            AgentCall::Order => spells.on_orders,
            AgentCall::Write => spells.on_writes,
            AgentCall::Report | AgentCall::Read => 0.0,
        };
        let begins = random.random_bool(chance) && !*self.silent.borrow();
        self.begun += u64::from(begins);
        begins.then(|| random.random_range(spells.lasts.clone()))
    }

    /// How long after waking a call is carried out.
    fn wake_delay(&mut self, call: AgentCall) -> time::Duration {
        let longest = match call {
            AgentCall::Report | AgentCall::Read => READ_DELAY_MAX,
            AgentCall::Order | AgentCall::Write => CHANGE_DELAY_MAX,
        };
        let random = self.spells.as_mut().map(|(_, random)| random);
        random.map_or(time::Duration::ZERO, |random| {
            random.random_range(time::Duration::ZERO..longest)
        })
    }
}

impl Engine {
    /// Lets it fall silent of itself from now on, or no longer.
    pub fn fall_silent(&self, spells: Option<Spells>) {
        let random = |spells: &Spells| rand_chacha::ChaCha8Rng::seed_from_u64(spells.seed);
        self.state().silence.spells = spells.map(|spells| (spells.clone(), random(&spells)));
    }

    /// Number of times at which it fell silent of itself.
    pub fn silences(&self) -> u64 {
        self.state().silence.begun
    }

    /// Takes calls of a kind in without carrying them out, from now on.
    pub fn hold(&self, call: AgentCall) {
        self.state().silence.held = Some(call);
    }

    /// Number of calls that were taken in and not carried out.
    pub fn held_calls(&self) -> usize {
        self.state().silence.waiting.len()
    }

    /// Carries out the first of the calls that are held. The others are lost, and calls are no longer
    /// held.
    pub fn release_first(&self) {
        let mut state = self.state();
        state.silence.held = None;
        let first = |(index, waiting): (usize, oneshot::Sender<bool>)| waiting.send(index == 0);
        // A call whose caller has left waits all the same.
        state.silence.waiting.drain(..).enumerate().for_each(|it| _ = first(it));
    }

    /// Carries out all calls that are held, in the order in which they came, and holds no others.
    pub async fn release_all(&self) {
        let waiting: Vec<_> = {
            let mut state = self.state();
            state.silence.held = None;
            state.silence.waiting.drain(..).collect()
        };
        for call in waiting {
            _ = call.send(true);
            // Another one is carried out once this one was.
            tokio::time::sleep(READ_DELAY_MAX).await;
        }
    }

    /// Waits until a call is carried out. Returns whether it is.
    pub(super) async fn admits(self: &sync::Arc<Self>, call: AgentCall) -> bool {
        let (begins, held) = {
            let mut state = self.state();
            let silence = &mut state.silence;
            let begins = silence.begin_spell(call);
            if begins.is_some() {
                silence.silent.send_replace(true);
            }
            let held =
                (silence.held == Some(call)).then(oneshot::channel).map(|(send, receive)| {
                    silence.waiting.push(send);
                    receive
                });
            (begins, held)
        };
        if let Some(lasts) = begins {
            let engine = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(lasts).await;
                engine.state().silence.silent.send_replace(false);
            });
        }
        if let Some(held) = held {
            return held.await.unwrap_or(false);
        }
        let mut silent = self.state().silence.silent.subscribe();
        if *silent.borrow_and_update() {
            // The sender lives as long as the engine.
            let _ = silent.wait_for(|silent| !silent).await;
            let delay = self.state().silence.wake_delay(call);
            tokio::time::sleep(delay).await;
        }
        true
    }

    /// Carries out a call of the agent, also if the agent has left. None where it is lost.
    pub(super) async fn carry_out(
        self: &sync::Arc<Self>,
        call: AgentCall,
        run: impl FnOnce(&Self) -> Response<Body> + Send + 'static,
    ) -> Option<Response<Body>> {
        let engine = self.clone();
        let carried = tokio::spawn(async move {
            let admitted = engine.admits(call).await;
            admitted.then(|| run(&engine))
        });
        carried.await.ok().flatten()
    }
}

/// The call that a request makes, if it is one of the agent's.
pub(super) fn call_of(method: &hyper::Method, path: &str) -> Option<AgentCall> {
    match path {
        "/report" => Some(AgentCall::Report),
        "/order" => Some(AgentCall::Order),
        _ if path.starts_with("/stage-get/") => Some(AgentCall::Read),
        _ if path.starts_with("/stage-put/") && *method == hyper::Method::PUT => {
            Some(AgentCall::Write)
        }
        _ => None,
    }
}

/// What a call of the agent does.
pub(super) fn run(
    engine: &Engine,
    call: AgentCall,
    (path, query): (&str, &str),
    body: Bytes,
) -> Response<Body> {
    match call {
        AgentCall::Report => engine.report(),
        AgentCall::Order => engine.order(&body),
        AgentCall::Read | AgentCall::Write => engine.stage(path, query, body),
    }
}
