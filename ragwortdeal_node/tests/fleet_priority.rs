//! Priorities of a document on the way from a caller to an engine.

use googletest::prelude::*;
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::{caller::Ask, engine, world, world::World};

const ENTRY: u8 = 10;

/// Values of the priority header with which engines get requests of two routes. The second route
/// has this priority, the first one 1.
async fn priorities_told(second: u8) -> [Option<String>; 2] {
    let world = World::new(&DIALECT, 1);
    let _voter = world.voter(1, true).await;
    let mut document = world.document(1, None);
    let mut route = document["routes"][0].clone();
    route["name"] = "more-streams".into();
    route["path-prefix"] = "/more/".into();
    route["priority"] = second.into();
    document["routes"].as_array_mut().expect("a list of routes").push(route);
    world.install(&document).await;
    let model = world.engine(20, "models", 1).await;
    let _entry = world.entry(ENTRY).await;
    world.ready(ENTRY).await;
    let ask = async |path: &str, id: &str| {
        Ask::new("POST", path, id).answer(world.callers(ENTRY)).await;
    };
    world::until("the engine serves", async || {
        ask("/stream/warm", "warm").await;
        !model.arrivals().is_empty()
    })
    .await;
    ask("/stream/one", "first").await;
    ask("/more/one", "second").await;
    let told = |id: &str| {
        let arrivals = model.arrivals();
        let arrival: &engine::Arrival = arrivals.iter().find(|it| it.id == id)?;
        arrival.headers.get("x-request-priority")?.to_str().ok().map(str::to_owned)
    };
    [told("first"), told("second")]
}

/// Guards against engines that take a less urgent request for one as urgent.
#[googletest::test]
#[tokio::test]
async fn engines_are_told_the_level_of_a_request() {
    let told = priorities_told(0).await;
    expect_that!(told, eq(&[Some("1".to_owned()), Some("0".to_owned())]));
}

/// Guards against a header that reorders the queues of engines in deployments without priorities.
#[googletest::test]
#[tokio::test]
async fn engines_are_told_nothing_where_all_routes_have_one_priority() {
    expect_that!(priorities_told(1).await, eq(&[None, None]));
}
