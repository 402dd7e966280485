//! Membership of zones on a seeded network: leases, leaving, restarts, pauses and partitions.

#[path = "support/network.rs"]
mod network;
#[path = "support/zones.rs"]
mod zones;

use std::collections;

use googletest::prelude::*;
use ragwortdeal_core::{membership, name};
use rand::RngExt as _;

/// Time within which all entries of a small zone know each other and all upstreams.
const SETTLE_MS: u64 = 8_000;
/// Time after which no entry sends new calls to a leaving upstream.
const LEAVE_MS: u64 = 3_000;

/// Longest time for which any entry can consider a dead upstream eligible, whatever the network
/// does: the upstream's lease, and the lease of the entry whose record another one relays.
fn dead_bound_ms() -> u64 {
    let settings = membership::Settings::default();
    settings.upstream_lease_ms + settings.entry_lease_ms
}

fn names(nodes: impl Iterator<Item = usize>) -> collections::BTreeSet<name::InstanceName> {
    nodes.map(zones::name_of).collect()
}

fn settled(seed: u64, zones: usize, sizes: (usize, usize)) -> zones::Zones {
    let mut zones = zones::Zones::new(seed, zones, sizes);
    zones.run(SETTLE_MS, |_| {});
    zones
}

/// Ends the faults and leaves time for a lease to be renewed and for two rounds of pulls.
fn end_faults(zones: &mut zones::Zones) {
    zones.network.faults = network::Faults::NONE;
    zones.run(5_000, |_| {});
}

/// Asserts that every live entry knows exactly the expected upstreams and all live entries.
fn assert_converged(zones: &mut zones::Zones, zone: usize, expected: &[usize]) {
    let live = |n: &usize| matches!(zones.processes[*n], zones::Process::Entry(_));
    let entries = names(zones.entries_of(zone).filter(live));
    let expected = names(expected.iter().copied());
    for entry in zones.entries_of(zone) {
        if matches!(zones.processes[entry], zones::Process::Entry(_)) {
            assert_eq!(zones.eligible(entry), expected, "upstreams at entry {entry}");
            assert_eq!(zones.known_entries(entry), entries, "entries at entry {entry}");
        }
    }
}

macro_rules! seeded {
    ($($case:ident: $run:ident($($seed:expr),*);)*) => {$(
        #[test]
        fn $case() {
            for seed in [$($seed),*] {
                $run(seed);
            }
        }
    )*};
}

seeded! {
    all_entries_converge_on_the_live_upstreams: converges(1, 2, 3);
    leaving_is_known_within_the_bound: leaves(11, 12, 13, 14);
    leaving_in_a_cut_is_refused_by_the_agent: leaves_cut_off(21, 22);
    a_dead_upstream_expires_everywhere: dies(31, 32, 33);
    a_resumed_entry_uses_no_expired_record: pauses_entry(41, 42, 43);
    a_resumed_upstream_starts_no_queued_call: pauses_upstream(51, 52, 53);
    a_restart_supersedes_the_earlier_incarnation: restarts(61, 62, 63);
    a_healed_zone_converges: heals(71, 72, 73);
    random_faults_keep_the_bounds: random_faults(81, 82, 83, 84, 85, 86);
}

fn converges(seed: u64) {
    let mut zones = zones::Zones::new(seed, 2, (9, 20));
    zones.network.faults = network::Faults::ROUGH;
    zones.run(20_000, |_| {});
    end_faults(&mut zones);
    for zone in 0..2 {
        let all: Vec<_> = zones.upstreams_of(zone).collect();
        assert_converged(&mut zones, zone, &all);
    }
}

/// An upstream leaves for maintenance while messages are lost. A request that were still sent to it
/// would fail when the engine stops.
fn leaves(seed: u64) {
    let mut zones = settled(seed, 1, (20, 30));
    zones.network.faults = network::Faults { loss_percent: 5, ..network::Faults::ROUGH };
    let leaving = zones.upstreams_of(0).start + 3;
    zones.leave(leaving);
    zones.run(LEAVE_MS, |_| {});
    zones.run(70_000, |zones| {
        if zones.now_ms.is_multiple_of(100) {
            let left = zones::name_of(leaving);
            let entries: Vec<_> = zones.entries_of(0).collect();
            for entry in entries {
                assert!(!zones.eligible(entry).contains(&left), "seed {seed}, entry {entry}");
            }
        }
    });
}

/// A leaving upstream is partitioned from all entries, so that none learns of it. Calls that still
/// arrive must be refused as not run, by the agent's own clock.
fn leaves_cut_off(seed: u64) {
    let mut zones = settled(seed, 1, (4, 6));
    let leaving = zones.upstreams_of(0).start;
    zones.network.sides.insert(leaving, 1);
    assert!(zones.may_start(leaving));
    zones.leave(leaving);
    zones.run(LEAVE_MS, |_| {});
    zones.run(20_000, |zones| assert!(!zones.may_start(leaving)));
}

/// An engine's instance crashes. Callers see failures until no entry chooses it any more.
fn dies(seed: u64) {
    let mut zones = settled(seed, 1, (12, 20));
    zones.network.faults = network::Faults::ROUGH;
    let dead = zones.upstreams_of(0).start + 5;
    zones.processes[dead] = zones::Process::Dead;
    let since = collections::BTreeMap::from([(dead, zones.now_ms)]);
    zones.run(dead_bound_ms() + 60_000, |zones| assert_dead_expire(zones, &since, seed));
    end_faults(&mut zones);
    let alive: Vec<_> = zones.upstreams_of(0).filter(|n| *n != dead).collect();
    assert_converged(&mut zones, 0, &alive);
}

/// An entry's process is paused for 30 s while upstreams die, and its queue holds their last
/// announcements and the other entries' replies. If these renewed leases on its return, calls would
/// be sent to dead instances.
fn pauses_entry(seed: u64) {
    pauses_entry_with(seed, None);
}

fn pauses_entry_with(seed: u64, injected_fault: Option<fn(&mut zones::Wire, u64)>) {
    let mut zones = settled(seed, 1, (5, 12));
    zones.injected_fault = injected_fault;
    let paused = zones.entries_of(0).start;
    let until_ms = zones.now_ms + 30_000;
    zones.paused.insert(paused, until_ms);
    let dead: Vec<_> = zones.upstreams_of(0).take(6).collect();
    zones.run(1_000, |_| {});
    for node in &dead {
        zones.processes[*node] = zones::Process::Dead;
    }
    zones.run(28_900, |_| {});
    let dead = names(dead.iter().copied());
    zones.run(20_000, |zones| {
        let eligible = zones.eligible(paused);
        assert!(eligible.is_disjoint(&dead), "seed {seed} at {}: {eligible:?}", zones.now_ms);
    });
    let alive: Vec<_> = zones.upstreams_of(0).skip(6).collect();
    assert_converged(&mut zones, 0, &alive);
}

/// Makes queued messages appear to have been sent on arrival.
fn reset_stamps(message: &mut zones::Wire, now_ms: u64) {
    match message {
        zones::Wire::Announce(announce) => {
            if let Some(echo) = &mut announce.echo {
                echo.at_ms = now_ms;
            }
        }
        zones::Wire::Gossip(membership::gossip::Message::Reply { echo, .. }) => {
            echo.at_ms = now_ms;
        }
        _ => {}
    }
}

/// Makes relayed ages appear to be first-hand knowledge.
fn reset_ages(message: &mut zones::Wire, _now_ms: u64) {
    use membership::gossip::{Message, ReplyBody};
    let zones::Wire::Gossip(Message::Reply { body, .. }) = message else { return };
    match body {
        ReplyBody::Same(ages) | ReplyBody::Numbers(_, ages) => ages.fill(0),
        ReplyBody::Roster(progress) => progress.iter_mut().for_each(|p| p.2 = 0),
    }
}

#[test]
#[should_panic(expected = "seed 41 at")]
fn leases_that_count_from_arrival_are_noticed() {
    pauses_entry_with(41, Some(reset_stamps));
}

/// A rack with entries and upstreams fails. Their records must expire although the remaining entries
/// relay them to each other.
fn loses_rack(seed: u64, injected_fault: Option<fn(&mut zones::Wire, u64)>) {
    let mut zones = settled(seed, 1, (8, 12));
    zones.injected_fault = injected_fault;
    let entries = zones.entries_of(0).take(5);
    let rack: Vec<_> = entries.chain(zones.upstreams_of(0).take(4)).collect();
    for node in &rack {
        zones.processes[*node] = zones::Process::Dead;
    }
    let since = rack.iter().map(|node| (*node, zones.now_ms)).collect();
    zones.run(30_000, |zones| assert_dead_expire(zones, &since, seed));
    let alive: Vec<_> = zones.upstreams_of(0).skip(4).collect();
    assert_converged(&mut zones, 0, &alive);
}

#[test]
fn a_lost_rack_expires_everywhere() {
    loses_rack(101, None);
}

#[test]
#[should_panic(expected = "seed 101, entry")]
fn ages_that_do_not_accumulate_are_noticed() {
    loses_rack(101, Some(reset_ages));
}

/// An agent is paused for 30 s with calls in its queue, which the entries have retried elsewhere. If
/// it started them on its return, non-idempotent operations could run twice.
fn pauses_upstream(seed: u64) {
    let mut zones = settled(seed, 1, (5, 6));
    let paused = zones.upstreams_of(0).start;
    let until_ms = zones.now_ms + 30_000;
    zones.paused.insert(paused, until_ms);
    zones.run(10_000, |_| {});
    assert!(!zones.may_start(paused));
    for entry in zones.entries_of(0) {
        assert!(!zones.eligible(entry).contains(&zones::name_of(paused)));
    }
    zones.run(19_990, |zones| assert!(!zones.may_start(paused)));
    zones.run(5_000, |_| {});
    assert!(zones.may_start(paused));
    let all: Vec<_> = zones.upstreams_of(0).collect();
    assert_converged(&mut zones, 0, &all);
}

/// An upstream leaves and restarts at once, while announcements of its earlier incarnation are still
/// in flight. If they counted, the new incarnation would get no calls, or the old one would.
fn restarts(seed: u64) {
    let mut zones = settled(seed, 1, (6, 10));
    zones.network.faults = network::Faults { delay_max_ms: 900, ..network::Faults::ROUGH };
    let node = zones.upstreams_of(0).start;
    zones.leave(node);
    zones.run(300, |_| {});
    zones.processes[node] = zones.start(node);
    zones.run(15_000, |_| {});
    end_faults(&mut zones);
    let all: Vec<_> = zones.upstreams_of(0).collect();
    assert_converged(&mut zones, 0, &all);
}

/// A switch fails and partitions a zone's entries into two halves, whose records of each other
/// expire. After the partition heals, each half must find the other again, or half of the upstreams
/// would stay idle.
fn heals(seed: u64) {
    let mut zones = settled(seed, 1, (8, 10));
    for node in (0..zones.processes.len()).filter(|node| node % 2 == 1) {
        zones.network.sides.insert(node, 1);
    }
    zones.run(30_000, |_| {});
    zones.network.sides.clear();
    zones.run(15_000, |_| {});
    let all: Vec<_> = zones.upstreams_of(0).collect();
    assert_converged(&mut zones, 0, &all);
}

/// Crashes, restarts, pauses and partitions at random. No entry may consider a dead upstream
/// eligible for longer than the two leases, and all entries agree soon after the faults end.
fn random_faults(seed: u64) {
    let mut zones = settled(seed, 1, (6, 10));
    zones.network.faults = network::Faults::ROUGH;
    let mut dead_since = collections::BTreeMap::new();
    for _ in 0..30 {
        let node = zones.network.rng.random_range(0..zones.processes.len());
        let is_upstream = zones.upstreams_of(0).contains(&node);
        match zones.network.rng.random_range(0..5) {
            0 => {
                zones.processes[node] = zones::Process::Dead;
                dead_since.entry(node).or_insert(zones.now_ms);
            }
            1 => {
                zones.processes[node] = zones.start(node);
                dead_since.remove(&node);
            }
            2 => {
                zones.paused.insert(node, zones.now_ms + 12_000);
            }
            3 => {
                let side = zones.network.rng.random_range(0..2);
                zones.network.sides.insert(node, side);
            }
            _ if is_upstream && !dead_since.contains_key(&node) => {
                zones.processes[node] = zones.start(node);
            }
            _ => {}
        }
        zones.run(2_000, |zones| assert_dead_expire(zones, &dead_since, seed));
    }
    zones.network.sides.clear();
    for node in 0..zones.processes.len() {
        if matches!(zones.processes[node], zones::Process::Dead) {
            zones.processes[node] = zones.start(node);
        }
    }
    zones.run(20_000, |_| {});
    end_faults(&mut zones);
    let all: Vec<_> = zones.upstreams_of(0).collect();
    assert_converged(&mut zones, 0, &all);
}

fn assert_dead_expire(
    zones: &mut zones::Zones,
    dead_since: &collections::BTreeMap<usize, u64>,
    seed: u64,
) {
    if !zones.now_ms.is_multiple_of(100) {
        return;
    }
    let overdue = dead_since.iter().filter(|(_, since)| **since + dead_bound_ms() < zones.now_ms);
    let expired = names(overdue.map(|(node, _)| *node));
    let entries: Vec<_> = zones.entries_of(0).collect();
    for entry in entries {
        let eligible = zones.eligible(entry);
        assert!(eligible.is_disjoint(&expired), "seed {seed}, entry {entry}: {eligible:?}");
    }
}

/// Three of five zones are partitioned off. If their last summaries did not expire, calls that
/// overflow a zone would be sent to them; if all summary requests went to the unreachable zones, the
/// reachable one would look unreachable as well.
#[googletest::test]
fn summaries_report_capacity_and_expire_in_a_partition() {
    let mut zones = settled(91, 5, (6, 10));
    zones.run(10_000, |_| {});
    let entries: Vec<_> = zones.entries_of(0).collect();
    for entry in &entries {
        expect_that!(zones.capacity_of(1, *entry), some((eq(80), lt(15_000))));
    }
    for zone in [1, 3, 4] {
        for node in zones.entries_of(zone) {
            zones.network.sides.insert(node, 1);
        }
    }
    zones.run(40_000, |_| {});
    for entry in entries {
        expect_that!(zones.capacity_of(1, entry), none());
        expect_that!(zones.capacity_of(2, entry), some((eq(80), lt(15_000))));
    }
}

/// After a partition of a large zone heals, it takes seconds until each half has the other's
/// records. If entries that do not know each other answered each pull by a pull of their own, they
/// would flood each other for that time.
#[googletest::test]
fn a_healed_zone_is_not_flooded() {
    let mut zones = settled(95, 1, (60, 400));
    for node in (0..zones.processes.len()).filter(|node| node % 2 == 1) {
        zones.network.sides.insert(node, 1);
    }
    zones.run(20_000, |_| {});
    zones.network.sides.clear();
    zones.received.fill(zones::Received::default());
    zones.run(5_000, |_| {});
    // Announcements of 20 upstreams, about ten pulls, as many answers and a few fetches a second;
    // the entries named in the settings get the pulls of both halves.
    let most = zones.entries_of(0).map(|n| zones.received[n].messages).max();
    expect_that!(most, some(lt(5 * 300)));
    zones.run(SETTLE_MS, |_| {});
    let all: Vec<_> = zones.upstreams_of(0).collect();
    assert_converged(&mut zones, 0, &all);
}

fn received_per_entry(zones: usize, sizes: (usize, usize)) -> (f64, f64) {
    let mut zones = settled(7, zones, sizes);
    zones.run(10_000, |_| {});
    let entries = zones.entries_of(0);
    let count = entries.len() as f64;
    let before: Vec<_> = zones.received[entries.clone()].to_vec();
    zones.run(20_000, |_| {});
    let after = &zones.received[entries];
    let messages: u64 = after.iter().zip(&before).map(|(a, b)| a.messages - b.messages).sum();
    let items: u64 = after.iter().zip(&before).map(|(a, b)| a.items - b.items).sum();
    (messages as f64 / count, items as f64 / count)
}

/// If zones exchanged records of their members, each entry would receive more with every zone that
/// is added. Its messages may only grow by its share of the summary pulls.
#[googletest::test]
fn messages_per_entry_stay_flat_as_zones_are_added() {
    let (few, few_items) = received_per_entry(4, (10, 20));
    let (many, many_items) = received_per_entry(12, (10, 20));
    expect_that!(many / few, lt(1.15));
    expect_that!(many_items / few_items, lt(1.25));
}

/// Messages per entry must not grow with the entries of its zone either. The ages in them do, by one
/// for each entry.
#[googletest::test]
fn messages_per_entry_stay_flat_as_a_zone_grows() {
    let (few, few_items) = received_per_entry(1, (10, 30));
    let (many, many_items) = received_per_entry(1, (40, 120));
    expect_that!(many / few, lt(1.15));
    expect_that!(many_items / few_items, lt(5.0));
}
