//! How this entry fares with one upstream: what is open there, how it answers, how it fails.

use std::sync::{self, atomic};

use ragwortdeal_core::dispatch::{backlog, choice, peer_load, probe, silence};
use tokio::sync as tokio_sync;

use crate::fleet::{dialect, load_probe};

/// How long an upstream is passed over after a first failure; it doubles with each further one.
/// Longer than a lost packet, shorter than callers wait.
const SUSPEND_MS: u64 = 300;

/// Longest time for which a failing upstream is passed over.
const SUSPEND_MAX_MS: u64 = 3_000;

/// Part of an upstream's failing that is left after one good answer.
const FAILING_KEPT: f64 = 0.8;

/// A head that takes longer shows a slow path to an upstream; with the engine at work it takes a
/// third of that.
const SLOW_HEAD_MS: u64 = 800;

/// A head that takes no longer shows a free path to an upstream.
const PROMPT_HEAD_MS: u64 = 500;

/// For how long it shows that.
const PROMPT_MS: u64 = 1_200;

/// For how long a piece of an answer shows that an upstream speaks.
const SPEAKS_MS: u64 = 400;

/// How long an upstream counts as slow after it. Each further slow head begins it anew.
const SLOW_MS: u64 = 4_000;

/// Part of the requests that an upstream which is slow is taken to fail.
const SLOW_FAILING: f64 = 0.4;

/// What the requests at an upstream and the looks at it tell each other.
#[derive(Debug, Default)]
pub(super) struct Activity {
    spoke: atomic::AtomicBool,
    quiet: tokio_sync::Notify,
}

impl Activity {
    /// Something came from the upstream.
    pub(super) fn spoke(&self) {
        self.spoke.store(true, atomic::Ordering::Relaxed);
    }

    /// Waits until the upstream has gone quiet.
    pub(super) async fn stalled(&self) {
        self.quiet.notified().await;
    }
}

/// How this entry fared with an upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    backlog: backlog::Backlog,
    failing: f64,
    failures: u32,
    suspended_until_ms: u64,
    slow_until_ms: u64,
    /// When a first event came in good time last.
    prompt_at_ms: Option<u64>,
    activity: sync::Arc<Activity>,
    silence: silence::SilenceDetector,
    probe: probe::Probe,
    /// When it was seen last that it had sent something.
    spoke_at_ms: Option<u64>,
}

/// An answer of an upstream, as far as it tells how the upstream fares.
#[derive(Clone, Copy, Debug)]
pub(super) struct Answered {
    /// What it said of its load.
    pub(super) load: Option<dialect::Load>,
    /// Milliseconds from the sending to the head.
    pub(super) took_ms: u64,
    /// Milliseconds that were forecast, where it is an engine.
    pub(super) forecast_ms: Option<f64>,
}

impl Health {
    /// A new life of the upstream, which has none of the faults of the one before.
    pub(super) fn after_restart(&self) -> Self {
        Self {
            backlog: self.backlog.after_restart(),
            activity: self.activity.clone(),
            ..Self::default()
        }
    }

    /// What failed before says nothing of how it works now.
    pub(super) fn reset_failures(&mut self) {
        (self.failing, self.failures, self.suspended_until_ms) = (0.0, 0, 0);
        self.silence = silence::SilenceDetector::default();
    }

    /// What is heard of it, for a request there.
    pub(super) fn activity(&self) -> sync::Arc<Activity> {
        self.activity.clone()
    }

    /// Whether it sent something since the last look.
    pub(super) fn was_active(&self) -> bool {
        self.activity.spoke.load(atomic::Ordering::Relaxed)
    }

    /// Looks whether it goes on with what it owes. Where it has gone quiet, all requests there are
    /// told.
    pub(super) fn check_progress(
        &mut self,
        others_spoke: bool,
        now_ms: u64,
    ) -> Option<silence::Change> {
        let spoke = self.activity.spoke.swap(false, atomic::Ordering::Relaxed);
        if spoke {
            self.spoke_at_ms = Some(now_ms);
        }
        let begun = self.backlog.has_started();
        let awaited = self.silence.is_silent() && self.open() > 0;
        let owes = begun || self.backlog.has_pending_prefill() || awaited;
        let change = self.silence.observe(silence::Observation {
            sent_data: spoke,
            others_sent_data: others_spoke,
            owes_data: owes,
            has_started: begun,
        })?;
        match change {
            silence::Change::Recovered => self.reset_failures(),
            silence::Change::Silent => {
                self.failed(now_ms);
                self.activity.quiet.notify_waiters();
            }
        }
        Some(change)
    }

    /// Requests that are open there.
    pub(super) fn open(&self) -> u32 {
        self.backlog.open()
    }

    /// Whether one more request may be sent there. Where it has gone quiet or the path is blocked,
    /// one at a time shows whether it is back, and only one that may be sent elsewhere afterwards.
    /// To `superseded` weights nothing is sent unless the path is confirmed: it could arrive after their
    /// time. That the engine answers shows the path back alone.
    pub(super) fn may_take(&self, repeatable: bool, superseded: bool, now_ms: u64) -> bool {
        let doubted = self.silence.is_silent() || self.is_blocked(now_ms);
        let tries = repeatable && self.open() == 0;
        let confirmed = !superseded || self.probe.is_confirmed(now_ms);
        confirmed && (!doubted || tries) && !self.is_suspended(now_ms)
    }

    /// The work that it has.
    pub(super) fn backlog_mut(&mut self) -> &mut backlog::Backlog {
        &mut self.backlog
    }

    /// Notes a question to the agent beside it.
    pub(super) fn asked(&mut self, now_ms: u64) {
        self.probe.record_sent(now_ms);
    }

    /// Notes a word of the agent beside it. A word that was overtaken says nothing.
    pub(super) fn heard(&mut self, word: &load_probe::Reply, now_ms: u64) {
        if !self.probe.record_reply(word.asked_at_ms, now_ms) {
            return;
        }
        if let Some(load) = word.load {
            self.told(load.running, load.waiting, now_ms);
        }
    }

    /// Takes how many requests the engine says that it works on, and that wait there.
    fn told(&mut self, running: u32, waiting: u32, now_ms: u64) {
        let (running, unread) = (f64::from(running), f64::from(waiting));
        let all = peer_load::RequestCounts { open: running + unread, unstarted: unread };
        self.backlog.record_report(all, now_ms);
    }

    /// Whether questions come back late, or not any more.
    pub(super) fn is_delayed(&self, now_ms: u64) -> bool {
        matches!(self.probe.path_state(now_ms), probe::PathState::Slow | probe::PathState::Silent)
    }

    /// Whether a request would wait on its path. Where the engine speaks, silence is its agent's.
    fn is_blocked(&self, now_ms: u64) -> bool {
        let speaks = self.spoke_at_ms.is_some_and(|at_ms| now_ms <= at_ms + SPEAKS_MS);
        match self.probe.path_state(now_ms) {
            probe::PathState::Slow => true,
            probe::PathState::Silent => !speaks,
            probe::PathState::Free | probe::PathState::Unknown => false,
        }
    }

    /// Notes an answer.
    pub(super) fn answered(&mut self, answer: &Answered, now_ms: u64) {
        if answer.took_ms >= SLOW_HEAD_MS {
            self.slow_until_ms = now_ms + SLOW_MS;
        } else if answer.took_ms <= PROMPT_HEAD_MS {
            self.prompt_at_ms = Some(now_ms);
        }
        if let Some(forecast_ms) = answer.forecast_ms {
            self.backlog.record_first_event(forecast_ms, answer.took_ms as f64, now_ms);
        }
        self.failures = 0;
        self.failing *= FAILING_KEPT;
        if let Some(load) = answer.load {
            self.told(load.running, load.waiting, now_ms);
        }
    }

    /// Notes a failure. The upstream is passed over for a while, for longer each time.
    pub(super) fn failed(&mut self, now_ms: u64) {
        // All that was open there fails together, which is one failure and not many.
        if self.is_suspended(now_ms) {
            return;
        }
        let suspend_ms = SUSPEND_MS << self.failures.min(8);
        self.failures += 1;
        self.failing = 1.0 - (1.0 - self.failing) * FAILING_KEPT;
        self.suspended_until_ms = now_ms + suspend_ms.min(SUSPEND_MAX_MS);
    }

    /// Whether it is passed over.
    pub(super) fn is_suspended(&self, now_ms: u64) -> bool {
        now_ms < self.suspended_until_ms
    }

    /// Whether it answered slowly of late.
    pub(super) fn is_slow(&self, now_ms: u64) -> bool {
        now_ms < self.slow_until_ms
    }

    /// Whether it answered in good time just now.
    pub(super) fn is_prompt(&self, now_ms: u64) -> bool {
        self.prompt_at_ms.is_some_and(|at_ms| now_ms <= at_ms + PROMPT_MS)
    }

    /// The upstream as the choice sees it. `narrow` whether its agent finds its link narrow.
    pub(super) fn candidate(
        &self,
        place: &backlog::UpstreamInfo,
        others: &backlog::PeerEntries,
        narrow: bool,
        now_ms: u64,
    ) -> choice::Candidate {
        let slow = match narrow || self.is_slow(now_ms) {
            _ if self.is_blocked(now_ms) => 1.0,
            true => SLOW_FAILING,
            false => 0.0,
        };
        let candidate = self.backlog.candidate(place, others, now_ms);
        choice::Candidate { failure_rate: self.failing.max(slow), ..candidate }
    }
}
