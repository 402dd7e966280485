//! One process in the tree: draws from a parent, applies upwards only, passes on to its children.

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

/// Time between two subscriptions, which are the heartbeat of both sides.
const HEARTBEAT_MS: u64 = 1_000;

/// Silence after which another parent is tried. A connection may be silent for good while new ones
/// work; a zone below it would keep an old configuration without noticing.
const SILENCE_MS: u64 = 3_000;

/// Age of the state at which another parent is tried, at most once in this time.
const STALE_MS: u64 = 8_000;

/// Time after which the preferred parent is tried again. Without it every loss would leave the tree
/// a little more lopsided.
const RETURN_MS: u64 = 30_000;

/// Largest snapshot that is taken, as a bound on memory.
const SNAPSHOT_MAX_BYTES: u64 = 32 * 1024 * 1024;

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: name::InstanceName,
    /// What to send.
    pub message: Message,
}

/// Counts of what went wrong, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Times at which another parent was tried.
    pub reparented: u64,
    /// Deltas or snapshots that the state refused.
    pub refused: u64,
    /// Times at which a parent had another hash for the same revision.
    pub diverged: u64,
}

#[derive(Debug)]
struct Parent {
    name: name::InstanceName,
    heard_ms: u64,
    since_ms: u64,
    next_ms: u64,
}

#[derive(Debug)]
struct Partial {
    position: Position,
    bytes: Vec<u8>,
}

/// The relay part of a process.
#[derive(Debug)]
pub struct Relay<S: State> {
    own: name::InstanceName,
    incarnation: u64,
    started_ms: u64,
    state: S,
    view: topology::View,
    sources: Vec<name::InstanceName>,
    parent: Option<Parent>,
    attempts: usize,
    children: children::Children,
    history: history::History,
    pending: pending::PendingUpdates,
    floor: Option<floor::Floor>,
    /// The floor is proven and lies above the state, so that only the own zone can help.
    below_floor: bool,
    next_question_ms: u64,
    highest_noted: Revision,
    /// Time at which the applied state was the newest of all.
    current_ms: Option<u64>,
    /// A time at which this revision was the newest, to count once it is applied. Later ones wait
    /// for it: while changes go on, the latest one would always be a little ahead.
    claim: Option<(Revision, u64)>,
    partial: Option<Partial>,
    /// The state refused a step that starts here, so that only a snapshot can be trusted.
    suspect: bool,
    kept_snapshot: Option<(Position, payload::Payload)>,
    counts: Counts,
}

impl<S: State> Relay<S> {
    /// A process that starts with an empty or loaded state and may not serve it yet.
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
            next_question_ms: 0,
            highest_noted: 0,
            current_ms: None,
            claim: None,
            partial: None,
            suspect: false,
            kept_snapshot: None,
            counts: Counts::default(),
        }
    }

    /// A voter, whose state comes from its own log by [`Relay::publish`].
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

    /// How long ago the applied state was known to be the newest of all.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.current_ms.map(|current_ms| now_ms.saturating_sub(current_ms))
    }

    /// What went wrong so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The process from which this one draws.
    pub fn parent(&self) -> Option<&name::InstanceName> {
        self.parent.as_ref().map(|parent| &parent.name)
    }

    /// Number of processes that draw from this one.
    pub fn children(&self) -> usize {
        self.children.len()
    }

    /// Takes this member's place in the tree; `sources` are the voters that a root draws from.
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

    /// Serves the present state although nobody can prove that the zone never applied a later one.
    ///
    /// For the operator alone, where a majority of the witnesses restarted at once while cut off.
    pub fn accept_unproven_floor(&mut self) {
        self.floor = None;
    }

    /// Takes a step of the own log (voters only).
    pub fn publish(&mut self, delta: Delta) -> Vec<Outgoing> {
        self.apply(delta);
        self.pass_on()
    }

    /// The applied state is the newest at this time, as a leader with its lease knows.
    pub fn confirm_current(&mut self, at_ms: u64) {
        self.current_ms = self.current_ms.max(Some(at_ms));
    }

    /// Returns the heartbeats and questions that are due. To be called every 100 ms.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Outgoing> {
        self.children.expire(now_ms);
        self.check_parent(now_ms);
        let mut sends = self.subscribe(now_ms);
        if now_ms >= self.next_question_ms {
            self.next_question_ms = now_ms + HEARTBEAT_MS;
            sends.extend(self.ask_floor(now_ms));
            sends.extend(self.ask_notes());
        }
        self.settle();
        sends
    }

    /// Takes a message and returns what to send.
    pub fn receive(
        &mut self,
        now_ms: u64,
        from: &name::InstanceName,
        message: Message,
    ) -> Vec<Outgoing> {
        self.hear_parent(now_ms, from);
        let sends = match message {
            Message::Subscribe { stamp, position } => self.serve(now_ms, from, stamp, position),
            Message::Refused => self.refused(from),
            Message::Status { echo, position, age_ms } => {
                self.take_status(now_ms, from, echo, position, age_ms)
            }
            Message::Deltas(deltas) => self.take_deltas(from, deltas),
            Message::FetchSnapshot { position, offset_bytes } => {
                vec![answer(from, self.piece(Some(position), offset_bytes))]
            }
            Message::Snapshot { position, offset_bytes, total_bytes, piece } => {
                self.take_piece(from, position, (offset_bytes, total_bytes), &piece)
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
                self.take_floor(now_ms, from, echo, answer);
                Vec::new()
            }
        };
        self.settle();
        sends
    }

    /// Processes to draw from, the preferred one first.
    fn candidates(&self) -> Vec<name::InstanceName> {
        let sources = self.sources.iter().filter(|_| self.view.is_root);
        let inside = self.view.parents.iter();
        let witnesses = self.view.witnesses.iter().filter(|_| self.below_floor);
        let mut candidates: Vec<_> = if self.below_floor {
            inside.chain(witnesses).chain(sources).cloned().collect()
        } else {
            sources.chain(inside).cloned().collect()
        };
        candidates.retain(|name| *name != self.own);
        candidates
    }

    fn hear_parent(&mut self, now_ms: u64, from: &name::InstanceName) {
        if let Some(parent) = self.parent.as_mut().filter(|parent| parent.name == *from) {
            parent.heard_ms = now_ms;
        }
    }

    fn check_parent(&mut self, now_ms: u64) {
        let age_ms = self.age_ms(now_ms).unwrap_or(u64::MAX);
        let Some(parent) = &self.parent else { return };
        let silent = now_ms.saturating_sub(parent.heard_ms) >= SILENCE_MS;
        // A parent that answers but is cut off from the newest state would hold everything below
        // it back, although another one may be connected.
        let stale = age_ms >= STALE_MS && now_ms.saturating_sub(parent.since_ms) >= STALE_MS;
        if silent || stale {
            self.next_parent();
        } else if self.attempts > 0 && now_ms.saturating_sub(parent.since_ms) >= RETURN_MS {
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
                heard_ms: now_ms,
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
        if self.suspect {
            let fetch = Message::FetchSnapshot { position, offset_bytes: 0 };
            sends.push(answer(&parent.name, fetch));
        }
        sends
    }

    fn refused(&mut self, from: &name::InstanceName) -> Vec<Outgoing> {
        if self.parent.as_ref().is_some_and(|parent| parent.name == *from) {
            self.next_parent();
        }
        Vec::new()
    }

    fn take_status(
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
            self.take_claim(position.revision, current_ms);
        }
        if position.revision == own.revision && position.digest != own.digest {
            self.counts.diverged += 1;
            return vec![answer(from, Message::FetchSnapshot { position, offset_bytes: 0 })];
        }
        Vec::new()
    }

    fn is_inside(&self, from: &name::InstanceName) -> bool {
        self.view.parents.contains(from) || self.view.witnesses.contains(from)
    }

    fn take_deltas(&mut self, from: &name::InstanceName, deltas: Vec<Delta>) -> Vec<Outgoing> {
        if !self.is_inside(from) {
            let applied = self.state.position().revision;
            let target = self.pending.enqueue_deltas(applied, deltas);
            return target.map_or_else(Vec::new, |target| self.note(target));
        }
        for delta in deltas {
            self.apply(delta);
        }
        self.pass_on()
    }

    fn take_piece(
        &mut self,
        from: &name::InstanceName,
        position: Position,
        (offset_bytes, total_bytes): (u64, u64),
        piece: &[u8],
    ) -> Vec<Outgoing> {
        let own = self.state.position();
        let known = position == own && !self.suspect;
        if position.revision < own.revision || known || total_bytes > SNAPSHOT_MAX_BYTES {
            return Vec::new();
        }
        let fresh = || Partial { position, bytes: Vec::new() };
        let mut partial = self.partial.take().filter(|p| p.position == position);
        let partial = partial.get_or_insert_with(fresh);
        if offset_bytes == partial.bytes.len() as u64 {
            partial.bytes.extend_from_slice(piece);
        }
        let has_bytes = partial.bytes.len() as u64;
        let bytes = std::mem::take(&mut partial.bytes);
        if has_bytes >= total_bytes {
            return self.take_snapshot(from, position, payload::Payload::new(bytes));
        }
        self.partial = Some(Partial { position, bytes });
        vec![answer(from, Message::FetchSnapshot { position, offset_bytes: has_bytes })]
    }

    fn take_snapshot(
        &mut self,
        from: &name::InstanceName,
        position: Position,
        snapshot: payload::Payload,
    ) -> Vec<Outgoing> {
        if !self.is_inside(from) {
            let target = self.pending.replace_with_snapshot(position, snapshot);
            return self.note(target);
        }
        self.install(position, &snapshot);
        self.pass_on()
    }

    /// Applies a step that starts exactly here; everything else is old or leaves a gap, which the
    /// next subscription repairs.
    fn apply(&mut self, delta: Delta) {
        let own = self.state.position().revision;
        if delta.from != own || delta.to.revision <= own {
            return;
        }
        match self.state.apply(&delta) {
            Ok(()) => self.history.push(delta),
            Err(_) => self.distrust(),
        }
    }

    fn install(&mut self, position: Position, snapshot: &[u8]) {
        if position.revision < self.state.position().revision {
            return;
        }
        match self.state.install(&position, snapshot) {
            Ok(()) => {
                self.history.clear();
                self.suspect = false;
            }
            Err(_) => self.distrust(),
        }
    }

    fn distrust(&mut self) {
        self.counts.refused += 1;
        self.suspect = true;
        self.next_parent();
    }
}

fn answer(to: &name::InstanceName, message: Message) -> Outgoing {
    Outgoing { to: to.clone(), message }
}
