//! One check for each promise, over the history of a run.

mod asks;
pub mod budget;
pub mod fatal;
pub mod weights;

use std::collections;

use ragwortdeal_standins::fleet::engine;

use crate::history::{End, History, Kind, Sent};

/// Milliseconds within which a document is in force.
pub const CONFIGURATION_MS: u64 = 2_000;
/// Milliseconds within which weights that were named have superseded the older ones.
pub const WEIGHTS_MS: u64 = 8_000;
/// Milliseconds within which an engine that leaves gets nothing more.
pub const DRAIN_MS: u64 = 2_000;
/// Events of each stream.
pub const EVENTS: u64 = 12;
/// Cut requests of undisturbed entries that are borne where no work was planned.
const CUTS_BORNE: usize = 3;
/// Refusals for lack of a key or a route, by entries out of touch, that are borne.
const DENIALS_BORNE: usize = 10;
/// Statuses that promise that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Memory that an entry may take in KiB.
const ENTRY_MEMORY_MAX_KIB: u64 = 390 << 10;
/// One in this many requests has to be served after the last disturbance.
const SERVED_PART: usize = 4;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
}

/// A promise and the check that finds where it was broken.
pub type Check = (&'static str, fn(&History) -> Vec<String>);

/// All checks.
pub const CHECKS: [Check; 18] = [
    ("a request that must not repeat never runs twice", twice),
    ("what was refused as not run has not run", refused_ran),
    ("an answer belongs to its request and is whole", mixed),
    ("engines run only what callers sent", unasked),
    ("a request runs only where a document in force allows it", misrouted),
    ("no request begins on superseded weights", superseded),
    ("an engine that leaves gets nothing after the bound", drained),
    ("an acknowledged document is never lost", documents),
    ("what documents allow is not denied", denied),
    ("a request that was passed on is answered", lost),
    ("requests are served again after the last disturbance", recovered),
    ("an engine that names a rate gets little more", asks::limited),
    ("an engine that asked for a pause gets next to nothing", asks::paused),
    ("an engine that says that it leaves gets nothing after the bound", asks::left),
    ("requests are sent again no more often than the budget allows", budget::repeated),
    ("a request under which three engines ended is sent to no other one", fatal::sent_on),
    ("an entry stays within its memory", memory),
    ("a request runs on all chunks of the version of weights by which it runs", weights::mixed),
];

/// Runs all checks.
pub fn check(history: &History) -> Vec<Violation> {
    let one = |(promise, check): &Check| {
        check(history).into_iter().map(|seen| Violation { promise, seen }).collect::<Vec<_>>()
    };
    CHECKS.iter().flat_map(one).collect()
}

/// Requests that ran while their entry was in touch for the longest bound: what the checks on time
/// judge. Few of them mean that a run shows little.
pub fn judged(history: &History) -> usize {
    let judged = |sent: &Sent, at_ms| history.in_touch_since(sent.entry, at_ms) <= at_ms;
    history.runs().filter(|(run, sent)| judged(sent, run.at_ms)).count()
}

fn twice(history: &History) -> Vec<String> {
    let mut runs = collections::BTreeMap::<&str, Vec<&str>>::new();
    for (run, sent) in history.runs() {
        if sent.kind == Kind::Transfer {
            runs.entry(&run.id).or_default().push(&run.engine);
        }
    }
    runs.retain(|_, engines| engines.len() > 1);
    runs.into_iter().map(|(id, engines)| format!("{id} ran at {engines:?}")).collect()
}

fn refused_ran(history: &History) -> Vec<String> {
    let refused = |sent: &Sent| {
        let status = sent.end.as_ref().map(|end| end.status);
        status.filter(|status| sent.kind == Kind::Transfer && NOT_RUN.contains(status))
    };
    let broken = history.runs().filter_map(|(run, sent)| Some((run, sent, refused(sent)?)));
    broken
        .map(|(run, sent, status)| {
            let (id, entry, engine) = (&run.id, sent.entry, &run.engine);
            format!("{id} was refused with {status} by entry {entry} and ran at {engine}")
        })
        .collect()
}

/// The body that an engine gives to a request.
fn whole_body(id: &str, sent: &Sent) -> Vec<u8> {
    let len = sent.path.split_once("bytes=").and_then(|(_, len)| len.parse().ok());
    match sent.kind {
        Kind::Stream => engine::whole_stream(EVENTS).into_bytes(),
        Kind::Read | Kind::Transfer => engine::long_body(id, len.unwrap_or(0)).to_vec(),
    }
}

fn mixed(history: &History) -> Vec<String> {
    let mut runs = collections::BTreeSet::new();
    history.runs().for_each(|(run, _)| _ = runs.insert((run.id.as_str(), run.engine.as_str())));
    let fault = |id: &str, sent: &Sent, end: &End| {
        let body = whole_body(id, sent);
        let Some(signer) = end.signer.as_deref() else {
            return Some("bears no engine's signature");
        };
        let fits = body.starts_with(&end.body) && (!end.whole || end.body.len() == body.len());
        match () {
            () if end.echo.as_deref() != Some(id) => Some("belongs to another request"),
            () if !runs.contains(&(id, signer)) => Some("is signed by an engine that ran it not"),
            () if !fits => Some("has another body than the engine's"),
            () => None,
        }
    };
    let ended = history.sent.iter().filter_map(|(id, sent)| Some((id, sent, sent.end.as_ref()?)));
    let known = ended.filter(|(_, _, end)| end.at_ms < history.taken_ms);
    let served = known.filter(|(_, _, end)| (200..300).contains(&end.status));
    served
        .filter_map(|(id, sent, end)| {
            let fault = fault(id, sent, end)?;
            Some(format!("answer to {id} by entry {} {fault}", sent.entry))
        })
        .collect()
}

fn unasked(history: &History) -> Vec<String> {
    let changed = |id: &str, path: &str| history.sent.get(id).is_none_or(|sent| sent.path != path);
    let broken = history.arrived.iter().filter(|it| changed(&it.id, &it.path));
    broken.map(|it| format!("{} ran {} {:?}", it.engine, it.id, it.path)).collect()
}

fn misrouted(history: &History) -> Vec<String> {
    let mut found = Vec::new();
    for (run, sent) in history.runs() {
        let in_force = |acked_ms: u64| {
            sent.at_ms > acked_ms + CONFIGURATION_MS
                && history.is_over(acked_ms, CONFIGURATION_MS, sent.entry, sent.at_ms)
        };
        let acked = history.documents.iter().filter(|(_, it)| it.acked_ms.is_some_and(in_force));
        let oldest = acked.map(|(version, _)| *version).max().unwrap_or(0);
        let mut allowed: collections::BTreeSet<&str> = match sent.kind {
            Kind::Stream => [("models")].into(),
            Kind::Transfer => [("ledger")].into(),
            Kind::Read => [].into(),
        };
        if sent.kind == Kind::Read {
            let valid = history.documents.range(oldest..).filter(|(_, it)| it.valid);
            allowed.extend(valid.map(|(_, it)| it.reads));
        }
        if !allowed.contains(run.service.as_str()) {
            let (id, service, entry) = (&run.id, &run.service, sent.entry);
            found.push(format!("{id} by entry {entry} ran at {service}, {oldest} is in force"));
        }
    }
    found
}

fn superseded(history: &History) -> Vec<String> {
    let mut found = Vec::new();
    for (run, sent) in history.runs().filter(|(_, sent)| sent.kind == Kind::Stream) {
        let ran_on = run.ran_on.unwrap_or(0);
        let mut newer = history.named.range(ran_on + 1..);
        let over = |acked_ms: u64| history.is_over(acked_ms, WEIGHTS_MS, sent.entry, run.at_ms);
        if let Some((version, acked_ms)) = newer.find(|(_, acked_ms)| over(**acked_ms)) {
            let (id, engine, entry, at_ms) = (&run.id, &run.engine, sent.entry, run.at_ms);
            found.push(format!(
                "{id} by entry {entry} began at {engine} on {ran_on} at {at_ms} ms, {version} was \
                 acknowledged at {acked_ms} ms"
            ));
        }
    }
    found
}

fn drained(history: &History) -> Vec<String> {
    let late = history.runs().filter(|(run, sent)| {
        let left_ms = history.leaving.get(&run.engine);
        left_ms.is_some_and(|left_ms| history.is_over(*left_ms, DRAIN_MS, sent.entry, run.at_ms))
    });
    late.map(|(run, sent)| {
        format!("{} by entry {} reached {} late", run.id, sent.entry, run.engine)
    })
    .collect()
}

fn documents(history: &History) -> Vec<String> {
    let mut found = Vec::new();
    for read in &history.read_back {
        let due = |acked_ms: u64| acked_ms + CONFIGURATION_MS < read.asked_ms;
        let held = history.documents.iter().filter(|(_, it)| it.acked_ms.is_some_and(due));
        let held = held.map(|(version, _)| *version).max().unwrap_or(0);
        let (version, asked_ms) = (read.version, read.asked_ms);
        if version < held {
            found.push(format!("{version} was read at {asked_ms} ms, {held} was acknowledged"));
        }
        if !read.as_sent {
            found.push(format!("{version}, read at {asked_ms} ms, is not what was sent"));
        }
    }
    for (version, document) in &history.documents {
        match (document.valid, document.acked_ms, document.refused) {
            (true, _, Some(status)) => found.push(format!("{version} was refused with {status}")),
            (false, Some(_), _) => found.push(format!("{version} is invalid and acknowledged")),
            _ => (),
        }
    }
    found
}

fn denied(history: &History) -> Vec<String> {
    let denied = |sent: &Sent| matches!(sent.end, Some(End { status: 400..=407, .. }));
    let denied = history.sent.iter().filter(|(_, sent)| denied(sent));
    let in_touch = |sent: &Sent| history.in_touch_since(sent.entry, sent.at_ms) <= sent.at_ms;
    let (near, far): (Vec<_>, Vec<_>) = denied.partition(|(_, sent)| in_touch(sent));
    let far = if far.len() > DENIALS_BORNE { far } else { Vec::new() };
    let denied = near.into_iter().chain(far);
    denied.map(|(id, sent)| format!("{id} was denied by entry {}", sent.entry)).collect()
}

fn lost(history: &History) -> Vec<String> {
    let mut ran = collections::BTreeSet::new();
    history.runs().for_each(|(run, _)| _ = ran.insert(run.id.as_str()));
    let cut = |end: &End| !end.gave_up && (end.status == 0 || !end.whole);
    let mut planned = Vec::new();
    let mut unplanned = Vec::new();
    for (id, sent) in &history.sent {
        let Some(end) = sent.end.as_ref().filter(|end| cut(end) && ran.contains(id.as_str()))
        else {
            continue;
        };
        if history.unharmed_since(sent.entry, end.at_ms) > sent.at_ms {
            continue;
        }
        let seen = format!("{id} ran, entry {} cut it off at {} ms", sent.entry, end.at_ms);
        let beside = history
            .planned
            .iter()
            .any(|it| it.entry == sent.entry && (it.from_ms..it.to_ms).contains(&end.at_ms));
        if beside { planned.push(seen) } else { unplanned.push(seen) }
    }
    if unplanned.len() > CUTS_BORNE {
        planned.extend(unplanned);
    }
    planned
}

fn recovered(history: &History) -> Vec<String> {
    let Some(from_ms) = history.recovered_ms else {
        return Vec::new();
    };
    let mut found = Vec::new();
    for kind in [Kind::Read, Kind::Transfer, Kind::Stream] {
        let late = history.sent.values().filter(|it| it.kind == kind && it.at_ms >= from_ms);
        let ends: Vec<_> = late.filter_map(|it| it.end.as_ref()).collect();
        let served = ends.iter().filter(|end| end.status == 200 && end.whole).count();
        if ends.is_empty() || served * SERVED_PART < ends.len() {
            found.push(format!("{served} of {} requests are served, {kind:?}", ends.len()));
        }
    }
    found
}

fn memory(history: &History) -> Vec<String> {
    let over = history.memory.iter().filter(|(_, kib)| *kib > ENTRY_MEMORY_MAX_KIB);
    over.map(|(entry, kib)| format!("entry {entry} takes {kib} KiB")).collect()
}
