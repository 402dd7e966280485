//! Selects the upstream for a request, and counts the request as open there until it is over.

use std::{sync, time};

use ragwortdeal_core::{
    directory,
    dispatch::{bounds, choice, gate, residency, retry_after},
};

use super::{
    super::{Entry, health, isolation, pool},
    Upstreams,
};

/// The upstream that was selected for a request. The request counts as open there until this is
/// dropped.
pub(in super::super) struct Selected {
    pub(in super::super) peer: pool::Peer,
    /// Version of weights that it serves.
    pub(in super::super) version: Option<u64>,
    /// Version that the agent beside it reported last, 0 if none.
    pub(in super::super) reported_version: u64,
    /// Milliseconds that the prompt takes to read, while it counts as unread there.
    reading_ms: Option<f64>,
    /// Forecast of the milliseconds to the first event, if it is an engine.
    pub(in super::super) forecast_ms: Option<f64>,
    /// Whether the engine is to start it before more urgent requests.
    pub(in super::super) starts_first: bool,
    /// State of the upstream when it was selected.
    pub(in super::super) candidate: choice::Candidate,
    /// When it was selected, by the entry's clock.
    pub(in super::super) sent_at_ms: u64,
    /// When its weights were superseded, by the entry's clock.
    superseded_at_ms: Option<i64>,
    /// Time by which the request must have started there, if the weights are superseded.
    start_by_ms: Option<i64>,
    /// When the first event came, by the entry's clock.
    first_event_at_ms: Option<u64>,
    /// Pieces of one or more events that came.
    pieces: u32,
    /// Whether the answer has shown that the upstream bears the parts of the prompt.
    pub(in super::super) proved: bool,
    /// The request counts as under way until this is dropped.
    copy: Option<isolation::RequestCopy>,
    /// Shows that the request may be sent to the upstream's region.
    _permit: residency::Permit,
    activity: sync::Arc<health::Activity>,
    /// Whether the request is taken back from the upstream if it falls silent.
    leaves_silent: bool,
    entry: sync::Arc<Entry>,
}

/// How far an answer is.
#[derive(Clone, Copy, Debug)]
pub(in super::super) struct Writing {
    /// Pieces of one or more events that came.
    pub(in super::super) pieces: u32,
    /// Milliseconds since the first one, 0 before it.
    pub(in super::super) since_ms: u64,
}

impl Selected {
    /// Counts the request as under way, with its other copies.
    pub(in super::super) fn hold_copy(&mut self, copy: isolation::RequestCopy) {
        self.copy = Some(copy);
    }

    /// Counts the request as under way here no longer.
    pub(in super::super) fn end_copy(&mut self) {
        self.copy = None;
    }

    /// Remaining time for the request to start there, if it is bounded.
    pub(in super::super) fn time_to_start(&self) -> Option<time::Duration> {
        let by_ms = self.start_by_ms?;
        let left_ms = by_ms - self.entry.clock.now_ms() as i64;
        Some(time::Duration::from_millis(left_ms.max(0).unsigned_abs()))
    }

    /// How long the weights have been superseded, 0 if they are the newest.
    pub(in super::super) fn superseded_ms(&self) -> u64 {
        let now_ms = self.entry.clock.now_ms() as i64;
        self.superseded_at_ms.map_or(0, |at_ms| (now_ms - at_ms).max(0).unsigned_abs())
    }

    /// Records that data arrived from the upstream.
    pub(in super::super) fn record_activity(&self) {
        self.activity.record_activity();
    }

    /// Whether the request is taken back from an upstream that answers too slowly, as another one
    /// may answer it.
    pub(in super::super) fn leaves_slow(&self, service: &str) -> bool {
        let has_alternative =
            || self.entry.upstreams().has_alternative(service, &self.peer.instance);
        self.leaves_silent && has_alternative()
    }

    /// Records that the upstream has answered: the head of an answer alone does not show it.
    pub(in super::super) fn record_success(&self) {
        self.entry.upstreams().record_success(&self.peer.instance);
    }

    /// Waits until the upstream is found to be silent. Never ends for a request that must run only
    /// once, or that is on its last attempt at a plain service: no other upstream could answer it.
    pub(in super::super) async fn stalled(&self) {
        match self.leaves_silent {
            true => self.activity.stalled().await,
            false => std::future::pending().await,
        }
    }

    /// How far the answer is.
    pub(in super::super) fn writing(&self, now_ms: u64) -> Writing {
        let since_ms = self.first_event_at_ms.map_or(0, |at_ms| now_ms.saturating_sub(at_ms));
        Writing { pieces: self.pieces, since_ms }
    }

    /// Records events. With the first ones the prompt has been read.
    pub(in super::super) fn record_events(&mut self) {
        self.pieces += 1;
        if self.first_event_at_ms.is_none() {
            self.first_event_at_ms = Some(self.entry.clock.now_ms());
            self.record_success();
        }
        self.start_by_ms = None;
        if let Some(reading_ms) = self.reading_ms.take() {
            self.entry.upstreams().prefill_done(&self.peer.instance, reading_ms);
        }
    }
}

impl Drop for Selected {
    fn drop(&mut self) {
        let mut upstreams = self.entry.upstreams();
        upstreams.close_request(&self.peer.instance);
        if let Some(reading_ms) = self.reading_ms {
            upstreams.prefill_done(&self.peer.instance, reading_ms);
        }
    }
}

/// Why no upstream was selected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in super::super) enum Unavailable {
    /// No upstream accepts work.
    NoneEligible {
        /// Whether there are upstreams in evacuated zones.
        evacuated: bool,
    },
    /// No upstream that accepts work is in a region where the request may be served.
    OutsideAllowedRegions,
    /// All upstreams that accept work are full.
    AllFull {
        room: Option<retry_after::Room>,
        /// The bounds that the request would exceed, if they are engines.
        bounds: Option<bounds::Refused>,
    },
    /// All upstreams that accept work have asked for less of it than there is.
    HeldBack {
        /// Milliseconds until one of them takes a request.
        retry_after_ms: u64,
    },
    /// The room is kept for more urgent requests.
    MoreUrgentFirst { room: Option<retry_after::Room> },
    /// Its account requests more than its share.
    AboveFairShare { room: Option<retry_after::Room> },
}

/// Criteria for the selection.
pub(in super::super) struct Criteria<'w> {
    pub(in super::super) service: &'w directory::Text,
    /// Models of the service, if it is a service of engines.
    pub(in super::super) models: Option<&'w [directory::Text]>,
    /// Regions in which the request may be served.
    pub(in super::super) residency: &'w residency::Residency,
    /// The work for an engine, if it is a service of engines.
    pub(in super::super) work: Option<gate::Work<'w>>,
    /// Upstreams that were tried before.
    pub(in super::super) tried: &'w [directory::Text],
    /// Whether the request may be sent to more than one upstream.
    pub(in super::super) repeatable: bool,
    /// Whether this is the last attempt.
    pub(in super::super) last_attempt: bool,
}

/// An upstream that may be selected.
struct Eligible {
    peer: pool::Peer,
    version: Option<u64>,
    /// Version that the agent beside it reported last, 0 if none.
    reported_version: u64,
    /// When its weights were superseded.
    superseded_at_ms: Option<i64>,
    candidate: choice::Candidate,
    permit: residency::Permit,
}

/// The best of the upstreams that may be selected.
struct Best {
    index: usize,
    /// Forecast of the milliseconds to the first event, if it is an engine.
    forecast_ms: Option<f64>,
    /// Whether the engine is to start the request before more urgent ones.
    starts_first: bool,
}

impl Upstreams {
    /// Whether another upstream of the service takes work.
    pub(in super::super) fn has_alternative(&self, service: &str, instance: &str) -> bool {
        let others = self.directory.all().map(|upstream| &upstream.announcement);
        let mut others = others.filter(|it| *it.service == *service && *it.instance != *instance);
        others.any(|other| {
            let silent = self.health.get(&other.instance).is_some_and(health::Health::is_silent);
            other.status == directory::Status::Ready && !silent && !self.is_evacuated(other)
        })
    }

    /// Upstreams that may take a request now. Fails if all of them asked for less work.
    fn eligible(&self, criteria: &Criteria<'_>, now_ms: u64) -> Result<Vec<Eligible>, Unavailable> {
        let takes_work = |announcement: &directory::Announcement| {
            announcement.status == directory::Status::Ready
                && announcement.service == *criteria.service
                && !criteria.tried.contains(&announcement.instance)
                && !self.is_leaving(&announcement.instance)
                && !self.is_evacuated(announcement)
        };
        let upstreams = self.directory.all().map(|upstream| &upstream.announcement);
        let upstreams: Vec<_> = upstreams.filter(|it| takes_work(it)).collect();
        let permitted = upstreams.iter().filter_map(|announcement| {
            let region = || self.regions.get(&announcement.zone).map(|region| &**region);
            Some((announcement, criteria.residency.permit(region)?))
        });
        let permitted: Vec<_> = permitted.collect();
        if permitted.is_empty() && !upstreams.is_empty() {
            return Err(Unavailable::OutsideAllowedRegions);
        }
        let fit = permitted.into_iter().filter_map(|(announcement, permit)| {
            self.check_eligible(announcement, permit, criteria, now_ms)
        });
        let (open, held_back): (Vec<_>, Vec<_>) =
            fit.partition(|upstream| self.may_send(&upstream.peer.instance, now_ms));
        let takes_work_in_ms = held_back
            .iter()
            .map(|upstream| self.takes_work_in_ms(&upstream.peer.instance, now_ms))
            .min();
        match takes_work_in_ms {
            Some(retry_after_ms) if open.is_empty() => {
                Err(Unavailable::HeldBack { retry_after_ms })
            }
            _ => Ok(open),
        }
    }

    fn check_eligible(
        &self,
        announcement: &directory::Announcement,
        permit: residency::Permit,
        criteria: &Criteria<'_>,
        now_ms: u64,
    ) -> Option<Eligible> {
        let (version, superseded_at_ms) = match criteria.models {
            None => (None, None),
            Some(models) => {
                let lowest = self.min_version_at(announcement, models, now_ms);
                let version = self.version_of(announcement).filter(|held| *held >= lowest)?;
                (Some(version), self.superseded_at_ms(models, version))
            }
        };
        let superseded = superseded_at_ms.is_some();
        let mut candidate =
            self.candidate(announcement, criteria.repeatable, superseded, now_ms)?;
        candidate.start_within_ms =
            superseded_at_ms.map(|at_ms| (self.start_by_ms(at_ms) - now_ms as i64) as f64);
        candidate.ramping_up = criteria
            .work
            .is_some_and(|work| self.is_ramping_up(announcement, &work.latency_model, now_ms));
        let peer =
            pool::Peer { instance: announcement.instance.clone(), address: announcement.address };
        let reported_version = self.reported_version(announcement);
        Some(Eligible { peer, version, reported_version, superseded_at_ms, candidate, permit })
    }

    /// The best of the upstreams.
    fn best_of(
        &mut self,
        eligible: &[Eligible],
        criteria: &Criteria<'_>,
        now_ms: u64,
        draw: u64,
    ) -> Result<Best, Unavailable> {
        let candidates: Vec<_> = eligible.iter().map(|upstream| upstream.candidate).collect();
        let best = match &criteria.work {
            Some(work) => {
                let gate = self.gates.entry(criteria.service.clone()).or_default();
                let selected = gate.choose(&candidates, work, now_ms, draw);
                selected.map(|selected| Best {
                    index: selected.engine,
                    forecast_ms: Some(selected.forecast_ms),
                    starts_first: selected.starts_first,
                })
            }
            None => choice::least_loaded(&candidates, draw)
                .ok_or(gate::Rejection::Full)
                .map(|index| Best { index, forecast_ms: None, starts_first: false }),
        };
        best.map_err(|rejection| {
            if eligible.is_empty() {
                let evacuated = self.has_evacuated(criteria.service);
                return Unavailable::NoneEligible { evacuated };
            }
            let room = self.room(&candidates, criteria);
            match rejection {
                gate::Rejection::Full => {
                    let bounds = self.exceeded_bounds(&candidates, criteria, now_ms);
                    Unavailable::AllFull { room, bounds }
                }
                gate::Rejection::MoreUrgentFirst => Unavailable::MoreUrgentFirst { room },
                gate::Rejection::AboveFairShare => Unavailable::AboveFairShare { room },
            }
        })
    }

    /// The bounds that kept a request from all engines.
    fn exceeded_bounds(
        &self,
        candidates: &[choice::Candidate],
        criteria: &Criteria<'_>,
        now_ms: u64,
    ) -> Option<bounds::Refused> {
        let gate = self.gates.get(criteria.service)?;
        Some(gate.explain(candidates, criteria.work.as_ref()?, now_ms))
    }

    /// When there will be room for a request, if it can be told.
    fn room(
        &self,
        candidates: &[choice::Candidate],
        criteria: &Criteria<'_>,
    ) -> Option<retry_after::Room> {
        let gate = self.gates.get(criteria.service)?;
        Some(gate.room(candidates, criteria.work.as_ref()?))
    }
}

impl Entry {
    /// Selects an upstream for a request and counts the request as open there.
    pub(in super::super) fn choose(
        self: &sync::Arc<Self>,
        criteria: &Criteria<'_>,
    ) -> Result<Selected, Unavailable> {
        let now_ms = self.clock.now_ms();
        let draw = self.random_u64();
        let mut upstreams = self.upstreams();
        let mut eligible = upstreams.eligible(criteria, now_ms)?;
        let Best { index, forecast_ms, starts_first } =
            upstreams.best_of(&eligible, criteria, now_ms, draw)?;
        let Eligible { peer, version, reported_version, superseded_at_ms, candidate, permit } =
            eligible.swap_remove(index);
        let reading_ms = criteria.work.map_or(0.0, |work| work.prefill_ms);
        let first_event_at_ms = now_ms + forecast_ms.unwrap_or(0.0) as u64;
        let activity = upstreams.open_request(&peer.instance, reading_ms, first_event_at_ms);
        upstreams.record_sent(&peer.instance, now_ms);
        Ok(Selected {
            peer,
            version,
            reported_version,
            reading_ms: Some(reading_ms),
            forecast_ms,
            starts_first,
            candidate,
            sent_at_ms: now_ms,
            superseded_at_ms,
            start_by_ms: superseded_at_ms.map(|at_ms| upstreams.start_by_ms(at_ms)),
            first_event_at_ms: None,
            pieces: 0,
            proved: false,
            copy: None,
            _permit: permit,
            activity,
            leaves_silent: criteria.repeatable
                && (criteria.models.is_some() || !criteria.last_attempt),
            entry: self.clone(),
        })
    }
}
