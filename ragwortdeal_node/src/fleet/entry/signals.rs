//! Reads what the answers of upstreams ask of this entry, and logs what changes by it.

use hyper::{StatusCode, header, http::response};
use ragwortdeal_core::{directory, dispatch::flow_control};

use super::{Entry, exchange, request::CallerRequest, upstreams::selection};

/// Longest pause that an upstream can ask for, in seconds.
const PAUSE_MAX_S: f64 = 86_400.0;

impl Entry {
    /// Records what the answer to an attempt asks. The head is one of the upstream itself.
    pub(super) fn record_signals(
        &self,
        request: &CallerRequest,
        selected: &selection::Selected,
        outcome: &exchange::Outcome,
    ) {
        let (head, executed) = match outcome {
            exchange::Outcome::NotExecuted(head) => (head, false),
            exchange::Outcome::Answer(answer) => (&answer.head, true),
            exchange::Outcome::NotSent(_)
            | exchange::Outcome::Lost(_)
            | exchange::Outcome::Withdrawn => return,
        };
        let instance = &selected.peer.instance;
        if self.is_of_another(head, instance) {
            return;
        }
        let answer = flow_control::Answer {
            signals: self.signals(head),
            sent_at_ms: selected.sent_at_ms,
            executed,
        };
        if let Some(remaining_ms) = self.cold_remaining_ms(head) {
            let now_ms = self.clock.now_ms();
            self.upstreams().record_cold_answer(instance, remaining_ms, now_ms);
        }
        let changes = self.upstreams().record_signals(instance, &answer, self.clock.now_ms());
        self.report_rate(instance, &changes);
        for change in changes {
            self.log_change(request, instance, change);
        }
    }

    /// Reports a rate to voters, for entries that start. Where voters are slower than the reports,
    /// they learn of it when they come into reach again.
    fn report_rate(&self, instance: &directory::Text, changes: &[flow_control::Change]) {
        let of_rate = |change: &flow_control::Change| {
            use flow_control::Change::{LimitEnded, LimitNamed};
            matches!(change, LimitNamed { .. } | LimitEnded)
        };
        if changes.iter().any(of_rate) {
            let rate = self.upstreams().named_rate(instance);
            let _ = self.rates_to_report.try_send(rate);
        }
    }

    fn log_change(&self, request: &CallerRequest, instance: &str, change: flow_control::Change) {
        match change {
            flow_control::Change::LimitNamed { per_s } => {
                log::info!(
                    request = request.id(), upstream = instance, limit_per_s = per_s;
                    "entry: an upstream names a rate limit"
                );
                self.telemetry.count("entry.limits_named", 1);
            }
            flow_control::Change::LimitEnded => {
                log::info!(
                    request = request.id(), upstream = instance;
                    "entry: an upstream no longer names a rate limit"
                );
            }
            flow_control::Change::PauseBegan { pause_ms } => {
                log::info!(
                    request = request.id(), upstream = instance, pause_ms;
                    "entry: an upstream asks for a pause"
                );
                self.telemetry.count("entry.pauses_asked", 1);
            }
            flow_control::Change::Leaving => {
                log::info!(
                    request = request.id(), upstream = instance;
                    "entry: an upstream says in an answer that it leaves"
                );
                self.telemetry.count("entry.leaving_told", 1);
            }
            flow_control::Change::PauseEnded => {
                log::info!(
                    request = request.id(), upstream = instance;
                    "entry: an upstream takes work again after a pause"
                );
            }
            // Answers neither begin nor end it.
            flow_control::Change::ColdBegan { .. } | flow_control::Change::ColdEnded { .. } => (),
        }
    }

    fn cold_remaining_ms(&self, head: &response::Parts) -> Option<u64> {
        let value = head.headers.get(&self.dialect.headers().cold_remaining)?;
        value.to_str().ok()?.trim().parse().ok()
    }

    /// Whether another upstream answered, as it does where an address is used again.
    pub(super) fn is_of_another(&self, head: &response::Parts, instance: &str) -> bool {
        let answered = head.headers.get(&self.dialect.headers().instance);
        answered.is_some_and(|it| it.as_bytes() != instance.as_bytes())
    }

    fn signals(&self, head: &response::Parts) -> flow_control::Signals {
        let names = self.dialect.headers();
        let text = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
        flow_control::Signals {
            limit_per_s: text(&names.rate_limit).and_then(|value| self.dialect.rate_limit(value)),
            leaving: text(&names.leaving).is_some_and(|value| value.trim() != "0"),
            pause_ms: is_refusal(head.status).then(|| retry_after_ms(&head.headers)).flatten(),
        }
    }
}

/// Whether an upstream turns a request away because it has too many.
fn is_refusal(status: StatusCode) -> bool {
    matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
}

/// The pause in milliseconds that `Retry-After` asks for, in seconds with fractions.
fn retry_after_ms(headers: &header::HeaderMap) -> Option<u64> {
    let value = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    let pause_s: f64 = value.trim().parse().ok()?;
    let pause_s = (pause_s > 0.0).then_some(pause_s.min(PAUSE_MAX_S))?;
    Some((pause_s * 1_000.0).ceil() as u64)
}
