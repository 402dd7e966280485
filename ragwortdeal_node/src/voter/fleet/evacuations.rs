//! Starts and ends evacuations of availability zones for operators, and lists them.

use std::{collections, time};

use ragwortdeal_core::document::{evacuation, store};
use tokio::sync::{mpsc, watch};

use super::steps;
use crate::voter::{Event, operate::evacuations};

/// What operators can do about evacuations at this voter.
#[derive(Clone)]
pub(super) struct Evacuations {
    events: mpsc::Sender<Event>,
    /// What is in force, as far as it is applied here.
    documents: watch::Receiver<store::Store>,
    /// Region of each availability zone.
    regions: collections::BTreeMap<String, String>,
}

/// Why an order is not acknowledged.
pub(super) enum Refusal {
    /// The settings do not name the zone.
    UnknownZone,
    /// No quorum confirms that the state is as asked, which may still become so.
    NotConfirmed(String),
}

impl Evacuations {
    pub(super) fn new(
        events: mpsc::Sender<Event>,
        documents: watch::Receiver<store::Store>,
        regions: collections::BTreeMap<String, String>,
    ) -> Self {
        Self { events, documents, regions }
    }

    /// Starts or ends an evacuation. Returns the revision of the zone with which its state is as
    /// asked.
    pub(super) async fn set(&self, request: &evacuation::Request) -> Result<u64, Refusal> {
        let (zone, evacuated) = (&*request.zone, request.evacuated);
        log::info!(zone, evacuated; "voter: an order on an evacuation is received");
        if !self.regions.contains_key(zone) {
            log::warn!(zone, evacuated; "voter: an order on an evacuation is refused: there is no such zone");
            return Err(Refusal::UnknownZone);
        }
        let begun = time::Instant::now();
        let decided = self.decide(request, begun).await;
        let took_ms = begun.elapsed().as_millis() as u64;
        match &decided {
            Ok(revision) => log::info!(
                zone, evacuated, revision = *revision, took_ms;
                "voter: an order on an evacuation is acknowledged"
            ),
            Err(reason) => log::warn!(
                zone, evacuated, took_ms;
                "voter: an order on an evacuation is not acknowledged: {reason}"
            ),
        }
        decided.map_err(Refusal::NotConfirmed)
    }

    /// Proposes steps until a quorum confirms that the state is as asked and stays so. The state is
    /// confirmed first, so that a voter without a quorum says so before operators give up.
    async fn decide(
        &self,
        request: &evacuation::Request,
        begun: time::Instant,
    ) -> Result<u64, String> {
        let mut found = None;
        loop {
            let held = steps::read(&self.events).await?.evacuations;
            let revision = held.revision(&request.zone);
            let found = *found.get_or_insert(revision);
            let age_ms = begun.elapsed().as_millis() as u64;
            match held.decide(request, found, age_ms) {
                evacuation::Decision::AsAsked => return Ok(revision),
                evacuation::Decision::TooLate => {
                    return Err("too late, or other orders on the zone came in between".to_owned());
                }
                evacuation::Decision::Propose(step) => self.propose(step).await?,
            }
        }
    }

    /// Proposes a step and waits until its revision is taken, be it by another call's step: where
    /// the log is slow, that one may be applied before the operator gives up, and this one after.
    async fn propose(&self, step: evacuation::Evacuation) -> Result<(), String> {
        let (zone, revision) = (step.zone.clone(), step.revision);
        let mut documents = self.documents.clone();
        tokio::select! {
            decided = steps::decide(&self.events, store::Step::Evacuate(step)) => decided,
            Ok(_) = documents.wait_for(|it| it.evacuations.revision(&zone) >= revision) => Ok(()),
        }
    }

    /// The state of all zones of the settings, and of others that were ever evacuated.
    pub(super) async fn list(&self) -> evacuations::ListedZones {
        let read = steps::read(&self.events).await;
        let confirmed = read.is_ok();
        let held = match read {
            Ok(store) => store.evacuations,
            Err(_) => self.documents.borrow().evacuations.clone(),
        };
        let mut zones: collections::BTreeSet<&str> =
            self.regions.keys().map(String::as_str).collect();
        zones.extend(held.all().map(|it| &*it.zone));
        let listed = zones.into_iter().map(|zone| evacuation::Evacuation {
            zone: zone.into(),
            revision: held.revision(zone),
            evacuated: held.is_evacuated(zone),
        });
        evacuations::ListedZones { zones: listed.collect(), confirmed }
    }

    /// Answers an operator's tool.
    pub(super) async fn answer(
        &self,
        request: evacuations::EvacuationsRequest,
    ) -> evacuations::EvacuationsReply {
        let (zone, evacuated) = match request {
            evacuations::EvacuationsRequest::ListEvacuations => {
                return evacuations::EvacuationsReply::Zones(self.list().await);
            }
            evacuations::EvacuationsRequest::SetEvacuation { zone, evacuated } => (zone, evacuated),
        };
        let request = evacuation::Request { zone: zone.into(), evacuated };
        match self.set(&request).await {
            Ok(revision) => {
                let evacuation::Request { zone, evacuated } = request;
                let state = evacuation::Evacuation { zone, revision, evacuated };
                evacuations::EvacuationsReply::InForce(state)
            }
            Err(Refusal::UnknownZone) => evacuations::EvacuationsReply::UnknownZone,
            Err(Refusal::NotConfirmed(reason)) => {
                evacuations::EvacuationsReply::NotConfirmed { reason }
            }
        }
    }
}
