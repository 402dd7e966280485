//! Reads what the answers of upstreams ask of this entry, and logs what changes by it.

use hyper::http::response;
use ragwortdeal_core::dispatch::flow_control;

use super::{Entry, exchange, request::CallerRequest, upstreams::selection};

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
            exchange::Outcome::NotSent(_) | exchange::Outcome::Lost(_) => return,
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
        let change = self.upstreams().record_signals(instance, &answer, self.clock.now_ms());
        match change {
            Some(flow_control::Change::LimitNamed { per_s }) => {
                log::info!(
                    request = request.id(), upstream = &**instance, limit_per_s = per_s;
                    "entry: an upstream names a rate limit"
                );
                self.telemetry.count("entry.limits_named", 1);
            }
            Some(flow_control::Change::LimitEnded) => {
                log::info!(
                    request = request.id(), upstream = &**instance;
                    "entry: an upstream no longer names a rate limit"
                );
            }
            None => (),
        }
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
        }
    }
}
