//! The disk of one machine of the core is full for some seconds. Meanwhile another machine loses its
//! disk right after it has acknowledged a desired state.

#[path = "../lib-2/common.rs"]
mod common;

use std::{path::Path, time::{Duration, Instant}};

use common::{BROKEN, HELD, NOT_RUN, Operator, Record, World, desired_state, finish, sleep_ms, version_of};

/// The site's list has `disk_full` with `for_s = 4.5`.
const FULL_MS: u64 = 4_500;
/// The site's list has `after_ack_wipe` with `for_s = 3.0`.
const DOWN_MS: u64 = 3_000;
/// `recovery-s` of the sheet is 12.
const RECOVERY: Duration = Duration::from_secs(12);

fn main() {
    let record = Record::new(Path::new("review/5")).expect("a record");
    let world = match World::new() {
        Ok(world) => world,
        Err(error) => {
            record.line(format!("cannot run: {error}"));
            std::process::exit(NOT_RUN);
        }
    };
    let (code, reason) = play(&record, &world).unwrap_or_else(|error| (NOT_RUN, error.to_string()));
    finish(&record, &world, code, &reason);
}

fn play(record: &Record, world: &World) -> std::io::Result<(i32, String)> {
    let trouble = !common::without_trouble();
    let mut core = Vec::new();
    for host in 1..=3u8 {
        core.push(world.start("voter", host, usize::from(host) - 1, true)?);
    }
    record.line("core machines 1, 2 and 3 start for the first time");
    let mut operator = Operator::new(record, (1..=3).map(|host| world.control(host)).collect());
    let put = |operator: &mut Operator, version: u64, longest: u64| {
        let body = desired_state(version);
        let what = format!("PUT /configuration version {version}");
        operator.send(&what, "PUT", "/configuration", body.as_bytes(), Duration::from_secs(longest))
            .is_some_and(|(_, answer)| answer.status == 200)
    };
    if !put(&mut operator, 3, 10) || !put(&mut operator, 7, 5) {
        return Ok((NOT_RUN, "no desired state was acknowledged".to_owned()));
    }
    sleep_ms(1_000);
    // The disk of machine 1 takes no more bytes.
    let full = Instant::now();
    if trouble {
        let (pid, record) = (core[0].pid().unwrap_or_default(), record.clone());
        common::set_disk_full(pid, true)?;
        record.line("the disk of core machine 1 is full");
        std::thread::spawn(move || {
            sleep_ms(FULL_MS);
            let set = common::set_disk_full(pid, false);
            record.line(format!("the disk of core machine 1 has room again, after 4.5 s: {set:?}"));
        });
    }
    operator.next = 1;
    let body = desired_state(9);
    let answered = operator.send("PUT /configuration version 9", "PUT", "/configuration", body.as_bytes(), Duration::from_secs(4));
    let Some((by, answer)) = answered.filter(|(_, answer)| answer.status == 200) else {
        return Ok((NOT_RUN, "version 9 was not acknowledged".to_owned()));
    };
    let acker = by.ip().octets()[3];
    record.line(format!("version 9 is acknowledged by core machine {acker}: {}", String::from_utf8_lossy(&answer.body).trim()));
    if trouble && acker == 1 {
        return Ok((NOT_RUN, "the machine with the full disk acknowledged it".to_owned()));
    }
    if trouble {
        let index = usize::from(acker) - 1;
        core[index].kill();
        std::fs::remove_dir_all(world.data_folder(acker))?;
        record.line(format!("core machine {acker} loses power and its disk"));
        sleep_ms(DOWN_MS);
        core[index] = world.start("voter", acker, index, false)?;
        record.line(format!("core machine {acker} starts again at its address with an empty disk, bootstrap false"));
        sleep_ms(FULL_MS.saturating_sub(full.elapsed().as_millis() as u64));
    }
    let begun = Instant::now();
    let mut newest = None;
    while begun.elapsed() < Duration::from_secs(25) && newest.is_none() {
        let read = operator.send("GET /configuration", "GET", "/configuration", b"", Duration::from_secs(10));
        newest = read.filter(|(_, answer)| answer.status == 200).and_then(|(_, answer)| version_of(&answer.body));
    }
    let took = begun.elapsed().as_secs_f64();
    let least = 9;
    let later = put(&mut operator, 11, 10);
    for program in &mut core {
        if let Some(ended) = program.ended() {
            record.line(format!("{} ended by itself: {ended}", program.name));
        }
    }
    let reason = format!(
        "acknowledged: version {least}; read back {took:.1} s after all are back: {newest:?}; \
         version 11 acknowledged: {later}"
    );
    let held = newest.is_some_and(|version| version >= least) && took <= RECOVERY.as_secs_f64() && later;
    Ok((if held { HELD } else { BROKEN }, reason))
}
