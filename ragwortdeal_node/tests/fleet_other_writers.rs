//! Status reports that come from other writers than the upstreams.

use googletest::prelude::*;
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::{
    caller::Ask,
    operator,
    world::{self, World},
};

const ENTRY: u8 = 10;
/// In the entry's availability zone, so that it is asked first.
const LEDGER: u8 = 31;
const OTHER_LEDGER: u8 = 30;

async fn started() -> (World, Vec<world::Process>) {
    let world = World::new(&DIALECT, 3);
    let mut processes: Vec<_> = world.first_voters().await.into_values().collect();
    world.install(&world.document(1, None)).await;
    processes.push(world.entry(ENTRY).await);
    world.ready(ENTRY).await;
    (world, processes)
}

async fn ask(world: &World, number: u32) -> u16 {
    let ask = Ask::new("GET", "/read/x", &format!("read-{number}"));
    ask.answer(world.callers(ENTRY)).await.status
}

/// Sends a report to a voter and returns the status of the answer.
async fn report(world: &World, voter: u8, instance: &str, body: &str) -> u16 {
    let operator = operator::Operator::new(vec![world.control(voter)]);
    operator.order("PUT", &format!("/instances/{instance}"), body).await.0
}

macro_rules! drains_beside_another_writer {
    ($($case:ident: $service:expr, $voter:expr;)*) => {$(
        /// Another writer reports an upstream at the address of a sound one, which then drains. An
        /// acknowledged drain that a dispute over the address hides leaves callers with cut answers.
        #[googletest::test]
        #[tokio::test]
        async fn $case() {
            let (world, _processes) = started().await;
            let ledger = world.engine(LEDGER, "ledger", 0).await;
            let other = world.engine(OTHER_LEDGER, "ledger", 0).await;
            world::until("the entry serves", async || ask(&world, 0).await == 200).await;
            let zone = format!("zone-{}", LEDGER % 3);
            let rival = serde_json::json!({
                "service": $service, "address": ledger.address.to_string(), "zone": zone,
                "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
                "sequence": 1, "born": 1_000_000,
            });
            for voter in 1..=3 {
                expect_that!(report(&world, voter, "rival", &rival.to_string()).await, eq(200));
            }
            let before = ledger.arrivals().len();
            expect_that!(ask(&world, 100).await, eq(200));
            expect_that!(ledger.arrivals().len(), eq(before + 1));
            let draining = ledger.announcement("ledger", &zone, "draining", 2);
            expect_that!(report(&world, $voter, &ledger.instance, &draining).await, eq(200));
            tokio::time::sleep(std::time::Duration::from_millis(200)).await;
            let (arrived, others) = (ledger.arrivals().len(), other.arrivals().len());
            for number in 1..40 {
                expect_that!(ask(&world, number).await, eq(200));
            }
            expect_that!(ledger.arrivals().len(), eq(arrived));
            expect_that!(other.arrivals().len(), ge(others + 39));
        }
    )*};
}

drains_beside_another_writer! {
    a_report_of_an_unnamed_service_hides_no_drain: "elsewhere", 1;
    a_report_of_another_named_service_hides_no_drain: "models", 2;
}

/// Another writer's report of an upstream lacks what each upstream writes. It names no upstream to
/// use; taken, callers' requests would run at a server that is none of the service.
#[googletest::test]
#[tokio::test]
async fn a_report_that_is_not_whole_names_no_upstream() {
    let (world, _processes) = started().await;
    let other = world.engine(OTHER_LEDGER, "elsewhere", 0).await;
    let whole = other.announcement("ledger", "zone-1", "ready", 9);
    for field in ["version", "cold-remaining-ms", "born"] {
        let mut partial: serde_json::Value = serde_json::from_str(&whole).unwrap();
        partial.as_object_mut().unwrap().remove(field);
        let status = report(&world, 1, "rival", &partial.to_string()).await;
        expect_that!(status, eq(400), "without {field}");
    }
    for number in 0..20 {
        expect_that!(ask(&world, number).await, eq(503));
    }
    expect_that!(other.arrivals(), is_empty());
}

/// The last word of an upstream comes with a body that cannot be read. Taken, it would end a sound
/// upstream in whatever start.
#[googletest::test]
#[tokio::test]
async fn a_departure_that_cannot_be_read_ends_no_upstream() {
    let (world, _processes) = started().await;
    let ledger = world.engine(LEDGER, "ledger", 0).await;
    world::until("the entry serves", async || ask(&world, 0).await == 200).await;
    let operator = operator::Operator::new(vec![world.control(1)]);
    let path = format!("/instances/{}", ledger.instance);
    expect_that!(operator.order("DELETE", &path, "[[[[{\"born\":").await.0, eq(400));
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    for number in 1..20 {
        expect_that!(ask(&world, number).await, eq(200));
    }
}

/// Another writer's report of an unnamed service comes before the first one of a sound upstream at
/// that address, which has to be used all the same.
#[googletest::test]
#[tokio::test]
async fn a_report_of_an_unnamed_service_keeps_no_upstream_out() {
    let (world, _processes) = started().await;
    let rival = serde_json::json!({
        "service": "elsewhere", "address": world.upstream(LEDGER).to_string(), "zone": "zone-0",
        "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0, "sequence": 1,
        "born": 1_000_000,
    });
    for voter in 1..=3 {
        expect_that!(report(&world, voter, "rival", &rival.to_string()).await, eq(200));
    }
    let _ledger = world.engine(LEDGER, "ledger", 0).await;
    world::until("the upstream is used", async || ask(&world, 0).await == 200).await;
}
