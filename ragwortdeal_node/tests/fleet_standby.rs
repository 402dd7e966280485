//! Standby voters.

use googletest::prelude::*;
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::{
    operator,
    world::{self, World},
};

/// The standby voter: three vote.
const STANDBY: u8 = 4;

/// An operator calls a standby voter, which has no log. If it held the call while it waits for a
/// leader that it never hears of, changes would stay without acknowledgement until the operator
/// happens to call another voter.
#[googletest::test]
#[tokio::test]
async fn operators_reach_the_group_through_a_standby_voter() {
    let world = World::new(&DIALECT, 3);
    let _voters = world.first_voters().await;
    world.install(&world.document(1, None)).await;
    world.whole_group(3, &[1, 2, 3]).await;
    let _standby = world.voter(STANDBY, false).await;
    let operator = operator::Operator::new(vec![world.control(STANDBY)]);
    world::until("the voter that stands by gives the document", async || {
        let answer = operator.call(world.control(STANDBY), "GET", "/configuration", "").await;
        answer.is_some_and(|(status, text)| status == 200 && text.contains("\"version\":1"))
    })
    .await;
    let document = world.document(2, None).to_string();
    let installed = operator.call(world.control(STANDBY), "PUT", "/configuration", &document).await;
    expect_that!(installed.map(|(status, _)| status), some(eq(200)));
    let weights = serde_json::json!({"model": "model-a", "version": 2}).to_string();
    let named = operator.call(world.control(STANDBY), "POST", "/version-put", &weights).await;
    expect_that!(named.map(|(status, _)| status), some(eq(200)));
    let read = operator.call(world.control(1), "GET", "/configuration", "").await;
    expect_that!(read.map(|(_, text)| text), some(contains_substring("\"version\":2")));
}
