//! Records what came of an attempt at an upstream.

use std::sync;

use ragwortdeal_core::dispatch::pace;

use super::{
    Entry, exchange, exchange::Outcome, health, isolation, request::CallerRequest, serve::Progress,
    upstreams::selection,
};

impl Entry {
    /// Records the outcome of an attempt. Returns the answer if there is one.
    pub(super) fn record_outcome(
        self: &sync::Arc<Self>,
        request: &CallerRequest,
        selected: &selection::Selected,
        outcome: Outcome,
        progress: &mut Progress,
    ) -> Option<Box<exchange::Answer>> {
        let now_ms = self.clock.now_ms();
        let instance = &selected.peer.instance;
        progress.tried.push(instance.clone());
        self.record_signals(request, selected, &outcome);
        let held_ms = request.started.elapsed().as_millis() as u64;
        match outcome {
            Outcome::NotSent(reason) => {
                log::info!(
                    request = request.id(), upstream = &**instance, held_ms, reason:%;
                    "entry: not sent"
                );
                self.telemetry.count("entry.not_sent", 1);
                self.upstreams().record_failure(instance, now_ms);
                None
            }
            Outcome::NotExecuted(head) => {
                let pause_ms = self.upstreams().pause_left_ms(instance, now_ms);
                log::info!(
                    request = request.id(), upstream = &**instance, held_ms, pause_ms,
                    status = head.status.as_u16();
                    "entry: not run by its upstream"
                );
                self.telemetry.count("entry.not_run", 1);
                progress.sent += 1;
                let other = self.is_of_another(&head, instance);
                match head.status.as_u16() {
                    421 if other => self.upstreams().record_displaced(instance, now_ms),
                    421 => self.upstreams().record_failure(instance, now_ms),
                    _ => self.upstreams().record_shed(instance, now_ms),
                }
                None
            }
            Outcome::Lost(loss) => {
                log::info!(
                    request = request.id(), upstream = &**instance, held_ms,
                    reason = loss.reason.as_str(), read_bytes = loss.read_bytes;
                    "entry: lost, it may have run"
                );
                self.telemetry.count("entry.lost", 1);
                progress.sent += 1;
                progress.may_have_run = true;
                self.upstreams().record_failure(instance, now_ms);
                if loss.connection_ended {
                    self.record_connection_end(request, selected);
                }
                None
            }
            Outcome::Withdrawn => {
                self.record_withdrawn(request, selected);
                progress.sent += 1;
                progress.may_have_run = true;
                None
            }
            Outcome::Answer(answer) => {
                progress.sent += 1;
                progress.may_have_run = true;
                self.record_answer_head(request, selected, &answer, progress.sent);
                Some(answer)
            }
        }
    }

    /// Records the head of an answer to an attempt with this number.
    fn record_answer_head(
        &self,
        request: &CallerRequest,
        selected: &selection::Selected,
        answer: &exchange::Answer,
        attempt: u32,
    ) {
        let instance = &selected.peer.instance;
        let held_ms = request.started.elapsed().as_millis() as u64;
        let took_ms = answer.took.as_millis() as u64;
        self.telemetry.took("entry.head_ms", held_ms);
        let limit_per_s = self.upstreams().limit_per_s(instance).unwrap_or(0.0);
        let pace = (selected.candidate.pace.now() * 100.0).round() / 100.0;
        log::info!(
            request = request.id(), upstream = &**instance, route = &*request.route.name,
            forecast_ms = selected.forecast_ms.map_or(0, |ms| ms as u64), took_ms,
            open = selected.candidate.open, elsewhere = selected.candidate.peer_open as u64,
            prefill_ms = request.reading_ms as u64,
            answer_tokens_max = request.answer_tokens as u64,
            attempt, version = selected.version.unwrap_or(0),
            reported_version = selected.reported_version,
            superseded_ms = selected.superseded_ms(), held_ms, limit_per_s,
            pace, status = answer.head.status.as_u16();
            "entry: answered by its upstream"
        );
        let load = answer.head.headers.get(&self.dialect.headers().load);
        let load = load.and_then(|value| value.to_str().ok());
        let load = load.and_then(|value| self.dialect.load(value));
        let percent = load.and_then(|load| load.pace_percent);
        let reported = percent.map(pace::Factor::from_percent);
        let pace = reported.and_then(|reported| self.plausible_pace(instance, reported));
        let forecast_ms = selected.forecast_ms;
        let report = health::AnswerReport { load, pace, took_ms, forecast_ms };
        self.upstreams().record_answer(instance, &report, self.clock.now_ms());
    }

    /// Records that a request was withdrawn, as it or a part of its prompt ends upstreams. This one
    /// is not to blame.
    pub(super) fn record_withdrawn(&self, request: &CallerRequest, selected: &selection::Selected) {
        log::info!(
            request = request.id(), upstream = &*selected.peer.instance,
            reason = isolation::WITHDRAWN;
            "entry: withdrawn from its upstream"
        );
        self.telemetry.count("entry.withdrawn", 1);
    }

    /// Records that an upstream cut an answer short.
    pub(super) fn record_broken_answer(
        self: &sync::Arc<Self>,
        request: &CallerRequest,
        selected: &selection::Selected,
        loss: &exchange::Loss,
    ) {
        let instance = &selected.peer.instance;
        log::info!(
            request = request.id(), upstream = &**instance, reason = loss.reason.as_str(),
            read_bytes = loss.read_bytes;
            "entry: the answer broke off"
        );
        if loss.connection_ended {
            self.record_connection_end(request, selected);
        }
        self.telemetry.count("entry.broke_off", 1);
        self.upstreams().record_failure(instance, self.clock.now_ms());
    }
}
