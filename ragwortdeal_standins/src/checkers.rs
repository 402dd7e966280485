//! One checker for each line of what must always hold, over the history of a run.

use std::{collections, time};

use ragwortdeal_wire::operator as wire;

use crate::{engine, history};

/// How long a leaving upstream may still get new work.
pub const LEAVING: time::Duration = time::Duration::from_secs(3);

/// Allowance for the clocks of the run: the stop is noted before the process hears of it.
pub const NOTING: time::Duration = time::Duration::from_millis(500);

/// How long an accepted change may take to be in force everywhere.
pub const IN_FORCE: time::Duration = time::Duration::from_secs(18);

/// Something that must always hold did not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The line that was broken.
    pub line: &'static str,
    /// What was seen.
    pub seen: String,
}

fn violation(line: &'static str, seen: impl Into<String>) -> Violation {
    Violation { line, seen: seen.into() }
}

/// All checkers.
pub fn check(history: &history::History) -> Vec<Violation> {
    let checkers = [
        whole_versions,
        whole_answers,
        true_refusals,
        at_most_once,
        no_work_for_the_leaving,
        stops_cut_nothing,
        changes_in_force,
    ];
    checkers.iter().flat_map(|checker| checker(history)).collect()
}

/// No instance serves partial or mixed weights.
pub fn whole_versions(history: &history::History) -> Vec<Violation> {
    let line = "no partial or mixed weights";
    let mut found = Vec::new();
    if history.partial_loads > 0 {
        found.push(violation(line, format!("{} partial loads", history.partial_loads)));
    }
    for completion in &history.completions {
        let text = completion.answer.text();
        let version = |token: &str| token.split('/').next().map(str::to_owned);
        let versions: collections::BTreeSet<_> =
            text.split_whitespace().filter_map(version).collect();
        if versions.len() > 1 {
            found.push(violation(line, format!("{}: {versions:?}", completion.prompt)));
        }
    }
    found
}

/// Every caller gets the whole answer to its own request, or a typed error.
pub fn whole_answers(history: &history::History) -> Vec<Violation> {
    let line = "whole answers to the caller's own request";
    let wrong = |completion: &&history::Completion| {
        let answer = &completion.answer;
        if answer.status == 200 && answer.ended() && !answer.broken {
            let version = answer.version.clone().unwrap_or_default();
            let expected: String = (0..completion.tokens)
                .map(|token| engine::token_text(&version, &completion.prompt, token))
                .collect();
            return answer.text() != expected;
        }
        let typed = answer.problem().is_some()
            || String::from_utf8_lossy(&answer.body).contains("event: error");
        !answer.broken && !typed
    };
    let wrong = history.completions.iter().filter(wrong);
    wrong.map(|completion| violation(line, format!("{completion:?}"))).collect()
}

/// When a refusal says that a request did not run, it did not.
pub fn true_refusals(history: &history::History) -> Vec<Violation> {
    let line = "a refusal as not run is true";
    let mut answers: collections::BTreeMap<&str, Vec<&history::OperationAnswer>> =
        collections::BTreeMap::new();
    for answer in &history.operations {
        answers.entry(&answer.key).or_default().push(answer);
    }
    let refused = |answers: &[&history::OperationAnswer]| {
        answers.iter().all(|answer| answer.ran == Some(wire::Ran::DidNotRun))
    };
    let ran = |key: &str| history.effects.get(key).is_some_and(|&count| count > 0);
    let untrue = answers.iter().filter(|(key, answers)| refused(answers) && ran(key));
    untrue.map(|(key, _)| violation(line, format!("{key} ran"))).collect()
}

/// An operation takes effect at most once, and all its answers are the same.
pub fn at_most_once(history: &history::History) -> Vec<Violation> {
    let line = "operations happen at most once";
    let twice = history.effects.iter().filter(|(_, count)| **count > 1);
    let mut found: Vec<Violation> =
        twice.map(|(key, count)| violation(line, format!("{key} ran {count} times"))).collect();
    let mut first: collections::BTreeMap<&str, &bytes::Bytes> = collections::BTreeMap::new();
    for answer in history.operations.iter().filter(|answer| answer.status == 200) {
        let known = first.entry(&answer.key).or_insert(&answer.body);
        if **known != answer.body {
            found.push(violation(line, format!("{} has two answers", answer.key)));
        }
        if !history.effects.contains_key(&answer.key) {
            found.push(violation(line, format!("{} was answered and did not run", answer.key)));
        }
    }
    found
}

/// An upstream that is leaving receives no new work after a few seconds.
pub fn no_work_for_the_leaving(history: &history::History) -> Vec<Violation> {
    let line = "no new work for a leaving upstream";
    let late = |leaving: &history::Leaving| {
        let last = leaving.at + LEAVING + NOTING;
        leaving.begun.iter().filter(|begun| **begun > last).count()
    };
    let found = history.leaving.iter().filter(|leaving| late(leaving) > 0);
    found
        .map(|leaving| violation(line, format!("{}: {} late", leaving.instance, late(leaving))))
        .collect()
}

/// Every planned stop cuts off no request in progress.
pub fn stops_cut_nothing(history: &history::History) -> Vec<Violation> {
    let line = "planned stops cut off nothing";
    let cut = history.completions.iter().filter(|completion| {
        let answer = &completion.answer;
        let begun = answer.status == 200;
        completion.planned_stop_only && begun && (answer.broken || !answer.ended())
    });
    cut.map(|completion| violation(line, completion.prompt.clone())).collect()
}

/// An accepted change is in force everywhere within seconds and never reverts.
pub fn changes_in_force(history: &history::History) -> Vec<Violation> {
    let mut found = reverts(history);
    found.extend(lost_changes(history));
    found.extend(slow_changes(history));
    found
}

fn reverts(history: &history::History) -> Vec<Violation> {
    let line = "accepted changes never revert";
    let mut highest: collections::BTreeMap<&str, u64> = collections::BTreeMap::new();
    let mut found = Vec::new();
    for applied in &history.applied {
        let known = highest.entry(&applied.process).or_default();
        if applied.revision < *known {
            let seen = format!("{} from {known} to {}", applied.process, applied.revision);
            found.push(violation(line, seen));
        }
        *known = applied.revision.max(*known);
    }
    found
}

fn lost_changes(history: &history::History) -> Vec<Violation> {
    let line = "accepted changes stay";
    let mut last: collections::BTreeMap<&str, &history::Accepted> = collections::BTreeMap::new();
    for accepted in &history.accepted {
        let known = last.entry(&accepted.key).or_insert(accepted);
        if accepted.revision > known.revision {
            *known = accepted;
        }
    }
    let mut found = Vec::new();
    for (entry, objects) in &history.final_objects {
        for (key, accepted) in &last {
            let held = objects.get(*key).map(|view| &view.object);
            if held != accepted.object.as_ref() {
                found.push(violation(line, format!("{key} at {entry} lacks {}", accepted.id)));
            }
        }
    }
    found
}

fn slow_changes(history: &history::History) -> Vec<Violation> {
    let line = "accepted changes are in force everywhere in time";
    let processes: collections::BTreeSet<&str> =
        history.applied.iter().map(|applied| applied.process.as_str()).collect();
    let mut found = Vec::new();
    for process in processes {
        let seen: Vec<_> =
            history.applied.iter().filter(|applied| applied.process == process).collect();
        let late = history.accepted.iter().filter(|accepted| {
            let in_time = accepted.at + IN_FORCE;
            let after = seen.iter().find(|applied| applied.at >= in_time);
            after.is_some_and(|applied| applied.revision < accepted.revision)
        });
        found.extend(late.map(|one| violation(line, format!("{} at {process}", one.id))));
    }
    found
}
