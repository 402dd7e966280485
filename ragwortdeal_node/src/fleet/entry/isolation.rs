//! Holds back requests that end upstreams, or with parts of prompts that end engines, and tells voters
//! of upstreams that ended.

mod copy;

use std::{
    sync::{self, atomic},
    time,
};

pub(super) use copy::RequestCopy;
use ragwortdeal_core::dispatch::{
    isolation::{self, entry_view, evidence, fingerprint, verdicts},
    prompt,
};
use tokio::sync::{mpsc, watch};

use super::{
    Entry,
    request::{CallerRequest, Refusal},
    upstreams::selection,
};
use crate::fleet::{notice, voter_links};

/// Notices that may wait for the links to voters.
const QUEUED_MAX: usize = 256;

/// How often this entry judges by itself while no voter is in reach.
const JUDGE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// When the caller of a request that is held back may retry. A part is isolated until it is
/// released by an operator, which no caller waits for: a shorter time would bring the request back
/// at once.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(60);

/// Why requests with a part are held back.
const PART_REASON: &str = "a part of its prompt ends engines";

/// Why a request is held back as a whole.
const REQUEST_REASON: &str = "upstreams ended under it";

/// Why a request is taken back from its upstream.
pub(super) const WITHDRAWN: &str = "it or a part of its prompt ends upstreams";

/// Why a request is held back with this part, or this fingerprint.
fn reason(part: &prompt::Part) -> &'static str {
    match fingerprint::is_fingerprint(&part.name) {
        true => REQUEST_REASON,
        false => PART_REASON,
    }
}

/// The state of this entry, and what it tells.
pub(super) struct Isolation {
    view: sync::Mutex<entry_view::EntryView>,
    /// Number of changes of verdicts.
    changes: watch::Sender<u64>,
    /// Whether no voter is in reach.
    alone: atomic::AtomicBool,
    told: mpsc::Sender<notice::Notice>,
}

impl Isolation {
    /// The state of an entry that has just started, and the notices that it wants told to voters.
    pub(super) fn new(address: std::net::Ipv4Addr) -> (Self, mpsc::Receiver<notice::Notice>) {
        let (told, to_tell) = mpsc::channel(QUEUED_MAX);
        let view = sync::Mutex::new(entry_view::EntryView::new(address));
        let alone = atomic::AtomicBool::new(false);
        (Self { view, changes: watch::Sender::new(0), alone, told }, to_tell)
    }

    fn view(&self) -> sync::MutexGuard<'_, entry_view::EntryView> {
        self.view.lock().expect("no panic under lock")
    }

    fn tell(&self, notice: notice::Notice) {
        if self.told.try_send(notice).is_err() {
            log::warn!("entry: too much to tell the voters of ended engines, a notice was dropped");
        }
    }

    /// Counts a request when it comes.
    pub(super) fn record_request(&self, parts: &[prompt::Part], now_ms: u64) {
        self.view().record_request(parts, now_ms);
    }

    /// What of a request is isolated: a part of its prompt, or the request itself.
    fn isolated_of<'r>(&self, request: &'r CallerRequest) -> Option<&'r prompt::Part> {
        let view = self.view();
        let fingerprint = std::slice::from_ref(&request.fingerprint);
        view.isolated_of(&request.parts).or_else(|| view.isolated_of(fingerprint))
    }

    /// Waits until a part of a request's prompt is isolated, or the request itself.
    pub(super) async fn becomes_isolated(&self, request: &CallerRequest) {
        let mut changes = self.changes.subscribe();
        while self.isolated_of(request).is_none() {
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Waits until a request itself is isolated. Parts of a prompt end engines as they begin to write,
    /// a request may do so at any time.
    pub(super) async fn request_becomes_isolated(&self, fingerprint: &prompt::Part) {
        let mut changes = self.changes.subscribe();
        while self.view().isolated_of(std::slice::from_ref(fingerprint)).is_none() {
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Records the end of an upstream so long ago, with the parts of each request that may have
    /// ended it and the fingerprints of all requests there.
    pub(super) fn record_end(
        &self,
        boot: evidence::Boot,
        age_ms: u64,
        requests: &[Vec<prompt::Part>],
        fingerprints: Vec<prompt::Part>,
        now_ms: u64,
    ) {
        let report = self.view().record_end(boot, age_ms, requests, fingerprints, now_ms);
        self.tell(notice::Notice::EngineEnded(report));
    }

    /// Records that an upstream has answered a request whole.
    pub(super) fn record_answered(&self, request: &CallerRequest, now_ms: u64) {
        let fingerprint = request.fingerprint.id;
        if self.view().record_answered(fingerprint, now_ms) {
            self.tell(notice::Notice::PartsProved(vec![fingerprint]));
        }
    }

    /// Records that an engine has borne the parts of a request.
    pub(super) fn record_proof(&self, parts: &[prompt::Part], now_ms: u64) {
        let proved = self.view().record_proof(parts, now_ms);
        if !proved.is_empty() {
            self.tell(notice::Notice::PartsProved(proved));
        }
    }

    /// Takes parts of which voters want to know when an engine bears them.
    pub(super) fn watch(&self, parts: Vec<prompt::PartId>) {
        self.view().watch(parts);
    }

    /// Takes verdicts.
    pub(super) fn merge(&self, teller: &str, told: Vec<verdicts::Verdict>, now_ms: u64) {
        let news = self.view().merge(told, now_ms);
        self.apply(teller, &news);
    }

    fn apply(&self, teller: &str, news: &[verdicts::Verdict]) {
        if news.is_empty() {
            return;
        }
        news.iter().for_each(|verdict| notice::log_verdict("entry", teller, verdict));
        self.changes.send_modify(|changes| *changes += 1);
    }

    /// What a voter that comes into reach may lack.
    pub(super) fn state_for_voter(&self, now_ms: u64) -> Vec<notice::Notice> {
        let view = self.view();
        let reports = view.recent_reports(now_ms).into_iter().map(notice::Notice::EngineEnded);
        let verdicts = view.verdicts().all().cloned().collect();
        reports.chain([notice::Notice::Verdicts(verdicts)]).collect()
    }

    /// Number of parts with which requests are held back.
    pub(super) fn isolated_count(&self) -> u64 {
        self.view().verdicts().isolated_count() as u64
    }
}

/// Tells voters what this entry sees, and judges by it while none is in reach.
pub(super) async fn run(
    entry: sync::Arc<Entry>,
    voters: voter_links::Voters,
    mut to_tell: mpsc::Receiver<notice::Notice>,
) {
    let mut judge = tokio::time::interval(JUDGE_INTERVAL);
    judge.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            notice = to_tell.recv() => match notice {
                // One voter alone grants trials.
                Some(notice @ notice::Notice::Copies(notice::CopiesNotice::TrialWanted(_))) => {
                    voters.send_to_first(&notice);
                }
                Some(notice) => voters.broadcast(&notice),
                None => return,
            },
            _ = judge.tick() => {
                let alone = !voters.any_up();
                entry.isolation.alone.store(alone, atomic::Ordering::Relaxed);
                if alone {
                    let news = entry.isolation.view().judge_alone(entry.clock.now_ms());
                    entry.isolation.apply("its own evidence", &news);
                }
            }
        }
    }
}

impl Entry {
    /// The refusal of a request that ends upstreams, or with a part of its prompt that does.
    pub(super) fn refuse_isolated(
        &self,
        request: &CallerRequest,
        may_have_run: bool,
    ) -> Option<Refusal> {
        let part = self.isolation.isolated_of(request)?;
        let reason = reason(part);
        let what = match reason {
            PART_REASON => "a part of its prompt",
            _ => "the request",
        };
        log::info!(
            request = request.id(), part = &*part.name;
            "entry: {what} is isolated"
        );
        self.telemetry.count("entry.held_back", 1);
        Some(held_back(reason, may_have_run))
    }
}

/// The refusal of a request that is held back until an operator releases it.
fn held_back(reason: &'static str, may_have_run: bool) -> Refusal {
    match may_have_run {
        true => Refusal::new(502, reason),
        false => Refusal::retry_after(503, reason, RETRY_AFTER),
    }
}

/// Whether the end of its engine speaks against the parts of a request.
pub(super) fn is_suspect(writing: selection::Writing) -> bool {
    writing.since_ms < isolation::SUSPECTED_UNTIL_MS
}

/// Whether an answer under way shows that its engine bears the parts of the prompt.
pub(super) fn is_proved(writing: selection::Writing) -> bool {
    writing.since_ms >= isolation::PROVED_AFTER_MS && writing.pieces >= isolation::PROVED_PIECES_MIN
}
