//! Gives the engine its orders as the core decides, and announces what it serves.

use std::{collections, mem, sync, time};

use ragwortdeal_core::{
    config::{self, intent},
    digest, name,
    orders::{issuer, order},
};
use ragwortdeal_wire::engine as wire;

use super::{OrderError, to_wire};
use crate::{agent::Agent, clock, settings};

/// Pause after a failure, so that a broken engine is not asked in a tight loop.
const RETRY_MS: u64 = 500;

/// How often calls in progress are looked at while an order may wait for their end.
const POLL_MS: u64 = 100;

/// How often the engine's state is read where nothing has to be ordered: it may start anew and
/// hold nothing, which only its state tells.
const REFRESH_MS: u64 = 5_000;

/// How long a version stays loaded after its successor took over, so that calls which entries sent
/// before they heard of the switch still find the version they name.
const LINGER_MS: u64 = 3_000;

/// What the engine shall serve.
#[derive(Clone, Debug)]
pub(in crate::agent) struct Wanted {
    /// The intent; its version is staged whole, or the engine holds it already.
    pub(in crate::agent) intent: intent::Intent,
    /// Whether the version is staged whole, so that the engine can be told to load it.
    pub(in crate::agent) is_staged: bool,
}

/// Gives orders for as long as the process runs, one at a time.
pub(in crate::agent) async fn give_orders(agent: sync::Arc<Agent>) {
    let mut giving = Giving::new(agent);
    giving.announce_unchanged().await;
    loop {
        giving.take_wanted();
        let holdings = giving.holdings();
        match giving.giver.poll(giving.clock.now_ms(), &holdings) {
            Some(issuer::Action::ReadState) => giving.read().await,
            Some(issuer::Action::Issue(order)) => giving.give(order).await,
            None => giving.pause().await,
        }
    }
}

struct Giving {
    agent: sync::Arc<Agent>,
    clock: clock::Clock,
    giver: issuer::OrderIssuer,
    wanted: Option<Wanted>,
    /// Versions that served, and until when calls that name them are still taken.
    lingering: collections::BTreeMap<digest::Digest, u64>,
    refreshed_at_ms: u64,
}

impl Giving {
    fn new(agent: sync::Arc<Agent>) -> Self {
        let clock = clock::Clock::start();
        let mut giver = issuer::OrderIssuer::new(giver_settings(&agent.settings), clock.now_ms());
        // An engine that checks numbers raises this floor by the highest it has seen. For one that
        // ignores them the entries have the time until its first order to bring what they know.
        giver.handle(issuer::Event::Floor(order::Fence(0)), clock.now_ms());
        Self {
            agent,
            clock,
            giver,
            wanted: None,
            lingering: collections::BTreeMap::new(),
            refreshed_at_ms: 0,
        }
    }

    fn take_wanted(&mut self) {
        let wanted = self.agent.wanted.borrow().clone();
        if let Some(wanted) = &wanted {
            let intent = order::Intent {
                fence: order::Fence(wanted.intent.fence),
                active: Some(weights_id(&wanted.intent)),
                loaded: collections::BTreeSet::new(),
                role: None,
            };
            self.giver.handle(issuer::Event::Intent(intent), self.clock.now_ms());
        }
        self.wanted = wanted;
    }

    /// What is staged and what calls still use. A version whose time to linger is over is offered
    /// to no call any more before its calls are counted.
    fn holdings(&mut self) -> issuer::LocalWeights {
        let now_ms = self.clock.now_ms();
        let (over, lingering): (collections::BTreeMap<_, _>, _) = mem::take(&mut self.lingering)
            .into_iter()
            .partition(|(_, until_ms)| *until_ms <= now_ms);
        self.lingering = lingering;
        if !over.is_empty() {
            self.agent.weights.send_modify(|weights| {
                weights.loaded.retain(|version| !over.contains_key(version));
            });
        }
        let offered = self.agent.weights.borrow().loaded.clone();
        let running = self.agent.running_versions();
        let in_use = offered.into_iter().chain(running).map(|version| self.id_of(version));
        let staged = self.wanted.iter().filter(|wanted| wanted.is_staged);
        issuer::LocalWeights {
            verified: staged.map(|wanted| weights_id(&wanted.intent)).collect(),
            in_use: in_use.collect(),
        }
    }

    async fn read(&mut self) {
        let now_ms = self.clock.now_ms();
        match self.agent.engine.state().await {
            Ok(state) => {
                let state = self.state_of(&state);
                self.refreshed_at_ms = now_ms;
                self.publish(&state);
                self.giver.handle(issuer::Event::State(state), self.clock.now_ms());
            }
            Err(error) => {
                self.giver.handle(issuer::Event::StateUnavailable, now_ms);
                self.failed(&error).await;
            }
        }
    }

    async fn give(&mut self, order: order::Order) {
        let Some(wanted) = self.wanted.clone() else { return };
        let (source, phase) = match &order.kind {
            order::OrderKind::Load(weights) => {
                (Some(self.agent.staged_url(weights.version)), Some("loading"))
            }
            order::OrderKind::Activate(_) => (None, Some("loaded")),
            _ => (None, None),
        };
        if let Some(phase) = phase {
            self.agent.weights.send_modify(|weights| weights.phase = phase);
        }
        let given = to_wire(&order, &weights_id(&wanted.intent), source);
        let result = self.agent.engine.order(&given).await;
        let event = match &result {
            Ok(()) => issuer::Event::Done(order.sequence),
            Err(error) if error.is_settled() => issuer::Event::Refused(order.sequence),
            Err(_) => issuer::Event::NoReply(order.sequence),
        };
        self.giver.handle(event, self.clock.now_ms());
        if let Err(error) = result {
            self.failed(&error).await;
        }
    }

    async fn failed(&self, error: &OrderError) {
        log::warn!("agent: {}: {error}", self.agent.identity.name);
        self.agent.weights.send_modify(|weights| weights.behind = Some(error.to_string()));
        tokio::time::sleep(time::Duration::from_millis(RETRY_MS)).await;
    }

    async fn pause(&mut self) {
        let mut wanted = self.agent.wanted.subscribe();
        tokio::select! {
            _ = wanted.changed() => (),
            () = tokio::time::sleep(time::Duration::from_millis(POLL_MS)) => (),
        }
        if self.clock.now_ms() >= self.refreshed_at_ms + REFRESH_MS {
            self.giver.refresh();
        }
    }

    /// An engine that serves what is intended goes on while a restarted agent must not order yet.
    /// Its answers name their version, so a late order can be noticed and does no harm to callers.
    async fn announce_unchanged(&mut self) {
        let mut wanted = self.agent.wanted.subscribe();
        if wanted.wait_for(Option::is_some).await.is_err() {
            return;
        }
        self.take_wanted();
        if let Ok(state) = self.agent.engine.state().await {
            let state = self.state_of(&state);
            self.publish(&state);
        }
    }

    /// Announces what the engine reports, if it is what is wanted.
    fn publish(&mut self, state: &order::EngineState) {
        let Some(wanted) = &self.wanted else { return };
        let target = weights_id(&wanted.intent);
        let former = self.agent.weights.borrow().serving;
        let serves = state.active.as_ref() == Some(&target) && state.loaded.contains(&target);
        if !serves {
            let lost = former.is_some_and(|former| !state.loaded.contains(&self.id_of(former)));
            if lost {
                self.agent.weights.send_modify(|weights| {
                    weights.serving = None;
                    weights.loaded.clear();
                });
            }
            return;
        }
        if former == Some(target.version) {
            return;
        }
        if let Some(former) = former {
            self.lingering.insert(former, self.clock.now_ms() + LINGER_MS);
        }
        self.lingering.remove(&target.version);
        self.agent.weights.send_modify(|weights| {
            weights.phase = "serving";
            weights.behind = None;
            weights.serving = Some(target.version);
            weights.model = Some(target.model.clone());
            weights.loaded.insert(target.version);
        });
        log::info!("agent: {} serves version {:?}", self.agent.identity.name, target.version);
    }

    fn state_of(&self, state: &wire::EngineState) -> order::EngineState {
        let id = |text: &String| text.parse().ok().map(|version| self.id_of(version));
        let checked = self.agent.settings.upstream.checks_fence;
        order::EngineState {
            loaded: state.loaded.iter().filter_map(id).collect(),
            // Engines of this kind answer an order to load once it is done.
            loading: false,
            active: state.active.as_ref().and_then(id),
            role: order::Role::new(&state.role),
            highest_fence: checked.then_some(order::Fence(state.highest_fence)),
        }
    }

    /// Engines name weights by version alone; the configuration knows the model.
    fn id_of(&self, version: digest::Digest) -> order::WeightsId {
        let config = self.agent.config.borrow();
        let stored = config.objects().get(&config::object::ObjectKey::Version(version));
        match stored.map(|stored| &stored.object) {
            Some(config::object::Object::Version(details)) => {
                let config::object::Version { model, adapter, .. } = details.clone();
                order::WeightsId { model, adapter, version }
            }
            _ => order::WeightsId { model: unknown_model(), adapter: None, version },
        }
    }
}

/// Stands for the model of a version that was removed from the configuration.
fn unknown_model() -> name::ModelName {
    name::ModelName::new("unknown").expect("a constant name is valid")
}

fn weights_id(intent: &intent::Intent) -> order::WeightsId {
    let config::object::Version { model, adapter, .. } = intent.details.clone();
    order::WeightsId { model, adapter, version: intent.version }
}

fn giver_settings(settings: &settings::agent::Settings) -> issuer::IssuerSettings {
    let fencing = match settings.upstream.checks_fence {
        true => order::Fencing::Checked,
        false => order::Fencing::Ignored,
    };
    issuer::IssuerSettings { fencing, order_life_ms: settings.upstream.order_life_ms }
}
