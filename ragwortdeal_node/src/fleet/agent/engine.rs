//! Calls to the engine on this instance.

use bytes::Bytes;
use ragwortdeal_core::{directory, orders::outstanding};

use super::{Agent, manifests, peers};
use crate::{fleet::dialect, http};

/// Timeout of calls to the engine. It is on this instance; a longer delay means that it hangs.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Largest report.
const REPORT_MAX_BYTES: usize = 256 << 10;

/// Timeout of a write to the stage. Nothing but its answer tells that it will not be carried out
/// later, so it is waited for as long as an engine may stand still.
const STAGE_WRITE_TIMEOUT_MS: u64 = 10_000;

/// An order to load weights.
#[derive(Clone, Debug)]
pub(super) struct LoadOrder {
    pub(super) weights: manifests::Weights,
    /// The layers to hold, or all if none are given.
    pub(super) layers: Option<directory::Layers>,
    pub(super) cutover: dialect::Cutover,
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
        timeout_ms: u64,
    ) -> Result<(u16, Bytes), http::HttpError> {
        let answer = self.call(step, &self.engine.to_string(), call, max_bytes, timeout_ms).await;
        answer.inspect_err(|error| log::debug!("agent: {error}"))
    }

    /// Asks the engine for its report.
    pub(super) async fn report(&self) -> Option<dialect::EngineReport> {
        let call = self.dialect.report_call();
        let answer = self.call_engine("ask engine", call, REPORT_MAX_BYTES, CALL_TIMEOUT_MS).await;
        let (status, bytes) = answer.ok()?;
        if status != 200 {
            return None;
        }
        match self.dialect.report(&bytes) {
            Ok(report) => Some(report),
            Err(error) => {
                log::warn!("agent: {error}");
                None
            }
        }
    }

    /// Asks the engine for its report, and notes which load it tells of.
    pub(super) async fn observe(&self) -> Option<dialect::EngineReport> {
        let asked_after = self.load_proofs().writes();
        let report = self.report().await?;
        if let Some(born_ms) = report.born_ms {
            self.record_reported_start(born_ms);
        }
        self.load_proofs().reported(asked_after, count_of(&report));
        Some(report)
    }

    /// Stages a chunk, while no order can be accepted. Returns whether the engine accepted it.
    pub(super) async fn stage_chunk(
        &self,
        _settled: &outstanding::Settled,
        model: &str,
        chunk: u32,
        bytes: Bytes,
    ) -> bool {
        self.load_proofs().written();
        let call = self.dialect.stage_call(model, chunk, bytes);
        let timeout_ms = STAGE_WRITE_TIMEOUT_MS;
        match self.call_engine("stage chunk", call, REPORT_MAX_BYTES, timeout_ms).await {
            Ok((status, _)) => (200..300).contains(&status),
            Err(error) => {
                log::warn!(chunk, reason:% = error; "agent: no answer to a write to the stage");
                self.telemetry.count("agent.stage_writes_unanswered", 1);
                false
            }
        }
    }

    /// Reads a staged chunk back.
    pub(super) async fn read_staged_chunk(
        &self,
        model: &str,
        chunk: u32,
        max_bytes: usize,
    ) -> StagedChunk {
        let call = self.dialect.read_staged_call(model, chunk);
        let answer = self.call_engine("read staged chunk", call, max_bytes, CALL_TIMEOUT_MS).await;
        match answer {
            Ok((200, bytes)) => StagedChunk::Bytes(bytes),
            Ok((500.., _)) => StagedChunk::Unknown,
            Ok(_) => StagedChunk::Unusable,
            Err(error @ http::HttpError::BadAnswer { .. }) if !error.is_late() => {
                StagedChunk::Unusable
            }
            Err(_) => StagedChunk::Unknown,
        }
    }

    /// Sends an order to load what is staged, which the engine accepts only at this count of orders.
    /// Returns the status, or none if no answer came: the order may still be accepted.
    pub(super) async fn send_order(
        &self,
        order: &LoadOrder,
        expected: outstanding::OrderCount,
    ) -> Option<u16> {
        let LoadOrder { weights, layers, cutover } = order;
        let manifests::Weights { model, version } = weights;
        let expected = Some(expected.accepted);
        let call = self.dialect.load_call(model, *version, *layers, *cutover, expected);
        let answer = self.call_engine("order load", call, REPORT_MAX_BYTES, CALL_TIMEOUT_MS).await;
        answer.ok().map(|(status, _)| status)
    }
}

/// The count of orders in a report.
pub(super) fn count_of(report: &dialect::EngineReport) -> outstanding::OrderCount {
    outstanding::OrderCount {
        born_ms: report.born_ms.unwrap_or(0),
        accepted: report.orders_accepted,
    }
}

/// Highest version of which an engine holds any layers, 0 for none.
pub(super) fn held_version(report: &dialect::EngineReport) -> u64 {
    report.held.iter().map(|held| held.version).max().unwrap_or(0)
}
