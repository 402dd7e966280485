//! Chooses the upstream for a request, and keeps it counted there until the request is over.

use std::{sync, time};

use ragwortdeal_core::{
    directory,
    dispatch::{choice, gate},
};

use super::{
    super::{Entry, health, pool},
    Fleet,
};

/// An upstream that was chosen for a request. It counts as busy until this is dropped.
pub(in super::super) struct Chosen {
    pub(in super::super) peer: pool::Peer,
    /// Version of weights that it serves.
    pub(in super::super) version: Option<u64>,
    /// Milliseconds of the prompt, as long as it counts as unread there.
    reading_ms: Option<f64>,
    /// Milliseconds to the first event as they were forecast, where it is an engine.
    pub(in super::super) forecast_ms: Option<f64>,
    /// The upstream as it was seen when it was chosen.
    pub(in super::super) seen: choice::Candidate,
    /// Since when its weights are superseded, by the entry's clock.
    superseded_at_ms: Option<i64>,
    /// Time at which the request must have begun there, as the weights are superseded.
    begin_by_ms: Option<i64>,
    activity: sync::Arc<health::Activity>,
    /// Whether the request may be sent to more than one upstream.
    repeatable: bool,
    entry: sync::Arc<Entry>,
}

impl Chosen {
    /// Time that is left for the request to begin there, where there is a bound.
    pub(in super::super) fn left_to_begin(&self) -> Option<time::Duration> {
        let by_ms = self.begin_by_ms?;
        let left_ms = by_ms - self.entry.clock.now_ms() as i64;
        Some(time::Duration::from_millis(left_ms.max(0).unsigned_abs()))
    }

    /// For how long the weights there are superseded, 0 where they are the newest.
    pub(in super::super) fn superseded_ms(&self) -> u64 {
        let now_ms = self.entry.clock.now_ms() as i64;
        self.superseded_at_ms.map_or(0, |at_ms| (now_ms - at_ms).max(0).unsigned_abs())
    }

    /// Something came from the upstream.
    pub(in super::super) fn spoke(&self) {
        self.activity.spoke();
    }

    /// Waits until the upstream has gone quiet. A request that may run only once waits on: nobody
    /// else can answer it.
    pub(in super::super) async fn stalled(&self) {
        match self.repeatable {
            true => self.activity.stalled().await,
            false => std::future::pending().await,
        }
    }

    /// The first event came: the prompt is read.
    pub(in super::super) fn began(&mut self) {
        self.begin_by_ms = None;
        if let Some(reading_ms) = self.reading_ms.take() {
            self.entry.fleet().read(&self.peer.instance, reading_ms);
        }
    }
}

impl Drop for Chosen {
    fn drop(&mut self) {
        let mut fleet = self.entry.fleet();
        fleet.closed(&self.peer.instance);
        if let Some(reading_ms) = self.reading_ms {
            fleet.read(&self.peer.instance, reading_ms);
        }
    }
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in super::super) enum Unavailable {
    /// There is none that takes work.
    None,
    /// All that take work are full.
    Full,
    /// It is late, and engines are needed by others.
    StandsBack,
}

/// What is looked for.
pub(in super::super) struct Wanted<'w> {
    pub(in super::super) service: &'w directory::Text,
    /// Models of the service where it is one of engines.
    pub(in super::super) models: Option<&'w [directory::Text]>,
    /// What is asked of an engine, where it is a service of engines.
    pub(in super::super) work: Option<gate::Work>,
    /// Upstreams that were tried already.
    pub(in super::super) tried: &'w [directory::Text],
    /// Whether it may be sent to more than one upstream.
    pub(in super::super) repeatable: bool,
}

/// An upstream that may be chosen.
struct Offer {
    peer: pool::Peer,
    version: Option<u64>,
    /// Since when its weights are superseded.
    superseded_at_ms: Option<i64>,
    seen: choice::Candidate,
}

impl Fleet {
    /// Upstreams that may take a request now.
    fn offers(&self, wanted: &Wanted<'_>, now_ms: u64) -> Vec<Offer> {
        let takes_work = |said: &directory::Announcement| {
            said.status == directory::Status::Ready
                && said.service == *wanted.service
                && !wanted.tried.contains(&said.instance)
        };
        let upstreams = self.directory.all().map(|upstream| &upstream.announcement);
        let upstreams = upstreams.filter(|said| takes_work(said));
        upstreams.filter_map(|said| self.offer(said, wanted, now_ms)).collect()
    }

    fn offer(
        &self,
        said: &directory::Announcement,
        wanted: &Wanted<'_>,
        now_ms: u64,
    ) -> Option<Offer> {
        let (version, superseded_at_ms) = match wanted.models {
            None => (None, None),
            Some(models) => {
                let lowest = self.lowest_at(said, models, now_ms);
                let version = self.version_of(said).filter(|held| *held >= lowest)?;
                (Some(version), self.superseded_at_ms(models, version))
            }
        };
        let superseded = superseded_at_ms.is_some();
        let seen = self.candidate(said, wanted.repeatable, superseded, now_ms)?;
        let peer = pool::Peer { instance: said.instance.clone(), address: said.address };
        Some(Offer { peer, version, superseded_at_ms, seen })
    }

    /// Index of the best offer, and the forecast of its first event where it is an engine.
    fn best_of(
        &mut self,
        offers: &[Offer],
        wanted: &Wanted<'_>,
        now_ms: u64,
        draw: u64,
    ) -> Result<(usize, Option<f64>), Unavailable> {
        let seen: Vec<_> = offers.iter().map(|offer| offer.seen).collect();
        let best = match &wanted.work {
            Some(work) => {
                let gate = self.gates.entry(wanted.service.clone()).or_default();
                let chosen = gate.choose(&seen, work, now_ms, draw);
                chosen.map(|chosen| (chosen.engine, Some(chosen.forecast_ms)))
            }
            None => {
                choice::least_loaded(&seen, draw).ok_or(gate::Rejection::Full).map(|it| (it, None))
            }
        };
        best.map_err(|turned| match turned {
            _ if offers.is_empty() => Unavailable::None,
            gate::Rejection::Full => Unavailable::Full,
            gate::Rejection::LateWorkShed => Unavailable::StandsBack,
        })
    }
}

impl Entry {
    /// Chooses an upstream for a request and counts the request as open there.
    pub(in super::super) fn choose(
        self: &sync::Arc<Self>,
        wanted: &Wanted<'_>,
    ) -> Result<Chosen, Unavailable> {
        let now_ms = self.clock.now_ms();
        let draw = self.draw();
        let mut fleet = self.fleet();
        let mut offers = fleet.offers(wanted, now_ms);
        let (index, forecast_ms) = fleet.best_of(&offers, wanted, now_ms, draw)?;
        let Offer { peer, version, superseded_at_ms, seen } = offers.swap_remove(index);
        let reading_ms = wanted.work.map_or(0.0, |work| work.prefill_ms);
        let activity = fleet.opened(&peer.instance, reading_ms);
        Ok(Chosen {
            peer,
            version,
            reading_ms: Some(reading_ms),
            forecast_ms,
            seen,
            superseded_at_ms,
            begin_by_ms: superseded_at_ms.map(|at_ms| fleet.begin_by_ms(at_ms)),
            activity,
            repeatable: wanted.repeatable,
            entry: self.clone(),
        })
    }
}
