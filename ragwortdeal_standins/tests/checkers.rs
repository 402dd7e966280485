//! Each checker finds a planted fault, and none finds one in a history that is in order.

use std::{collections, time};

use googletest::prelude::*;
use ragwortdeal_standins::{caller, checkers, engine, history};
use ragwortdeal_wire::operator as wire;

const VERSION: &str = "0123456789abcdef";

fn event(text: &str) -> String {
    format!("data: {}\n\n", serde_json::json!({"choices": [{"text": text}]}))
}

fn completion(prompt: &str, texts: &[String], end: &str) -> history::Completion {
    let body: String = texts.iter().map(|text| event(text)).collect::<String>() + end;
    history::Completion {
        prompt: prompt.to_owned(),
        tokens: 3,
        answer: caller::Answer {
            status: 200,
            version: Some(VERSION.to_owned()),
            body: body.into(),
            broken: false,
            first_byte: time::Duration::ZERO,
            longest_gap: time::Duration::ZERO,
        },
        planned_stop_only: true,
    }
}

fn tokens(version: &str, prompt: &str, count: u64) -> Vec<String> {
    (0..count).map(|token| engine::token_text(version, prompt, token)).collect()
}

const END: &str = "data: [DONE]\n\n";

fn operation(
    key: &str,
    status: u16,
    ran: Option<wire::Ran>,
    body: &str,
) -> history::OperationAnswer {
    history::OperationAnswer {
        key: key.to_owned(),
        status,
        ran,
        body: bytes::Bytes::copy_from_slice(body.as_bytes()),
    }
}

fn accepted(id: &str, revision: u64) -> history::Accepted {
    let labels = wire::Labels([("k".to_owned(), id.to_owned())].into());
    history::Accepted {
        id: id.to_owned(),
        key: "instance/i".to_owned(),
        object: Some(wire::Object::Labels(labels)),
        revision,
        at: time::Duration::from_secs(revision),
    }
}

fn applied(revision: u64, at_s: u64) -> history::Applied {
    let at = time::Duration::from_secs(at_s);
    history::Applied { process: "entry-0".to_owned(), revision, at }
}

fn in_force(accepted: &history::Accepted) -> collections::BTreeMap<String, wire::ObjectView> {
    let object = accepted.object.clone().unwrap();
    let (key, revision) = (accepted.key.clone(), accepted.revision);
    [(key.clone(), wire::ObjectView { key, revision, object })].into()
}

/// A run in which everything holds.
fn good() -> history::History {
    let seconds = time::Duration::from_secs;
    history::History {
        completions: vec![completion("p", &tokens(VERSION, "p", 3), END)],
        operations: vec![
            operation("t-1", 200, None, "{}"),
            operation("t-1", 200, None, "{}"),
            operation("t-2", 503, Some(wire::Ran::DidNotRun), ""),
            operation("t-3", 504, Some(wire::Ran::Unknown), ""),
        ],
        effects: [("t-1".to_owned(), 1), ("t-3".to_owned(), 1)].into(),
        partial_loads: 0,
        applied: vec![applied(1, 1), applied(2, 2), applied(2, 40)],
        accepted: vec![accepted("c-1", 1), accepted("c-2", 2)],
        final_objects: [("entry-0".to_owned(), in_force(&accepted("c-2", 2)))].into(),
        leaving: vec![history::Leaving {
            instance: "engine-0".to_owned(),
            at: seconds(5),
            begun: vec![seconds(4), seconds(6)],
        }],
    }
}

#[googletest::test]
fn a_history_that_is_in_order_has_no_violation() {
    expect_that!(checkers::check(&good()), is_empty());
}

macro_rules! planted {
    ($($case:ident: $checker:ident, $plant:expr;)*) => {$(
        #[googletest::test]
        fn $case() {
            let mut history = good();
            let plant: fn(&mut history::History) = $plant;
            plant(&mut history);
            expect_that!(checkers::$checker(&history), not(is_empty()));
            expect_that!(checkers::check(&history), not(is_empty()));
        }
    )*};
}

planted! {
    a_partial_load: whole_versions, |history| history.partial_loads = 1;
    an_answer_of_two_versions: whole_versions, |history| {
        let mut texts = tokens(VERSION, "p", 2);
        texts.extend(tokens("fedcba9876543210", "p", 1));
        history.completions.push(completion("p", &texts, END));
    };
    a_short_answer_with_an_end_mark: whole_answers, |history| {
        history.completions.push(completion("p", &tokens(VERSION, "p", 2), END));
    };
    a_cut_answer_without_an_error: whole_answers, |history| {
        history.completions.push(completion("p", &tokens(VERSION, "p", 2), ""));
    };
    an_answer_to_another_request: whole_answers, |history| {
        history.completions.push(completion("p", &tokens(VERSION, "q", 3), END));
    };
    a_refusal_as_not_run_of_what_ran: true_refusals, |history| {
        history.effects.insert("t-2".to_owned(), 1);
    };
    an_operation_that_ran_twice: at_most_once, |history| {
        history.effects.insert("t-1".to_owned(), 2);
    };
    two_answers_to_one_operation: at_most_once, |history| {
        history.operations.push(operation("t-1", 200, None, "{\"other\":1}"));
    };
    an_answer_to_what_did_not_run: at_most_once, |history| {
        history.operations.push(operation("t-9", 200, None, "{}"));
    };
    new_work_for_a_leaving_upstream: no_work_for_the_leaving, |history| {
        history.leaving[0].begun.push(time::Duration::from_secs(9));
    };
    a_planned_stop_that_cut_a_request: stops_cut_nothing, |history| {
        history.completions.push(completion("p", &tokens(VERSION, "p", 2), "event: error\n\n"));
    };
    a_revision_that_falls: changes_in_force, |history| history.applied.push(applied(1, 41));
    an_accepted_change_that_is_lost: changes_in_force, |history| {
        history.accepted.push(accepted("c-3", 3));
    };
    a_change_that_is_not_in_force_in_time: changes_in_force, |history| {
        history.accepted.push(accepted("c-3", 3));
        history.final_objects.clear();
        history.applied.push(applied(2, 60));
    };
}
