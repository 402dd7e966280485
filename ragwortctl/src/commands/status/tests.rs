use googletest::prelude::*;

use super::*;

fn instance(zone: &str, number: usize) -> wire::InstanceStatus {
    wire::InstanceStatus {
        applied_revision: 7,
        behind: None,
        instance: format!("{zone}-{number}"),
        intended: Some("0123456789abcdef".to_owned()),
        leaving: false,
        origin_bytes: 0,
        peer_bytes: 0,
        phase: "serving".to_owned(),
        region_bytes: 0,
        running: 2,
        serving: Some("0123456789abcdef".to_owned()),
        size_bytes: 0,
        staged_bytes: 0,
        target: "model/match".to_owned(),
        zone: zone.to_owned(),
    }
}

fn status(instances: Vec<wire::InstanceStatus>) -> wire::Status {
    wire::Status {
        control: wire::StatusControl::Reachable,
        entry: "entry-1".to_owned(),
        instances,
        revision: 7,
    }
}

fn names(rows: &[Vec<String>]) -> Vec<&str> {
    rows.iter().map(|row| row[1].as_str()).collect()
}

/// Two hundred instances fill several screens, and the one that is behind would not be seen.
#[googletest::test]
fn instances_that_do_not_differ_share_a_row() {
    let zone = |zone| (0..100).map(move |number| instance(zone, number));
    let mut instances: Vec<_> = zone("a").chain(zone("b")).collect();
    instances[42].behind = Some("fetching, 12 of 48 chunks".to_owned());
    let status = status(instances);
    let rows = rows(&status, false);
    expect_that!(
        names(&rows),
        elements_are![eq(&"99 instances"), eq(&"a-42"), eq(&"100 instances")]
    );
    expect_that!(rows[0][7], eq("198"));
    expect_that!(rows[1][8], eq("fetching, 12 of 48 chunks"));
}

#[googletest::test]
fn an_instance_alone_keeps_its_name() {
    let status = status(vec![instance("a", 1), instance("b", 1)]);
    expect_that!(names(&rows(&status, false)), elements_are![eq(&"a-1"), eq(&"b-1")]);
}

#[googletest::test]
fn all_instances_are_shown_on_request() {
    let status = status((0..20).map(|number| instance("a", number)).collect());
    expect_that!(rows(&status, true).len(), eq(20));
}
