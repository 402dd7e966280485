//! Each check finds what it is there for, and is silent on a run that kept its promises.

use bytes::Bytes;
use googletest::prelude::*;
use ragwortdeal_soak::{
    checks,
    history::{Arrived, Document, End, History, Kind, Planned, ReadBack, Sent, Who},
    regressions,
};
use ragwortdeal_standins::fleet::{engine, origin};

const ENTRY: u8 = 10;
const PLACE: u8 = 20;

/// A request that is answered as it should be.
fn request(history: &mut History, id: &str, kind: Kind, at_ms: u64) {
    let (path, service, body) = match kind {
        Kind::Read => ("/read/one?bytes=40", "ledger", engine::long_body(id, 40)),
        Kind::Transfer => ("/transfer/one?bytes=9", "ledger", engine::long_body(id, 9)),
        Kind::Stream => ("/stream/one", "models", engine::whole_stream(checks::EVENTS).into()),
    };
    let engine = format!("{service}-1");
    let end = End {
        at_ms: at_ms + 20,
        status: 200,
        echo: Some(id.to_owned()),
        signer: Some(engine.clone()),
        body,
        whole: true,
        gave_up: false,
    };
    let path = path.to_owned();
    let sent = Sent { kind, path: path.clone(), entry: ENTRY, at_ms, end: Some(end) };
    history.sent.insert(id.to_owned(), sent);
    run(history, id, &engine, service, at_ms + 5);
}

fn run(history: &mut History, id: &str, engine: &str, service: &str, at_ms: u64) {
    let path = history.sent.get(id).map_or("/none".to_owned(), |sent| sent.path.clone());
    history.arrived.push(Arrived {
        id: id.to_owned(),
        path,
        engine: engine.to_owned(),
        service: service.to_owned(),
        at_ms,
        ran_on: Some(1),
        // As on engines whose weights were loaded in the run.
        ran_on_chunks: if service == "models" { origin::hashes(1) } else { Vec::new() },
        place: PLACE,
        asked: engine::Asks::default(),
    });
}

/// A run of some seconds in which every promise was kept.
fn kept() -> History {
    let mut history = History { taken_ms: u64::MAX, ..History::default() };
    let document = |reads| Document { reads, valid: true, acked_ms: Some(0), refused: None };
    history.documents.insert(1, document("ledger"));
    history.named.insert(1, 0);
    for number in 0..40 {
        let at_ms = 4_000 + number * 100;
        request(&mut history, &format!("read-{number}"), Kind::Read, at_ms);
        request(&mut history, &format!("transfer-{number}"), Kind::Transfer, at_ms);
        request(&mut history, &format!("stream-{number}"), Kind::Stream, at_ms);
    }
    history.read_back.push(ReadBack { asked_ms: 5_000, version: 1, as_sent: true });
    history.recovered_ms = Some(4_000);
    history
}

fn end<'h>(history: &'h mut History, id: &str) -> &'h mut End {
    history.sent.get_mut(id).unwrap().end.as_mut().unwrap()
}

/// What the checks find once a run was spoilt.
fn found(spoil: impl FnOnce(&mut History)) -> Vec<&'static str> {
    let mut history = kept();
    spoil(&mut history);
    let mut promises: Vec<_> = checks::check(&history).into_iter().map(|it| it.promise).collect();
    promises.dedup();
    promises
}

fn promise(number: usize) -> Vec<&'static str> {
    vec![checks::CHECKS[number].0]
}

#[googletest::test]
fn nothing_is_found_where_all_promises_were_kept() {
    expect_that!(found(|_| ()), is_empty());
    expect_that!(checks::judged(&kept()), eq(120));
}

#[googletest::test]
fn a_transfer_that_runs_twice_is_found() {
    let twice = |history: &mut History| run(history, "transfer-1", "ledger-2", "ledger", 5_000);
    expect_that!(found(twice), eq(&promise(0)));
    let read = |history: &mut History| run(history, "read-1", "ledger-2", "ledger", 5_000);
    expect_that!(found(read), is_empty());
}

#[googletest::test]
fn a_refusal_of_what_ran_is_found() {
    for status in [408, 421, 429, 503] {
        let refuse = |history: &mut History| end(history, "transfer-1").status = status;
        let found = found(refuse);
        expect_that!(found, contains(eq(&checks::CHECKS[1].0)));
    }
}

#[googletest::test]
fn answers_that_are_spoilt_are_found() {
    let spoils: [fn(&mut End); 7] = [
        |end| end.echo = Some("another".to_owned()),
        |end| end.echo = None,
        |end| end.signer = None,
        |end| end.signer = Some("models-7".to_owned()),
        |end| end.body = Bytes::from_static(b"other bytes"),
        |end| end.body = end.body.slice(..end.body.len() - 1),
        |end| end.body = [&end.body[..], b"more"].concat().into(),
    ];
    for (number, spoil) in spoils.iter().enumerate() {
        for id in ["read-1", "stream-1", "transfer-1"] {
            let found = found(|history| spoil(end(history, id)));
            expect_that!(found, eq(&promise(2)), "spoilt by {number}, {id}");
        }
    }
}

/// A piece is missing, or comes twice.
#[googletest::test]
fn streams_with_other_events_are_found() {
    let events = |numbers: &[u64]| numbers.iter().map(|it| engine::event(*it)).collect::<String>();
    for numbers in [&[1, 3][..], &[1, 2, 2]] {
        let found = found(|history| {
            let end = end(history, "stream-1");
            end.body = events(numbers).into();
            end.whole = false;
        });
        expect_that!(found, eq(&promise(2)));
    }
}

#[googletest::test]
fn requests_that_nobody_sent_are_found() {
    let unknown = |history: &mut History| run(history, "smuggled", "ledger-1", "ledger", 5_000);
    expect_that!(found(unknown), eq(&promise(3)));
    let changed = |history: &mut History| history.arrived[0].path = "/read/two".to_owned();
    expect_that!(found(changed), eq(&promise(3)));
}

#[googletest::test]
fn a_service_that_no_document_allows_is_found() {
    let elsewhere = |history: &mut History| run(history, "read-1", "archive-1", "archive", 4_200);
    expect_that!(found(elsewhere), eq(&promise(4)));
}

#[googletest::test]
fn a_superseded_document_is_found_once_its_time_is_over() {
    let change = |acked_ms: u64| {
        move |history: &mut History| {
            let (acked_ms, reads) = (Some(acked_ms), "ledger-b");
            let newer = Document { reads, valid: true, acked_ms, refused: None };
            history.documents.insert(2, newer);
            history.read_back.clear();
        }
    };
    expect_that!(found(change(3_500)), eq(&promise(4)));
    expect_that!(found(change(6_000)), is_empty());
    let disturbed = |history: &mut History| {
        change(3_500)(history);
        history.disturb(Who::Entry(ENTRY), 3_600);
    };
    expect_that!(found(disturbed), is_empty());
}

#[googletest::test]
fn superseded_weights_are_found_once_their_time_is_over() {
    let name = |history: &mut History| {
        history.named.insert(2, 1_000);
        request(history, "late", Kind::Stream, 9_100);
    };
    expect_that!(found(name), eq(&promise(5)));
    let out_of_touch = |history: &mut History| {
        name(history);
        history.disturb(Who::Voter(1), 500);
        history.calm(Who::Voter(1), 1_000);
    };
    expect_that!(found(out_of_touch), is_empty());
}

#[googletest::test]
fn work_for_an_engine_that_leaves_is_found() {
    let leave = |history: &mut History| _ = history.leaving.insert("ledger-1".to_owned(), 5_000);
    expect_that!(found(leave), eq(&promise(6)));
    let just = |history: &mut History| _ = history.leaving.insert("ledger-1".to_owned(), 7_000);
    expect_that!(found(just), is_empty());
}

/// A stream that arrives at an engine while that asks for something.
fn asked(history: &mut History, at_ms: u64, asked: engine::Asks, ran: bool) {
    let id = format!("asked-{at_ms}");
    request(history, &id, Kind::Stream, at_ms);
    let arrived = history.arrived.last_mut().unwrap();
    arrived.engine = "models-9".to_owned();
    arrived.asked = asked;
    arrived.ran_on = ran.then_some(1);
    let end = end(history, &id);
    end.signer = Some("models-9".to_owned());
    end.status = if ran { 200 } else { 502 };
}

#[googletest::test]
fn requests_beyond_a_rate_are_found() {
    let asks = engine::Asks { limit_per_s: Some(2.0), ..engine::Asks::default() };
    let sent = |each_ms: u64| {
        move |history: &mut History| {
            let times = (10_000..20_000).step_by(each_ms as usize);
            times.for_each(|at_ms| asked(history, at_ms, asks, true));
        }
    };
    expect_that!(found(sent(200)), eq(&promise(11)));
    expect_that!(found(sent(250)), is_empty());
    let cut = |history: &mut History| {
        sent(200)(history);
        history.disturb(Who::Engine(PLACE), 10_000);
    };
    expect_that!(found(cut), is_empty());
}

#[googletest::test]
fn requests_in_a_pause_are_found() {
    let asks = engine::Asks { pause_s: Some(3.0), ..engine::Asks::default() };
    let sent = |from_ms: u64| {
        move |history: &mut History| {
            asked(history, 10_000, asks, false);
            let times = [from_ms, from_ms + 10, from_ms + 20];
            times.iter().for_each(|at_ms| asked(history, *at_ms, asks, false));
        }
    };
    expect_that!(found(sent(11_000)), eq(&promise(12)));
    expect_that!(found(sent(10_100)), is_empty());
    expect_that!(found(sent(13_100)), is_empty());
    let restarted = |history: &mut History| {
        sent(11_000)(history);
        history.disturb(Who::Entry(ENTRY), 10_500);
    };
    expect_that!(found(restarted), is_empty());
}

#[googletest::test]
fn requests_to_an_engine_that_said_that_it_leaves_are_found() {
    let asks = engine::Asks { leaving: true, ..engine::Asks::default() };
    let sent = |after_ms: u64| {
        move |history: &mut History| {
            asked(history, 10_000, asks, true);
            asked(history, 10_000 + after_ms, asks, true);
        }
    };
    expect_that!(found(sent(checks::DRAIN_MS + 10)), eq(&promise(13)));
    expect_that!(found(sent(checks::DRAIN_MS - 10)), is_empty());
    let frozen = |history: &mut History| {
        sent(checks::DRAIN_MS + 10)(history);
        history.disturb(Who::Entry(ENTRY), 11_000);
    };
    expect_that!(found(frozen), is_empty());
}

/// Guards against a check that cannot fail.
#[googletest::test]
fn repeats_beyond_the_budget_are_found() {
    let repeats = |count: usize| {
        found(|history| {
            for number in 0..count {
                let id = format!("read-{number}");
                run(history, &id, "ledger-1", "ledger", 9_000);
            }
        })
    };
    // Nine, and one in fifty of 80 reads and transfers.
    expect_that!(repeats(10), is_empty());
    expect_that!(repeats(11), eq(&promise(14)));
}

#[googletest::test]
fn documents_that_are_lost_or_changed_are_found() {
    let read = |version, as_sent| {
        move |history: &mut History| {
            history.read_back.push(ReadBack { asked_ms: 9_000, version, as_sent });
        }
    };
    expect_that!(found(read(0, true)), eq(&promise(7)));
    expect_that!(found(read(1, false)), eq(&promise(7)));
    let judged = |valid, acked_ms, refused| {
        move |history: &mut History| {
            let document = Document { reads: "ledger", valid, acked_ms, refused };
            history.documents.insert(2, document);
        }
    };
    expect_that!(found(judged(true, None, Some(400))), eq(&promise(7)));
    expect_that!(found(judged(false, Some(9_000), None)), eq(&promise(7)));
}

#[googletest::test]
fn denials_are_found() {
    let deny = |history: &mut History| end(history, "read-1").status = 404;
    expect_that!(found(deny), eq(&promise(8)));
    let out_of_touch = |history: &mut History| {
        deny(history);
        history.disturb(Who::Entry(ENTRY), 0);
    };
    expect_that!(found(out_of_touch), is_empty());
}

#[googletest::test]
fn cut_requests_are_found() {
    let cut = |count: usize| {
        move |history: &mut History| {
            (0..count).for_each(|it| *end(history, &format!("read-{it}")) = End::default());
            (0..count).for_each(|it| end(history, &format!("read-{it}")).at_ms = 8_000);
        }
    };
    expect_that!(found(cut(3)), is_empty());
    expect_that!(found(cut(4)), eq(&promise(9)));
    let planned = |history: &mut History| {
        cut(1)(history);
        history.planned.push(Planned { entry: ENTRY, from_ms: 7_500, to_ms: 8_500 });
    };
    expect_that!(found(planned), eq(&promise(9)));
    let stopped = |history: &mut History| {
        planned(history);
        history.stop(Who::Entry(ENTRY), 7_500);
    };
    expect_that!(found(stopped), eq(&promise(9)));
    let killed = |history: &mut History| {
        stopped(history);
        history.disturb(Who::Entry(ENTRY), 7_600);
    };
    expect_that!(found(killed), is_empty());
}

#[googletest::test]
fn a_fleet_that_does_not_come_back_is_found() {
    let refuse = |history: &mut History| {
        (0..40).for_each(|it| end(history, &format!("read-{it}")).status = 502);
    };
    expect_that!(found(refuse), eq(&promise(10)));
    let silent = |history: &mut History| history.sent.retain(|_, it| it.kind != Kind::Stream);
    expect_that!(found(silent), contains(eq(&checks::CHECKS[10].0)));
}

#[googletest::test]
fn requests_that_are_sent_on_after_three_ends_are_found() {
    let send = |times: u64| {
        move |history: &mut History| {
            for number in 0..times {
                let (id, at_ms) = (format!("fatal-{number}"), 4_000 + number * 600);
                request(history, &id, Kind::Read, at_ms);
                let path = checks::fatal::path(Kind::Read, 0);
                let last = history.arrived.last_mut().unwrap();
                last.path = path.clone();
                history.sent.get_mut(&id).unwrap().path = path;
            }
        }
    };
    expect_that!(found(send(3)), not(contains(eq(&checks::CHECKS[15].0))));
    expect_that!(found(send(4)), contains(eq(&checks::CHECKS[15].0)));
    let cut_off = |history: &mut History| {
        send(4)(history);
        history.disturb(Who::Voter(1), 4_000);
    };
    expect_that!(found(cut_off), not(contains(eq(&checks::CHECKS[15].0))));
}

#[googletest::test]
fn entries_that_take_too_much_memory_are_found() {
    expect_that!(found(|history| history.memory.push((ENTRY, 500 << 10))), eq(&promise(16)));
}

type Spoil = fn(&mut Vec<[u8; 32]>, [u8; 32]);

/// The stream that arrived first, on other weights.
fn first_stream_on(history: &mut History, version: u64, chunks: &[[u8; 32]]) {
    let mut arrived = history.arrived.iter_mut();
    let stream = arrived.find(|it| it.service == "models").expect("a stream");
    (stream.ran_on, stream.ran_on_chunks) = (Some(version), chunks.to_vec());
}

/// Guards against a check that passes over a single chunk, or over requests that it cannot judge by
/// time.
#[googletest::test]
fn weights_of_which_a_chunk_is_another_one_are_found() {
    let (own, other) = (origin::hashes(2), origin::hashes(3));
    let spoils: [Spoil; 5] = [
        |chunks, other| chunks[0] = other,
        |chunks, other| chunks[5] = other,
        |chunks, _| chunks[3] = [0; 32],
        |chunks, _| _ = chunks.pop(),
        |chunks, _| chunks.swap(1, 2),
    ];
    let mut spoilt: Vec<_> = (0..spoils.len()).map(|_| own.clone()).collect();
    for (number, spoil) in spoils.iter().enumerate() {
        spoil(&mut spoilt[number], other[number]);
    }
    spoilt.extend([other, Vec::new()]);
    for chunks in spoilt {
        expect_that!(found(|history| first_stream_on(history, 2, &chunks)), eq(&promise(17)));
        let out_of_touch = |history: &mut History| {
            first_stream_on(history, 2, &chunks);
            [Who::Entry(ENTRY), Who::Engine(PLACE), Who::Machine, Who::Voter(1)]
                .iter()
                .for_each(|who| history.disturb(*who, 0));
        };
        expect_that!(found(out_of_touch), eq(&promise(17)));
    }
    expect_that!(found(|history| first_stream_on(history, 2, &own)), is_empty());
}

/// Guards against a check that finds fault with the weights with which engines start.
#[googletest::test]
fn weights_with_which_engines_start_are_not_judged() {
    let started = |history: &mut History| first_stream_on(history, checks::weights::FIRST, &[]);
    expect_that!(found(started), is_empty());
    let partly = |history: &mut History| {
        first_stream_on(history, checks::weights::FIRST, &origin::hashes(1)[..5]);
    };
    expect_that!(found(partly), eq(&promise(17)));
}

#[googletest::test]
fn the_list_of_regressions_can_be_read() {
    let few = regressions::all().iter().all(|(_, faults_s)| (1..600).contains(faults_s));
    expect_that!(few, eq(true));
}
