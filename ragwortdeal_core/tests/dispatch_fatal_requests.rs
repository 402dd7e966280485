//! Which requests are isolated by the ends of upstreams under them, and how often they are sent
//! meanwhile.

use std::net;

use googletest::prelude::*;
use ragwortdeal_core::dispatch::{
    isolation::{
        copies::{Admission, AllCopies},
        evidence, fingerprint,
        request_ends::{Present, RequestCharge, RequestEnds},
        trials,
    },
    prompt,
};

const VOTER: net::Ipv4Addr = net::Ipv4Addr::new(10, 0, 0, 1);
const ENTRIES: [net::Ipv4Addr; 2] =
    [net::Ipv4Addr::new(10, 0, 1, 1), net::Ipv4Addr::new(10, 0, 1, 2)];

fn request(name: &str) -> prompt::Part {
    let identity = fingerprint::Identity { path: name, ..fingerprint::Identity::default() };
    fingerprint::Key::new("secret").fingerprint(&identity)
}

fn boot(upstream: usize) -> evidence::Boot {
    evidence::Boot { instance: format!("upstream-{upstream}").into(), born_ms: 1 }
}

/// Ends of upstreams: when, which one, and the requests there.
type Ends<'e> = &'e [(u64, usize, &'e [&'e str])];

/// Names among `names` that are isolated after these ends, with whole answers in between.
/// Requests that are answered whole are known to be borne later on.
fn isolated<'n>(ends: Ends<'_>, answers: &[(u64, &str)], names: &[&'n str]) -> Vec<&'n str> {
    let mut requests = RequestEnds::default();
    let mut isolated = Vec::new();
    for now_ms in 0..10_000 {
        for (_, upstream, there) in ends.iter().filter(|(at_ms, ..)| *at_ms == now_ms) {
            let present = |name: &&str| Present {
                request: request(name),
                borne: answers.iter().any(|(at_ms, answered)| *at_ms < now_ms && answered == name),
            };
            let there: Vec<_> = there.iter().map(present).collect();
            requests.record_end(&boot(*upstream), &there, now_ms);
            // Another entry tells of the same end.
            requests.record_end(&boot(*upstream), &there, now_ms + 30);
        }
        for (_, name) in answers.iter().filter(|(at_ms, _)| *at_ms == now_ms) {
            requests.record_proof(request(name).id, now_ms);
        }
        requests.settle(now_ms);
        while let Some((fatal, _)) = requests.verdict() {
            isolated.extend(names.iter().find(|name| request(name) == fatal));
            requests.record_isolated(fatal.id);
        }
    }
    isolated
}

macro_rules! isolated_requests {
    ($($(#[$doc:meta])* $case:ident: $ends:expr, $answers:expr => $isolated:expr;)*) => {$(
        $(#[$doc])*
        #[googletest::test]
        fn $case() {
            let expected: Vec<&str> = $isolated;
            expect_that!(isolated($ends, $answers, &["f", "a", "b", "c"]), eq(&expected));
        }
    )*};
}

isolated_requests! {
    /// Guards against a request that ends one upstream after the other.
    three_ends_isolate_a_request:
        &[(0, 1, &["f", "a"]), (400, 2, &["f", "b"]), (800, 3, &["f", "c"])], &[] => vec!["f"];
    three_ends_at_once_isolate_a_request:
        &[(0, 1, &["f"]), (0, 2, &["f"]), (1, 3, &["f"])], &[] => vec!["f"];
    an_upstream_that_starts_again_unannounced_ends_anew:
        &[(0, 1, &["f"]), (450, 1, &["f"]), (900, 1, &["f"])], &[] => vec!["f"];
    /// Guards against sound requests that are isolated after too few ends.
    two_ends_isolate_nothing: &[(0, 1, &["a"]), (400, 2, &["a"])], &[] => vec![];
    /// Guards against sound requests under which all upstreams lose power together.
    ends_together_isolate_nothing: &[
        (0, 1, &["a"]), (20, 2, &["b"]), (40, 3, &[]),
        (2_000, 1, &["b"]), (2_020, 2, &["a"]), (2_040, 3, &["c"]),
        (4_000, 1, &["a"]), (4_020, 2, &["b"]), (4_040, 3, &["c"]),
        (6_000, 1, &["b"]), (6_020, 2, &["a"]), (6_040, 3, &["c"]),
    ], &[] => vec![];
    /// Guards against a request that many callers send and that upstreams answer between ends.
    whole_answers_clear_the_ends_before: &[
        (0, 1, &["a"]), (400, 2, &["a"]), (800, 3, &["a"]), (1_200, 4, &["a"]),
    ], &[(500, "a"), (900, "a")] => vec![];
    /// Guards against a request of many callers that was at each of the upstreams that ended
    /// together.
    ends_together_count_once_against_a_request_that_was_answered: &[
        (1_000, 1, &["a"]), (1_010, 2, &["a"]), (1_020, 3, &["a"]), (1_030, 4, &["a"]),
        (3_000, 1, &["a"]), (3_010, 2, &["a"]), (3_020, 3, &["a"]), (3_030, 4, &["a"]),
    ], &[(500, "a")] => vec![];
    /// Guards against a request that upstreams bore before and that ends them now.
    a_request_that_was_answered_once_is_isolated: &[
        (1_000, 1, &["f"]), (2_000, 2, &["f"]), (3_000, 3, &["f"]),
    ], &[(500, "f")] => vec!["f"];
    /// Guards against a request that hides behind outages.
    ends_apart_count_beside_outages: &[
        (0, 1, &["f"]), (20, 2, &["b"]), (40, 3, &["c"]),
        (1_000, 4, &["f"]), (2_000, 5, &["f"]), (3_000, 6, &["f"]),
    ], &[] => vec!["f"];
}

fn told(ends: u32) -> Vec<RequestCharge> {
    vec![RequestCharge { request: request("f").id, ends }]
}

/// Guards against a second copy that is sent while the last trial is under way.
#[googletest::test]
fn one_copy_is_tried_after_two_ends() {
    let fatal = request("f").id;
    let mut trials = trials::Trials::default();
    let mut entries = ENTRIES.map(|entry| (entry, AllCopies::default()));
    for (entry, copies) in &mut entries {
        copies.record_charges(VOTER, &told(2), 1_000);
        expect_that!(copies.admission(fatal, 0, false, 1_000), eq(Admission::AskTrial));
        if trials.grant(fatal, *entry, 1_000) {
            copies.record_grant(fatal);
        }
    }
    let admissions = entries.each_mut().map(|(_, copies)| copies.admission(fatal, 0, false, 1_010));
    expect_that!(admissions, eq([Admission::Send, Admission::Wait]));
    entries[0].1.begin(fatal);
    expect_that!(entries[0].1.admission(fatal, 0, false, 1_010), eq(Admission::Wait));
    expect_that!(entries[0].1.end(fatal, 1_020), eq(true));
    trials.end(fatal, ENTRIES[0]);
    expect_that!(trials.grant(fatal, ENTRIES[1], 1_030), eq(true));
}

/// Guards against requests that are refused for good before voters have compared their ends.
#[googletest::test]
fn three_ends_are_judged_before_a_copy_is_refused() {
    let request = request("f").id;
    let mut copies = AllCopies::default();
    copies.record_charges(VOTER, &told(3), 1_000);
    expect_that!(copies.admission(request, 0, false, 1_100), eq(Admission::Wait));
    expect_that!(copies.clone().admission(request, 0, false, 1_400), eq(Admission::Refuse));
    copies.record_charges(VOTER, &told(0), 1_200);
    expect_that!(copies.admission(request, 0, false, 1_210), eq(Admission::Send));
}

/// Guards against an entry without voters that sends copies on and on.
#[googletest::test]
fn an_entry_alone_sends_one_copy_after_two_ends_and_none_after_three() {
    let request = request("f").id;
    let mut copies = AllCopies::default();
    copies.record_doubt(request, 0);
    expect_that!(copies.admission(request, 2, true, 10), eq(Admission::Wait));
    copies.record_found(request, true, 12);
    expect_that!(copies.admission(request, 2, true, 50), eq(Admission::Send));
    copies.begin(request);
    expect_that!(copies.admission(request, 2, true, 60), eq(Admission::Wait));
    copies.end(request, 70);
    copies.forget_needless(5_000);
    expect_that!(copies.admission(request, 3, true, 5_000), eq(Admission::Refuse));
}
