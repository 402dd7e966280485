//! The memory and connections of a process that peers may take, and what is told of them.

use std::{
    collections, net,
    sync::{self, atomic},
    time,
};

use ragwortdeal_core::inbound::{
    body_memory::{self, BodyId, NoRoom},
    capacity,
    connections::{self, Phase},
};
use tokio::sync::Notify;

use crate::{clock, settings::common, telemetry};

/// How often gauges are set.
const GAUGE_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// An episode of refusals has ended after this time without another one.
const EPISODE_END: time::Duration = time::Duration::from_secs(10);

/// Bytes that a parser needs beside the largest head.
const HEAD_MARGIN_BYTES: usize = 1 << 10;

/// Why something of a peer was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Refused {
    /// A body is larger than its limit.
    BodyTooLarge,
    /// There was no memory for a body.
    BodyNoRoom,
    /// A body stood still while others needed its memory.
    BodyStalled,
    /// A body did not come in time.
    BodyLate,
    /// A connection was closed for a new one.
    ConnectionReplaced,
    /// There was no place for a connection.
    ConnectionNoPlace,
}

impl Refused {
    fn counter(self) -> &'static str {
        match self {
            Self::BodyTooLarge => "http.bodies_too_large",
            Self::BodyNoRoom => "http.bodies_without_room",
            Self::BodyStalled => "http.bodies_stalled",
            Self::BodyLate => "http.bodies_late",
            Self::ConnectionReplaced => "http.connections_replaced",
            Self::ConnectionNoPlace => "http.connections_without_place",
        }
    }

    fn text(self) -> &'static str {
        match self {
            Self::BodyTooLarge => "bodies over the limit",
            Self::BodyNoRoom => "bodies that find no memory",
            Self::BodyStalled => "bodies that stand still",
            Self::BodyLate => "bodies that do not come in time",
            Self::ConnectionReplaced => "connections that wait, for new ones",
            Self::ConnectionNoPlace => "connections that find no place",
        }
    }
}

/// Name of the client to which a body counts: its account, or else its address.
pub type Client = sync::Arc<str>;

#[derive(Debug)]
struct Bodies {
    memory: body_memory::BodyMemory<Client>,
    /// Signalled when a body is given up.
    readers: collections::HashMap<BodyId, sync::Arc<Notify>>,
}

impl Bodies {
    fn signal(&mut self, given_up: &[BodyId]) {
        for id in given_up {
            if let Some(reader) = self.readers.remove(id) {
                reader.notify_one();
            }
        }
    }
}

/// An episode of refusals of one kind.
#[derive(Clone, Copy, Debug)]
struct Episode {
    refused: u64,
    last: time::Instant,
}

#[derive(Debug)]
struct Shared {
    settings: common::Inbound,
    capacity: capacity::Capacity,
    clock: clock::Clock,
    bodies: sync::Mutex<Bodies>,
    connections: sync::Mutex<Vec<sync::Weak<Connections>>>,
    head_max_bytes: atomic::AtomicUsize,
    episodes: sync::Mutex<collections::BTreeMap<Refused, Episode>>,
    telemetry: telemetry::Telemetry,
}

/// What all listeners of a process may accept together. `docs/design/inbound.md` has the parts.
#[derive(Clone, Debug)]
pub struct Inbound(sync::Arc<Shared>);

impl Inbound {
    /// The limits of a process with so much memory in MiB, 0 where that is not known.
    pub fn new(
        settings: &common::Inbound,
        memory_mb: usize,
        telemetry: telemetry::Telemetry,
    ) -> Self {
        let capacity = settings.capacity(memory_mb);
        let memory = body_memory::BodyMemory::new(capacity.body_bytes(), settings.stalled_body_ms);
        let head_max_bytes = settings.head_max_bytes;
        log::info!(
            body_bytes = capacity.body_bytes() as u64,
            connections_max = capacity.connections_max(head_max_bytes) as u64,
            descriptors = capacity.descriptors as u64;
            "http: limits of what peers may send"
        );
        Self(sync::Arc::new(Shared {
            settings: settings.clone(),
            capacity,
            clock: clock::Clock::start(),
            bodies: sync::Mutex::new(Bodies { memory, readers: collections::HashMap::new() }),
            connections: sync::Mutex::default(),
            head_max_bytes: atomic::AtomicUsize::new(head_max_bytes),
            episodes: sync::Mutex::default(),
            telemetry,
        }))
    }

    /// Accepts heads of so many bytes from the next connection on, where that is more than the
    /// settings say.
    pub fn allow_heads(&self, max_bytes: usize) {
        let max_bytes = self.0.settings.head_max_bytes.max(max_bytes + HEAD_MARGIN_BYTES);
        self.0.head_max_bytes.store(max_bytes, atomic::Ordering::Relaxed);
    }

    /// Warns where the largest body that callers may send finds no room.
    pub fn check_bodies(&self, max_bytes: usize) {
        let each_max_bytes = self.bodies().memory.each_max_bytes();
        if max_bytes > each_max_bytes {
            log::warn!(
                max_bytes = max_bytes as u64, room_bytes = each_max_bytes as u64;
                "http: the memory for bodies does not hold one of the largest that are allowed"
            );
        }
    }

    /// Largest head in bytes.
    pub(super) fn head_max_bytes(&self) -> usize {
        self.0.head_max_bytes.load(atomic::Ordering::Relaxed)
    }

    /// Bytes that the kernel may hold of a connection.
    pub(super) fn receive_buffer_bytes(&self) -> usize {
        self.0.settings.receive_buffer_bytes
    }

    /// Longest time and most bytes for which what a refused client still sends is discarded.
    pub(super) fn drain(&self) -> (time::Duration, usize) {
        let settings = &self.0.settings;
        (time::Duration::from_millis(settings.drain_ms), settings.drain_max_bytes)
    }

    /// Takes memory for a body of a client before it is read.
    pub(super) fn begin_body(&self, client: Client, bytes: usize) -> Result<Reservation, NoRoom> {
        let mut bodies = self.bodies();
        let granted = bodies.memory.begin(client, bytes, self.0.clock.now_ms())?;
        let given_up = sync::Arc::new(Notify::new());
        bodies.readers.insert(granted.id, given_up.clone());
        bodies.signal(&granted.given_up);
        Ok(Reservation { inbound: self.clone(), id: granted.id, given_up })
    }

    /// Counts a refusal, and logs the first of an episode and its end.
    pub(super) fn record_refused(&self, refused: Refused) {
        self.0.telemetry.count(refused.counter(), 1);
        let mut episodes = self.0.episodes.lock().expect("no panic under lock");
        let last = time::Instant::now();
        if let Some(episode) = episodes.get_mut(&refused) {
            *episode = Episode { refused: episode.refused + 1, last };
            return;
        }
        episodes.insert(refused, Episode { refused: 1, last });
        log::warn!("http: begins to refuse {}", refused.text());
        tokio::spawn(end_episode(self.clone(), refused));
    }

    /// A place table for a listener, of at most so many connections if that is given.
    pub(super) fn listener(&self, connections_max: Option<usize>) -> sync::Arc<Connections> {
        let connections = sync::Arc::new(Connections {
            inbound: self.clone(),
            connections_max,
            next_id: atomic::AtomicU64::new(0),
            open: sync::Mutex::default(),
        });
        let mut listeners = self.0.connections.lock().expect("no panic under lock");
        listeners.push(sync::Arc::downgrade(&connections));
        connections
    }

    fn bodies(&self) -> sync::MutexGuard<'_, Bodies> {
        self.0.bodies.lock().expect("no panic under lock")
    }

    /// Sets gauges for as long as the process runs.
    pub async fn report(self) {
        loop {
            tokio::time::sleep(GAUGE_INTERVAL).await;
            let telemetry = &self.0.telemetry;
            let (held_bytes, held, largest) = {
                let memory = &self.bodies().memory;
                (memory.held_bytes(), memory.count(), memory.largest_client())
            };
            telemetry.gauge("http.body_bytes_held", held_bytes as u64);
            telemetry.gauge("http.bodies_held", held as u64);
            let largest_bytes = largest.map_or(0, |(_, bytes)| bytes);
            telemetry.gauge("http.body_bytes_of_largest_client", largest_bytes as u64);
            let mut counts = [0; PHASES.len()];
            let listeners = self.0.connections.lock().expect("no panic under lock").clone();
            for connections in listeners.iter().filter_map(sync::Weak::upgrade) {
                for state in connections.open().values() {
                    counts[state.phase() as usize] += 1;
                }
            }
            for ((_, name), count) in PHASES.iter().zip(counts) {
                telemetry.gauge(name, count);
            }
        }
    }
}

/// Logs the end of an episode of refusals.
async fn end_episode(inbound: Inbound, refused: Refused) {
    loop {
        tokio::time::sleep(EPISODE_END).await;
        let mut episodes = inbound.0.episodes.lock().expect("no panic under lock");
        let ended = episodes.get(&refused).filter(|it| it.last.elapsed() >= EPISODE_END).copied();
        if let Some(episode) = ended {
            episodes.remove(&refused);
            log::info!(count = episode.refused; "http: no longer refuses {}", refused.text());
            return;
        }
    }
}

/// The memory that one body holds. It is given back when this is dropped.
#[derive(Debug)]
pub(super) struct Reservation {
    inbound: Inbound,
    id: BodyId,
    given_up: sync::Arc<Notify>,
}

impl Reservation {
    /// Takes what is missing to hold so many bytes.
    pub(super) fn grow_to(&self, bytes: usize) -> Result<(), NoRoom> {
        let mut bodies = self.inbound.bodies();
        let granted = bodies.memory.grow(self.id, bytes, self.inbound.0.clock.now_ms())?;
        bodies.signal(&granted.given_up);
        Ok(())
    }

    /// Records how many bytes have arrived.
    pub(super) fn record_arrived(&self, bytes: usize) {
        let now_ms = self.inbound.0.clock.now_ms();
        self.inbound.bodies().memory.record_arrived(self.id, bytes, now_ms);
    }

    /// Records that the body is whole, so that it is no longer given up.
    pub(super) fn record_whole(&self) {
        let mut bodies = self.inbound.bodies();
        bodies.memory.record_whole(self.id);
        bodies.readers.remove(&self.id);
    }

    /// Waits until the body is given up for others.
    pub(super) async fn given_up(&self) {
        self.given_up.notified().await;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut bodies = self.inbound.bodies();
        bodies.memory.release(self.id);
        bodies.readers.remove(&self.id);
    }
}

/// Phases by their number, each with its gauge.
const PHASES: [(Phase, &str); 6] = [
    (Phase::Silent, "http.connections_silent"),
    (Phase::Head, "http.connections_in_head"),
    (Phase::Working, "http.connections_working"),
    (Phase::AnswerBlocked, "http.connections_answer_blocked"),
    (Phase::Idle, "http.connections_idle"),
    (Phase::Draining, "http.connections_draining"),
];

/// State of a connection.
#[derive(Debug)]
pub(super) struct ConnectionState {
    clock: clock::Clock,
    phase: atomic::AtomicU8,
    since_ms: atomic::AtomicU64,
    /// Whether a request is without its whole answer.
    answering: atomic::AtomicBool,
    /// Whether a part of the last request's body was not read.
    body_unread: atomic::AtomicBool,
    close: Notify,
}

impl ConnectionState {
    fn new(clock: clock::Clock) -> Self {
        let since_ms = atomic::AtomicU64::new(clock.now_ms());
        Self {
            clock,
            phase: atomic::AtomicU8::new(Phase::Silent as u8),
            since_ms,
            answering: atomic::AtomicBool::new(false),
            body_unread: atomic::AtomicBool::new(false),
            close: Notify::new(),
        }
    }

    pub(super) fn phase(&self) -> Phase {
        PHASES[usize::from(self.phase.load(atomic::Ordering::Relaxed))].0
    }

    fn phase_ms(&self) -> u64 {
        self.clock.now_ms().saturating_sub(self.since_ms.load(atomic::Ordering::Relaxed))
    }

    pub(super) fn enter(&self, phase: Phase) {
        self.phase.store(phase as u8, atomic::Ordering::Relaxed);
        self.since_ms.store(self.clock.now_ms(), atomic::Ordering::Relaxed);
    }

    /// A request begins.
    pub(super) fn begin_request(&self) {
        self.answering.store(true, atomic::Ordering::Relaxed);
        self.enter(Phase::Working);
    }

    /// The answer is handed over to the connection.
    pub(super) fn end_answer(&self) {
        self.answering.store(false, atomic::Ordering::Relaxed);
        self.enter(Phase::Idle);
    }

    /// The caller takes bytes of an answer again.
    pub(super) fn unblock(&self) {
        if self.phase() == Phase::AnswerBlocked {
            let answering = self.answering.load(atomic::Ordering::Relaxed);
            self.enter(if answering { Phase::Working } else { Phase::Idle });
        }
    }

    pub(super) fn set_body_unread(&self, unread: bool) {
        self.body_unread.store(unread, atomic::Ordering::Relaxed);
    }

    pub(super) fn is_body_unread(&self) -> bool {
        self.body_unread.load(atomic::Ordering::Relaxed)
    }

    /// Waits until the connection has to give way. One that has got to work meanwhile stays.
    pub(super) async fn must_close(&self) {
        loop {
            self.close.notified().await;
            if self.phase() != Phase::Working {
                return;
            }
        }
    }
}

/// The connections of a listener.
#[derive(Debug)]
pub(super) struct Connections {
    inbound: Inbound,
    connections_max: Option<usize>,
    next_id: atomic::AtomicU64,
    open: sync::Mutex<collections::BTreeMap<u64, sync::Arc<ConnectionState>>>,
}

/// The place of a connection among those of its listener. It is given back when this is dropped.
#[derive(Debug)]
pub(super) struct Place {
    connections: sync::Arc<Connections>,
    id: u64,
    pub(super) state: sync::Arc<ConnectionState>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.connections.open().remove(&self.id);
    }
}

/// How a connection found a place.
#[derive(Debug)]
pub(super) enum Found {
    /// There was a free one.
    Free(Place),
    /// Another connection gives way. It is closed once its task runs.
    Replaced(Place),
    /// There is none: all connections are at work.
    None,
}

impl Connections {
    fn open(&self) -> sync::MutexGuard<'_, collections::BTreeMap<u64, sync::Arc<ConnectionState>>> {
        self.open.lock().expect("no panic under lock")
    }

    fn max(&self) -> usize {
        let by_capacity = self.inbound.0.capacity.connections_max(self.inbound.head_max_bytes());
        self.connections_max.map_or(by_capacity, |max| max.min(by_capacity))
    }

    /// Finds a place for a connection that was accepted.
    pub(super) fn find_place(self: &sync::Arc<Self>) -> Found {
        let mut open = self.open();
        let is_full = open.len() >= self.max();
        if is_full {
            let phases = open.iter().map(|(id, it)| (*id, it.phase(), it.phase_ms()));
            let Some(closed) = connections::choose_to_close(phases) else {
                self.inbound.record_refused(Refused::ConnectionNoPlace);
                return Found::None;
            };
            if let Some(state) = open.remove(&closed) {
                state.close.notify_one();
            }
            self.inbound.record_refused(Refused::ConnectionReplaced);
        }
        let id = self.next_id.fetch_add(1, atomic::Ordering::Relaxed);
        let state = sync::Arc::new(ConnectionState::new(self.inbound.0.clock));
        open.insert(id, state.clone());
        let place = Place { connections: self.clone(), id, state };
        if is_full { Found::Replaced(place) } else { Found::Free(place) }
    }
}

/// The client to which a body counts that belongs to no account.
pub(super) fn client_of(address: Option<net::SocketAddr>) -> Client {
    address.map_or_else(|| "unknown".into(), |address| address.ip().to_string().into())
}
