//! A complete download behind a link that becomes narrow.

use std::collections;

use googletest::prelude::*;
use ragwortdeal_core::{
    name,
    spread::{congestion, download, event, limits, manifest},
};

const CHUNKS: u32 = 48;

/// Peers of the own zone.
const PEERS: u32 = 20;

const CHUNK_BYTES: u32 = 4;

/// Time of a chunk on the uncongested link.
const UNCONGESTED_CHUNK_MS: u64 = 42;

/// When the link becomes narrow, in the runs where it does.
const NARROW_FROM_MS: u64 = 500;

/// The queue at the link then, at its new rate: parts of chunks for others and callers' requests.
const BACKLOG_MS: u64 = 1_000;

/// Time of a chunk on the link at an eighth of its rate.
const NARROW_CHUNK_MS: u64 = 330;

/// How long before weights may no longer be served the last request for them is sent over a link of
/// unknown state. A request that waits behind chunks for longer begins too late.
const WAIT_MAX_MS: u64 = 2_500;

/// When engines begin to switch to new weights, after these were named.
const SWITCHES_BEGIN_MS: u64 = 3_200;

/// When the last engine switches.
const SWITCHES_END_MS: u64 = 6_600;

const STEP_MS: u64 = 10;

/// How a request past its deadline is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TimeoutHandling {
    /// The requester's own timer ends it and reports it before the next tick.
    OwnTimer,
    /// The policy cancels it on a tick.
    Tick,
}

/// One instance, its peers that hold every chunk, and the link over which all chunks arrive.
struct Simulation {
    download: download::Download,
    congestion: congestion::CongestionControl,
    bytes: Vec<u8>,
    timeout_handling: TimeoutHandling,
    /// Time from which the link is narrow.
    narrow_from_ms: u64,
    /// Number of peers, counted from the first, that are gone without notice.
    gone: u32,
    /// When the link has transferred everything that is queued.
    free_at_ms: u64,
    /// Open requests by chunk: source, start, deadline and arrival of the chunk.
    open_requests: collections::BTreeMap<u32, (event::Source, u64, u64, u64)>,
    wait_ms: u64,
    /// Peer whose announcements are recorded.
    recorded_peer: Option<name::InstanceName>,
    announcements: usize,
    announced_chunks: collections::BTreeSet<u32>,
}

impl Simulation {
    fn new(timeout_handling: TimeoutHandling, narrow_from_ms: u64, gone: u32) -> Self {
        let bytes: Vec<u8> = (0..CHUNKS * CHUNK_BYTES).map(|byte| byte as u8).collect();
        let manifest = manifest::Manifest::of_bytes(&bytes, CHUNK_BYTES).unwrap();
        let limits = limits::Limits {
            downloads_max: 2,
            uploads_per_peer_max: 1,
            neighbours_max: PEERS as usize + 1,
            announce_interval_ms: 60,
            busy_backoff_ms: 25,
            // Peers hold everything, so nothing is fetched from the origin or probed.
            settle_ms: 1_000_000,
            deadline_min_ms: 400,
            deadline_first_ms: 600,
            deadline_max_ms: 3_000,
            ban_ms: 3_000,
            ..limits::Limits::default()
        };
        let download = download::Download::new(place(0), manifest, limits, &[]);
        let mut simulation = Self {
            download,
            congestion: congestion::CongestionControl::new(UNCONGESTED_CHUNK_MS as f64, 2),
            bytes,
            timeout_handling,
            narrow_from_ms,
            gone,
            free_at_ms: 0,
            open_requests: collections::BTreeMap::new(),
            wait_ms: 0,
            recorded_peer: None,
            announcements: 0,
            announced_chunks: collections::BTreeSet::new(),
        };
        for peer in 1..=PEERS {
            simulation.deliver(0, event::Event::Joined(place(peer)));
            let version = simulation.download.version();
            let chunks = (0..CHUNKS).collect();
            let instance = place(peer).instance;
            simulation.deliver(0, event::Event::Holds { instance, version, chunks });
        }
        simulation
    }

    fn run(&mut self, from_ms: u64, until_ms: u64) {
        for now_ms in (from_ms..until_ms).step_by(STEP_MS as usize) {
            if now_ms == self.narrow_from_ms {
                self.free_at_ms = now_ms + BACKLOG_MS;
            }
            self.end_requests(now_ms);
            self.download.set_window(self.congestion.window());
            if now_ms % 40 == 0 {
                self.deliver(now_ms, event::Event::Tick);
            }
            self.wait_ms = self.wait_ms.max(self.free_at_ms.saturating_sub(now_ms));
        }
    }

    fn end_requests(&mut self, now_ms: u64) {
        let open_requests = self.open_requests.clone();
        for (chunk, (source, start_ms, deadline_ms, arrival_ms)) in open_requests {
            let event = if arrival_ms <= now_ms {
                self.congestion.on_received(arrival_ms - start_ms);
                let start = (chunk * CHUNK_BYTES) as usize;
                let bytes = &self.bytes[start..start + CHUNK_BYTES as usize];
                let chunk = self.download.manifest().verify_chunk(chunk, bytes).unwrap();
                event::Event::Arrived { source, chunk }
            } else if deadline_ms <= now_ms && self.timeout_handling == TimeoutHandling::OwnTimer {
                let version = self.download.version();
                event::Event::Failed { source, version, chunk, failure: event::Failure::Timeout }
            } else {
                continue;
            };
            self.open_requests.remove(&chunk);
            self.deliver(now_ms, event);
        }
    }

    fn deliver(&mut self, now_ms: u64, event: event::Event) {
        for action in self.download.handle(now_ms, event) {
            match action {
                // The whole chunk is soon on its way, even if the request is cancelled then.
                event::Action::Request { source, chunk, deadline_ms } if self.is_gone(&source) => {
                    self.open_requests.insert(chunk, (source, now_ms, deadline_ms, u64::MAX));
                }
                event::Action::Request { source, chunk, deadline_ms } => {
                    let narrow = now_ms >= self.narrow_from_ms;
                    let takes_ms = if narrow { NARROW_CHUNK_MS } else { UNCONGESTED_CHUNK_MS };
                    self.free_at_ms = self.free_at_ms.max(now_ms) + takes_ms;
                    let request = (source, now_ms, deadline_ms, self.free_at_ms);
                    self.open_requests.insert(chunk, request);
                }
                event::Action::Announce { to, chunks }
                    if self
                        .recorded_peer
                        .as_ref()
                        .is_some_and(|instance| to.contains(instance)) =>
                {
                    self.announcements += 1;
                    self.announced_chunks.extend(chunks);
                }
                event::Action::Cancel { chunk, .. } => _ = self.open_requests.remove(&chunk),
                event::Action::ReportFault { fault: event::Fault::Timeout, .. } => {
                    self.congestion.on_timeout();
                }
                _ => (),
            }
        }
    }
}

impl Simulation {
    fn is_gone(&self, source: &event::Source) -> bool {
        let gone = |peer| *source == event::Source::Peer(place(peer).instance);
        (1..=self.gone).any(gone)
    }
}

fn place(peer: u32) -> event::Location {
    event::Location {
        instance: name::InstanceName::new(&format!("i{peer}")).unwrap(),
        zone: name::ZoneName::new("zone").unwrap(),
        region: name::RegionName::new("region").unwrap(),
    }
}

/// The link of an instance drops to an eighth of its rate while new weights are distributed. If
/// chunks in flight are given up and requested elsewhere, the link carries nothing but abandoned
/// chunks, and callers' requests reach the engine behind it seconds late, on weights that may no
/// longer be served.
#[googletest::test]
fn abandoned_chunks_do_not_fill_a_link_that_became_narrow() {
    for timeout_handling in [TimeoutHandling::OwnTimer, TimeoutHandling::Tick] {
        let mut simulation = Simulation::new(timeout_handling, NARROW_FROM_MS, 0);
        simulation.run(STEP_MS, 8_000);
        expect_that!(simulation.wait_ms, lt(WAIT_MAX_MS), "{timeout_handling:?}");
        expect_that!(simulation.congestion.is_narrow(), eq(true), "{timeout_handling:?}");
        simulation.run(8_000, 30_000);
        expect_that!(simulation.download.is_complete(), eq(true), "{timeout_handling:?}");
    }
}

/// A third of all peers go at once without notice. An instance that attributes the timeouts to its
/// own link, or extends the deadlines of all peers, gets its weights late, and callers find no
/// engine.
#[googletest::test]
fn peers_that_are_gone_delay_nobody() {
    for timeout_handling in [TimeoutHandling::OwnTimer, TimeoutHandling::Tick] {
        let mut simulation = Simulation::new(timeout_handling, u64::MAX, PEERS / 3);
        simulation.run(STEP_MS, SWITCHES_BEGIN_MS);
        expect_that!(simulation.congestion.is_narrow(), eq(false), "{timeout_handling:?}");
        expect_that!(simulation.congestion.window(), eq(2), "{timeout_handling:?}");
        simulation.run(SWITCHES_BEGIN_MS, SWITCHES_END_MS);
        expect_that!(simulation.download.is_complete(), eq(true), "{timeout_handling:?}");
    }
}

/// All neighbours announce every chunk that they get, a dozen times a second each. These messages
/// alone fill a link at an eighth of its rate, and callers' requests wait behind them until the
/// others have finished their downloads.
#[googletest::test]
fn a_neighbour_behind_a_narrow_link_gets_few_announcements_of_all_chunks() {
    let mut simulation = Simulation::new(TimeoutHandling::OwnTimer, u64::MAX, 0);
    let narrow = place(PEERS + 1).instance;
    simulation.deliver(0, event::Event::Joined(place(PEERS + 1)));
    simulation.deliver(0, event::Event::LinkChanged { instance: narrow.clone(), narrow: true });
    simulation.recorded_peer = Some(narrow);
    simulation.run(STEP_MS, SWITCHES_END_MS);
    expect_that!(simulation.download.is_complete(), eq(true));
    expect_that!(simulation.announcements, le(SWITCHES_END_MS as usize / 1_000 + 1));
    expect_that!(simulation.announced_chunks.len(), eq(CHUNKS as usize));
}
