//! Single decisions of a download in response to events, without the simulation of links.

use googletest::prelude::*;

use ragwortdeal_core::{
    name,
    spread::{download, event, limits, manifest},
};

const CHUNK_BYTES: u32 = 4;

fn place(name: &str, zone: &str, region: &str) -> event::Location {
    event::Location {
        instance: name::InstanceName::new(name).unwrap(),
        zone: name::ZoneName::new(zone).unwrap(),
        region: name::RegionName::new(region).unwrap(),
    }
}

fn peer(name: &str) -> event::Location {
    place(name, "zone", "region")
}

fn instance(name: &str) -> name::InstanceName {
    name::InstanceName::new(name).unwrap()
}

fn source(name: &str) -> event::Source {
    event::Source::Peer(instance(name))
}

fn content(tag: u8, chunks: u8) -> Vec<u8> {
    (0..chunks).flat_map(|chunk| [tag, chunk, chunk ^ tag, 1]).collect()
}

fn manifest_of(bytes: &[u8]) -> manifest::Manifest {
    manifest::Manifest::of_bytes(bytes, CHUNK_BYTES).unwrap()
}

fn verified(bytes: &[u8], chunk: u32) -> manifest::VerifiedChunk {
    let start = (chunk * CHUNK_BYTES) as usize;
    let manifest = manifest_of(bytes);
    manifest.verify_chunk(chunk, &bytes[start..start + CHUNK_BYTES as usize]).unwrap()
}

/// A download that sends requests only to peers that announce a chunk: it is still settling, so it
/// neither fetches from the origin nor probes.
fn download_of(bytes: &[u8], peers: &[&str]) -> download::Download {
    let limits = limits::Limits { settle_ms: 1_000_000, ..limits::Limits::default() };
    let mut download = download::Download::new(peer("me"), manifest_of(bytes), limits, &[]);
    for name in peers {
        let actions = download.handle(0, event::Event::Joined(peer(name)));
        assert!(requested(&actions).is_empty(), "nobody has announced anything");
    }
    download
}

fn holds(name: &str, download: &download::Download, chunks: &[u32]) -> event::Event {
    let version = download.version();
    event::Event::Holds { instance: instance(name), version, chunks: chunks.to_vec() }
}

fn requested(actions: &[event::Action]) -> Vec<(event::Source, u32)> {
    let requests = actions.iter().filter_map(|action| match action {
        event::Action::Request { source, chunk, .. } => Some((source.clone(), *chunk)),
        _ => None,
    });
    requests.collect()
}

fn cancelled(actions: &[event::Action]) -> usize {
    actions.iter().filter(|action| matches!(action, event::Action::Cancel { .. })).count()
}

/// A chunk arrives corrupted. The sender loses reputation and the chunk is requested elsewhere;
/// otherwise the engine would return garbage.
#[googletest::test]
fn a_corrupted_chunk_is_a_fault_of_its_sender_and_requested_elsewhere() {
    let bytes = content(1, 1);
    let mut download = download_of(&bytes, &["a", "b"]);
    let actions = download.handle(1, holds("a", &download.clone(), &[0]));
    expect_that!(requested(&actions), eq(&vec![(source("a"), 0)]));
    download.handle(1, holds("b", &download.clone(), &[0]));
    let fault = manifest::ChunkFault::Corrupt;
    let (sender_a, version) = (source("a"), download.version());
    let bad = event::Event::InvalidChunk { source: sender_a.clone(), version, chunk: 0, fault };
    let actions = download.handle(2, bad);
    let fault = event::Fault::BadChunk(fault);
    let report = event::Action::ReportFault { source: sender_a, chunk: 0, fault };
    expect_that!(actions, contains(eq(&report)));
    expect_that!(requested(&actions), eq(&vec![(source("b"), 0)]));
    expect_that!(download.held().is_empty(), eq(true));
    expect_that!(download.reputation(&instance("a")), some(lt(100)));
    expect_that!(download.reputation(&instance("b")), some(eq(100)));
}

/// A newer version is selected during a transfer. Transfers of the old one would only delay it.
#[googletest::test]
fn a_newer_version_cancels_old_transfers_and_keeps_shared_chunks() {
    let old_bytes = content(1, 8);
    let mut new_bytes = old_bytes.clone();
    new_bytes[0] ^= 0xff;
    let mut download = download_of(&old_bytes, &["a", "b"]);
    download.handle(1, holds("a", &download.clone(), &[0, 1, 2, 3, 4, 5, 6, 7]));
    download.handle(1, event::Event::Tick);
    let arrived = |chunk| event::Event::Arrived { source: source("a"), chunk };
    download.handle(2, arrived(verified(&old_bytes, 0)));
    download.handle(2, arrived(verified(&old_bytes, 5)));
    let open = download.open_requests();
    expect_that!(open, gt(0));

    let (old, new) = (manifest_of(&old_bytes), manifest_of(&new_bytes));
    let shared = new.shared_with(&old);
    expect_that!(shared, contains(eq(&(5, 5))));
    expect_that!(shared, not(contains(eq(&(0, 0)))));
    let (mut next, actions) = download.supersede(new, &[verified(&new_bytes, 5)]);
    expect_that!(cancelled(&actions), eq(open));
    expect_that!(next.held().iter().collect::<Vec<_>>(), eq(&vec![5]));

    // A chunk of the old version that was in flight must not count: weights would be mixed.
    next.handle(3, arrived(verified(&old_bytes, 6)));
    expect_that!(next.held().contains(6), eq(false));
    // Nor does a proof for the old version count as kept.
    let (resumed, _) = next.supersede(manifest_of(&new_bytes), &[verified(&old_bytes, 1)]);
    expect_that!(resumed.held().is_empty(), eq(true));
}

/// Guards against a superseded version whose requests hold up the newest on every link.
#[googletest::test]
fn an_abandoned_version_requests_nothing_and_serves_on() {
    let bytes = content(1, 8);
    let mut download = download_of(&bytes, &["a", "b"]);
    download.handle(1, holds("a", &download.clone(), &[0, 1, 2, 3, 4]));
    let arrived = event::Event::Arrived { source: source("a"), chunk: verified(&bytes, 0) };
    download.handle(2, arrived);
    let open = download.open_requests();
    expect_that!(cancelled(&download.abandon()), all!(gt(0), eq(open)));
    let actions = download.handle(3, holds("b", &download.clone(), &[5, 6, 7]));
    expect_that!(requested(&actions), is_empty());
    let answer = download.serve(4, &instance("b"), download.version(), 0);
    expect_that!(answer, eq(event::Answer::Send));
}

/// A peer answers after its deadline, when the chunk was requested again elsewhere.
#[googletest::test]
fn a_late_chunk_is_accepted_and_the_second_request_cancelled() {
    let bytes = content(1, 1);
    let mut download = download_of(&bytes, &["a", "b"]);
    download.handle(0, holds("a", &download.clone(), &[0]));
    let late_ms = limits::Limits::default().deadline_first_ms;
    let actions = download.handle(late_ms, event::Event::Tick);
    let (sender_a, fault) = (source("a"), event::Fault::Timeout);
    let report = event::Action::ReportFault { source: sender_a.clone(), chunk: 0, fault };
    expect_that!(actions, contains(eq(&report)));
    let actions = download.handle(late_ms, holds("b", &download.clone(), &[0]));
    expect_that!(requested(&actions), eq(&vec![(source("b"), 0)]));

    let arrived = event::Event::Arrived { source: sender_a, chunk: verified(&bytes, 0) };
    let actions = download.handle(late_ms + 1, arrived);
    expect_that!(cancelled(&actions), eq(1));
    expect_that!(download.open_requests(), eq(0));
    expect_that!(actions, contains(eq(&event::Action::Complete)));
}

/// The same chunk arrives twice, and long after the version was complete.
#[googletest::test]
fn completion_is_reported_once_and_only_with_every_chunk() {
    let bytes = content(1, 3);
    let mut download = download_of(&bytes, &["a"]);
    let mut completions = Vec::new();
    for chunk in [0, 0, 1, 1, 0, 2, 2, 1] {
        let chunk = verified(&bytes, chunk);
        let actions = download.handle(1, event::Event::Arrived { source: source("a"), chunk });
        let complete = actions.contains(&event::Action::Complete);
        expect_that!(complete, eq(complete && download.is_complete()));
        completions.push(complete);
    }
    expect_that!(completions.iter().filter(|complete| **complete).count(), eq(1));
    expect_that!(completions[5], eq(true));
}

/// A slow receiver requests chunk after chunk and reads none.
#[googletest::test]
fn a_slow_receiver_holds_a_bounded_number_of_uploads() {
    let bytes = content(1, 9);
    let limits = limits::Limits { uploads_per_peer_max: 2, uploads_max: 4, ..Default::default() };
    let kept: Vec<_> = (0..9).map(|chunk| verified(&bytes, chunk)).collect();
    let mut download =
        download::Download::new(peer("me"), manifest_of(&bytes), limits.clone(), &kept);
    download.handle(0, event::Event::Joined(peer("slow")));
    let version = download.version();
    let mut ask =
        |now_ms, name: &str, chunk| download.serve(now_ms, &instance(name), version, chunk);
    expect_that!(ask(0, "slow", 0), eq(event::Answer::Send));
    expect_that!(ask(0, "slow", 1), eq(event::Answer::Send));
    expect_that!(ask(0, "slow", 2), eq(event::Answer::Busy));
    // Others are still served, up to the bound over all.
    expect_that!(ask(0, "other", 0), eq(event::Answer::Send));
    expect_that!(ask(0, "third", 0), eq(event::Answer::Send));
    expect_that!(ask(0, "fourth", 0), eq(event::Answer::Busy));
    // The slots are freed when the receiver's deadline has passed.
    let actions = download.handle(limits.deadline_max_ms, event::Event::Tick);
    let aborts = actions.iter().filter(|a| matches!(a, event::Action::AbortUpload { .. })).count();
    expect_that!(aborts, eq(4));
    let answer = download.serve(limits.deadline_max_ms, &instance("slow"), version, 2);
    expect_that!(answer, eq(event::Answer::Send));
}

/// An instance gets a request for a version that it does not have, or for a chunk out of range.
#[googletest::test]
fn a_request_for_another_version_or_chunk_is_refused() {
    let bytes = content(1, 2);
    let mut download = download_of(&bytes, &["a"]);
    let other = manifest_of(&content(2, 2)).version();
    let version = download.version();
    let mut ask = |version, chunk| download.serve(0, &instance("a"), version, chunk);
    expect_that!(ask(other, 0), eq(event::Answer::OtherVersion));
    expect_that!(ask(version, 0), eq(event::Answer::NotYet { held: 0, origin_fails: false }));
    expect_that!(
        ask(version, u32::MAX),
        eq(event::Answer::NotYet { held: 0, origin_fails: false })
    );
}

/// A peer announces chunks that the version does not have, due to a fault or another release.
#[googletest::test]
fn an_announcement_out_of_range_causes_no_request_out_of_range() {
    let bytes = content(1, 2);
    let mut download = download_of(&bytes, &["a"]);
    let actions = download.handle(1, holds("a", &download.clone(), &[0, 7, u32::MAX]));
    expect_that!(requested(&actions).iter().all(|(_, chunk)| *chunk < 2), eq(true));
}

/// The operator withdraws a version while it is downloaded.
#[googletest::test]
fn cancelling_ends_all_requests() {
    let bytes = content(1, 8);
    let mut download = download_of(&bytes, &["a"]);
    download.handle(1, holds("a", &download.clone(), &[0, 1, 2, 3]));
    let open = download.open_requests();
    expect_that!(open, gt(0));
    expect_that!(cancelled(&download.cancel()), eq(open));
}

/// An instance crashes while requests to it are open.
#[googletest::test]
fn a_departure_frees_its_requests_at_once() {
    let bytes = content(1, 8);
    let mut download = download_of(&bytes, &["a", "b"]);
    download.handle(1, holds("a", &download.clone(), &[0, 1, 2, 3, 4, 5, 6, 7]));
    let actions = download.handle(2, event::Event::Left(instance("a")));
    let to_a = |(to, _): &(event::Source, u32)| *to == source("a");
    expect_that!(requested(&actions).iter().any(to_a), eq(false));
    expect_that!(download.reputation(&instance("a")), none());
}

macro_rules! wrong_chunks {
    ($($case:ident: $chunk:expr, $bytes:expr => $fault:expr;)*) => {$(
        #[googletest::test]
        fn $case() {
            let manifest = manifest_of(&content(1, 2));
            let bytes: &[u8] = $bytes;
            expect_that!(manifest.verify_chunk($chunk, bytes), err(eq($fault)));
        }
    )*};
}

wrong_chunks! {
    a_flipped_bit: 0, &[1, 0, 1, 0] => manifest::ChunkFault::Corrupt;
    a_swapped_chunk: 0, &[1, 1, 0, 1] => manifest::ChunkFault::Corrupt;
    a_truncated_chunk: 0, &[1, 0, 1]
        => manifest::ChunkFault::Length { len_bytes: 3, expected_bytes: 4 };
    a_chunk_with_more: 0, &[1, 0, 1, 1, 0]
        => manifest::ChunkFault::Length { len_bytes: 5, expected_bytes: 4 };
    a_chunk_out_of_range: 2, &[1, 0, 1, 1] => manifest::ChunkFault::Unknown;
}

/// Staged chunks are swapped after their verification, or one is missing.
#[googletest::test]
fn a_version_is_verified_only_with_every_chunk_in_its_place() {
    let bytes = content(1, 3);
    let manifest = manifest_of(&bytes);
    let parts: Vec<&[u8]> = bytes.chunks(CHUNK_BYTES as usize).collect();
    let whole = manifest.verify_version(parts.iter().copied());
    expect_that!(whole.map(|whole| whole.version()), ok(eq(&manifest.version())));
    let swapped = manifest.verify_version([parts[0], parts[2], parts[1]]);
    expect_that!(
        swapped,
        err(matches_pattern!(manifest::VersionError::BadChunk { chunk: eq(&1), .. }))
    );
    let missing = manifest.verify_version([parts[0], parts[1]]);
    expect_that!(missing, err(eq(&manifest::VersionError::Missing { present: 2, expected: 3 })));
    let more = manifest.verify_version(parts.iter().copied().chain([parts[0]]));
    expect_that!(more, err(anything()));
}

/// Versions that differ in content, order, length or chunk length must never share an identity.
#[googletest::test]
fn any_change_is_another_version() {
    let bytes = content(1, 3);
    let base = manifest_of(&bytes).version();
    let mut reordered = bytes.clone();
    reordered.rotate_left(CHUNK_BYTES as usize);
    expect_that!(manifest_of(&reordered).version(), not(eq(base)));
    expect_that!(manifest_of(&bytes[..11]).version(), not(eq(base)));
    let coarser = manifest::Manifest::of_bytes(&bytes, 12).unwrap();
    expect_that!(coarser.version(), not(eq(base)));
    expect_that!(manifest_of(&bytes).version(), eq(base));
}

/// A manifest has a number of hashes that does not match its lengths.
#[googletest::test]
fn a_manifest_whose_counts_differ_is_refused() {
    let data = manifest::ManifestData::from(manifest_of(&content(1, 3)));
    let with = |size_bytes, chunk_bytes| {
        manifest::Manifest::new(manifest::ManifestData { size_bytes, chunk_bytes, ..data.clone() })
    };
    expect_that!(with(13, 4), err(anything()));
    expect_that!(with(8, 4), err(anything()));
    expect_that!(with(0, 4), err(eq(&manifest::ManifestError::Empty)));
    expect_that!(with(12, 0), err(eq(&manifest::ManifestError::Empty)));
    expect_that!(with(9, 4), ok(anything()));
}

/// The owner of a chunk is behind a link that became narrow. If it fetched the chunk from the
/// origin, all others would wait for seconds; the next in rank fetches it at once instead.
#[googletest::test]
fn an_owner_behind_a_narrow_link_leaves_its_origin_fetches_to_the_next() {
    let bytes = content(1, 40);
    let limits = limits::Limits {
        settle_ms: 1,
        downloads_max: 100,
        origin_requests_max: 1_000,
        ..limits::Limits::default()
    };
    let manifest = manifest_of(&bytes);
    let mut download = download::Download::new(peer("me"), manifest, limits, &[]);
    let origin_fetches = |actions: &[event::Action]| {
        requested(actions).iter().filter(|(source, _)| *source == event::Source::Origin).count()
    };
    let mut fetches = 0;
    // All join before the first fetch, as this instance owns everything while it is alone.
    for name in ["a", "b", "c"] {
        fetches += origin_fetches(&download.handle(0, event::Event::Joined(peer(name))));
    }
    fetches += origin_fetches(&download.handle(1, event::Event::Tick));
    let narrow =
        |name: &str, narrow| event::Event::LinkChanged { instance: instance(name), narrow };
    let mut more = 0;
    for name in ["a", "b", "c"] {
        more += origin_fetches(&download.handle(2, narrow(name, true)));
    }
    expect_that!(more, gt(0), "{fetches} were fetched before");
    let me = download.handle(3, narrow("me", true));
    expect_that!(origin_fetches(&me), eq(0));
}
