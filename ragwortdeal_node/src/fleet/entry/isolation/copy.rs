//! Copies of one request: how many may be under way, by the ends of upstreams under them.

use std::{net, sync, time};

use ragwortdeal_core::dispatch::{isolation::copies::Admission, prompt};

use super::{
    super::{
        Entry,
        request::{CallerRequest, Refusal},
    },
    Isolation, REQUEST_REASON, held_back,
};
use crate::fleet::notice::{CopiesNotice, Notice};

/// Longest wait for the outcome of other copies. Most take less.
const WAIT_MAX: time::Duration = time::Duration::from_secs(1);

/// A caller waits for it for this part of its time at most, so that the rest is left for the answer.
const REMAINING_DIVISOR: u32 = 3;

/// How often a waiting copy looks again. Few wait, and none for long.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Why such a request is refused.
const WAITED_REASON: &str = "upstreams ended under it, and another copy of it is being tried";

/// A copy of a request that is sent to an upstream. It is over when this is dropped.
pub(in super::super) struct RequestCopy {
    entry: sync::Arc<Entry>,
    fingerprint: prompt::PartId,
}

impl Drop for RequestCopy {
    fn drop(&mut self) {
        let now_ms = self.entry.clock.now_ms();
        let isolation = &self.entry.isolation;
        let trial_over = isolation.view().copies_mut().end(self.fingerprint, now_ms);
        isolation.tell_trial_over(self.fingerprint, trial_over);
    }
}

/// A copy that waits to be sent.
struct WaitingCopy<'e> {
    entry: &'e Entry,
    fingerprint: prompt::PartId,
    waits: bool,
}

impl Drop for WaitingCopy<'_> {
    fn drop(&mut self) {
        if self.waits {
            let isolation = &self.entry.isolation;
            let trial_over = isolation.view().copies_mut().abandon(self.fingerprint);
            isolation.tell_trial_over(self.fingerprint, trial_over);
        }
    }
}

impl Entry {
    /// Waits until one more copy of a request may be sent, or refuses it.
    pub(in super::super) async fn admit_copy(
        self: &sync::Arc<Self>,
        request: &CallerRequest,
        may_have_run: bool,
    ) -> Result<RequestCopy, Refusal> {
        let fingerprint = request.fingerprint.id;
        let mut waiting = WaitingCopy { entry: self, fingerprint, waits: false };
        let begun = time::Instant::now();
        let wait_max = WAIT_MAX.min(request.remaining() / REMAINING_DIVISOR);
        loop {
            if let Some(refusal) = self.refuse_isolated(request, may_have_run) {
                return Err(refusal);
            }
            match self.isolation.admit(fingerprint, self.clock.now_ms()) {
                Admission::Send => {
                    waiting.waits = false;
                    return Ok(RequestCopy { entry: self.clone(), fingerprint });
                }
                Admission::Refuse => {
                    self.log_refused_copy(request, REQUEST_REASON);
                    return Err(held_back(REQUEST_REASON, may_have_run));
                }
                Admission::AskTrial => {
                    self.isolation.tell(Notice::Copies(CopiesNotice::TrialWanted(fingerprint)));
                }
                Admission::Wait => (),
            }
            waiting.waits = true;
            if begun.elapsed() >= wait_max {
                self.log_refused_copy(request, WAITED_REASON);
                return Err(match may_have_run {
                    true => Refusal::new(502, WAITED_REASON),
                    false => self.refuse_outage(request, WAITED_REASON),
                });
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    fn log_refused_copy(&self, request: &CallerRequest, reason: &str) {
        log::info!(
            request = request.id(), fingerprint = &*request.fingerprint.name;
            "entry: not sent, {reason}"
        );
        self.telemetry.count("entry.copies_refused", 1);
    }
}

impl Isolation {
    /// Decides on one more copy, and counts it where it is sent.
    fn admit(&self, fingerprint: prompt::PartId, now_ms: u64) -> Admission {
        let alone = self.alone.load(sync::atomic::Ordering::Relaxed);
        let mut view = self.view();
        let admission = view.admit(fingerprint, alone, now_ms);
        if admission == Admission::Send {
            view.copies_mut().begin(fingerprint);
        }
        admission
    }

    fn tell_trial_over(&self, fingerprint: prompt::PartId, is_over: bool) {
        if is_over {
            self.tell(Notice::Copies(CopiesNotice::TrialOver(fingerprint)));
        }
    }

    /// Records that the connection of a request ended, perhaps with its upstream.
    pub(in super::super) fn record_doubt(&self, fingerprint: prompt::PartId, now_ms: u64) {
        self.view().copies_mut().record_doubt(fingerprint, now_ms);
    }

    /// Records whether the upstream had ended.
    pub(in super::super) fn record_found(
        &self,
        fingerprint: prompt::PartId,
        ended: bool,
        now_ms: u64,
    ) {
        self.view().copies_mut().record_found(fingerprint, ended, now_ms);
    }

    /// Takes what a voter tells of copies.
    pub(in super::super) fn record_copies(
        &self,
        voter: net::Ipv4Addr,
        told: CopiesNotice,
        now_ms: u64,
    ) {
        match told {
            CopiesNotice::Charges { all, charges } => {
                self.view().record_charges(voter, &charges, all, now_ms);
            }
            CopiesNotice::TrialGranted(fingerprint) => {
                let is_wanted = self.view().copies_mut().record_grant(fingerprint);
                self.tell_trial_over(fingerprint, !is_wanted);
            }
            CopiesNotice::TrialWanted(_) | CopiesNotice::TrialOver(_) => (),
        }
    }

    /// Forgets requests of which nothing is under way or under suspicion any more.
    pub(in super::super) fn forget_needless_copies(&self, now_ms: u64) {
        self.view().copies_mut().forget_needless(now_ms);
    }

    /// Forgets what a voter told that is out of reach, where others are in reach that know the
    /// same.
    pub(in super::super) fn record_voter_lost(
        &self,
        voter: net::Ipv4Addr,
        others_up: bool,
        now_ms: u64,
    ) {
        if others_up {
            self.view().copies_mut().forget_voter(voter, now_ms);
        }
    }
}
