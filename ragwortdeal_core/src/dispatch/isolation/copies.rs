//! Whether an entry may send one more copy of a request, by the ends of upstreams under it.
//!
//! A request that ends upstreams comes again and again, also several times at once. A copy is sent
//! only as long as this copy and those under way cannot make more than three ends.

use std::{collections, net};

use super::request_ends::{ENDS_MAX, RequestCharge};
use crate::dispatch::prompt;

/// How long it may take to find out whether an upstream ended with a connection.
const FIND_OUT_MS: u64 = 60;

/// Time after an end of an upstream in which other entries tell of their ends.
const TOLD_WITHIN_MS: u64 = 25;

/// Time after an end of an upstream from which on what voters tell is newer than what was seen here.
const VOTERS_KNOW_MS: u64 = 300;

/// How long voters may take to compare the ends under a request with others.
const JUDGED_WITHIN_MS: u64 = 400;

/// Pause between two asks for a trial.
const ASK_INTERVAL_MS: u64 = 50;

/// Whether a copy may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Send,
    /// Not yet: other copies are under way, or it is not known yet what they ended.
    Wait,
    /// Not yet: a voter has to grant it.
    AskTrial,
    /// It may not: three upstreams ended under it.
    Refuse,
}

/// What is known of the copies of one request.
#[derive(Clone, Debug, Default)]
struct Copies {
    under_way: u32,
    /// Connections under copies whose upstream may have ended, and since when.
    in_doubt: u32,
    in_doubt_since_ms: u64,
    /// When an upstream last ended under it.
    ended_at_ms: Option<u64>,
    /// Ends that each voter tells.
    told: collections::BTreeMap<net::Ipv4Addr, u32>,
    told_at_ms: u64,
    /// Whether a voter has granted a trial, and when it was last asked for one.
    granted: bool,
    asked_at_ms: Option<u64>,
}

impl Copies {
    fn is_needless(&self, now_ms: u64) -> bool {
        let is_over = self.ended_at_ms.is_none_or(|at_ms| now_ms > at_ms + JUDGED_WITHIN_MS);
        self.under_way == 0 && self.in_doubt == 0 && self.told.is_empty() && is_over
    }

    /// Ends under the request, where this entry counts `own`.
    fn ends(&self, own: u32, alone: bool, now_ms: u64) -> u32 {
        let told = self.told.values().copied().max().unwrap_or(0);
        let voters_know = self.ended_at_ms.is_none_or(|at_ms| now_ms > at_ms + VOTERS_KNOW_MS);
        match alone {
            true => own.max(told),
            false if voters_know => told,
            false => told.max(own),
        }
    }
}

/// The copies of all requests under way, and of those under which upstreams ended.
#[derive(Clone, Debug, Default)]
pub struct AllCopies {
    by_request: collections::HashMap<prompt::PartId, Copies>,
}

impl AllCopies {
    /// Decides on one more copy. `own_ends` are the ends that this entry knows by itself, `alone`
    /// tells whether it reaches no voter.
    pub fn admission(
        &mut self,
        request: prompt::PartId,
        own_ends: u32,
        alone: bool,
        now_ms: u64,
    ) -> Admission {
        let Some(copies) = self.by_request.get_mut(&request) else {
            let is_fatal = alone && own_ends as usize >= ENDS_MAX;
            return if is_fatal { Admission::Refuse } else { Admission::Send };
        };
        let in_doubt = copies.in_doubt > 0 && now_ms < copies.in_doubt_since_ms + FIND_OUT_MS;
        let is_new =
            |at_ms: Option<u64>| at_ms.is_some_and(|at_ms| now_ms < at_ms + TOLD_WITHIN_MS);
        if in_doubt || is_new(copies.ended_at_ms) {
            return Admission::Wait;
        }
        let ends = copies.ends(own_ends, alone, now_ms) as usize;
        match ENDS_MAX.saturating_sub(ends) {
            ENDS_MAX => Admission::Send,
            0 => {
                let newest_ms = copies.ended_at_ms.unwrap_or(0).max(copies.told_at_ms);
                let is_judged = now_ms >= newest_ms + JUDGED_WITHIN_MS;
                if is_judged { Admission::Refuse } else { Admission::Wait }
            }
            left if copies.under_way as usize >= left => Admission::Wait,
            1 if !alone && !copies.granted => {
                let is_due = |at_ms| now_ms >= at_ms + ASK_INTERVAL_MS;
                if copies.asked_at_ms.is_none_or(is_due) {
                    copies.asked_at_ms = Some(now_ms);
                    return Admission::AskTrial;
                }
                Admission::Wait
            }
            _ => Admission::Send,
        }
    }

    /// Records that a copy is sent.
    pub fn begin(&mut self, request: prompt::PartId) {
        self.by_request.entry(request).or_default().under_way += 1;
    }

    /// Records that a copy is over. Returns whether a trial is over with it.
    pub fn end(&mut self, request: prompt::PartId, now_ms: u64) -> bool {
        let Some(copies) = self.by_request.get_mut(&request) else { return false };
        copies.under_way = copies.under_way.saturating_sub(1);
        copies.asked_at_ms = None;
        let trial_over = std::mem::take(&mut copies.granted);
        if copies.is_needless(now_ms) {
            self.by_request.remove(&request);
        }
        trial_over
    }

    /// Records that the connection of a copy ended, perhaps with its upstream.
    pub fn record_doubt(&mut self, request: prompt::PartId, now_ms: u64) {
        let copies = self.by_request.entry(request).or_default();
        copies.in_doubt += 1;
        copies.in_doubt_since_ms = now_ms;
    }

    /// Records whether the upstream had ended.
    pub fn record_found(&mut self, request: prompt::PartId, ended: bool, now_ms: u64) {
        let copies = self.by_request.entry(request).or_default();
        copies.in_doubt = copies.in_doubt.saturating_sub(1);
        if ended {
            copies.ended_at_ms = Some(now_ms);
        }
        if copies.is_needless(now_ms) {
            self.by_request.remove(&request);
        }
    }

    /// Records that an upstream has answered a request whole: ends that voters told of count no
    /// longer. Returns whether any were told.
    pub fn record_answered(&mut self, request: prompt::PartId) -> bool {
        let Some(copies) = self.by_request.get_mut(&request) else { return false };
        !std::mem::take(&mut copies.told).is_empty()
    }

    /// Records that a copy no longer waits to be sent. Returns whether a trial is over with it.
    pub fn abandon(&mut self, request: prompt::PartId) -> bool {
        let Some(copies) = self.by_request.get_mut(&request) else { return false };
        copies.asked_at_ms = None;
        std::mem::take(&mut copies.granted)
    }

    /// Takes what a voter counts.
    pub fn record_charges(&mut self, voter: net::Ipv4Addr, charges: &[RequestCharge], now_ms: u64) {
        for charge in charges {
            let copies = self.by_request.entry(charge.request).or_default();
            match charge.ends {
                0 => _ = copies.told.remove(&voter),
                ends => _ = copies.told.insert(voter, ends),
            }
            copies.told_at_ms = now_ms;
            if copies.is_needless(now_ms) {
                self.by_request.remove(&charge.request);
            }
        }
    }

    /// Forgets requests of which nothing is under way or under suspicion any more.
    pub fn forget_needless(&mut self, now_ms: u64) {
        self.by_request.retain(|_, copies| !copies.is_needless(now_ms));
    }

    /// Forgets what a voter told that is out of reach.
    pub fn forget_voter(&mut self, voter: net::Ipv4Addr, now_ms: u64) {
        self.by_request.retain(|_, copies| {
            copies.told.remove(&voter);
            !copies.is_needless(now_ms)
        });
    }

    /// Takes a trial that a voter granted. Returns whether a copy still waits for it.
    pub fn record_grant(&mut self, request: prompt::PartId) -> bool {
        match self.by_request.get_mut(&request) {
            Some(copies) if copies.asked_at_ms.is_some() => {
                copies.granted = true;
                true
            }
            _ => false,
        }
    }
}
