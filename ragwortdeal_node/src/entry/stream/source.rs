//! The engine's end of a stream: resume after a lost connection, cancel when nobody listens.

use std::sync;

use ragwortdeal_core::{name, retry};

use super::super::{Entry, calls};
use crate::http;

/// Longest time in milliseconds for an engine to confirm a cancel.
const CANCEL_MS: u64 = 2_000;

/// Where an answer comes from.
pub(in super::super) struct Source {
    entry: sync::Arc<Entry>,
    instance: name::InstanceName,
    pub(in super::super) address: String,
    pub(in super::super) version: String,
    pub(in super::super) hop_id: String,
    attempts: u32,
    cancel: Cancel,
}

impl Source {
    pub(in super::super) fn new(
        entry: sync::Arc<Entry>,
        instance: name::InstanceName,
        address: String,
        version: String,
        hop_id: String,
        cancel: Cancel,
    ) -> Self {
        Self { entry, instance, address, version, hop_id, attempts: 1, cancel }
    }

    /// Carries an answer on after that many tokens, over a new connection to the same engine and by
    /// the same version. Any other engine would have to begin anew, and the caller would get an
    /// answer made of two.
    pub(super) async fn resume(&mut self, tokens: u64) -> Result<http::RequestBody, String> {
        let now_ms = self.entry.clock.now_ms();
        let attempted = retry::FailedCall {
            idempotent: true,
            attempts: self.attempts,
            failure: retry::Failure::Truncated,
            resumable_on: self.version.parse().ok(),
            deadline_ms: u64::MAX,
            min_answer_ms: 0,
        };
        if let retry::Decision::GiveUp(reason) = retry::decide(&attempted, now_ms) {
            return Err(format!("{reason:?}"));
        }
        self.attempts += 1;
        let granted = {
            let mut traffic = self.entry.traffic.lock().expect("no panic under lock");
            traffic.may_retry(&self.instance)
        };
        granted.map_err(|reason| format!("{reason:?}"))?;
        log::info!("entry: {}: resume at {} from token {tokens}", self.hop_id, self.instance);
        let request = self.entry.about_stream(self, "GET", &format!("/from/{tokens}"));
        let patience_ms = self.entry.settings.limits.first_byte_ms;
        let sent = self.entry.http.send("resume stream", &self.address, request, patience_ms);
        let response = sent.await.map_err(|error| error.to_string())?;
        let made_by = response.headers().get(http::MODEL_VERSION);
        let same = made_by.is_some_and(|version| version.as_bytes() == self.version.as_bytes());
        match response.status().is_success() && same {
            true => Ok(response.into_body()),
            false => Err(format!("the engine answered {} to a resume", response.status())),
        }
    }

    /// The answer has ended, so there is nothing to cancel.
    pub(super) fn ended(&mut self) {
        self.cancel.disarm();
    }
}

/// Cancels a call at its engine when dropped, unless the call ended by itself.
///
/// A caller that goes away while the engine works on its prompt leaves no broken connection that
/// the engine would notice before its first token. Without this it works on for nobody.
pub(in super::super) struct Cancel {
    armed: Option<(sync::Arc<Entry>, String, hyper::Request<http::Body>)>,
}

impl Cancel {
    pub(in super::super) fn new(
        entry: sync::Arc<Entry>,
        chosen: &calls::Chosen,
        hop_id: &str,
    ) -> Self {
        let path = format!("/streams/{hop_id}/cancel");
        let request = entry.to_agent(chosen, "POST", &path, hop_id, bytes::Bytes::new());
        Self { armed: Some((entry, chosen.address.clone(), request)) }
    }

    pub(in super::super) fn disarm(&mut self) {
        self.armed = None;
    }
}

impl Drop for Cancel {
    fn drop(&mut self) {
        let Some((entry, address, request)) = self.armed.take() else { return };
        let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
        runtime.spawn(async move {
            if let Err(error) = entry.http.send("cancel", &address, request, CANCEL_MS).await {
                log::debug!("entry: {error}");
            }
        });
    }
}
