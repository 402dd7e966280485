//! HTTP towards operators and upstreams.

use std::{sync, time};

use hyper::header;
use ragwortdeal_core::{
    document,
    document::{evacuation, store},
    name,
};
use tokio::sync::{mpsc, watch};

use super::{evacuations, hub, steps};
use crate::{
    fleet::{compression, dialect},
    http, telemetry,
    voter::Event,
};

/// Largest announcement. An upstream of many models stays far below it.
const ANNOUNCEMENT_MAX_BYTES: usize = 64 << 10;

/// Largest document, as it is sent.
const DOCUMENT_MAX_BYTES: usize = 8 << 20;

/// How long a body may take to arrive.
const BODY_MS: u64 = 3_000;

/// The part that answers operators and upstreams.
pub(super) struct Control {
    spoken: dialect::DialectRef,
    hub: sync::Arc<hub::Hub>,
    events: mpsc::Sender<Event>,
    published: Published,
    evacuations: evacuations::Evacuations,
    telemetry: telemetry::Telemetry,
}

/// What the driver tells this part.
pub(super) struct Published {
    /// What is in force, as far as it is applied here.
    pub(super) documents: watch::Receiver<store::Store>,
    /// The leader, where this voter stands by.
    pub(super) redirect: watch::Receiver<Option<name::InstanceName>>,
    /// Port on which all voters take calls.
    pub(super) port: u16,
}

impl Control {
    pub(super) fn new(
        spoken: dialect::DialectRef,
        hub: sync::Arc<hub::Hub>,
        events: mpsc::Sender<Event>,
        published: Published,
        evacuations: evacuations::Evacuations,
        telemetry: telemetry::Telemetry,
    ) -> Self {
        Self { spoken, hub, events, published, evacuations, telemetry }
    }

    /// Where a call goes that a voter which stands by cannot answer.
    fn redirect(&self, call: &dialect::ControlCall, uri: &hyper::Uri) -> Option<String> {
        match call {
            dialect::ControlCall::Announce { .. } | dialect::ControlCall::Leave { .. } => None,
            dialect::ControlCall::Install
            | dialect::ControlCall::Read
            | dialect::ControlCall::NameWeights
            | dialect::ControlCall::StartEvacuation { .. }
            | dialect::ControlCall::EndEvacuation { .. } => {
                let leader = self.published.redirect.borrow().clone()?;
                let path = uri.path_and_query().map_or("/", |path| path.as_str());
                Some(format!("http://{leader}:{}{path}", self.published.port))
            }
        }
    }
}

/// Answers one call.
pub(super) async fn answer(control: sync::Arc<Control>, request: http::Request) -> http::Response {
    let Some(call) = control.spoken.control_call(&request.method, &request.uri) else {
        return text(404, "there is no such call\n");
    };
    let redirect = control.redirect(&call, &request.uri);
    let max_bytes = match call {
        dialect::ControlCall::Install => DOCUMENT_MAX_BYTES,
        _ => ANNOUNCEMENT_MAX_BYTES,
    };
    let bounds = request.body_bounds(max_bytes, BODY_MS);
    let body = match http::read_request_body(request.body, &bounds, &request.inbound).await {
        Ok(body) => body,
        Err(error) => {
            control.telemetry.count("voter.refusals", 1);
            return body_refused(&error);
        }
    };
    if let Some(location) = redirect {
        control.telemetry.count("voter.redirects", 1);
        return redirect_to(&location);
    }
    let begun = time::Instant::now();
    let counted = match call {
        dialect::ControlCall::Announce { .. } => "voter.announcements",
        dialect::ControlCall::Leave { .. } => "voter.departures",
        dialect::ControlCall::Install => "voter.documents",
        dialect::ControlCall::Read => "voter.reads",
        dialect::ControlCall::NameWeights => "voter.weights",
        dialect::ControlCall::StartEvacuation { .. }
        | dialect::ControlCall::EndEvacuation { .. } => "voter.evacuations",
    };
    control.telemetry.count(counted, 1);
    let response = match call {
        dialect::ControlCall::Announce { instance } => control.announce(&instance, &body),
        dialect::ControlCall::Leave { instance } => control.leave(&instance, &body),
        dialect::ControlCall::Install => control.install(&body).await,
        dialect::ControlCall::Read => control.read().await,
        dialect::ControlCall::NameWeights => control.name_weights(&body).await,
        dialect::ControlCall::StartEvacuation { zone } => control.evacuate(zone, true).await,
        dialect::ControlCall::EndEvacuation { zone } => control.evacuate(zone, false).await,
    };
    if !response.status().is_success() {
        control.telemetry.count("voter.refusals", 1);
    }
    control.telemetry.took("voter.answer_ms", begun.elapsed().as_millis() as u64);
    response
}

impl Control {
    fn announce(&self, instance: &str, body: &[u8]) -> http::Response {
        match self.spoken.announcement(instance, body) {
            Ok(said) => {
                self.hub.announced(said);
                http::respond(
                    200,
                    "application/json",
                    http::full(self.spoken.announcement_response()),
                )
            }
            Err(error) => {
                log::warn!("voter: announcement of {instance}: {error}");
                text(400, &format!("{error}\n"))
            }
        }
    }

    fn leave(&self, instance: &str, body: &[u8]) -> http::Response {
        match self.spoken.departure(body) {
            Ok(age) => {
                self.hub.left(instance, age);
                http::respond(200, "application/json", http::full("{}"))
            }
            Err(error) => {
                log::warn!("voter: departure of {instance}: {error}");
                text(400, &format!("{error}\n"))
            }
        }
    }

    /// Takes a document. It is judged before the group hears of it, so that an invalid one never
    /// gets a place in the log.
    async fn install(&self, body: &[u8]) -> http::Response {
        let document = match self.spoken.document(body) {
            Ok(document) => document,
            Err(error) => {
                log::warn!("voter: document refused: {error}");
                return text(400, &format!("{error}\n"));
            }
        };
        if let Err(invalid) = document::check::check(&document) {
            log::warn!("voter: document version={} refused: {invalid}", document.version);
            return text(400, &format!("{invalid}\n"));
        }
        let version = document.version;
        let begun = time::Instant::now();
        log::info!("voter: document version={version} received");
        // What is applied here is on the disks of a quorum, so an older or repeated version is
        // acknowledged without asking the group.
        if self.published.documents.borrow().version() >= version {
            log::info!("voter: document version={version} acknowledged, overtaken");
            return text(200, "overtaken\n");
        }
        let sealed = store::StoredDocument { version, body: compression::compress(body).into() };
        match steps::decide(&self.events, store::Step::Install(sealed)).await {
            Ok(()) => {
                let took_ms = begun.elapsed().as_millis() as u64;
                log::info!(took_ms; "voter: document version={version} acknowledged");
                text(200, "in force\n")
            }
            Err(reason) => {
                let took_ms = begun.elapsed().as_millis() as u64;
                log::warn!(
                    took_ms; "voter: document version={version} not acknowledged: {reason}"
                );
                text(503, &format!("{reason}\n"))
            }
        }
    }

    async fn name_weights(&self, body: &[u8]) -> http::Response {
        let weights = match self.spoken.weights(body) {
            Ok(weights) => weights,
            Err(error) => {
                log::warn!("voter: weights refused: {error}");
                return text(400, &format!("{error}\n"));
            }
        };
        let store::ModelVersion { model, version } = weights.clone();
        if self
            .published
            .documents
            .borrow()
            .weights
            .get(&model)
            .is_some_and(|held| *held >= version)
        {
            return text(200, "overtaken\n");
        }
        match steps::decide(&self.events, store::Step::Name(weights)).await {
            Ok(()) => {
                log::info!("voter: weights {model} version={version} acknowledged");
                text(200, "named\n")
            }
            Err(reason) => {
                log::warn!("voter: weights {model} version={version} not acknowledged: {reason}");
                text(503, &format!("{reason}\n"))
            }
        }
    }

    /// Starts or ends an evacuation.
    async fn evacuate(&self, zone: String, evacuated: bool) -> http::Response {
        let request = evacuation::Request { zone: zone.as_str().into(), evacuated };
        match self.evacuations.set(&request).await {
            Ok(_) if evacuated => text(200, "evacuated\n"),
            Ok(_) => text(200, "not evacuated\n"),
            Err(evacuations::Refusal::UnknownZone) => {
                text(422, &format!("there is no availability zone {zone}\n"))
            }
            Err(evacuations::Refusal::NotConfirmed(reason)) => text(503, &format!("{reason}\n")),
        }
    }

    /// Gives the newest document, or says that nobody can be sure which one it is.
    async fn read(&self) -> http::Response {
        let documents = match steps::read(&self.events).await {
            Ok(documents) => documents,
            Err(reason) => return text(503, &format!("{reason}\n")),
        };
        let Some(sealed) = documents.document else {
            return text(503, "there is no document yet\n");
        };
        match compression::decompress(&sealed.body) {
            Ok(bytes) => http::respond(200, "application/json", http::full(bytes)),
            Err(error) => {
                log::error!(
                    "voter: document version={} cannot be unpacked: {error}",
                    sealed.version
                );
                text(503, "the document cannot be unpacked\n")
            }
        }
    }
}

/// Refuses a call whose body was not read. Callers ask another voter where there is no memory here.
fn body_refused(error: &http::BodyError) -> http::Response {
    let status = match error {
        http::BodyError::TooLarge { .. } => 413,
        http::BodyError::NoRoom => 503,
        http::BodyError::Stalled | http::BodyError::Late => 408,
        http::BodyError::Cut { .. } => 400,
    };
    let mut response = text(status, &format!("{error}\n"));
    if error.leaves_bytes() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

fn redirect_to(location: &str) -> http::Response {
    let mut response = text(307, "this voter stands by\n");
    if let Ok(value) = header::HeaderValue::from_str(location) {
        response.headers_mut().insert(header::LOCATION, value);
    }
    response
}

fn text(status: u16, detail: &str) -> http::Response {
    http::respond(status, "text/plain", http::full(detail.to_owned()))
}
