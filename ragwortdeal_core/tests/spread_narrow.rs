//! A whole download behind a link that has turned narrow.

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

/// A chunk on the free link.
const FREE_CHUNK_MS: u64 = 42;

/// When the link turns narrow, where it does.
const NARROW_FROM_MS: u64 = 500;

/// What waits at the link then, at its new rate: pieces of chunks for others and callers' requests.
const BACKLOG_MS: u64 = 1_000;

/// A chunk on the link at an eighth of its rate.
const NARROW_CHUNK_MS: u64 = 330;

/// How long before weights may not be served any more the last request is sent to them over a way
/// of which nothing is known. What waits behind chunks for longer begins too late.
const WAIT_MAX_MS: u64 = 2_500;

/// When engines begin to switch to new weights after these were named.
const SWITCHES_BEGIN_MS: u64 = 3_200;

/// When the last engine does.
const SWITCHES_END_MS: u64 = 6_600;

const STEP_MS: u64 = 10;

/// How whoever sends requests ends one that has run out of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ends {
    /// By its own timer, and says so before the next tick.
    First,
    /// It waits for the policy to give the request up.
    AtTick,
}

/// One instance, its peers that hold everything, and the link that all chunks come over.
struct Scene {
    download: download::Download,
    congestion: congestion::CongestionControl,
    bytes: Vec<u8>,
    ends: Ends,
    /// From when on the link is narrow.
    narrow_from_ms: u64,
    /// Peers that are gone without a word, the first ones.
    gone: u32,
    /// When the link has carried all that was put on it.
    free_at_ms: u64,
    /// Requests under way with their deadline and when their chunk will have come.
    under_way: collections::BTreeMap<u32, (event::Source, u64, u64, u64)>,
    wait_ms: u64,
    /// Of whose messages account is kept.
    told_of: Option<name::InstanceName>,
    words: usize,
    told: collections::BTreeSet<u32>,
}

impl Scene {
    fn new(ends: Ends, narrow_from_ms: u64, gone: u32) -> Self {
        let bytes: Vec<u8> = (0..CHUNKS * CHUNK_BYTES).map(|byte| byte as u8).collect();
        let manifest = manifest::Manifest::of_bytes(&bytes, CHUNK_BYTES).unwrap();
        let limits = limits::Limits {
            downloads_max: 2,
            uploads_per_peer_max: 1,
            neighbours_max: PEERS as usize + 1,
            announce_interval_ms: 60,
            busy_backoff_ms: 25,
            // Peers hold everything, so that nothing is drawn or probed.
            settle_ms: 1_000_000,
            deadline_min_ms: 400,
            deadline_first_ms: 600,
            deadline_max_ms: 3_000,
            ban_ms: 3_000,
            ..limits::Limits::default()
        };
        let download = download::Download::new(place(0), manifest, limits, &[]);
        let mut scene = Self {
            download,
            congestion: congestion::CongestionControl::new(FREE_CHUNK_MS as f64, 2),
            bytes,
            ends,
            narrow_from_ms,
            gone,
            free_at_ms: 0,
            under_way: collections::BTreeMap::new(),
            wait_ms: 0,
            told_of: None,
            words: 0,
            told: collections::BTreeSet::new(),
        };
        for peer in 1..=PEERS {
            scene.feed(0, event::Event::Joined(place(peer)));
            let version = scene.download.version();
            let chunks = (0..CHUNKS).collect();
            let instance = place(peer).instance;
            scene.feed(0, event::Event::Holds { instance, version, chunks });
        }
        scene
    }

    fn run(&mut self, from_ms: u64, until_ms: u64) {
        for now_ms in (from_ms..until_ms).step_by(STEP_MS as usize) {
            if now_ms == self.narrow_from_ms {
                self.free_at_ms = now_ms + BACKLOG_MS;
            }
            self.end_requests(now_ms);
            self.download.set_window(self.congestion.window());
            if now_ms % 40 == 0 {
                self.feed(now_ms, event::Event::Tick);
            }
            self.wait_ms = self.wait_ms.max(self.free_at_ms.saturating_sub(now_ms));
        }
    }

    fn end_requests(&mut self, now_ms: u64) {
        let under_way = self.under_way.clone();
        for (chunk, (source, sent_ms, deadline_ms, there_ms)) in under_way {
            let event = if there_ms <= now_ms {
                self.congestion.on_received(there_ms - sent_ms);
                let start = (chunk * CHUNK_BYTES) as usize;
                let bytes = &self.bytes[start..start + CHUNK_BYTES as usize];
                let chunk = self.download.manifest().verify_chunk(chunk, bytes).unwrap();
                event::Event::Arrived { source, chunk }
            } else if deadline_ms <= now_ms && self.ends == Ends::First {
                let version = self.download.version();
                event::Event::Failed { source, version, chunk, failure: event::Failure::Timeout }
            } else {
                continue;
            };
            self.under_way.remove(&chunk);
            self.feed(now_ms, event);
        }
    }

    fn feed(&mut self, now_ms: u64, event: event::Event) {
        for action in self.download.handle(now_ms, event) {
            match action {
                // All of a chunk is on its way soon, whether or not it is given up then.
                event::Action::Request { source, chunk, deadline_ms } if self.is_gone(&source) => {
                    self.under_way.insert(chunk, (source, now_ms, deadline_ms, u64::MAX));
                }
                event::Action::Request { source, chunk, deadline_ms } => {
                    let narrow = now_ms >= self.narrow_from_ms;
                    let takes_ms = if narrow { NARROW_CHUNK_MS } else { FREE_CHUNK_MS };
                    self.free_at_ms = self.free_at_ms.max(now_ms) + takes_ms;
                    let request = (source, now_ms, deadline_ms, self.free_at_ms);
                    self.under_way.insert(chunk, request);
                }
                event::Action::Announce { to, chunks }
                    if self.told_of.as_ref().is_some_and(|instance| to.contains(instance)) =>
                {
                    self.words += 1;
                    self.told.extend(chunks);
                }
                event::Action::Cancel { chunk, .. } => _ = self.under_way.remove(&chunk),
                event::Action::ReportFault { fault: event::Fault::Timeout, .. } => {
                    self.congestion.on_timeout();
                }
                _ => (),
            }
        }
    }
}

impl Scene {
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

/// The link of an instance falls to an eighth of its rate while new weights spread. Chunks are given
/// up and asked for elsewhere, though they are on their way already: the link carries nothing but
/// abandoned chunks, and callers' requests reach the engine behind it seconds late, on weights that
/// may not be served any more.
#[googletest::test]
fn abandoned_chunks_do_not_fill_a_link_that_turned_narrow() {
    for ends in [Ends::First, Ends::AtTick] {
        let mut scene = Scene::new(ends, NARROW_FROM_MS, 0);
        scene.run(STEP_MS, 8_000);
        expect_that!(scene.wait_ms, lt(WAIT_MAX_MS), "{ends:?}");
        expect_that!(scene.congestion.is_narrow(), eq(true), "{ends:?}");
        scene.run(8_000, 30_000);
        expect_that!(scene.download.is_complete(), eq(true), "{ends:?}");
    }
}

/// A third of all peers go at once, without a word. An instance that takes their silence for its own
/// link, or waits longer for all others too, gets its weights late, and callers find no engine.
#[googletest::test]
fn peers_that_are_gone_hold_nobody_up() {
    for ends in [Ends::First, Ends::AtTick] {
        let mut scene = Scene::new(ends, u64::MAX, PEERS / 3);
        scene.run(STEP_MS, SWITCHES_BEGIN_MS);
        expect_that!(scene.congestion.is_narrow(), eq(false), "{ends:?}");
        expect_that!(scene.congestion.window(), eq(2), "{ends:?}");
        scene.run(SWITCHES_BEGIN_MS, SWITCHES_END_MS);
        expect_that!(scene.download.is_complete(), eq(true), "{ends:?}");
    }
}

/// All neighbours of an instance tell it of every chunk that they get, a dozen times a second each.
/// Behind a link at an eighth of its rate these words alone fill it, and callers' requests wait
/// behind them for as long as the others fetch.
#[googletest::test]
fn a_neighbour_behind_a_narrow_link_is_told_of_chunks_seldom_and_of_all() {
    let mut scene = Scene::new(Ends::First, u64::MAX, 0);
    let narrow = place(PEERS + 1).instance;
    scene.feed(0, event::Event::Joined(place(PEERS + 1)));
    scene.feed(0, event::Event::LinkChanged { instance: narrow.clone(), narrow: true });
    scene.told_of = Some(narrow);
    scene.run(STEP_MS, SWITCHES_END_MS);
    expect_that!(scene.download.is_complete(), eq(true));
    expect_that!(scene.words, le(SWITCHES_END_MS as usize / 1_000 + 1));
    expect_that!(scene.told.len(), eq(CHUNKS as usize));
}
