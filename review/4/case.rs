//! Two machines of the core are replaced as planned: their successors run long enough, then the two
//! old ones are stopped for good, one shortly after the other.

#[path = "../lib-2/common.rs"]
mod common;

use std::{path::Path, time::{Duration, Instant}};

use common::{BROKEN, HELD, NOT_RUN, Operator, Record, SIGTERM, World, desired_state, finish, sleep_ms, version_of};

/// `catch-up-s` of the sheet is 4; a successor runs so long before its predecessor is stopped.
const SUCCESSOR_RUNS: Duration = Duration::from_secs(7);
/// Between the two stops; the site's list has `roll_term` with `gap_s = 1.3`.
const GAP_MS: u64 = 1_300;
/// `recovery-s` of the sheet is 12.
const RECOVERY: Duration = Duration::from_secs(12);

fn main() {
    let folder = Path::new("review/4");
    let record = Record::new(folder).expect("a record");
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
    // Three machines of the core, one a zone.
    let mut core = Vec::new();
    for host in 1..=3u8 {
        core.push(world.start("voter", host, usize::from(host) - 1, true)?);
    }
    record.line("core machines 1, 2 and 3 start for the first time");
    let daemons = (1..=3).map(|host| world.control(host)).collect();
    let mut operator = Operator::new(record, daemons);
    let put = |operator: &mut Operator, version: u64, longest: u64| {
        let body = desired_state(version);
        let what = format!("PUT /configuration version {version}");
        operator.send(&what, "PUT", "/configuration", body.as_bytes(), Duration::from_secs(longest))
    };
    if put(&mut operator, 3, 10).is_none_or(|(_, answer)| answer.status != 200) {
        return Ok((NOT_RUN, "the first desired state was not acknowledged".to_owned()));
    }
    sleep_ms(1_000);

    // The successors of 1 and 2, in the same zones, at new addresses, with empty disks.
    let mut successors = Vec::new();
    for host in 4..=5u8 {
        successors.push(world.start("voter", host, usize::from(host) - 4, false)?);
    }
    record.line("core machines 4 and 5 start, the successors of 1 and 2");
    std::thread::sleep(SUCCESSOR_RUNS);
    // The operator's list shows them by now (`seed-lag-s` is 3).
    operator.daemons = (1..=5).map(|host| world.control(host)).collect();
    if put(&mut operator, 7, 10).is_none_or(|(_, answer)| answer.status != 200) {
        return Ok((NOT_RUN, "version 7 was not acknowledged while nothing was disturbed".to_owned()));
    }
    for host in 4..=5u8 {
        let served = operator.try_at(world.control(host), "GET", "/configuration", b"");
        match served {
            Ok((by, answer)) => record.line(format!(
                "successor {host} serves control: GET gives {} by {by}, version {:?}",
                answer.status, version_of(&answer.body)
            )),
            Err(error) => return Ok((NOT_RUN, format!("successor {host} does not serve control: {error}"))),
        }
    }

    // The two old machines are removed as planned.
    let stops: &[usize] = if trouble { &[0, 1] } else { &[] };
    for &index in stops {
        record.line(format!("core machine {} gets SIGTERM and is removed for good", index + 1));
        core[index].signal(SIGTERM);
        if index == 0 {
            sleep_ms(std::env::var("GAP_MS").ok().and_then(|it| it.parse().ok()).unwrap_or(GAP_MS));
        }
    }
    for &index in stops {
        let ended = core[index].wait(Duration::from_secs(8));
        record.line(format!("core machine {} has ended: {ended:?}", index + 1));
        core[index].kill();
    }
    operator.daemons = (if trouble { 3..=5 } else { 1..=5 }).map(|host| world.control(host)).collect();

    // From here on three machines run undisturbed: 3, 4 and 5.
    let begun = Instant::now();
    let mut newest = None;
    let longest = Duration::from_secs(25);
    while begun.elapsed() < longest {
        let read = operator.send("GET /configuration", "GET", "/configuration", b"", Duration::from_secs(10));
        newest = read.filter(|(_, answer)| answer.status == 200).and_then(|(_, answer)| version_of(&answer.body));
        if newest.is_some() {
            break;
        }
    }
    let took = begun.elapsed().as_secs_f64();
    let acknowledged = put(&mut operator, 9, 10).is_some_and(|(_, answer)| answer.status == 200);
    for program in core.iter_mut().skip(if trouble { 2 } else { 0 }).chain(&mut successors) {
        if let Some(ended) = program.ended() {
            record.line(format!("{} ended by itself: {ended}", program.name));
        }
    }
    let reason = format!(
        "acknowledged: version 7; read back {took:.1} s after the last stop: {newest:?}; \
         version 9 acknowledged: {acknowledged}"
    );
    let held = newest.is_some_and(|version| version >= 7) && (took <= RECOVERY.as_secs_f64()) && acknowledged;
    Ok((if held { HELD } else { BROKEN }, reason))
}
