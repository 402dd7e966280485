//! A fleet of tasks on loopback addresses.

use std::{collections, net, path, process, sync, sync::atomic, time};

use ragwortdeal_core::{name, replication::replica};
use ragwortdeal_node::{
    fleet::{self, dialect},
    http, link, logging,
    settings::{self, common},
    stop, voter,
};
use tokio::{
    net as tokio_net,
    sync::{mpsc, watch},
    task,
};

use super::{caller, engine, operator, origin, raw};

pub use super::process::Process;

/// Port of links, the same at all addresses of a fleet.
const LINK_PORT: u16 = 7_700;
/// Port of voters' listeners for operators.
const CONTROL_PORT: u16 = 8_000;
/// Port of entries' listeners for callers.
const CALLERS_PORT: u16 = 8_005;
/// Port of entries' listeners for the balancer.
const READINESS_PORT: u16 = 8_002;
/// Port of upstreams.
const UPSTREAM_PORT: u16 = 8_080;

/// How long an agent may take to answer.
const ASK_MS: u64 = 1_000;
/// Largest answer of an agent.
const ASK_MAX_BYTES: usize = 64 << 10;

/// Fleets that this process has started, for addresses of their own.
static FLEETS: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// Addresses, folders and the dialect of one fleet.
#[derive(Debug)]
pub struct World {
    block: u32,
    folder: tempfile::TempDir,
    spoken: sync::Arc<Spoken>,
    /// Voters at the first start.
    pub voters: Vec<net::Ipv4Addr>,
}

struct Spoken(dialect::DialectRef);

impl std::fmt::Debug for Spoken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Spoken")
    }
}

impl World {
    /// A fleet without processes, for so many voters.
    pub fn new(spoken: dialect::DialectRef, voters: u8) -> Self {
        // Silent unless RUST_LOG asks for more.
        logging::start("off");
        let fleet = FLEETS.fetch_add(1, atomic::Ordering::Relaxed);
        // Tests run in several processes side by side; each fleet gets a /24 of loopback.
        let block = 0x7f00_0000 | ((process::id() * 61 + fleet) % 0xfe00 + 0x100) << 8;
        let folder = tempfile::tempdir().expect("a folder");
        let spoken = sync::Arc::new(Spoken(spoken));
        let mut world = Self { block, folder, spoken, voters: Vec::new() };
        world.voters = (1..=voters).map(|number| world.address(number)).collect();
        world
    }

    /// An address of the fleet.
    pub fn address(&self, number: u8) -> net::Ipv4Addr {
        net::Ipv4Addr::from_bits(self.block + u32::from(number))
    }

    /// An operator who knows the first voters.
    pub fn operator(&self) -> operator::Operator {
        let voters = self.voters.iter();
        let address = |voter: &net::Ipv4Addr| net::SocketAddrV4::new(*voter, CONTROL_PORT);
        operator::Operator::new(voters.map(address).collect())
    }

    /// Address of an upstream's listener.
    pub fn upstream(&self, number: u8) -> net::SocketAddrV4 {
        net::SocketAddrV4::new(self.address(number), UPSTREAM_PORT)
    }

    /// Address of a voter's listener for operators.
    pub fn control(&self, number: u8) -> net::SocketAddrV4 {
        net::SocketAddrV4::new(self.address(number), CONTROL_PORT)
    }

    /// Address of an entry's listener for callers.
    pub fn callers(&self, number: u8) -> net::SocketAddrV4 {
        net::SocketAddrV4::new(self.address(number), CALLERS_PORT)
    }

    /// Address of an entry's listener for the balancer.
    pub fn readiness(&self, number: u8) -> net::SocketAddrV4 {
        net::SocketAddrV4::new(self.address(number), READINESS_PORT)
    }

    /// Folder of a voter.
    pub fn data_dir(&self, number: u8) -> path::PathBuf {
        self.folder.path().join(format!("voter-{number}"))
    }

    fn settings(&self, number: u8, first_start: bool) -> settings::fleet::Settings {
        let address = self.address(number);
        let seeds = self.voters.iter().take(3);
        let zone = format!("zone-{}", number % 3);
        settings::fleet::Settings {
            process: common::Process {
                name: format!("process-{number}"),
                availability_zone: zone.clone(),
                region: zone,
            },
            fleet: settings::fleet::Fleet {
                address,
                link_port: LINK_PORT,
                seeds: seeds.map(|seed| net::SocketAddrV4::new(*seed, CONTROL_PORT)).collect(),
                first_start,
                losses_borne: 1,
                regions: (0..3)
                    .map(|zone| (format!("zone-{zone}"), format!("zone-{zone}")))
                    .collect(),
                engine: Some(self.upstream(number)),
                service: Some("models".to_owned()),
                link_mbps: 0.0,
            },
            listen: settings::fleet::Listen {
                callers: Some(self.callers(number)),
                readiness: Some(self.readiness(number)),
                control: Some(self.control(number)),
                metrics: None,
            },
            disk: settings::fleet::Disk { data_dir: Some(self.data_dir(number)) },
            bounds: settings::fleet::Bounds::default(),
            inbound: common::Inbound::default(),
            credentials: common::Credentials { cluster: "a-secret-for-the-fleet".to_owned() },
            log: common::Log::default(),
        }
    }

    /// Starts a voter.
    pub async fn voter(&self, number: u8, first_start: bool) -> Process {
        let settings = self.settings(number, first_start);
        let listeners = voter::fleet::Listeners {
            links: bind(net::SocketAddrV4::new(self.address(number), LINK_PORT)).await,
            control: bind(self.control(number)).await,
        };
        let spoken = self.spoken.0;
        let seeds = seeds(&settings);
        self.process(number, move |stop| async move {
            let ended = voter::fleet::run(settings, spoken, listeners, seeds, stop).await;
            ended.expect("a voter runs until its stop");
        })
    }

    /// Starts all first voters.
    pub async fn first_voters(&self) -> collections::BTreeMap<u8, Process> {
        let mut voters = collections::BTreeMap::new();
        for number in 1..=self.voters.len() as u8 {
            voters.insert(number, self.voter(number, true).await);
        }
        voters
    }

    /// The group as a voter sees it.
    pub async fn group(&self, number: u8) -> Option<replica::Status> {
        let address = self.address(number);
        let settings = self.settings(number, false);
        let credential = link::Credential::new(&settings.credentials.cluster);
        let identity = settings.process.identity().expect("a proper name");
        let (events, mut opened) = mpsc::channel(8);
        let peer = settings.link_address(&address.to_string());
        let limits = link::LinkLimits::default();
        let link = link::open(&peer, credential, identity.hello("operator"), limits, events);
        let up = tokio::time::timeout(time::Duration::from_secs(2), opened.recv()).await;
        up.ok()??;
        match voter::operate::ask(&link, &voter::operate::Request::Status, 1_000).await.ok()? {
            voter::operate::Reply::Status(status) => Some(*status),
            _ => None,
        }
    }

    /// Waits until the leader has so many voters, all of which it hears and none of which is on its
    /// way in or out.
    pub async fn whole_group(&self, voters: usize, among: &[u8]) {
        until("the group is whole", async || {
            for &number in among {
                if let Some(status) = self.group(number).await.filter(|it| it.is_leader) {
                    let whole = status.membership.voters.len() == voters
                        && status.membership.learners.is_empty()
                        && status.followers.iter().all(|it| {
                            it.silent_ms < 500 && !it.memory_lost && it.match_index >= status.commit
                        });
                    return whole;
                }
            }
            false
        })
        .await;
    }

    /// Starts an entry.
    pub async fn entry(&self, number: u8) -> Process {
        let settings = self.settings(number, false);
        let listeners = entry_listeners(&settings).await;
        let spoken = self.spoken.0;
        let seeds = seeds(&settings);
        self.process(number, move |stop| async move {
            let ended = fleet::entry::run(settings, spoken, listeners, seeds, stop).await;
            ended.expect("an entry runs until its stop");
        })
    }

    /// Opens a link to a voter as a process at an address would, and waits until it is up.
    pub async fn link(
        &self,
        voter: u8,
        number: u8,
        role: &str,
    ) -> (link::Link, mpsc::Receiver<link::LinkEvent>) {
        let settings = self.settings(number, false);
        let credential = link::Credential::new(&settings.credentials.cluster);
        let mut identity = settings.process.identity().expect("a proper name");
        let address = self.address(number).to_string();
        identity.name = name::InstanceName::new(&address).expect("an address is a proper name");
        let (events, mut received) = mpsc::channel(4_096);
        let peer = settings.link_address(&self.address(voter).to_string());
        let limits = link::LinkLimits::default();
        let link = link::open(&peer, credential, identity.hello(role), limits, events);
        let up = received.recv().await;
        assert!(matches!(up, Some(link::LinkEvent::Up)), "the voter takes the link");
        (link, received)
    }

    /// Starts an agent beside the engine with the same number.
    pub async fn agent(&self, number: u8) -> Process {
        let settings = self.settings(number, false);
        let listener = bind(net::SocketAddrV4::new(self.address(number), LINK_PORT)).await;
        let spoken = self.spoken.0;
        let seeds = seeds(&settings);
        self.process(number, move |stop| async move {
            let ended = fleet::agent::run(settings, spoken, listener, seeds, stop).await;
            ended.expect("an agent runs until its stop");
        })
    }

    fn process<F, R>(&self, number: u8, run: F) -> Process
    where
        F: FnOnce(stop::Stop) -> R,
        R: Future<Output = ()> + Send + 'static,
    {
        Process::start(self.address(number), run)
    }

    /// Whether an agent lists a version. From then on it holds the chunks that its engine had
    /// staged.
    pub async fn lists(&self, number: u8, version: u64) -> bool {
        let settings = self.settings(number, false);
        let peer = settings.link_address(&settings.fleet.address.to_string());
        let credential = link::Credential::new(&settings.credentials.cluster);
        let request =
            hyper::Request::get(format!("http://{peer}/internal/manifests/model-a/{version}"))
                .header("authorization", credential.header_value())
                .body(http::full(""))
                .expect("a well formed request");
        let client = http::Client::new(ASK_MS);
        let asked = client.fetch("ask", &peer, request, ASK_MAX_BYTES, ASK_MS).await;
        asked.is_ok_and(|(head, _)| head.status == 200)
    }

    /// Starts an engine and announces it.
    pub async fn engine(
        &self,
        number: u8,
        service: &str,
        version: u64,
    ) -> sync::Arc<engine::Engine> {
        let instance = format!("engine-{number}");
        let engine = engine::Engine::start(&instance, self.upstream(number), version).await;
        self.announce(&engine, service, "ready", 1).await;
        engine
    }

    /// Starts an upstream that answers with given bytes, and announces it.
    pub async fn raw_upstream(
        &self,
        number: u8,
        target: caller::Target,
        answer: &str,
        ends: raw::Ends,
    ) -> sync::Arc<raw::RawUpstream> {
        let answers = raw::Answers::Same { bytes: answer.to_owned(), ends };
        self.raw_upstream_with(number, target, answers).await
    }

    /// Starts an upstream that answers so, and announces it.
    pub async fn raw_upstream_with(
        &self,
        number: u8,
        target: caller::Target,
        answers: raw::Answers,
    ) -> sync::Arc<raw::RawUpstream> {
        let instance = format!("engine-{number}");
        let upstream = raw::RawUpstream::start(&instance, self.upstream(number), answers).await;
        let models = match target.weights() {
            0 => serde_json::json!([]),
            version => serde_json::json!([{"name": "model-a", "version": version, "adapters": []}]),
        };
        let body = serde_json::json!({
            "service": target.service, "address": upstream.address.to_string(),
            "zone": format!("zone-{}", number % 3), "version": "v1", "slots": 8, "state": "ready",
            "cold-remaining-ms": 0, "stage": "combined", "models": models, "sequence": 1,
            "born": 1_000,
        });
        let path = format!("/instances/{instance}");
        let (status, text) = self.operator().order("PUT", &path, &body.to_string()).await;
        assert_eq!(status, 200, "{text}");
        upstream
    }

    /// Announces an engine anew after each of its restarts, for as long as it is wanted.
    pub fn announce_restarts(
        &self,
        engine: &sync::Arc<engine::Engine>,
        service: &'static str,
    ) -> task::JoinHandle<()> {
        let (operator, engine) = (self.operator(), engine.clone());
        task::spawn(async move {
            let mut announced = engine.starts();
            loop {
                tokio::time::sleep(time::Duration::from_millis(20)).await;
                if engine.starts() > announced {
                    announced = engine.starts();
                    announce(&operator, &engine, service, "ready", 1).await;
                }
            }
        })
    }

    /// Announces an engine until a voter acknowledges it.
    pub async fn announce(
        &self,
        engine: &engine::Engine,
        service: &str,
        standing: &str,
        number: u64,
    ) {
        let (status, text) = announce(&self.operator(), engine, service, standing, number).await;
        assert_eq!(status, 200, "{text}");
    }

    /// A document with one route of each kind.
    pub fn document(&self, version: u64, origin: Option<&origin::Origin>) -> serde_json::Value {
        let route = |name: &str, prefix: &str, kind: &str, service: &str, attempts: u32| {
            serde_json::json!({
                "name": name, "host": "a.example", "path-prefix": prefix, "kind": kind,
                "timeout-ms": 5_000, "target-latency-ms": 400, "priority": 1, "service": service,
                "max-attempts": attempts, "public": false, "session-affinity": kind == "streaming",
                "resumable": kind == "streaming", "target-gap-ms": 300,
            })
        };
        let origin = origin.map_or("127.0.0.1:9".to_owned(), |origin| origin.address.to_string());
        serde_json::json!({
            "version": version,
            "routes": [
                route("streams", "/stream/", "streaming", "models", 3),
                route("reads", "/read/", "safe", "ledger", 2),
                route("transfers", "/transfer/", "unsafe", "ledger", 2),
            ],
            "services": [
                {"name": "models", "health-path": "/health", "connection-limit": 64,
                 "protocol": "h1", "tls": false, "engine": {
                    "slots": 8, "kv-tokens": 100_000, "stride": 4,
                    "models": [{"name": "model-a", "pace": 1.0, "load-s": 4.0, "warm-s": 0.3}],
                    "step_ms": 6.0, "per_seq_ms": 0.02, "context_per_k": 0.01,
                    "read_per_s": 30_000.0, "pairs_per_m": 0.6, "chunk": 2048,
                    "usual": {"prompt": 900, "answer": 100}, "layers": engine::LAYERS,
                    "chunks": origin::CHUNKS, "chunk-bytes": origin::CHUNK_BYTES}},
                {"name": "ledger", "health-path": "/health", "connection-limit": 64,
                 "protocol": "h1", "tls": false},
                {"name": "weights", "origin": origin, "zone": "zone-0", "link-mbps": 15.0,
                 "connection-limit": 48},
            ],
            "limits": {"max-header-bytes": 16_384, "max-body-bytes": 65_536,
                       "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000},
            "tenants": [{"name": "account-a", "api-keys": ["key-a"], "priority": 1}],
        })
    }

    /// Puts a document in force.
    pub async fn install(&self, document: &serde_json::Value) {
        let answer = self.operator().order("PUT", "/configuration", &document.to_string()).await;
        assert_eq!(answer.0, 200, "{}", answer.1);
    }

    /// Puts a document in force by one of these voters.
    pub async fn install_at(&self, voters: impl Iterator<Item = u8>, document: &serde_json::Value) {
        let operator = operator::Operator::new(voters.map(|voter| self.control(voter)).collect());
        let answer = operator.order("PUT", "/configuration", &document.to_string()).await;
        assert_eq!(answer.0, 200, "{}", answer.1);
    }

    /// Waits until an entry says that it is ready.
    pub async fn ready(&self, number: u8) {
        let entry = self.readiness(number);
        until("the entry is ready", async || {
            let answer = self.operator().call(entry, "GET", "/readiness", "").await;
            answer.is_some_and(|(status, _)| status == 200)
        })
        .await;
    }
}

/// Announces an engine. Returns the status and the body of the answer.
async fn announce(
    operator: &operator::Operator,
    engine: &engine::Engine,
    service: &str,
    standing: &str,
    number: u64,
) -> (u16, String) {
    let zone = format!("zone-{}", engine.address.ip().octets()[3] % 3);
    let body = engine.announcement(service, &zone, standing, number);
    let path = format!("/instances/{}", engine.instance);
    operator.order("PUT", &path, &body).await
}

fn seeds(settings: &settings::fleet::Settings) -> watch::Receiver<Vec<net::SocketAddrV4>> {
    watch::Sender::new(settings.fleet.seeds.clone()).subscribe()
}

/// Binds an address that a process which just ended may still hold.
async fn bind(address: net::SocketAddrV4) -> tokio_net::TcpListener {
    for _ in 0..100 {
        if let Ok(listener) = tokio_net::TcpListener::bind(address).await {
            return listener;
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    panic!("{address} stays in use");
}

/// Binds the listeners of an entry, whose addresses a process that just ended may still hold.
async fn entry_listeners(settings: &settings::fleet::Settings) -> fleet::entry::Listeners {
    for _ in 0..100 {
        if let Ok(listeners) = fleet::entry::Listeners::bind(settings).await {
            return listeners;
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    panic!("{} stays in use", settings.fleet.address);
}

/// Waits until something holds.
///
/// # Panics
///
/// Panics where it does not within the time that the slowest machine needs.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    for _ in 0..600 {
        if holds().await {
            return;
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    panic!("in vain: {what}");
}
