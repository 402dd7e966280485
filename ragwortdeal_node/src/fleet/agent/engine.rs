//! Calls to the engine on this instance.

use std::time;

use bytes::Bytes;
use ragwortdeal_core::directory;

use super::{Agent, manifests, peers};
use crate::{fleet::dialect, http};

/// Timeout of calls to the engine. It is on this instance; a longer delay means that it hangs.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Largest report.
const REPORT_MAX_BYTES: usize = 256 << 10;

/// An order to load weights.
pub(super) struct LoadOrder<'o> {
    pub(super) weights: &'o manifests::Weights,
    /// The layers to hold, or all if none are given.
    pub(super) layers: Option<directory::Layers>,
    pub(super) cutover: dialect::Cutover,
    /// Number of orders that the engine has accepted before.
    pub(super) orders_accepted: u64,
}

/// What is staged of a chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum StagedChunk {
    /// These bytes.
    Bytes(Bytes),
    /// No chunk, or more bytes than one has.
    Unusable,
    /// The engine did not answer, which tells nothing of what is staged.
    Unknown,
}

/// An order that got no answer.
#[derive(Debug)]
pub(super) struct UnansweredOrder {
    version: u64,
    /// Orders that the engine had accepted before.
    orders_accepted: u64,
    sent_at: time::Instant,
}

impl Agent {
    /// Calls an HTTP server.
    pub(super) async fn call(
        &self,
        step: &'static str,
        peer: &str,
        call: dialect::Call,
        max_bytes: usize,
        deadline_ms: u64,
    ) -> Result<(u16, Bytes), http::HttpError> {
        let request = hyper::Request::builder()
            .method(call.method)
            .uri(format!("http://{peer}{}", call.path))
            .header("content-type", "application/json");
        let request = if call.path.starts_with(peers::PATH_PREFIX) {
            request.header("authorization", self.credential.header_value())
        } else if *peer == *self.engine.to_string() {
            request
        } else {
            manifests::close_after_response(request)
        };
        let request = request
            .body(http::full(call.body))
            .expect("an address and an encoded path make a valid URL");
        let (head, bytes) = self.http.fetch(step, peer, request, max_bytes, deadline_ms).await?;
        Ok((head.status.as_u16(), bytes))
    }

    async fn call_engine(
        &self,
        step: &'static str,
        call: dialect::Call,
        max_bytes: usize,
    ) -> Option<(u16, Bytes)> {
        match self.call(step, &self.engine.to_string(), call, max_bytes, CALL_TIMEOUT_MS).await {
            Ok(answer) => Some(answer),
            Err(error) => {
                log::debug!("agent: {error}");
                None
            }
        }
    }

    /// Asks the engine for its report.
    pub(super) async fn report(&self) -> Option<dialect::EngineReport> {
        let call = self.dialect.report_call();
        let (status, bytes) = self.call_engine("ask engine", call, REPORT_MAX_BYTES).await?;
        if status != 200 {
            return None;
        }
        match self.dialect.report(&bytes) {
            Ok(report) => {
                self.log_late_order(&report);
                Some(report)
            }
            Err(error) => {
                log::warn!("agent: {error}");
                None
            }
        }
    }

    /// Logs that an order without an answer was accepted, or lost with the engine.
    fn log_late_order(&self, report: &dialect::EngineReport) {
        let mut unanswered = self.unanswered_order.lock().expect("no panic under lock");
        let ended = |it: &mut UnansweredOrder| it.orders_accepted != report.orders_accepted;
        let Some(order) = unanswered.take_if(ended) else {
            return;
        };
        let after_ms = order.sent_at.elapsed().as_millis() as u64;
        log::warn!(
            version = order.version, expected_orders = order.orders_accepted,
            orders = report.orders_accepted, held = held_version(report), after_ms;
            "agent: the engine's count of orders changed after an order without an answer"
        );
        self.telemetry.count("agent.orders_accepted_late", 1);
    }

    /// Stages a chunk. Returns whether the engine accepted it.
    pub(super) async fn stage_chunk(&self, model: &str, chunk: u32, bytes: Bytes) -> bool {
        self.load_proofs().written();
        let call = self.dialect.stage_call(model, chunk, bytes);
        let answer = self.call_engine("stage chunk", call, REPORT_MAX_BYTES).await;
        if answer.is_none() {
            log::warn!(chunk; "agent: no answer to a write to the stage");
            self.telemetry.count("agent.stage_writes_unanswered", 1);
        }
        answer.is_some_and(|(status, _)| (200..300).contains(&status))
    }

    /// Reads a staged chunk back.
    pub(super) async fn read_staged_chunk(
        &self,
        model: &str,
        chunk: u32,
        max_bytes: usize,
    ) -> StagedChunk {
        let call = self.dialect.read_staged_call(model, chunk);
        let engine = self.engine.to_string();
        let step = "read staged chunk";
        match self.call(step, &engine, call, max_bytes, CALL_TIMEOUT_MS).await {
            Ok((200, bytes)) => StagedChunk::Bytes(bytes),
            Ok((500.., _)) => StagedChunk::Unknown,
            Ok(_) => StagedChunk::Unusable,
            Err(error @ http::HttpError::BadAnswer { .. }) if !error.is_late() => {
                StagedChunk::Unusable
            }
            Err(error) => {
                log::debug!("agent: {error}");
                StagedChunk::Unknown
            }
        }
    }

    /// Orders the engine to load what is staged. Returns the status, or none if no answer came: the
    /// order may have been accepted all the same.
    pub(super) async fn order_load(&self, order: &LoadOrder<'_>) -> Option<u16> {
        let LoadOrder { weights, layers, cutover, orders_accepted } = *order;
        let manifests::Weights { model, version } = weights;
        let call = self.dialect.load_call(model, *version, layers, cutover, Some(orders_accepted));
        let sent_at = time::Instant::now();
        let answer = self.call_engine("order load", call, REPORT_MAX_BYTES).await;
        if answer.is_none() {
            log::warn!(
                version = *version, expected_orders = orders_accepted;
                "agent: no answer to an order"
            );
            self.telemetry.count("agent.orders_unanswered", 1);
            let order = UnansweredOrder { version: *version, orders_accepted, sent_at };
            *self.unanswered_order.lock().expect("no panic under lock") = Some(order);
        }
        answer.map(|(status, _)| status)
    }
}

/// Highest version of which an engine holds any layers, 0 for none.
pub(super) fn held_version(report: &dialect::EngineReport) -> u64 {
    report.held.iter().map(|held| held.version).max().unwrap_or(0)
}
