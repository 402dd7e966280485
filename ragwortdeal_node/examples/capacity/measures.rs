//! The measurements themselves, each a slope over one dimension of the target.

use std::hint;

use ragwortdeal_core::{
    claims::{attempt, key, state as claim, table},
    config::{delta, replica, state},
    digest,
    membership::{self, view},
    name,
    spread::manifest,
};

use crate::{
    links, meter,
    series::Series,
    trees, voters,
    zones::{self, Size},
};

/// Time after which all members of a zone know each other, and then the time that is measured.
const SETTLE_MS: u64 = 12_000;
const MEASURE_MS: u64 = 20_000;

/// Entries and upstreams of one zone at the target's size: 1,900 and 5,600 over 12 zones.
pub const ZONE_ENTRIES: usize = 159;
/// Upstreams of one zone at the target's size.
pub const ZONE_UPSTREAMS: usize = 467;
/// Objects of the configuration at the target's size: labels of 7,500 instances and as many again
/// for accounts, models, versions, placements and routes.
pub const OBJECTS: f64 = 15_000.0;

/// Changes a second at the target's busiest time: ten times the average of 22,000 a day.
const CHANGES_PER_S: f64 = 22_000.0 / 86_400.0 * 10.0;
/// Claims that one group of voters remembers at most.
const CLAIMS: f64 = 200_000.0;
/// Size of a chunk, and chunks of a version of 140 GB.
const CHUNK_BYTES: u32 = 4 << 20;
const CHUNKS_OF_VERSION: f64 = 33_000.0;

fn per_second(value: u64) -> f64 {
    value as f64 * 1_000.0 / MEASURE_MS as f64
}

/// Percent of a core.
fn percent(cpu_ns: u64) -> f64 {
    per_second(cpu_ns) / 1e7
}

fn steady(size: Size) -> (zones::Cost, zones::Cost) {
    let mut zones = zones::Zones::new(size);
    zones.run(SETTLE_MS);
    assert_eq!(zones.least_known(), size.upstreams, "every entry knows every upstream");
    zones.reset();
    zones.run(MEASURE_MS);
    (zones.entry_cost(), zones.agent_cost())
}

fn bytes_and_cpu(
    names: (&'static str, &'static str),
    varied: &'static str,
    target: f64,
    sizes: &[(f64, Size)],
) -> [Series; 2] {
    let measured: Vec<_> = sizes.iter().map(|(x, size)| (*x, steady(*size).0)).collect();
    let bytes = measured.iter().map(|(x, cost)| (*x, per_second(cost.bytes()))).collect();
    let cpu = measured.iter().map(|(x, cost)| (*x, percent(cost.cpu_ns))).collect();
    let (bytes_name, cpu_name) = names;
    [
        Series { name: bytes_name, varied, cost: "bytes/s", points: bytes, target },
        Series { name: cpu_name, varied, cost: "% of a core", points: cpu, target },
    ]
}

/// Membership at an entry against the entries of its zone.
pub fn by_entries() -> [Series; 2] {
    let size = |entries| Size { zones: 1, entries, upstreams: 3 * entries };
    let sizes = [10, 20, 40, 80, 120].map(|e| (e as f64, size(e)));
    let names = ("entry-bytes-by-entries", "entry-cpu-by-entries");
    bytes_and_cpu(names, "entries in the zone", ZONE_ENTRIES as f64, &sizes)
}

/// Membership at an entry against the upstreams of its zone.
pub fn by_upstreams() -> [Series; 2] {
    let size = |upstreams| Size { zones: 1, entries: 40, upstreams };
    let sizes = [40, 80, 160, 240, 320].map(|u| (u as f64, size(u)));
    let names = ("entry-bytes-by-upstreams", "entry-cpu-by-upstreams");
    // A zone with as many upstreams per entry as at the target.
    let target = 40.0 * ZONE_UPSTREAMS as f64 / ZONE_ENTRIES as f64;
    bytes_and_cpu(names, "upstreams of 40 entries", target, &sizes)
}

/// Membership at an entry against the number of zones.
pub fn by_zones() -> [Series; 2] {
    let size = |zones| Size { zones, entries: 10, upstreams: 30 };
    let sizes = [3, 4, 6, 8, 10].map(|z| (z as f64, size(z)));
    let names = ("entry-bytes-by-zones", "entry-cpu-by-zones");
    bytes_and_cpu(names, "availability zones", 12.0, &sizes)
}

/// Membership at an entry against changes of upstreams a second in its zone.
pub fn by_upstream_changes() -> [Series; 2] {
    let mut bytes = Vec::new();
    let mut cpu = Vec::new();
    for changes in [20, 40, 80, 120] {
        let mut zones = zones::Zones::new(Size { zones: 1, entries: 40, upstreams: 120 });
        zones.run(SETTLE_MS);
        zones.reset();
        zones.run_with_changes(MEASURE_MS, changes);
        let cost = zones.entry_cost();
        let rate = per_second(changes as u64);
        bytes.push((rate, per_second(cost.bytes())));
        cpu.push((rate, percent(cost.cpu_ns)));
    }
    // A spread to 820 instances in three minutes touches 68 upstreams of a zone, each three times.
    let target = 68.0 * 3.0 / 180.0;
    let varied = "changes/s in the zone";
    [
        Series { name: "entry-bytes-by-changes", varied, cost: "bytes/s", points: bytes, target },
        Series { name: "entry-cpu-by-changes", varied, cost: "% of a core", points: cpu, target },
    ]
}

/// One zone of the target's size, measured as it is.
pub fn whole_zone() -> (zones::Cost, zones::Cost) {
    steady(Size { zones: 1, entries: ZONE_ENTRIES, upstreams: ZONE_UPSTREAMS })
}

/// The relay tree: heartbeats by members, and cost per change by objects.
pub fn relay() -> Vec<Series> {
    let mut idle = Vec::new();
    let mut busiest = Vec::new();
    for members in [20, 40, 80, 160] {
        let mut tree = trees::Tree::new(members, 50);
        tree.run(SETTLE_MS);
        assert_eq!(tree.serving(), members, "every member serves the newest revision");
        tree.reset();
        tree.run(MEASURE_MS);
        let (average, most) = tree.member_cost();
        idle.push((members as f64, per_second(average.bytes())));
        busiest.push((members as f64, per_second(most.bytes())));
    }
    let target = ZONE_ENTRIES as f64;
    let varied = "entries in the zone";
    let [change_bytes, change_cpu, source_bytes] = relay_changes();
    vec![
        Series { name: "relay-idle-bytes", varied, cost: "bytes/s", points: idle, target },
        Series { name: "relay-idle-busiest", varied, cost: "bytes/s", points: busiest, target },
        change_bytes,
        change_cpu,
        source_bytes,
    ]
}

/// Cost of configuration changes in a tree of 40 members that hold 200 objects.
fn relay_changes() -> [Series; 3] {
    let mut bytes = Vec::new();
    let mut cpu = Vec::new();
    let mut source = Vec::new();
    for changes in [10_u64, 20, 40, 80] {
        let mut tree = trees::Tree::new(40, 200);
        tree.run(SETTLE_MS);
        tree.reset();
        for _ in 0..changes {
            tree.change(200);
            tree.run(MEASURE_MS / changes);
        }
        let (average, _) = tree.member_cost();
        let rate = per_second(changes);
        bytes.push((rate, per_second(average.bytes())));
        cpu.push((rate, percent(average.cpu_ns)));
        source.push((rate, per_second(tree.source_cost().sent_bytes)));
    }
    let target = CHANGES_PER_S;
    let varied = "configuration changes/s";
    [
        Series { name: "relay-bytes-by-changes", varied, cost: "bytes/s", points: bytes, target },
        Series { name: "relay-cpu-by-changes", varied, cost: "% of a core", points: cpu, target },
        Series { name: "source-bytes-by-changes", varied, cost: "bytes/s", points: source, target },
    ]
}

/// Processor time of one change against the size of the configuration, at a voter and a receiver.
pub fn config_cpu() -> [Series; 2] {
    let mut judged = Vec::new();
    let mut applied = Vec::new();
    for objects in [1_000_u64, 2_000, 4_000, 8_000] {
        let (mut config, mut receiver) = filled(objects);
        let (mut judge_ns, mut apply_ns) = (0, 0);
        let rounds = 50;
        for round in 0..rounds {
            let before = config.revision();
            let change = trees::change(objects + round, objects);
            let started_ns = meter::thread_cpu_ns();
            hint::black_box(config.apply(&change));
            let judged_ns = meter::thread_cpu_ns();
            let update = config.update_since(before).expect("one change");
            let sent_ns = meter::thread_cpu_ns();
            receiver.apply(&update).expect("the next step");
            judge_ns += judged_ns - started_ns;
            apply_ns += meter::thread_cpu_ns() - sent_ns;
        }
        let micros = |ns: u64| ns as f64 / rounds as f64 / 1_000.0;
        judged.push((objects as f64, micros(judge_ns)));
        applied.push((objects as f64, micros(apply_ns)));
    }
    let (varied, cost) = ("objects", "us per change");
    [
        Series { name: "voter-cpu-per-change", varied, cost, points: judged, target: OBJECTS },
        Series { name: "receiver-cpu-per-change", varied, cost, points: applied, target: OBJECTS },
    ]
}

fn filled(objects: u64) -> (state::State, replica::Replica) {
    let mut config = state::State::default();
    for number in 0..objects {
        config.apply(&trees::change(number, objects));
    }
    let mut receiver = replica::Replica::default();
    let snapshot = delta::Update::Snapshot(config.snapshot());
    receiver.apply(&snapshot).expect("the first state");
    (config, receiver)
}

/// Memory by the number of things held: `make` makes one more, all are kept.
fn memory<T>(
    name: &'static str,
    varied: &'static str,
    target: f64,
    step: usize,
    mut make: impl FnMut(usize) -> T,
) -> Series {
    let before = meter::resident_bytes();
    let mut kept = Vec::new();
    let mut points = Vec::new();
    for _ in 0..4 {
        for _ in 0..step {
            kept.push(make(kept.len()));
        }
        points.push((kept.len() as f64, (meter::resident_bytes() - before) as f64 / 1024.0));
    }
    // Kept for good: what is freed would be used again unseen by the next measurement.
    std::mem::forget(hint::black_box(kept));
    Series { name, varied, cost: "KiB", points, target }
}

/// Memory of an entry per upstream: three keepers' records and the view's own.
pub fn memory_per_upstream() -> Series {
    let target = ZONE_UPSTREAMS as f64;
    memory("memory-per-upstream", "upstreams known", target, 5_000, |number| {
        let upstream = zones::upstream(number);
        let status = membership::Status::Serving;
        let record = membership::Record { upstream, status };
        let records = [record.clone(), record.clone(), record];
        let view = view::View::merge(&records);
        (records, view)
    })
}

/// Memory of a receiver per object of the configuration.
pub fn memory_per_object() -> Series {
    memory("memory-per-object", "objects held", OBJECTS, 2, |_| filled(5_000).1).scaled(5_000.0)
}

/// Memory of a voter per change that it remembers.
pub fn memory_per_change() -> Series {
    memory("memory-per-change", "changes remembered", 50_000.0, 1, |_| {
        let mut config = state::State::default();
        for number in 0..10_000 {
            config.apply(&trees::change(number, 1));
        }
        config
    })
    .scaled(10_000.0)
}

/// Memory of a voter per claimed operation.
pub fn memory_per_claim() -> Series {
    let slots = (0..=u8::MAX).map(key::Slot);
    let limits = table::TableLimits { max_claims: usize::MAX, ..table::TableLimits::default() };
    let mut claims = table::ClaimTable::new(limits, slots);
    let granted = memory("memory-per-claim", "claims held", CLAIMS, 20_000, |number| {
        let stamped = claim::TimestampedCommand {
            now_ms: 1,
            command: claim::Command::Claim(a_claim(number)),
        };
        assert_eq!(claims.apply(stamped), claim::Outcome::Granted);
    });
    std::mem::forget(claims);
    granted
}

fn a_claim(number: usize) -> claim::Claim {
    let instance = |text| name::InstanceName::new(text).expect("valid");
    let sequence = number as u64;
    claim::Claim {
        key: key::ScopedKey {
            account: name::AccountName::new("account-with-a-name").expect("valid"),
            service: name::ServiceName::new("ledger").expect("valid"),
            key: name::OperationKey::new(&format!("transfer-{number:027}")).expect("valid"),
        },
        body_digest: digest::Digest::of(&sequence.to_le_bytes()),
        attempt: attempt::AttemptId {
            entry: instance("entry-00042"),
            entry_incarnation: 1_764_000_000_000_000,
            sequence,
        },
        replaces: None,
        upstream: attempt::Upstream {
            instance: instance("ledger-00017"),
            incarnation: attempt::Incarnation(1_764_000_000_000_000),
        },
        key_support: claim::KeySupport::None,
    }
}

/// Memory of an agent per chunk of a version's manifest.
pub fn memory_per_chunk() -> Series {
    const CHUNKS: usize = 10_000;
    memory("memory-per-chunk", "chunks of manifests", CHUNKS_OF_VERSION, 8, |number| {
        let chunk = |chunk: usize| digest::Digest::of(&(number * CHUNKS + chunk).to_le_bytes());
        let chunks = (0..CHUNKS).map(chunk).collect();
        let size_bytes = CHUNKS as u64 * u64::from(CHUNK_BYTES);
        let data = manifest::ManifestData { chunk_bytes: CHUNK_BYTES, size_bytes, chunks };
        manifest::Manifest::new(data).expect("it is well formed")
    })
    .scaled(CHUNKS as f64)
}

/// Leader's and followers' cost of accepted changes among five voters.
pub fn replication() -> Vec<Series> {
    let (mut leader_cpu, mut leader_bytes, mut follower_cpu) = (vec![], vec![], vec![]);
    for rate in [0_u64, 10, 50, 100, 200] {
        let mut voters = voters::Voters::new();
        voters.reset();
        let seconds = MEASURE_MS / 1_000;
        for number in 0..rate * seconds {
            voters.propose(number);
            if number % rate == rate - 1 {
                voters.run(1_000);
            }
        }
        if rate == 0 {
            voters.run(MEASURE_MS);
        }
        assert_eq!(voters.accepted(), rate * seconds, "all changes are accepted");
        let leader = voters.leader().expect("it stays");
        let cost = voters.costs[&leader];
        let follower = voters.costs.iter().find(|(id, _)| **id != leader).expect("four").1;
        leader_cpu.push((rate as f64, percent(cost.cpu_ns)));
        leader_bytes.push((rate as f64, per_second(cost.sent_bytes)));
        follower_cpu.push((rate as f64, percent(follower.cpu_ns)));
    }
    let (varied, target) = ("changes/s", CHANGES_PER_S);
    vec![
        Series { name: "leader-cpu", varied, cost: "% of a core", points: leader_cpu, target },
        Series { name: "leader-bytes", varied, cost: "bytes/s", points: leader_bytes, target },
        Series { name: "follower-cpu", varied, cost: "% of a core", points: follower_cpu, target },
    ]
}

/// Real links that carry their heartbeats alone.
pub fn idle_links() -> std::io::Result<[Series; 3]> {
    let (memory, cpu) = links::idle(&[50, 100, 150, 200])?;
    let bytes = links::heartbeats(&[4, 8, 16])?;
    let varied = "open links";
    // Eight partners, nine agents, a parent, its children and the voters.
    let target = 30.0;
    Ok([
        Series { name: "memory-per-link", varied, cost: "KiB", points: memory, target },
        Series { name: "cpu-per-link", varied, cost: "% of a core", points: cpu, target },
        Series { name: "heartbeats-per-link", varied, cost: "bytes/s", points: bytes, target },
    ])
}

/// What the programs' links carry today, before the parts measured above replace it.
pub fn running_today() -> [Series; 2] {
    let announced = links::announcements_today(&[16, 64, 128, 256]);
    let pushed = links::pushes_today(&[4, 16, 64, 256]);
    [
        Series {
            name: "today-announcements",
            varied: "agents per zone",
            cost: "bytes/s",
            points: announced,
            target: ZONE_UPSTREAMS as f64,
        },
        Series {
            name: "today-config-pushes",
            varied: "entries",
            cost: "bytes per change",
            points: pushed,
            target: 1_900.0,
        },
    ]
}

impl Series {
    /// Counts in things where each point holds `factor` of them.
    fn scaled(mut self, factor: f64) -> Self {
        self.points.iter_mut().for_each(|point| point.0 *= factor);
        self
    }
}
