//! Exit codes of changes that some entry may have taken without an answer, against stand-ins for
//! entries.

use std::{
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net, process, thread,
};

use googletest::prelude::*;

const CHANGE_ID: &str = "change-7";
const SUCCESS: i32 = 0;
const FAILURE: i32 = 1;
const REFUSED: i32 = 3;
const UNKNOWN: i32 = 4;

const ACCEPTED: Reply = Reply::Answer(200, r#"{"outcome":"accepted","revision":7}"#);
const CONFLICT: Reply = Reply::Answer(409, r#"{"outcome":"refused","reason":"conflict"}"#);
const LOST: Reply = Reply::Answer(504, r#"{"outcome":"unknown"}"#);
const NOT_RUN: Reply =
    Reply::Answer(503, r#"{"type":"cut-off","title":"Cut off","status":503,"ran":"did-not-run"}"#);
const MAY_HAVE_RUN: Reply =
    Reply::Answer(504, r#"{"type":"lost","title":"Lost","status":504,"ran":"unknown"}"#);
const UNREADABLE: Reply = Reply::Answer(502, "<html>");

/// What an entry does with a request.
#[derive(Clone, Copy)]
enum Reply {
    /// Reads it and closes the connection.
    Nothing,
    /// Answers with a status and a body.
    Answer(u16, &'static str),
}

/// Starts an entry that replies to one request after the other, the last time again and again. One
/// without replies takes no connection.
fn start(replies: &'static [Reply]) -> String {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    if let Some(last) = replies.last() {
        let mut replies = replies.iter().chain(std::iter::repeat(last));
        thread::spawn(move || {
            for stream in listener.incoming() {
                reply(stream.unwrap(), *replies.next().unwrap());
            }
        });
    }
    address
}

fn reply(stream: net::TcpStream, reply: Reply) {
    let mut reader = BufReader::new(&stream);
    let mut length_bytes = 0;
    let mut line = String::new();
    while reader.read_line(&mut line).unwrap() > 2 {
        if let Some(length) = line.to_lowercase().strip_prefix("content-length:") {
            length_bytes = length.trim().parse().unwrap();
        }
        line.clear();
    }
    reader.read_exact(&mut vec![0; length_bytes]).unwrap();
    if let Reply::Answer(status, body) = reply {
        let length_bytes = body.len();
        let head = format!("HTTP/1.1 {status} -\r\ncontent-length: {length_bytes}\r\n");
        let answer = format!("{head}connection: close\r\n\r\n{body}");
        (&stream).write_all(answer.as_bytes()).unwrap();
    }
}

/// Makes a change over these entries, with further options.
fn change(entries: &[&'static [Reply]], options: &[&str]) -> process::Output {
    let entries: Vec<_> = entries.iter().map(|replies| start(replies)).collect();
    process::Command::new(env!("CARGO_BIN_EXE_ragwortctl"))
        .args(["--token", "secret", "--entry", &entries.join(",")])
        .args(["version", "add", &"a".repeat(64), "--model", "m", "--size-bytes", "1"])
        .args(["--change-id", CHANGE_ID])
        .args(options)
        .output()
        .unwrap()
}

macro_rules! outcomes {
    ($($(#[$guards:meta])* $case:ident: $($replies:expr),+ => $code:expr;)*) => {$(
        $(#[$guards])*
        #[googletest::test]
        fn $case() {
            let ended = change(&[$(const { &$replies }),+], &[]);
            let printed = String::from_utf8_lossy(&ended.stdout);
            let failure = String::from_utf8_lossy(&ended.stderr);
            expect_that!(ended.status.code(), some(eq($code)), "{printed}{failure}");
            let tells_id = printed.contains(CHANGE_ID);
            expect_that!(tells_id, eq($code != FAILURE), "{printed}{failure}");
        }
    )*};
}

outcomes! {
    /// Guards against a change that may be made and is shown as failed, as the last connect was.
    a_lost_answer_before_a_refused_connect_leaves_it_unknown: [Reply::Nothing], [] => UNKNOWN;
    /// Guards against a change that may be made and is shown as one that did not run.
    a_lost_answer_before_one_that_did_not_run_leaves_it_unknown:
        [Reply::Nothing], [NOT_RUN] => UNKNOWN;
    /// Guards against a change that may be made and is shown as failed, as no entry answered.
    a_lost_answer_of_the_only_entry_leaves_it_unknown: [Reply::Nothing] => UNKNOWN;
    /// Guards against an entry's word on an earlier attempt that counts for nothing.
    an_unknown_outcome_before_one_that_did_not_run_leaves_it_unknown:
        [LOST, NOT_RUN], [] => UNKNOWN;
    /// Guards against an error that may have run and is shown as a failure.
    an_error_that_may_have_run_leaves_it_unknown: [MAY_HAVE_RUN] => UNKNOWN;
    /// Guards against an answer of a proxy in between that passes for one of an entry.
    an_unreadable_answer_leaves_it_unknown: [UNREADABLE] => UNKNOWN;
    /// Guards against an unknown outcome where another entry tells what became of the change.
    an_accepted_change_is_settled_after_a_lost_answer: [Reply::Nothing], [ACCEPTED] => SUCCESS;
    /// Guards against a refusal that is taken for an unknown outcome.
    a_refused_change_is_settled_after_a_lost_answer: [Reply::Nothing], [CONFLICT] => REFUSED;
    /// Guards against an entry that could settle the change and is not asked.
    an_entry_after_one_that_did_not_run_is_asked_in_doubt:
        [Reply::Nothing], [NOT_RUN], [ACCEPTED] => SUCCESS;
    /// Guards against an entry that knows the outcome a moment later and is not asked again.
    an_entry_is_asked_again_after_an_unknown_outcome: [LOST, ACCEPTED] => SUCCESS;
    /// Guards against a change that did not run and is shown as one that may be made.
    a_change_that_did_not_run_is_a_failure: [NOT_RUN] => FAILURE;
    /// Guards against a change that was never sent and is shown as one that may be made.
    a_change_without_a_connection_is_a_failure: [], [] => FAILURE;
}

/// Guards against a change in doubt that scripts cannot send again as it was.
#[googletest::test]
fn an_unknown_outcome_names_what_sends_the_change_again() {
    let options = ["--expected-revision", "5", "--output", "json"];
    let ended = change(&[&[Reply::Nothing]], &options);
    expect_that!(ended.status.code(), some(eq(UNKNOWN)));
    let printed = String::from_utf8_lossy(&ended.stdout).into_owned();
    expect_that!(printed, contains_substring("--change-id change-7 --expected-revision 5"));
}
