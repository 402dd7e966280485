//! Health of one upstream as this entry observes it: open requests, answer times, failures.

use std::sync::{self, atomic};

use ragwortdeal_core::dispatch::{
    answer_time, backlog, choice, head_time, pace, peer_load, probe, silence,
};
use tokio::sync as tokio_sync;

use crate::fleet::{dialect, load_probe};

/// How long an upstream is skipped after a first failure; doubled for each further one. Longer than
/// it takes to recover from a lost packet, shorter than callers wait.
const SUSPEND_MS: u64 = 300;

/// Upper bound of that time.
const SUSPEND_MAX_MS: u64 = 3_000;

/// Factor by which the failure rate decays with each successful answer.
const FAILURE_RATE_DECAY: f64 = 0.8;

/// How long a head indicates a responsive path to the upstream.
const RESPONSIVE_MS: u64 = 1_200;

/// How long ago a request may have been sent whose answer shows that requests still arrive.
const REACHED_MAX_AGE_MS: u64 = 1_000;

/// How long an upstream counts as slow after a slow head. Each further one restarts the time.
const SLOW_MS: u64 = 4_000;

/// Failure rate that is assumed for a slow upstream.
const SLOW_FAILURE_RATE: f64 = 0.4;

/// How long a plain service's upstream must have been silent before a request that must run only
/// once may probe it. Until then it is left to requests that can be answered elsewhere.
const PROBE_ONCE_AFTER_MS: u64 = 2_000;

/// Whole answers that are due from an upstream of a plain service.
#[derive(Clone, Copy, Debug)]
pub(super) struct WholeAnswers {
    /// Milliseconds between two checks.
    pub(super) check_interval_ms: u64,
    /// Whether another upstream of the service takes work. Without one, waiting is better than
    /// refusing.
    pub(super) has_alternative: bool,
}

/// Shared state between the requests at an upstream and the progress check.
#[derive(Debug, Default)]
pub(super) struct Activity {
    was_active: atomic::AtomicBool,
    silent: tokio_sync::Notify,
}

impl Activity {
    /// Records that data arrived from the upstream.
    pub(super) fn record_activity(&self) {
        self.was_active.store(true, atomic::Ordering::Relaxed);
    }

    /// Waits until the upstream is found to be silent.
    pub(super) async fn stalled(&self) {
        self.silent.notified().await;
    }
}

/// Health of an upstream as this entry observes it.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    backlog: backlog::Backlog,
    pace: pace::Pace,
    failure_rate: f64,
    failures: u32,
    suspended_until_ms: u64,
    slow_until_ms: u64,
    /// When a head last came in good time.
    responsive_at_ms: Option<u64>,
    activity: sync::Arc<Activity>,
    silence: silence::SilenceDetector,
    /// When it last counted as silent.
    silent_at_ms: u64,
    answer_time: answer_time::AnswerTime,
    probe: probe::Probe,
    /// When the newest answered request was sent.
    reached_sent_at_ms: Option<u64>,
    /// State of the path at the last check.
    logged_path: probe::PathState,
}

/// A change of the path to an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct PathChange {
    /// The state from now on.
    pub(super) state: probe::PathState,
    /// Round trip of the newest answered probe in milliseconds.
    pub(super) round_trip_ms: u64,
    /// Whether requests would be delayed, so that at most one at a time is sent.
    pub(super) blocked: bool,
}

/// What an answer tells about the upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnswerReport {
    /// Load that the upstream reported.
    pub(super) load: Option<dialect::Load>,
    /// Plausible pace that it reported.
    pub(super) pace: Option<pace::Factor>,
    /// Milliseconds from sending the request to the head.
    pub(super) took_ms: u64,
    /// Forecast of that time in milliseconds, if the upstream is an engine.
    pub(super) forecast_ms: Option<f64>,
}

impl Health {
    /// Health after a restart of the upstream, without the failures of its earlier process.
    pub(super) fn after_restart(&self) -> Self {
        Self {
            backlog: self.backlog.after_restart(),
            activity: self.activity.clone(),
            ..Self::default()
        }
    }

    /// Resets failures that tell nothing about the present state.
    pub(super) fn reset_failures(&mut self) {
        (self.failure_rate, self.failures, self.suspended_until_ms) = (0.0, 0, 0);
        self.silence = silence::SilenceDetector::default();
    }

    /// The shared state, for a request at the upstream.
    pub(super) fn activity(&self) -> sync::Arc<Activity> {
        self.activity.clone()
    }

    /// Whether data arrived since the last check.
    pub(super) fn was_active(&self) -> bool {
        self.activity.was_active.load(atomic::Ordering::Relaxed)
    }

    /// Checks whether the upstream makes progress on the data that it owes. If it fell silent, all
    /// requests there are notified. `answers` is set for a plain service.
    pub(super) fn check_progress(
        &mut self,
        others_spoke: bool,
        answers: Option<WholeAnswers>,
        service_pace: &pace::ServiceMean,
        now_ms: u64,
    ) -> Option<silence::Change> {
        let spoke = self.activity.was_active.swap(false, atomic::Ordering::Relaxed);
        let change = self.silence.observe(silence::Observation {
            sent_data: spoke,
            others_sent_data: others_spoke,
            due: match answers {
                Some(answers) => self.due_answer(answers),
                None => self.due_event(now_ms),
            },
            pace: self.pace.expected(service_pace, now_ms).now(),
        })?;
        match change {
            silence::Change::Recovered => self.reset_failures(),
            silence::Change::Silent => {
                self.silent_at_ms = now_ms;
                self.record_failure(now_ms);
                self.activity.silent.notify_waiters();
            }
        }
        Some(change)
    }

    fn due_event(&self, now_ms: u64) -> Option<silence::Due> {
        let awaited = self.silence.is_silent() && self.open() > 0;
        match self.backlog.has_started() {
            true => Some(silence::Due::NextEvent),
            false if self.backlog.is_first_event_due(now_ms) || awaited => {
                Some(silence::Due::FirstEvent)
            }
            false => None,
        }
    }

    fn due_answer(&self, answers: WholeAnswers) -> Option<silence::Due> {
        let silent_checks_max = self.answer_time.silent_checks_max(answers.check_interval_ms);
        let awaited = self.open() > 0 && answers.has_alternative;
        awaited.then_some(silence::Due::Answer { silent_checks_max })
    }

    /// Checks the path for a change of its state since the last check. A path that is free and one
    /// that is not probed are not told apart, or each idle engine would be logged again and again.
    pub(super) fn check_path(&mut self, now_ms: u64) -> Option<PathChange> {
        let before = std::mem::replace(&mut self.logged_path, self.probe.path_state(now_ms));
        let is_clear = |state| matches!(state, probe::PathState::Free | probe::PathState::Unknown);
        let changed =
            before != self.logged_path && !(is_clear(before) && is_clear(self.logged_path));
        changed.then(|| PathChange {
            state: self.logged_path,
            round_trip_ms: self.probe.round_trip_ms(),
            blocked: self.is_blocked(now_ms),
        })
    }

    /// Whether the upstream fell silent.
    pub(super) fn is_silent(&self) -> bool {
        self.silence.is_silent()
    }

    /// Number of open requests.
    pub(super) fn open(&self) -> u32 {
        self.backlog.open()
    }

    /// Whether one more request may be sent. To an upstream that fell silent or whose path is
    /// blocked, one request at a time is sent as a probe, and only one that can be retried
    /// elsewhere, unless no such request comes to a silent plain service for a while. Nothing is
    /// sent to `superseded` weights unless the path is confirmed: it could arrive after their time
    /// is up. Only a reply of the engine itself shows that the path works again.
    pub(super) fn may_take(&self, repeatable: bool, superseded: bool, now_ms: u64) -> bool {
        let doubted = self.silence.is_silent() || self.is_blocked(now_ms);
        let probes = self.open() == 0 && (repeatable || self.awaits_probe(now_ms));
        let confirmed = !superseded || self.probe.is_confirmed(now_ms);
        confirmed && (!doubted || probes) && !self.is_suspended(now_ms)
    }

    /// Whether any request may probe the upstream: engines and blocked paths have agents that show
    /// when they work again, and requests that can be repeated.
    fn awaits_probe(&self, now_ms: u64) -> bool {
        let is_plain = self.probe.path_state(now_ms) == probe::PathState::Unknown;
        is_plain && now_ms >= self.silent_at_ms + PROBE_ONCE_AFTER_MS
    }

    /// The open work at the upstream.
    pub(super) fn backlog_mut(&mut self) -> &mut backlog::Backlog {
        &mut self.backlog
    }

    /// Records a probe sent to the agent beside the engine.
    pub(super) fn record_probe_sent(&mut self, now_ms: u64) {
        self.probe.record_sent(now_ms);
    }

    /// Records a reply of the agent beside the engine. One that a newer reply overtook is ignored.
    /// The pace is as old as the probe: a reply may take long on its way.
    pub(super) fn record_probe_reply(
        &mut self,
        reply: &load_probe::Reply,
        pace: Option<pace::Factor>,
        service_pace: &mut pace::ServiceMean,
        now_ms: u64,
    ) {
        if !self.probe.record_reply(reply.asked_at_ms, now_ms) {
            return;
        }
        if let Some(load) = reply.load {
            self.record_load(load.running, load.waiting, now_ms);
        }
        if let Some(pace) = pace {
            self.pace.record(pace, reply.asked_at_ms, service_pace);
        }
    }

    /// Records how many requests the engine runs and how many wait there.
    fn record_load(&mut self, running: u32, waiting: u32, now_ms: u64) {
        let (running, unread) = (f64::from(running), f64::from(waiting));
        let all = peer_load::RequestCounts { open: running + unread, unstarted: unread };
        self.backlog.record_report(all, now_ms);
    }

    /// Whether replies to probes come late, or no longer come.
    pub(super) fn is_delayed(&self, now_ms: u64) -> bool {
        !matches!(self.probe.path_state(now_ms), probe::PathState::Free | probe::PathState::Unknown)
    }

    /// Whether the agent beside the engine answered a probe in time just now.
    pub(super) fn is_confirmed(&self, now_ms: u64) -> bool {
        self.probe.is_answered(now_ms)
    }

    /// Whether nothing reaches the upstream at present: no probe is answered, and no request.
    pub(super) fn is_cut(&self, now_ms: u64) -> bool {
        self.probe.path_state(now_ms) == probe::PathState::Silent && self.is_blocked(now_ms)
    }

    /// Whether a request would be delayed on the path. Events of earlier requests tell nothing
    /// about that: they go on while the link towards the engine is congested.
    fn is_blocked(&self, now_ms: u64) -> bool {
        match self.probe.path_state(now_ms) {
            probe::PathState::Slow => true,
            probe::PathState::Overdue | probe::PathState::Silent => !self.is_reached(now_ms),
            probe::PathState::Free | probe::PathState::Unknown => false,
        }
    }

    /// Whether requests arrive although probes are not answered: one that was sent after the oldest
    /// unanswered probe was answered. Then the missing replies are the agent's fault.
    fn is_reached(&self, now_ms: u64) -> bool {
        let unanswered_since_ms = self.probe.unanswered_since_ms();
        self.reached_sent_at_ms.is_some_and(|sent_at_ms| {
            unanswered_since_ms.is_none_or(|since_ms| since_ms <= sent_at_ms)
                && now_ms <= sent_at_ms + REACHED_MAX_AGE_MS
        })
    }

    /// Records the head of an answer.
    pub(super) fn record_answer(
        &mut self,
        answer: &AnswerReport,
        service_pace: &mut pace::ServiceMean,
        now_ms: u64,
    ) {
        let sent_at_ms = now_ms.saturating_sub(answer.took_ms);
        self.reached_sent_at_ms = self.reached_sent_at_ms.max(Some(sent_at_ms));
        match head_time::judge(answer.took_ms, answer.forecast_ms) {
            head_time::Path::Slow => self.slow_until_ms = now_ms + SLOW_MS,
            head_time::Path::Responsive => self.responsive_at_ms = Some(now_ms),
            head_time::Path::Unclear => (),
        }
        match answer.forecast_ms {
            Some(forecast_ms) => {
                self.backlog.record_first_event(forecast_ms, answer.took_ms as f64, now_ms);
            }
            None => self.answer_time.record(answer.took_ms),
        }
        if let Some(load) = answer.load {
            self.record_load(load.running, load.waiting, now_ms);
        }
        if let Some(pace) = answer.pace {
            self.pace.record(pace, now_ms, service_pace);
        }
    }

    /// Records an answer that is whole, or a stream that has brought its first event.
    pub(super) fn record_success(&mut self) {
        self.failures = 0;
        self.failure_rate *= FAILURE_RATE_DECAY;
    }

    /// Records a failure. The upstream is skipped for a while, longer with each failure in a row.
    pub(super) fn record_failure(&mut self, now_ms: u64) {
        // All requests that were open there fail together, which counts as one failure.
        if self.is_suspended(now_ms) {
            return;
        }
        let suspend_ms = SUSPEND_MS << self.failures.min(8);
        self.failures += 1;
        self.failure_rate = 1.0 - (1.0 - self.failure_rate) * FAILURE_RATE_DECAY;
        self.suspended_until_ms = now_ms + suspend_ms.min(SUSPEND_MAX_MS);
    }

    /// Whether the upstream is skipped at present.
    pub(super) fn is_suspended(&self, now_ms: u64) -> bool {
        now_ms < self.suspended_until_ms
    }

    /// Whether it answered slowly a short time ago.
    pub(super) fn is_slow(&self, now_ms: u64) -> bool {
        now_ms < self.slow_until_ms
    }

    /// Whether it answered in good time a short time ago.
    pub(super) fn is_responsive(&self, now_ms: u64) -> bool {
        self.responsive_at_ms.is_some_and(|at_ms| now_ms <= at_ms + RESPONSIVE_MS)
    }

    /// The upstream as a candidate for a request. `narrow`: whether its agent reports a narrow
    /// link.
    pub(super) fn candidate(
        &self,
        place: &backlog::UpstreamInfo,
        others: &backlog::PeerEntries,
        narrow: bool,
        service_pace: &pace::ServiceMean,
        now_ms: u64,
    ) -> choice::Candidate {
        let slow = match narrow || self.is_slow(now_ms) {
            _ if self.is_blocked(now_ms) => 1.0,
            true => SLOW_FAILURE_RATE,
            false => 0.0,
        };
        let candidate = self.backlog.candidate(place, others, now_ms);
        choice::Candidate {
            failure_rate: self.failure_rate.max(slow),
            pace: self.pace.expected(service_pace, now_ms),
            ..candidate
        }
    }
}
