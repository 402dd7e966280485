//! An agent orders its engine to load pieces that it read back before it stood still, and that have
//! turned bad since.

#[path = "../lib/common.rs"]
#[allow(dead_code)]
mod common;
#[path = "../lib/model.rs"]
#[allow(dead_code)]
mod model;

use std::{
    process::exit,
    thread,
    time::{Duration, Instant},
};

use common::*;
use model::{CHUNK_BYTES, CHUNKS, LAYERS, MODEL};

/// How long a machine stands still: `node_freeze` on `side` machines, `for_s = 4.0`.
const FROZEN_MS: u64 = 4_000;
/// What may turn bad so shortly before it is taken counts for nothing.
const EXCUSED_MS: u64 = 3_000;
const SIDE: u8 = 20;
const ENTRY: u8 = 10;
const ORIGIN: u8 = 30;

fn document(world: &World) -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-draft\",\"host\":\"draft.example\",\
         \"path-prefix\":\"/draft/\",\"kind\":\"streaming\",\"timeout-ms\":6000,\
         \"target-latency-ms\":400,\"priority\":1,\"service\":\"llm-pool\",\"max-attempts\":2,\
         \"public\":true,\"session-affinity\":true,\"resumable\":true,\"target-gap-ms\":300}}],\
         \"services\":[{{\"name\":\"llm-pool\",\"health-path\":\"/health\",\"connection-limit\":364,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":16,\"kv-tokens\":1640000,\
         \"kv-token-bytes\":163840,\"link-mbps\":400000.0,\"stride\":6,\"models\":[{{\"name\":\
         \"{MODEL}\",\"pace\":1.0,\"load-s\":4.0,\"warm-s\":0.3}}],\"size-mb\":282000.0,\
         \"adapter-slots\":8,\"loads-per-s\":0.0,\"step_ms\":6.73,\"per_seq_ms\":0.0219,\
         \"context_per_k\":0.0068,\"read_per_s\":30600.0,\"pairs_per_m\":0.647,\"chunk\":2048,\
         \"report_lag_ms\":200.0,\"loads_at_once\":8,\"delays\":[],\"usual\":{{\"prompt\":964,\
         \"answer\":119}},\"layers\":{LAYERS},\"layer_mb\":4540.0,\"act_bytes\":16384,\
         \"pipe_mbps\":0.0,\"chunks\":{CHUNKS},\"chunk-bytes\":{CHUNK_BYTES}}}}},{{\"name\":\
         \"member-portal\",\"origin\":\"{}\",\"zone\":\"aqaba-a\",\"link-mbps\":15.0,\
         \"connection-limit\":48}}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":\
         4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[]}}",
        world.at(ORIGIN, 8_006)
    )
}

/// One stream of a client through the entry.
fn ask(record: &Record, world: &World, id: &str, patience_ms: u64) -> Option<(u16, usize)> {
    let headers = [
        ("Host", "draft.example".to_owned()),
        ("X-Request-Id", id.to_owned()),
        ("X-Request-Deadline", "6000".to_owned()),
        ("X-Model", MODEL.to_owned()),
        ("X-Token-Usage", "964,119".to_owned()),
        ("X-Prompt-Prefix", format!("5c1e07a2:40,{:x}:924", id.len() * 7_919)),
    ];
    let patience = Duration::from_millis(patience_ms);
    let to = world.at(ENTRY, CALLERS_PORT);
    match call(to, "POST", "/draft/a", &headers, b"a prompt", patience) {
        Ok(answer) => {
            let events = answer.text().matches("data: token").count();
            let versions = answer.headers.get("x-weight-versions").cloned().unwrap_or_default();
            record.say(&format!(
                "client: {id}: {} with {events} events, weights {versions:?}",
                answer.status
            ));
            Some((answer.status, events))
        }
        Err(error) => {
            record.say(&format!("client: {id}: no whole answer ({error})"));
            None
        }
    }
}

fn main() {
    let record = Record::create();
    let world = std::sync::Arc::new(World::new(&record));
    assert_eq!(
        model::sha256(b"abc"),
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
    );
    let trouble = trouble();
    let _voters: Vec<Program> =
        (1..=3).map(|number| world.start(&record, "voter", number, true)).collect();
    model::origin(world.at(ORIGIN, 8_006));
    let engine = model::Engine::new("i-20");
    let address = world.at(SIDE, APP_PORT);
    engine.serve(address, &record);
    put_until_acknowledged(&record, &world, &[1, 2, 3], &document(&world));
    let agent = world.start(&record, "agent", SIDE, false);
    let _entry = world.start(&record, "entry", ENTRY, false);
    {
        let (engine, world) = (engine.clone(), world.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                let body = format!(
                    "{{\"service\":\"llm-pool\",\"address\":\"{address}\",\"zone\":\"aqaba-a\",\
                     \"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"cold-remaining-ms\":0,\
                     \"stage\":\"combined\",{},\"sequence\":{sequence},\"born\":1000}}",
                    engine.models()
                );
                let headers = [("Content-Type", "application/json".to_owned())];
                let patience = Duration::from_secs(1);
                let _ = (1..=3).find(|voter| {
                    let to = world.control(*voter);
                    call(to, "PUT", "/instances/i-20", &headers, body.as_bytes(), patience)
                        .is_ok_and(|answer| answer.status == 200)
                });
                pause(1_200);
            }
        });
    }
    pause(4_000);
    if ask(&record, &world, "first", 6_000) != Some((200, 5)) {
        cannot_run(&record, "no request is served with version 1");
    }
    // New weights are named.
    let named = (1..=3).cycle().take(9).find(|voter| {
        let body = format!("{{\"model\":\"{MODEL}\",\"version\":2}}");
        let headers = [("Content-Type", "application/json".to_owned())];
        let patience = Duration::from_secs(1);
        let to = world.control(*voter);
        call(to, "POST", "/version-put", &headers, body.as_bytes(), patience)
            .is_ok_and(|answer| answer.status == 200)
    });
    if named.is_none() {
        cannot_run(&record, "version 2 is not acknowledged");
    }
    record.say("operator: version 2 is named and acknowledged");
    // Requests go on; long answers are under way as the engine's turn comes.
    let streams = {
        let (record, world) = (record.clone(), world.clone());
        thread::spawn(move || {
            let streams: Vec<_> = (0..4)
                .map(|number| {
                    let (record, world) = (record.clone(), world.clone());
                    thread::spawn(move || {
                        pause(number * 1_200);
                        ask(&record, &world, &format!("long-{number}"), 6_000);
                    })
                })
                .collect();
            streams.into_iter().for_each(|stream| _ = stream.join());
        })
    };
    // The agent has read all pieces back, and waits for the answers in progress.
    let begun = Instant::now();
    loop {
        let state = engine.state.lock().unwrap();
        if state.read_back == CHUNKS && state.reports_since > 0 {
            record.say(&format!("engine: all pieces are read back, {} run", state.running));
            break;
        }
        if state.sequence > 0 {
            drop(state);
            record.say("engine: ordered before any wait");
            break;
        }
        drop(state);
        if begun.elapsed() > Duration::from_secs(20) {
            cannot_run(&record, "the agent does not read the pieces back");
        }
        pause(1);
    }
    if trouble {
        agent.signal(&record, STOP);
        pause(200);
        let mut state = engine.state.lock().unwrap();
        if state.sequence > 0 {
            drop(state);
            record.say("the order was faster than the freeze: this run shows nothing");
        } else {
            let at = state.staged.get_mut(&5).unwrap();
            at[100] ^= 0xff;
            state.bad.insert(5, record.now_ms());
            drop(state);
            record.say("engine: piece 5 turns bad where it is staged");
        }
        pause(FROZEN_MS - 200);
        agent.signal(&record, CONT);
    }
    let begun = Instant::now();
    while engine.state.lock().unwrap().version != 2 {
        if begun.elapsed() > Duration::from_secs(20) {
            cannot_run(&record, "the engine does not come to version 2");
        }
        pause(20);
    }
    streams.join().unwrap();
    pause(1_000);
    let mut served = 0;
    for number in 0..5 {
        if ask(&record, &world, &format!("last-{number}"), 6_000) == Some((200, 5)) {
            served += 1;
        }
        pause(300);
    }
    let (spoilt, spoilt_tokens, tokens) = {
        let state = engine.state.lock().unwrap();
        (state.spoilt.clone(), state.spoilt_tokens, state.tokens)
    };
    drop(agent);
    if served == 0 {
        cannot_run(&record, "no request is served with version 2");
    }
    let spoilt: Vec<_> = spoilt.iter().filter(|(.., for_ms)| *for_ms > EXCUSED_MS).collect();
    if spoilt_tokens > 0 && !spoilt.is_empty() {
        record.say(&format!(
            "WHOLE broken: {spoilt_tokens} of {tokens} tokens are made with a layer that was taken \
             while a piece was spoilt (layer, piece, ms): {spoilt:?}"
        ));
        exit(1);
    }
    record.say(&format!("held: {tokens} tokens, none with a spoilt layer"));
}
