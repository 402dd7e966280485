//! Fetches the chunks of the intended version by the spread policy, and serves them to peers.

mod fetch;
mod neighbours;
mod serve;

pub(super) use serve::{ask, hear};

use std::{collections, sync, time};

use ragwortdeal_core::{
    digest, name,
    spread::{download, event, limits, manifest, pacer, roster},
};
use tokio::{sync::watch, task};

use super::Agent;
use crate::{clock, settings};

/// How often deadlines, announcements and members are looked at.
const TICK: time::Duration = time::Duration::from_millis(50);

/// Header by which an agent that asks for a chunk names itself.
pub(super) const INSTANCE: &str = "x-ragwortdeal-instance";

/// The transfers of one agent.
#[derive(Debug)]
pub(super) struct Transfer {
    state: sync::Mutex<State>,
    complete: watch::Sender<Option<digest::Digest>>,
    clock: clock::Clock,
    limits: limits::Limits,
    buffers_max_bytes: u64,
}

#[derive(Debug)]
struct State {
    download: Option<download::Download>,
    pacer: pacer::Pacer,
    neighbours: neighbours::Neighbours,
    fetches: collections::BTreeMap<(event::Source, u32), task::AbortHandle>,
    uploads: collections::BTreeMap<(name::InstanceName, u32), sync::Weak<serve::Upload>>,
}

impl Transfer {
    pub(super) fn new(settings: &settings::agent::Weights) -> Self {
        let limits = limits::Limits {
            origin_weight_percent: settings.origin_weight_percent,
            ..limits::Limits::default()
        };
        let state = State {
            download: None,
            pacer: pacer::Pacer::new(limits.downloads_max),
            neighbours: neighbours::Neighbours::default(),
            fetches: collections::BTreeMap::new(),
            uploads: collections::BTreeMap::new(),
        };
        Self {
            state: sync::Mutex::new(state),
            complete: watch::Sender::new(None),
            clock: clock::Clock::start(),
            limits,
            buffers_max_bytes: settings.buffers_max_bytes,
        }
    }

    /// A live call got its first byte after that time.
    pub(super) fn call_answered(&self, took: time::Duration) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state();
        let busy = !state.fetches.is_empty() || !state.uploads.is_empty();
        state.pacer.record_call(now_ms, took.as_millis() as u64, busy);
    }

    /// Takes what an entry says about the agents that run.
    pub(super) fn roster(&self, entry: &str, update: roster::Update) {
        self.state().neighbours.update(entry, update);
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("no panic under lock")
    }

    /// Chunks that may be buffered at once on their way here: bounded by memory, not by count alone.
    fn window_max(&self, manifest: &manifest::Manifest) -> usize {
        let fit = self.buffers_max_bytes / u64::from(manifest.chunk_bytes());
        (fit as usize).clamp(1, self.limits.downloads_max)
    }
}

/// Ends a transfer that nobody waits for any more, so that a withdrawn version costs no traffic.
struct Waiting<'a> {
    agent: &'a sync::Arc<Agent>,
    version: digest::Digest,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut state = self.agent.transfer.state();
        let unfinished = |download: &download::Download| {
            download.version() == self.version && !download.is_complete()
        };
        if state.download.as_ref().is_some_and(unfinished)
            && let Some(download) = state.download.take()
        {
            for action in download.cancel() {
                self.agent.act(&mut state, action);
            }
            state.neighbours.reset();
        }
    }
}

/// Ticks for as long as the process runs.
pub(super) async fn run(agent: sync::Arc<Agent>) {
    let mut ticks = tokio::time::interval(TICK);
    loop {
        ticks.tick().await;
        agent.tick();
    }
}

impl Agent {
    /// Fetches what is missing of a version. Giving up the returned future ends its traffic.
    pub(super) async fn fetch_all(
        self: &sync::Arc<Self>,
        manifest: manifest::Manifest,
        kept: Vec<manifest::VerifiedChunk>,
    ) {
        let version = manifest.version();
        let mut complete = self.transfer.complete.subscribe();
        let waiting = Waiting { agent: self, version };
        self.begin(manifest, &kept);
        // An error means that the process stops.
        let _ = complete.wait_for(|complete| *complete == Some(version)).await;
        drop(waiting);
    }

    fn begin(
        self: &sync::Arc<Self>,
        manifest: manifest::Manifest,
        kept: &[manifest::VerifiedChunk],
    ) {
        let transfer = &self.transfer;
        let mut state = transfer.state();
        let window = transfer.window_max(&manifest);
        state.pacer = pacer::Pacer::new(window);
        transfer.complete.send_replace(None);
        let (next, actions) = match state.download.take() {
            Some(before) => before.supersede(manifest, kept),
            None => {
                let me = self.place();
                let limits = transfer.limits.clone();
                (download::Download::new(me, manifest, limits, kept), Vec::new())
            }
        };
        state.download = Some(next);
        actions.into_iter().for_each(|action| self.act(&mut state, action));
        drop(state);
        self.tick();
    }

    fn place(&self) -> event::Location {
        event::Location {
            instance: self.identity.name.clone(),
            zone: self.identity.zone.clone(),
            region: self.identity.region.clone(),
        }
    }

    fn tick(self: &sync::Arc<Self>) {
        let now_ms = self.transfer.clock.now_ms();
        let mut state = self.transfer.state();
        let Some(version) = state.download.as_ref().map(download::Download::version) else {
            return;
        };
        let window = state.pacer.window(now_ms);
        let changes = state.neighbours.changes(&self.config.borrow(), version, &self.identity.name);
        if let Some(download) = &mut state.download {
            download.set_window(window);
        }
        for event in changes.into_iter().chain([event::Event::Tick]) {
            self.feed_locked(&mut state, event);
        }
    }

    /// Hands an event to the policy and does what it says.
    fn feed(self: &sync::Arc<Self>, event: event::Event) {
        self.feed_locked(&mut self.transfer.state(), event);
    }

    fn feed_locked(self: &sync::Arc<Self>, state: &mut State, event: event::Event) {
        let now_ms = self.transfer.clock.now_ms();
        let Some(download) = &mut state.download else {
            return;
        };
        let actions = download.handle(now_ms, event);
        actions.into_iter().for_each(|action| self.act(state, action));
    }

    fn act(self: &sync::Arc<Self>, state: &mut State, action: event::Action) {
        match action {
            event::Action::Request { source, chunk, deadline_ms } => {
                self.start_fetch(state, source, chunk, deadline_ms);
            }
            event::Action::Cancel { source, chunk } => {
                if let Some(fetch) = state.fetches.remove(&(source, chunk)) {
                    fetch.abort();
                }
            }
            event::Action::Announce { to, chunks } => self.announce_chunks(state, &to, chunks),
            event::Action::ReportFault { source, chunk, fault } => {
                let name = &self.identity.name;
                log::warn!("agent: {name}: chunk {chunk} from {source:?}: {fault:?}");
            }
            event::Action::AbortUpload { to, chunk } => {
                if let Some(upload) = state.uploads.remove(&(to, chunk)) {
                    serve::abort(&upload);
                }
            }
            event::Action::Complete => {
                let version = state.download.as_ref().map(download::Download::version);
                self.transfer.complete.send_replace(version);
            }
        }
    }
}
