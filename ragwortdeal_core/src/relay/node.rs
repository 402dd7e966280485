//! One process in the tree, which receives updates from a parent, applies only newer revisions and
//! forwards them to its children.

mod serving;
mod starting;

use crate::{
    membership::Stamp,
    name,
    relay::{
        Delta, Message, Position, Revision, State, children, floor, history, payload, pending,
        topology,
    },
};

/// Interval between two subscriptions, which are the heartbeats of both sides.
const HEARTBEAT_MS: u64 = 1_000;

/// Time without a message from the parent after which another one is tried. A connection may fail
/// silently while new ones work; the subtree below it would keep an old configuration unnoticed.
const PARENT_TIMEOUT_MS: u64 = 3_000;

/// Age of the state at which another parent is tried, at most once in this time.
const STALE_MS: u64 = 8_000;

/// Time after which the preferred parent is tried again. Without it the tree would become less
/// balanced with every failure.
const PREFERRED_PARENT_RETRY_MS: u64 = 30_000;

/// Largest accepted snapshot, as a bound on memory.
const SNAPSHOT_MAX_BYTES: u64 = 32 * 1024 * 1024;

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: name::InstanceName,
    /// The message.
    pub message: Message,
}

/// Counts of failures, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Times at which another parent was tried.
    pub reparented: u64,
    /// Deltas or snapshots that the state rejected.
    pub refused: u64,
    /// Times at which a parent had another hash for the same revision.
    pub diverged: u64,
}

#[derive(Debug)]
struct Parent {
    name: name::InstanceName,
    last_heard_ms: u64,
    since_ms: u64,
    next_ms: u64,
}

#[derive(Debug)]
struct Partial {
    position: Position,
    bytes: Vec<u8>,
}

/// The relay of one process.
#[derive(Debug)]
pub struct Relay<S: State> {
    own: name::InstanceName,
    incarnation: u64,
    started_ms: u64,
    state: S,
    view: topology::View,
    sources: Vec<name::InstanceName>,
    parent: Option<Parent>,
    /// Parents tried in a row since the preferred one.
    attempts: usize,
    children: children::Children,
    history: history::History,
    pending: pending::PendingUpdates,
    floor: Option<floor::Floor>,
    /// The floor is proven and above the state, so that only the own zone has the revisions missing.
    below_floor: bool,
    next_request_ms: u64,
    highest_noted: Revision,
    /// Latest time at which the applied state was known to be the newest one.
    current_ms: Option<u64>,
    /// A time at which this later revision was the newest, which counts once it is applied. It is
    /// not replaced by later ones: under continuous changes the latest is always slightly ahead.
    pending_current: Option<(Revision, u64)>,
    partial: Option<Partial>,
    /// The state rejected a delta or snapshot, so that only a snapshot can repair it.
    needs_snapshot: bool,
    kept_snapshot: Option<(Position, payload::Payload)>,
    counts: Counts,
}

impl<S: State> Relay<S> {
    /// Relay of a member that starts with an empty or loaded state, which it may not serve yet.
    pub fn new(own: name::InstanceName, incarnation: u64, now_ms: u64, state: S) -> Self {
        Self {
            own,
            incarnation,
            started_ms: now_ms,
            state,
            view: topology::View::default(),
            sources: Vec::new(),
            parent: None,
            attempts: 0,
            children: children::Children::default(),
            history: history::History::default(),
            pending: pending::PendingUpdates::default(),
            floor: Some(floor::Floor::default()),
            below_floor: false,
            next_request_ms: 0,
            highest_noted: 0,
            current_ms: None,
            pending_current: None,
            partial: None,
            needs_snapshot: false,
            kept_snapshot: None,
            counts: Counts::default(),
        }
    }

    /// Relay of a voter, whose state comes from its own log by [`Relay::publish`].
    pub fn for_voter(own: name::InstanceName, incarnation: u64, now_ms: u64, state: S) -> Self {
        let mut relay = Self::new(own, incarnation, now_ms, state);
        relay.floor = None;
        relay
    }

    /// Whether the state may be used: it is not below what the zone has applied.
    pub fn may_serve(&self) -> bool {
        self.floor.is_none()
    }

    /// The state, which may only be used where [`Relay::may_serve`] holds.
    pub fn state(&self) -> &S {
        &self.state
    }

    /// How long ago the applied state was known to be the newest one.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.current_ms.map(|current_ms| now_ms.saturating_sub(current_ms))
    }

    /// Counts of failures so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The process from which this one receives updates.
    pub fn parent(&self) -> Option<&name::InstanceName> {
        self.parent.as_ref().map(|parent| &parent.name)
    }

    /// Number of processes that receive updates from this one.
    pub fn children(&self) -> usize {
        self.children.len()
    }

    /// Sets this member's view of the tree; `sources` are the voters from which a root receives.
    pub fn set_view(&mut self, view: topology::View, sources: Vec<name::InstanceName>) {
        if self.view == view && self.sources == sources {
            return;
        }
        self.pending.retain_witnesses(&view);
        if let Some(floor) = &mut self.floor {
            floor.retain_witnesses(&view);
        }
        self.view = view;
        self.sources = sources;
        self.attempts = 0;
        let preferred = self.candidates().into_iter().next();
        self.parent = self.parent.take().filter(|parent| preferred.as_ref() == Some(&parent.name));
    }

    /// Serves the present state although the zone may have applied a later one.
    ///
    /// Only for operators, after a majority of the witnesses restarted at once in a partition.
    pub fn accept_unproven_floor(&mut self) {
        self.floor = None;
    }

    /// Applies and forwards a delta of the own log (voters only).
    pub fn publish(&mut self, delta: Delta) -> Vec<Outgoing> {
        self.apply(delta);
        self.forward()
    }

    /// Records that the applied state was the newest at this time, as a leader with a lease knows.
    pub fn confirm_current(&mut self, at_ms: u64) {
        self.current_ms = self.current_ms.max(Some(at_ms));
    }

    /// Returns the heartbeats and requests that are due. To be called every 100 ms.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Outgoing> {
        self.children.expire(now_ms);
        self.check_parent(now_ms);
        let mut sends = self.subscribe(now_ms);
        if now_ms >= self.next_request_ms {
            self.next_request_ms = now_ms + HEARTBEAT_MS;
            sends.extend(self.request_floor(now_ms));
            sends.extend(self.request_acknowledgements());
        }
        self.update_freshness();
        sends
    }

    /// Handles a message and returns the messages to send.
    pub fn receive(
        &mut self,
        now_ms: u64,
        from: &name::InstanceName,
        message: Message,
    ) -> Vec<Outgoing> {
        self.record_parent_alive(now_ms, from);
        let sends = match message {
            Message::Subscribe { stamp, position } => {
                self.receive_subscribe(now_ms, from, stamp, position)
            }
            Message::Refused => self.receive_refused(from),
            Message::Status { echo, position, age_ms } => {
                self.receive_status(now_ms, from, echo, position, age_ms)
            }
            Message::Deltas(deltas) => self.receive_deltas(from, deltas),
            Message::FetchSnapshot { position, offset_bytes } => {
                vec![answer(from, self.snapshot_piece(Some(position), offset_bytes))]
            }
            Message::Snapshot { position, offset_bytes, total_bytes, piece } => {
                self.receive_piece(from, position, (offset_bytes, total_bytes), &piece)
            }
            Message::Note(revision) => {
                self.highest_noted = self.highest_noted.max(revision);
                vec![answer(from, Message::Noted(revision))]
            }
            Message::Noted(revision) => {
                self.pending.acknowledge(from, revision);
                self.release()
            }
            Message::AskFloor(echo) => vec![answer(from, self.own_floor(echo))],
            Message::Floor { echo, highest, learned, witnesses } => {
                let answer = floor::Answer { highest, learned, witnesses };
                self.receive_floor(now_ms, from, echo, answer);
                Vec::new()
            }
        };
        self.update_freshness();
        sends
    }

    /// Processes that may serve as parent, in order of preference.
    fn candidates(&self) -> Vec<name::InstanceName> {
        let sources = self.sources.iter().filter(|_| self.view.is_root);
        let parents = self.view.parents.iter();
        let witnesses = self.view.witnesses.iter().filter(|_| self.below_floor);
        let mut candidates: Vec<_> = if self.below_floor {
            parents.chain(witnesses).chain(sources).cloned().collect()
        } else {
            sources.chain(parents).cloned().collect()
        };
        candidates.retain(|name| *name != self.own);
        candidates
    }

    fn record_parent_alive(&mut self, now_ms: u64, from: &name::InstanceName) {
        if let Some(parent) = self.parent.as_mut().filter(|parent| parent.name == *from) {
            parent.last_heard_ms = now_ms;
        }
    }

    fn check_parent(&mut self, now_ms: u64) {
        let age_ms = self.age_ms(now_ms).unwrap_or(u64::MAX);
        let Some(parent) = &self.parent else { return };
        let silent = now_ms.saturating_sub(parent.last_heard_ms) >= PARENT_TIMEOUT_MS;
        // A parent that answers but does not receive newer states would keep its whole subtree
        // stale, although another one may receive them.
        let stale = age_ms >= STALE_MS && now_ms.saturating_sub(parent.since_ms) >= STALE_MS;
        if silent || stale {
            self.next_parent();
        } else if self.attempts > 0
            && now_ms.saturating_sub(parent.since_ms) >= PREFERRED_PARENT_RETRY_MS
        {
            self.parent = None;
            self.attempts = 0;
        }
    }

    fn next_parent(&mut self) {
        self.parent = None;
        self.partial = None;
        self.attempts += 1;
        self.counts.reparented += 1;
    }

    fn subscribe(&mut self, now_ms: u64) -> Vec<Outgoing> {
        if self.parent.is_none() {
            let candidates = self.candidates();
            let index = self.attempts % candidates.len().max(1);
            self.parent = candidates.into_iter().nth(index).map(|name| Parent {
                name,
                last_heard_ms: now_ms,
                since_ms: now_ms,
                next_ms: now_ms,
            });
        }
        let position = self.state.position();
        let stamp = Stamp { incarnation: self.incarnation, at_ms: now_ms };
        let Some(parent) = self.parent.as_mut().filter(|parent| parent.next_ms <= now_ms) else {
            return Vec::new();
        };
        parent.next_ms = now_ms + HEARTBEAT_MS;
        let mut sends = vec![answer(&parent.name, Message::Subscribe { stamp, position })];
        if self.needs_snapshot {
            let fetch = Message::FetchSnapshot { position, offset_bytes: 0 };
            sends.push(answer(&parent.name, fetch));
        }
        sends
    }

    fn receive_refused(&mut self, from: &name::InstanceName) -> Vec<Outgoing> {
        if self.parent.as_ref().is_some_and(|parent| parent.name == *from) {
            self.next_parent();
        }
        Vec::new()
    }

    fn receive_status(
        &mut self,
        now_ms: u64,
        from: &name::InstanceName,
        echo: Stamp,
        position: Position,
        age_ms: Option<u64>,
    ) -> Vec<Outgoing> {
        let Some(asked_ms) = echo.reading_of(self.incarnation, now_ms) else { return Vec::new() };
        let own = self.state.position();
        if let Some(current_ms) = age_ms.and_then(|age_ms| asked_ms.checked_sub(age_ms)) {
            self.record_current(position.revision, current_ms);
        }
        if position.revision == own.revision && position.digest != own.digest {
            self.counts.diverged += 1;
            return vec![answer(from, Message::FetchSnapshot { position, offset_bytes: 0 })];
        }
        Vec::new()
    }

    fn is_in_zone(&self, from: &name::InstanceName) -> bool {
        self.view.parents.contains(from) || self.view.witnesses.contains(from)
    }

    fn receive_deltas(&mut self, from: &name::InstanceName, deltas: Vec<Delta>) -> Vec<Outgoing> {
        if !self.is_in_zone(from) {
            let applied = self.state.position().revision;
            let target = self.pending.enqueue_deltas(applied, deltas);
            return target.map_or_else(Vec::new, |target| self.start_acknowledgement(target));
        }
        for delta in deltas {
            self.apply(delta);
        }
        self.forward()
    }

    fn receive_piece(
        &mut self,
        from: &name::InstanceName,
        position: Position,
        (offset_bytes, total_bytes): (u64, u64),
        piece: &[u8],
    ) -> Vec<Outgoing> {
        let own = self.state.position();
        let known = position == own && !self.needs_snapshot;
        if position.revision < own.revision || known || total_bytes > SNAPSHOT_MAX_BYTES {
            return Vec::new();
        }
        let fresh = || Partial { position, bytes: Vec::new() };
        let mut partial = self.partial.take().filter(|p| p.position == position);
        let partial = partial.get_or_insert_with(fresh);
        if offset_bytes == partial.bytes.len() as u64 {
            partial.bytes.extend_from_slice(piece);
        }
        let received_bytes = partial.bytes.len() as u64;
        let bytes = std::mem::take(&mut partial.bytes);
        if received_bytes >= total_bytes {
            return self.receive_snapshot(from, position, payload::Payload::new(bytes));
        }
        self.partial = Some(Partial { position, bytes });
        vec![answer(from, Message::FetchSnapshot { position, offset_bytes: received_bytes })]
    }

    fn receive_snapshot(
        &mut self,
        from: &name::InstanceName,
        position: Position,
        snapshot: payload::Payload,
    ) -> Vec<Outgoing> {
        if !self.is_in_zone(from) {
            let target = self.pending.replace_with_snapshot(position, snapshot);
            return self.start_acknowledgement(target);
        }
        self.install(position, &snapshot);
        self.forward()
    }

    /// Applies a delta that starts at the present revision. Any other one is old or comes after a
    /// gap, which the next subscription repairs.
    fn apply(&mut self, delta: Delta) {
        let own = self.state.position().revision;
        if delta.from != own || delta.to.revision <= own {
            return;
        }
        match self.state.apply(&delta) {
            Ok(()) => self.history.push(delta),
            Err(_) => self.record_rejection(),
        }
    }

    fn install(&mut self, position: Position, snapshot: &[u8]) {
        if position.revision < self.state.position().revision {
            return;
        }
        match self.state.install(&position, snapshot) {
            Ok(()) => {
                self.history.clear();
                self.needs_snapshot = false;
            }
            Err(_) => self.record_rejection(),
        }
    }

    fn record_rejection(&mut self) {
        self.counts.refused += 1;
        self.needs_snapshot = true;
        self.next_parent();
    }
}

fn answer(to: &name::InstanceName, message: Message) -> Outgoing {
    Outgoing { to: to.clone(), message }
}
