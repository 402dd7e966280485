//! Orders to the engine beside the agent, and its load reports.

mod giving;

use std::{net, sync, time};

use ragwortdeal_core::orders::order;
use ragwortdeal_wire::engine as wire;
use snafu::{ResultExt as _, Snafu};

use super::{Agent, Report};
use crate::http;

pub(super) use giving::{Wanted, give_orders};

/// Longest time an order may take; loading is the slowest.
const ORDER_MS: u64 = 600_000;

/// Longest time a report of the load may take.
const STATE_MS: u64 = 1_000;

/// Largest answer of an engine to an order or a question for its state.
const ANSWER_MAX_BYTES: usize = 1 << 20;

/// Why an order was not carried out, as far as the agent knows.
#[derive(Debug, Snafu)]
pub enum OrderError {
    /// The engine could not be asked, or its answer was lost.
    #[snafu(display("{source}"), context(false))]
    Http {
        /// What went wrong.
        source: http::HttpError,
    },
    /// The answer is no answer to an order.
    #[snafu(display("{step}: the engine's answer is malformed: {source}"))]
    Malformed {
        /// What was being done.
        step: &'static str,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// The engine refused the order.
    #[snafu(display("{step}: the engine refused: {reason}"))]
    Refused {
        /// What was being done.
        step: &'static str,
        /// Its reason.
        reason: String,
    },
}

impl OrderError {
    /// Whether the order can take no effect any more. Otherwise it may still, at any time.
    fn is_settled(&self) -> bool {
        match self {
            OrderError::Refused { .. } => true,
            OrderError::Http { source } => matches!(source, http::HttpError::NotSent { .. }),
            OrderError::Malformed { .. } => false,
        }
    }
}

/// The engine beside the agent. Orders are given by [`give_orders`] alone, one at a time.
#[derive(Debug)]
pub(super) struct Engine {
    address: net::SocketAddr,
    http: http::Client,
}

impl Engine {
    pub(super) fn new(address: net::SocketAddr, http: http::Client) -> Self {
        Self { address, http }
    }

    /// Gives one order and waits until it was carried out.
    async fn order(&self, order: &wire::Order) -> Result<(), OrderError> {
        let step = step_of(order.action);
        let body = serde_json::to_vec(order).expect("own types encode as JSON");
        let request = self.request("POST", "/orders", http::full(body));
        let peer = self.address.to_string();
        let fetched = self.http.fetch(step, &peer, request, ANSWER_MAX_BYTES, ORDER_MS).await;
        let (_, bytes) = fetched?;
        let answer: wire::OrderAnswer =
            serde_json::from_slice(&bytes).context(MalformedSnafu { step })?;
        match answer.done {
            true => Ok(()),
            false => Err(OrderError::Refused { step, reason: answer.reason.unwrap_or_default() }),
        }
    }

    /// Reads the engine's state and load.
    pub(super) async fn state(&self) -> Result<wire::EngineState, OrderError> {
        let step = "read state";
        let request = self.request("GET", "/state", http::full(bytes::Bytes::new()));
        let peer = self.address.to_string();
        let fetched = self.http.fetch(step, &peer, request, ANSWER_MAX_BYTES, STATE_MS).await;
        let (_, bytes) = fetched?;
        serde_json::from_slice(&bytes).context(MalformedSnafu { step })
    }

    fn request(&self, method: &str, path: &str, body: http::Body) -> hyper::Request<http::Body> {
        hyper::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .body(body)
            .expect("constant headers are valid")
    }
}

fn step_of(action: wire::OrderAction) -> &'static str {
    match action {
        wire::OrderAction::Load => "order load",
        wire::OrderAction::Activate => "order activate",
        wire::OrderAction::Unload => "order unload",
        wire::OrderAction::ChangeRole => "order change of role",
    }
}

/// The order as the engine takes it.
fn to_wire(order: &order::Order, target: &order::WeightsId, source: Option<String>) -> wire::Order {
    let (action, weights, role) = match &order.kind {
        order::OrderKind::Load(weights) => (wire::OrderAction::Load, weights, None),
        order::OrderKind::Unload(weights) => (wire::OrderAction::Unload, weights, None),
        order::OrderKind::Activate(weights) => (wire::OrderAction::Activate, weights, None),
        order::OrderKind::ChangeRole(role) => (wire::OrderAction::ChangeRole, target, Some(role)),
    };
    wire::Order {
        fence: order.fence.0,
        action,
        version: weights.version.to_string(),
        model: weights.model.to_string(),
        adapter: weights.adapter.as_ref().map(ToString::to_string),
        source,
        role: role.map(|role| role.as_str().to_owned()),
    }
}

/// Reads the engine's load again and again.
pub(super) async fn watch_load(agent: sync::Arc<Agent>) {
    let period = time::Duration::from_millis(agent.settings.upstream.report_ms);
    let mut ticks = tokio::time::interval(period);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match agent.engine.state().await {
            Ok(state) => {
                let wire::EngineState { running, queued, .. } = state;
                let by_entry = agent.by_entry.lock().expect("no panic under lock").clone();
                let report = Report { running, queued, by_entry, at: time::Instant::now() };
                *agent.report.lock().expect("no panic under lock") = report;
            }
            Err(error) => log::debug!("agent: {error}"),
        }
    }
}
