//! The memory of a process that bodies of peers may take, and what is told of it.

use std::{collections, net, sync, time};

use ragwortdeal_core::inbound::body_memory::{self, BodyId, NoRoom};
use tokio::sync::Notify;

use crate::{clock, settings::common, telemetry};

/// How often gauges are set.
const GAUGE_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// An episode of refusals has ended after this time without another one.
const EPISODE_END: time::Duration = time::Duration::from_secs(10);

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
}

impl Refused {
    fn counter(self) -> &'static str {
        match self {
            Self::BodyTooLarge => "http.bodies_too_large",
            Self::BodyNoRoom => "http.bodies_without_room",
            Self::BodyStalled => "http.bodies_stalled",
            Self::BodyLate => "http.bodies_late",
        }
    }

    fn text(self) -> &'static str {
        match self {
            Self::BodyTooLarge => "bodies over the limit",
            Self::BodyNoRoom => "bodies that find no memory",
            Self::BodyStalled => "bodies that stand still",
            Self::BodyLate => "bodies that do not come in time",
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
    clock: clock::Clock,
    bodies: sync::Mutex<Bodies>,
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
        log::info!(
            body_bytes = capacity.body_bytes() as u64;
            "http: limits of what peers may send"
        );
        Self(sync::Arc::new(Shared {
            clock: clock::Clock::start(),
            bodies: sync::Mutex::new(Bodies { memory, readers: collections::HashMap::new() }),
            episodes: sync::Mutex::default(),
            telemetry,
        }))
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

/// The client to which a body counts that belongs to no account.
pub(super) fn client_of(address: Option<net::SocketAddr>) -> Client {
    address.map_or_else(|| "unknown".into(), |address| address.ip().to_string().into())
}
