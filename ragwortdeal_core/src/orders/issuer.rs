//! Decides which order an engine gets next, so that no late order can undo a newer one.

use std::collections;

use crate::orders::order;

/// Properties of the engine and the network.
#[derive(Clone, Copy, Debug)]
pub struct IssuerSettings {
    /// Whether the engine checks the fence of an order.
    pub fencing: order::Fencing,
    /// Longest time after which an issued order can still take effect, whether it was lost or not.
    /// Used only for engines that ignore the fence.
    pub order_life_ms: u64,
}

/// State of the weights on the instance, apart from the engine.
#[derive(Clone, Debug, Default)]
pub struct LocalWeights {
    /// Weights that are staged and verified as a whole.
    pub verified: collections::BTreeSet<order::WeightsId>,
    /// Weights on which calls are in progress.
    pub in_use: collections::BTreeSet<order::WeightsId>,
}

/// An input of the issuer.
#[derive(Clone, Debug)]
pub enum Event {
    /// An intent from the log; intents older than the current one are ignored.
    Intent(order::Intent),
    /// The highest revision that the zone is known to have applied.
    ///
    /// A restarted agent in a partitioned zone may read an old intent from a stale voter. No order
    /// is issued before this revision is known, and none for an older intent.
    Floor(order::Fence),
    /// The engine reported its state on request.
    State(order::EngineState),
    /// The engine did not report its state.
    StateUnavailable,
    /// The engine carried out the order with this sequence.
    Done(u64),
    /// The engine refused the order with this sequence, or failed at it.
    Refused(u64),
    /// The order with this sequence got no reply: it may have taken effect, or may still do so.
    NoReply(u64),
}

/// An action to take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Query the engine's state.
    ReadState,
    /// Send an order to the engine.
    Issue(order::Order),
}

#[derive(Clone, Debug)]
enum Phase {
    /// An order that cannot be revoked may still take effect.
    AwaitingExpiry {
        until_ms: u64,
    },
    NeedsState,
    ReadingState,
    Ready(order::EngineState),
    AwaitingReply {
        order: order::Order,
        issued_at_ms: u64,
    },
}

/// Issues orders to one engine, for one incarnation of the agent.
#[derive(Debug)]
pub struct OrderIssuer {
    settings: IssuerSettings,
    floor: Option<order::Fence>,
    intent: Option<order::Intent>,
    /// Highest fence of the orders that the engine has executed in this incarnation.
    highest_executed: Option<order::Fence>,
    phase: Phase,
    next_sequence: u64,
}

impl OrderIssuer {
    /// Starts an incarnation of the agent. Orders of earlier ones may still be in flight, so an
    /// engine that ignores fences gets none until those can no longer take effect.
    pub fn new(settings: IssuerSettings, now_ms: u64) -> Self {
        let phase = match settings.fencing {
            order::Fencing::Checked => Phase::NeedsState,
            order::Fencing::Ignored => {
                Phase::AwaitingExpiry { until_ms: now_ms + settings.order_life_ms }
            }
        };
        Self {
            settings,
            floor: None,
            intent: None,
            highest_executed: None,
            phase,
            next_sequence: 1,
        }
    }

    /// Handles an event.
    pub fn handle(&mut self, event: Event, now_ms: u64) {
        match event {
            Event::Intent(intent) => {
                if self.intent.as_ref().is_none_or(|known| known.fence < intent.fence) {
                    self.intent = Some(intent);
                }
            }
            Event::Floor(fence) => self.floor = self.floor.max(Some(fence)),
            Event::State(state) => {
                if matches!(self.phase, Phase::ReadingState) {
                    self.floor = self.floor.max(self.floor.and(state.highest_fence));
                    self.phase = Phase::Ready(state);
                }
            }
            Event::StateUnavailable => {
                if matches!(self.phase, Phase::ReadingState) {
                    self.phase = Phase::NeedsState;
                }
            }
            Event::Done(sequence) => self.record_done(sequence),
            Event::Refused(sequence) => {
                if self.is_awaiting_reply(sequence) {
                    self.phase = Phase::NeedsState;
                }
            }
            Event::NoReply(sequence) => self.record_no_reply(sequence, now_ms),
        }
    }

    /// The next action, if one is due. Each action has to be followed by an event before the next.
    pub fn poll(&mut self, now_ms: u64, local: &LocalWeights) -> Option<Action> {
        match &self.phase {
            Phase::AwaitingExpiry { until_ms } if now_ms >= *until_ms => self.read_state(),
            Phase::NeedsState => self.read_state(),
            Phase::Ready(state) => {
                let kind = self.next_kind(state, local)?;
                let fence = self.current_intent()?.fence;
                Some(Action::Issue(self.issue(fence, kind, now_ms)))
            }
            _ => None,
        }
    }

    /// Queries the engine's state again before the next order; call it periodically.
    pub fn refresh(&mut self) {
        if matches!(self.phase, Phase::Ready(_)) {
            self.phase = Phase::NeedsState;
        }
    }

    /// The intent that the engine is known to follow and that no late order can undo.
    pub fn in_force(&self) -> Option<order::Fence> {
        let Phase::Ready(state) = &self.phase else { return None };
        let intent = self.current_intent()?;
        let follows = intent.active.is_none() || state.active == intent.active;
        let has_role = intent.role.as_ref().is_none_or(|role| *role == state.role);
        let complete = intent.loaded.is_subset(&state.loaded) && has_role;
        let settled = follows && complete && !self.needs_fence_raise(intent);
        settled.then_some(intent.fence)
    }

    fn read_state(&mut self) -> Option<Action> {
        self.phase = Phase::ReadingState;
        Some(Action::ReadState)
    }

    fn issue(&mut self, fence: order::Fence, kind: order::OrderKind, now_ms: u64) -> order::Order {
        let order = order::Order { fence, sequence: self.next_sequence, kind };
        self.next_sequence += 1;
        self.phase = Phase::AwaitingReply { order: order.clone(), issued_at_ms: now_ms };
        order
    }

    fn record_done(&mut self, sequence: u64) {
        if let Phase::AwaitingReply { order, .. } = &self.phase
            && order.sequence == sequence
        {
            self.highest_executed = self.highest_executed.max(Some(order.fence));
            self.phase = Phase::NeedsState;
        }
    }

    fn record_no_reply(&mut self, sequence: u64, now_ms: u64) {
        let Phase::AwaitingReply { order, issued_at_ms } = &self.phase else { return };
        if order.sequence != sequence {
            return;
        }
        let until_ms = match self.settings.fencing {
            order::Fencing::Checked => now_ms,
            order::Fencing::Ignored => issued_at_ms + self.settings.order_life_ms,
        };
        self.phase = Phase::AwaitingExpiry { until_ms };
    }

    fn is_awaiting_reply(&self, sequence: u64) -> bool {
        matches!(&self.phase, Phase::AwaitingReply { order, .. } if order.sequence == sequence)
    }

    /// The intent, unless a newer revision is known to have been applied.
    fn current_intent(&self) -> Option<&order::Intent> {
        let floor = self.floor?;
        self.intent.as_ref().filter(|intent| intent.fence >= floor)
    }

    fn next_kind(
        &self,
        state: &order::EngineState,
        local: &LocalWeights,
    ) -> Option<order::OrderKind> {
        let intent = self.current_intent()?;
        if state.loading {
            // A load of an earlier incarnation is running. An order now could hit a partial load.
            return None;
        }
        self.raise_fence(intent, state)
            .or_else(|| load(intent, state, local))
            .or_else(|| change_role(intent, state))
            .or_else(|| activate(intent, state))
            .or_else(|| unload(intent, state, local))
    }

    /// The first order of an intent: a harmless one, after which the engine refuses older fences.
    ///
    /// Otherwise a delayed order to unload could arrive between the query of the state and the
    /// activation of the same weights, and the engine would serve weights that it no longer holds.
    /// Once this order is done, only this intent can change the state that is queried next.
    fn raise_fence(
        &self,
        intent: &order::Intent,
        state: &order::EngineState,
    ) -> Option<order::OrderKind> {
        let role = intent.role.as_ref().unwrap_or(&state.role);
        self.needs_fence_raise(intent).then(|| order::OrderKind::ChangeRole(role.clone()))
    }

    fn needs_fence_raise(&self, intent: &order::Intent) -> bool {
        self.settings.fencing == order::Fencing::Checked
            && self.highest_executed < Some(intent.fence)
    }
}

fn load(
    intent: &order::Intent,
    state: &order::EngineState,
    local: &LocalWeights,
) -> Option<order::OrderKind> {
    let wanted = intent.active.iter().chain(&intent.loaded);
    let ready = |weights: &&order::WeightsId| {
        local.verified.contains(*weights) && !state.loaded.contains(*weights)
    };
    wanted.into_iter().find(ready).cloned().map(order::OrderKind::Load)
}

fn change_role(intent: &order::Intent, state: &order::EngineState) -> Option<order::OrderKind> {
    let wanted = intent.role.as_ref().filter(|role| **role != state.role)?;
    Some(order::OrderKind::ChangeRole(wanted.clone()))
}

/// Activates only weights that the engine itself reports as completely loaded.
fn activate(intent: &order::Intent, state: &order::EngineState) -> Option<order::OrderKind> {
    let target = intent.active.as_ref()?;
    let due = state.active.as_ref() != Some(target) && state.loaded.contains(target);
    due.then(|| order::OrderKind::Activate(target.clone()))
}

fn unload(
    intent: &order::Intent,
    state: &order::EngineState,
    local: &LocalWeights,
) -> Option<order::OrderKind> {
    let idle = |weights: &&order::WeightsId| {
        !intent.wants(weights)
            && state.active.as_ref() != Some(*weights)
            && !local.in_use.contains(*weights)
    };
    state.loaded.iter().find(idle).cloned().map(order::OrderKind::Unload)
}
