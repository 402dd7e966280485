//! Calls to plain services that may be repeated.

use std::sync;

use ragwortdeal_core::{config, name, routing};

use super::super::{Entry, stream};
use super::{attempt, history, permit};
use crate::http;

/// A read from a plain service.
pub(in super::super) struct Read<'a> {
    pub(in super::super) id: &'a str,
    /// Trace context for the hop to the agent.
    pub(in super::super) traceparent: Option<&'a str>,
    pub(in super::super) account: &'a name::AccountName,
    pub(in super::super) target: &'a config::object::ObjectKey,
    pub(in super::super) method: &'a hyper::Method,
    pub(in super::super) path: &'a str,
    pub(in super::super) urgency: permit::Urgency,
    pub(in super::super) body: bytes::Bytes,
}

/// Answers a read, from another upstream if the first one fails.
pub(in super::super) async fn serve(entry: &sync::Arc<Entry>, read: &Read<'_>) -> http::Response {
    let permit = match entry.admit(read.account, read.target, read.urgency, read.id).await {
        Ok(permit) => permit,
        Err(refusal) => return refusal,
    };
    let deadline_ms = read.urgency.deadline_ms(entry.clock.now_ms());
    let mut history = history::History::new(read.id, deadline_ms);
    loop {
        let mut chosen = match entry.choose(read.account, read.target, &history.tried) {
            Ok(chosen) => chosen,
            Err(kind) => return history.nobody_left(kind),
        };
        history.tried.push(chosen.instance.clone());
        let mut request =
            entry.to_agent(&chosen, read.method.as_str(), read.path, read.id, read.body.clone());
        Entry::trace(&mut request, read.traceparent);
        let patience_ms = history.patience_ms(entry);
        let (failure, detail) = match attempt::head(entry, &chosen, request, patience_ms).await {
            Ok(response) => {
                let mut in_flight = chosen.in_flight;
                in_flight.hold(permit);
                let (request_id, gap_ms) = (read.id.to_owned(), entry.settings.limits.gap_ms);
                let watch = stream::Watch { request_id, events: false, gap_ms, in_flight };
                return stream::relay(response, watch);
            }
            Err(failed) => failed,
        };
        chosen.in_flight.ended(routing::Outcome::Failed);
        let failed = attempt::Failed { instance: chosen.instance.clone(), failure, detail };
        if let Err(answer) = history.again(entry, failed) {
            return answer;
        }
    }
}
