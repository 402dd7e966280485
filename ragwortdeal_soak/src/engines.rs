//! Engines behind proxies, which announce themselves for as long as they live.

use std::{net, ops, sync, time};

use ragwortdeal_standins::fleet::engine;
use tokio::{sync::watch, task};

use crate::{checks, fleet, history, operator, proxy, record, schedule};

/// Pause between two announcements.
const BEAT: time::Duration = time::Duration::from_millis(1_200);
/// Pause after an announcement that no voter acknowledged.
const AGAIN: time::Duration = time::Duration::from_millis(100);
/// Time for which an engine that leaves goes on serving after its word was acknowledged.
const LEAVES: time::Duration = time::Duration::from_millis(checks::DRAIN_MS + 1_500);
/// How long a plain answer takes.
const WORK: time::Duration = time::Duration::from_millis(15);
/// Pause before each event of a stream.
const EVENT_GAP: time::Duration = time::Duration::from_millis(15);
/// Time after which an engine ends under a request on which it ends.
const FATAL_AFTER: time::Duration = time::Duration::from_millis(20);
/// How long it is down then.
const FATAL_DOWN: time::Duration = time::Duration::from_millis(400);

/// Share of orders on which an engine falls silent while it does so at all.
const SILENT_ON_ORDERS: f64 = 0.9;
/// Share of writes to its stage on which it does.
const SILENT_ON_WRITES: f64 = 0.1;
/// How long it stays silent: longer than an agent waits for an answer.
const SILENT: ops::Range<time::Duration> =
    time::Duration::from_millis(1_000)..time::Duration::from_millis(1_300);

/// What an engine says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    Ready,
    Draining,
    Gone,
}

/// An engine with its place.
#[derive(Debug)]
pub struct Engine {
    /// Number of its address.
    pub number: u8,
    /// Its service.
    pub service: &'static str,
    /// The engine itself.
    pub engine: sync::Arc<engine::Engine>,
    announced: net::SocketAddrV4,
    standing: watch::Sender<Standing>,
    /// Arrivals that were taken into the history, and ends.
    taken: sync::atomic::AtomicUsize,
    ends_taken: sync::atomic::AtomicUsize,
    born_ms: u64,
}

impl Engine {
    /// Starts an engine and its announcements. The first of a place listens there, later ones
    /// beside it.
    pub async fn start(
        fleet: &fleet::Fleet,
        number: u8,
        life: u16,
        service: &'static str,
        tells: (operator::Operator, sync::Arc<record::Record>),
    ) -> sync::Arc<Self> {
        let version = if service == "models" { checks::weights::FIRST } else { 0 };
        let address = net::SocketAddrV4::new(fleet.world.address(number), 8_100 + life);
        let name = format!("{service}-{number}-{life}");
        let engine = engine::Engine::start(&name, address, version).await;
        engine.stream(checks::EVENTS, EVENT_GAP);
        engine.work(WORK);
        engine.end_on(Some(engine::Fatal {
            trigger: engine::Trigger::Path(checks::fatal::PATH.to_owned()),
            moment: engine::Moment::BeforeAnswer(FATAL_AFTER),
            down: FATAL_DOWN,
        }));
        let engine = sync::Arc::new(Self {
            number,
            service,
            engine,
            announced: fleet.announced(number),
            standing: watch::Sender::new(Standing::Ready),
            taken: sync::atomic::AtomicUsize::new(0),
            ends_taken: sync::atomic::AtomicUsize::new(0),
            born_ms: 1_000 + u64::from(life) * 1_000,
        });
        task::spawn(engine.clone().announce(tells.0, tells.1));
        engine
    }

    /// Says that it leaves, and ends a while after that was acknowledged.
    pub fn drain(&self) {
        self.standing.send_replace(Standing::Draining);
    }

    /// Falls silent of itself from now on, as a seed decides, or no longer.
    pub fn fall_silent(&self, seed: Option<u64>) {
        let (on_orders, on_writes) = (SILENT_ON_ORDERS, SILENT_ON_WRITES);
        let spells = |seed| engine::Spells { seed, on_orders, on_writes, lasts: SILENT };
        self.engine.fall_silent(seed.map(spells));
    }

    /// Says nothing more: it has crashed.
    pub fn crash(&self) {
        self.standing.send_replace(Standing::Gone);
    }

    async fn announce(
        self: sync::Arc<Self>,
        operator: operator::Operator,
        record: sync::Arc<record::Record>,
    ) {
        let mut standing = self.standing.subscribe();
        let path = format!("/instances/{}", self.engine.instance);
        for number in 1.. {
            let says = *standing.borrow_and_update();
            let word = match says {
                Standing::Ready => "ready",
                Standing::Draining => "draining",
                Standing::Gone => return,
            };
            let body = self.announcement(word, number);
            let acked = operator.any("PUT", &path, &body).await.is_some_and(|(it, _)| it == 200);
            if acked && says == Standing::Draining {
                let now_ms = record.now_ms();
                let name = self.engine.instance.clone();
                record.change(|history| _ = history.leaving.entry(name).or_insert(now_ms));
                tokio::time::sleep(LEAVES).await;
                operator.any("DELETE", &path, "").await;
                return;
            }
            let pause = if acked { BEAT } else { AGAIN };
            tokio::select! {
                () = tokio::time::sleep(pause) => (),
                _ = standing.changed() => (),
            }
        }
    }

    fn announcement(&self, standing: &str, number: u64) -> String {
        let zone = format!("zone-{}", self.number % 3);
        let text = self.engine.announcement(self.service, &zone, standing, number);
        let mut said: serde_json::Value = serde_json::from_str(&text).expect("own JSON");
        said["address"] = self.announced.to_string().into();
        said["born"] = self.born_ms.into();
        said.to_string()
    }

    /// Takes the ends of the engine into the history, as disturbances.
    fn take_ends(&self, record: &record::Record) {
        let ended_at = self.engine.ended_at();
        let taken = self.ends_taken.swap(ended_at.len(), sync::atomic::Ordering::Relaxed);
        let ends = ended_at[taken..].iter().map(|at| {
            let from_ms = record.ms(*at);
            let to_ms = Some(from_ms + FATAL_DOWN.as_millis() as u64);
            let who = history::Who::Engine(self.number);
            history::Disturbance { who, planned: false, from_ms, to_ms }
        });
        record.change(|history| history.disturbances.extend(ends));
    }

    /// Takes what arrived into the history. What arrived just now waits for the next time.
    pub fn take(&self, record: &record::Record, all: bool) {
        self.take_ends(record);
        let from = self.taken.load(sync::atomic::Ordering::Relaxed);
        let mut fresh = self.engine.arrivals_after(from);
        if !all {
            let settled = |it: &engine::Arrival| it.at.elapsed() > AGAIN;
            let settled = fresh.iter().take_while(|it| settled(it)).count();
            fresh.truncate(settled);
        }
        self.taken.store(from + fresh.len(), sync::atomic::Ordering::Relaxed);
        record.change(|history| {
            history.arrived.extend(fresh.into_iter().filter(|it| it.path != "/health").map(|it| {
                history::Arrived {
                    at_ms: record.ms(it.at),
                    id: it.id,
                    path: it.path,
                    engine: self.engine.instance.clone(),
                    service: self.service.to_owned(),
                    ran_on: it.ran_on,
                    ran_on_chunks: it.ran_on_chunks,
                    place: self.number,
                    asked: it.asked,
                }
            }));
        });
    }
}

/// Starts the proxy before an engine.
pub async fn way(fleet: &fleet::Fleet, number: u8) -> std::io::Result<proxy::Proxy> {
    let to = net::SocketAddrV4::new(fleet.world.address(number), 8_100);
    proxy::Proxy::start(fleet.announced(number), to).await
}

/// Numbers and services of all engines.
pub fn places(size: fleet::Size) -> Vec<(u8, &'static str)> {
    let models = (20..20 + size.agents).map(|number| (number, "models"));
    models.chain(schedule::LEDGERS).collect()
}
