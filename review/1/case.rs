//! A voter acknowledges a desired state that no voter has: the answer to a proposal of its earlier
//! process is taken for the answer to its present one.

#[path = "../lib/common.rs"]
#[allow(dead_code)]
mod common;

use std::{
    process::exit,
    thread,
    time::{Duration, Instant},
};

use common::*;

/// `configuration-ms` of hr-timebank.
const CONFIGURATION_MS: u64 = 2_000;

fn document(version: u64) -> String {
    let timeout_ms = 1_000 + version;
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-transfer\",\"host\":\"ledger.example\",\
         \"path-prefix\":\"/transfers/\",\"kind\":\"unsafe\",\"timeout-ms\":{timeout_ms},\
         \"target-latency-ms\":150,\"priority\":2,\"service\":\"ledger-api\",\"max-attempts\":1,\
         \"public\":true}}],\"services\":[{{\"name\":\"ledger-api\",\"health-path\":\"/health\",\
         \"connection-limit\":100,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":\
         {{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}},\"tenants\":[]}}"
    )
}

/// The voter that leads, by the logs: the last one that said so.
fn leader(world: &World) -> Option<u8> {
    let term = |line: &str| -> Option<u64> {
        let rest = line.split_once("became leader, term=")?.1;
        rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
    };
    let led = |voter: u8| world.log("voter", voter).lines().filter_map(term).max();
    (1..=3).filter_map(|voter| Some((led(voter)?, voter))).max().map(|(_, voter)| voter)
}

fn read(record: &Record, world: &World, voter: u8) -> Option<u64> {
    let patience = Duration::from_secs(1);
    match call(world.control(voter), "GET", "/configuration", &[], b"", patience) {
        Ok(answer) if answer.status == 200 => {
            let version = version_of(&answer.body);
            record.say(&format!("operator: voter {voter} reads version {version:?}"));
            version
        }
        Ok(answer) => {
            record.say(&format!("operator: voter {voter} reads: {}", answer.status));
            None
        }
        Err(error) => {
            record.say(&format!("operator: voter {voter} reads: no response ({error})"));
            None
        }
    }
}

fn main() {
    let record = Record::create();
    let world = World::new(&record);
    let trouble = trouble();
    let mut voters: Vec<Option<Program>> = vec![None, None, None, None];
    for number in 1..=3 {
        voters[usize::from(number)] = Some(world.start(&record, "voter", number, true));
    }
    let taker = put_until_acknowledged(&record, &world, &[1], &document(1));
    pause(1_500);
    let Some(first) = leader(&world) else { cannot_run(&record, "no voter leads") };
    let mut others: Vec<u8> = (1..=3).filter(|voter| *voter != first).collect();
    // The voter that took the first order, where it does not lead, has passed one on already.
    others.sort_by_key(|voter| *voter != taker);
    let (second, third) = (others[0], others[1]);
    record.say(&format!("voter {first} leads; {second} is to lead next; orders go to {third}"));
    let signal = |voters: &[Option<Program>], voter: u8, signal: i32| {
        if trouble {
            voters[usize::from(voter)].as_ref().unwrap().signal(&record, signal);
        }
    };

    // The leader freezes for a moment; an order is on its way to it.
    signal(&voters, first, STOP);
    let order = {
        let (record, body) = (record.clone(), document(2));
        let control = world.control(third);
        thread::spawn(move || {
            record.say(&format!("operator: PUT /configuration version 2 to voter {third}"));
            let headers = [("Content-Type", "application/json".to_owned())];
            let patience = Duration::from_secs(1);
            let path = "/configuration";
            let answer = call(control, "PUT", path, &headers, body.as_bytes(), patience);
            record.say(&format!(
                "operator: version 2 at voter {third}: {:?}",
                answer.as_ref().map(|it| it.status)
            ));
            answer.is_ok_and(|answer| answer.status == 200)
        })
    };
    pause(120);
    // The voter that passed it on is killed, and the other one freezes for a moment.
    if trouble {
        voters[usize::from(third)].as_mut().unwrap().kill(&record);
    }
    signal(&voters, second, STOP);
    signal(&voters, first, CONT);
    pause(200);
    // The leader freezes again, for longer.
    signal(&voters, first, STOP);
    signal(&voters, second, CONT);
    if trouble {
        pause(300);
        voters[usize::from(third)] = Some(world.start(&record, "voter", third, false));
    }
    let acknowledged = order.join().unwrap();
    pause(1_500);
    if !acknowledged {
        // To the voter that runs beside it, so that the one started again takes no other order.
        put_until_acknowledged(&record, &world, &[second], &document(2));
    }
    pause(800);
    if trouble && leader(&world) != Some(second) {
        record.say(&format!("voter {second} does not lead: this run shows nothing"));
    }

    // The second leader freezes as the first one wakes.
    signal(&voters, second, STOP);
    signal(&voters, first, CONT);
    if trouble {
        pause(900);
    }
    let status = put_once(&record, &world, third, &document(3));
    let acknowledged_at = Instant::now();
    let mut acknowledged = 2;
    if status == Some(200) {
        acknowledged = 3;
    }
    pause(1_500);
    signal(&voters, second, CONT);
    if acknowledged == 2 {
        put_until_acknowledged(&record, &world, &[first, second, third], &document(3));
        acknowledged = 3;
    }
    // All run and are in touch; the operator reads for more than the connectivity window.
    pause(3_500);
    let mut older = 0;
    let mut read_back = 0;
    for _ in 0..8 {
        for voter in 1..=3 {
            let late = acknowledged_at.elapsed() > Duration::from_millis(CONFIGURATION_MS);
            if let Some(version) = read(&record, &world, voter) {
                read_back += 1;
                older += u32::from(late && version < acknowledged);
            }
        }
        pause(500);
    }
    drop(voters);
    if read_back == 0 {
        record.say("CONFIG broken: the desired state does not come");
        drop(world);
        exit(1);
    }
    match older {
        0 => {
            record.say(&format!("held: all {read_back} reads give version {acknowledged}"));
            drop(world);
        }
        older => {
            record.say(&format!(
                "CONFIG broken: version {acknowledged} was acknowledged, and {older} of {read_back} \
                 reads give an older one"
            ));
            drop(world);
            exit(1);
        }
    }
}
