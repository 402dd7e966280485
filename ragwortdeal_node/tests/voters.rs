//! Three voters over real sockets and real disks, seen by an operator through an entry.

use std::{fs, path, time};

use googletest::prelude::*;
use ragwortdeal_core::{name, replication::membership};
use ragwortdeal_node::voter::operate;
use ragwortdeal_standins::{caller, deployment};
use ragwortdeal_wire::operator as wire;

fn three_voters() -> deployment::Plan {
    deployment::Plan {
        voters: 3,
        entries: 1,
        engines: 0,
        ledgers: 0,
        portals: 0,
        ..deployment::Plan::default()
    }
}

fn change(number: usize) -> wire::Change {
    wire::Change {
        id: format!("change-{number}"),
        key: format!("instance/engine-{number}"),
        expected_revision: Some(0),
        object: Some(caller::labels(&[("tier", "gold")])),
    }
}

async fn accepted(deployment: &deployment::Deployment, change: &wire::Change) -> u64 {
    let operator = deployment.operator(0);
    let mut revision = None;
    deployment::wait_for("the change is accepted", async || {
        let answer = operator.change(change).await;
        revision = answer.and_then(|answer| answer.revision);
        revision.is_some()
    })
    .await;
    revision.expect("accepted")
}

/// Starts a killed voter again, once the killed one has let go of its port.
async fn restart(deployment: &mut deployment::Deployment, number: usize) {
    deployment.restart_voter(number).await.unwrap();
}

async fn revision(deployment: &deployment::Deployment) -> u64 {
    deployment.operator(0).status().await.map_or(0, |status| status.revision)
}

// One voter after the other is killed, the leader among them, and started again with its disk.
// Whoever is killed, an accepted change stays and a resend of it gets the first answer; an
// operator notices a pause of an election at most.
#[googletest::test]
#[tokio::test]
async fn accepted_changes_outlive_each_voter() {
    let mut deployment = deployment::Deployment::start(three_voters()).await.unwrap();
    let first = accepted(&deployment, &change(0)).await;
    for victim in 0..3 {
        deployment.voters[victim].process.take().expect("running").kill();
        let after = accepted(&deployment, &change(victim + 1)).await;
        expect_that!(after, gt(first));
        expect_that!(accepted(&deployment, &change(0)).await, eq(first));
        restart(&mut deployment, victim).await;
        deployment::wait_for("the killed voter has caught up", async || {
            revision(&deployment).await >= after
        })
        .await;
    }
}

// All voters lose power at once and come back. What was accepted is in force again without anyone
// doing anything.
#[googletest::test]
#[tokio::test]
async fn accepted_changes_outlive_a_stop_of_all_voters() {
    let mut deployment = deployment::Deployment::start(three_voters()).await.unwrap();
    let first = accepted(&deployment, &change(0)).await;
    let last = accepted(&deployment, &change(1)).await;
    for victim in 0..3 {
        deployment.voters[victim].process.take().expect("running").kill();
    }
    for victim in 0..3 {
        restart(&mut deployment, victim).await;
    }
    expect_that!(accepted(&deployment, &change(0)).await, eq(first));
    expect_that!(accepted(&deployment, &change(1)).await, eq(last));
    expect_that!(accepted(&deployment, &change(2)).await, eq(last + 1));
}

// Two of three voters are gone. The last one must not accept anything alone, and the operator has
// to learn that the change did not run or is open, never that it was accepted.
#[googletest::test]
#[tokio::test]
async fn one_voter_of_three_accepts_nothing() {
    let mut deployment = deployment::Deployment::start(three_voters()).await.unwrap();
    let first = accepted(&deployment, &change(0)).await;
    for victim in 0..2 {
        deployment.voters[victim].process.take().expect("running").kill();
    }
    let alone = deployment.operator(0).change(&change(1)).await;
    expect_that!(alone.and_then(|answer| answer.revision), none());
    restart(&mut deployment, 0).await;
    expect_that!(accepted(&deployment, &change(1)).await, eq(first + 1));
}

// A voter's disk is emptied. It is recognised, taken in again by itself and counts only then; the
// loss of another voter right after loses no accepted change.
#[googletest::test]
#[tokio::test]
async fn emptied_voter_is_repaired_before_another_is_lost() {
    let mut deployment = deployment::Deployment::start(three_voters()).await.unwrap();
    let first = accepted(&deployment, &change(0)).await;
    deployment.voters[1].process.take().expect("running").kill();
    let second = accepted(&deployment, &change(1)).await;
    let before = deployment.voter_status(0).await.expect("a status").membership;
    empty(&deployment.data_dir(1)).await;
    restart(&mut deployment, 1).await;
    // Without the repair the next loss would leave one voter of three.
    deployment::wait_for("the emptied voter votes again", async || {
        let status = deployment.voter_status(0).await;
        status.is_some_and(|status| is_whole(&status.membership, &before, 1))
    })
    .await;
    deployment.voters[2].process.take().expect("running").kill();
    expect_that!(accepted(&deployment, &change(2)).await, eq(second + 1));
    expect_that!(accepted(&deployment, &change(0)).await, eq(first));
}

/// Whether three voters vote, one of them with another storage than before.
fn is_whole(now: &membership::Membership, before: &membership::Membership, changed: usize) -> bool {
    let added: Vec<_> = now.voters.difference(&before.voters).collect();
    let name = format!("voter-{changed}");
    now.voters.len() == 3 && added.len() == 1 && *added[0].instance == *name
}

/// Empties a folder once the process that was killed has let go of it.
async fn empty(folder: &path::Path) {
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    fs::remove_dir_all(folder).unwrap();
}

// A voter's instance is gone for good and another instance takes its place by one command of the
// operator. The voters of the settings do not know the new one; the command names it.
#[googletest::test]
#[tokio::test]
async fn lost_voter_is_replaced_by_one_command() {
    let mut deployment = deployment::Deployment::start(three_voters()).await.unwrap();
    let first = accepted(&deployment, &change(0)).await;
    deployment.voters[2].process.take().expect("running").kill();
    let new = deployment.start_new_voter().unwrap();
    let instance = |number: usize| name::InstanceName::new(&format!("voter-{number}")).ok();
    let request = operate::Request::Replace { lost: instance(2), new: instance(new) };
    deployment::wait_for("the leader takes the command", async || {
        let first = deployment.ask_voter(0, &request).await;
        let second = deployment.ask_voter(1, &request).await;
        [first, second].contains(&Some(operate::Reply::Started))
    })
    .await;
    deployment::wait_for("the new voter stands in for the lost one", async || {
        let status = deployment.voter_status(new).await;
        let voters = status.map(|status| status.membership.voters).unwrap_or_default();
        let named =
            |number| voters.iter().any(|it| Some(&it.instance) == instance(number).as_ref());
        voters.len() == 3 && named(new) && !named(2)
    })
    .await;
    deployment.voters[0].process.take().expect("running").kill();
    expect_that!(accepted(&deployment, &change(1)).await, eq(first + 1));
    expect_that!(accepted(&deployment, &change(0)).await, eq(first));
}

// The leader is stopped for an update. It hands over, so that operators see no election.
#[googletest::test]
#[tokio::test]
async fn planned_stops_in_turn_accept_all_the_time() {
    let mut deployment = deployment::Deployment::start(three_voters()).await.unwrap();
    accepted(&deployment, &change(0)).await;
    for number in 0..3 {
        deployment.voters[number].process.take().expect("running").stop().await;
        let answer = deployment.operator(0).change(&change(number + 1)).await;
        expect_that!(answer.and_then(|answer| answer.revision), some(anything()));
        restart(&mut deployment, number).await;
        deployment::wait_for("the voter has caught up", async || {
            let status = deployment.voter_status(number).await;
            status.is_some_and(|it| it.leader.is_some() && it.applied == it.last.index)
        })
        .await;
    }
}

/// A voter's disk is lost for good. The operator's tool lists the voters, brings a new one in for
/// the lost one by one request, and sees when it is done.
#[googletest::test]
#[tokio::test]
async fn a_lost_voter_is_replaced_through_the_operators_api() {
    let mut deployment = deployment::Deployment::start(deployment::Plan {
        entries: 1,
        engines: 0,
        ledgers: 0,
        portals: 0,
        ..deployment::Plan::default()
    })
    .await
    .unwrap();
    let operator = deployment.operator(0);
    let voters = async || -> Option<ragwortdeal_wire::operator::VoterList> {
        serde_json::from_slice(&operator.send("GET", "/api/voters", Vec::new()).await?).ok()
    };
    let led = async || {
        let list = voters().await;
        list.is_some_and(|list| list.voters.iter().any(|voter| voter.role == "leader"))
    };
    deployment::wait_for("a leader is listed", led).await;
    deployment.voters[2].process.take().unwrap().kill();
    let new = deployment.start_new_voter().unwrap();
    let replacement = format!("{{\"lost\": \"voter-2\", \"new\": \"voter-{new}\"}}");
    let replaced = async || {
        operator.send("POST", "/api/voters/replace", replacement.clone().into_bytes()).await;
        let Some(list) = voters().await else { return false };
        let names: Vec<&str> = list
            .voters
            .iter()
            .filter(|voter| voter.role != "learner")
            .map(|voter| voter.name.as_str())
            .collect();
        names == ["voter-0", "voter-1", "voter-3"]
    };
    deployment::wait_for("the new voter took the lost one's place", replaced).await;
}
