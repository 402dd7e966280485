//! Shows what the instances of a deployment are to serve and what they serve.
//!
//! A deployment has hundreds of instances, most of which are in the same state. The table has one
//! line for those of a zone that are, and one for each instance that differs.

use std::{collections, process};

use ragwortdeal_wire::operator as wire;

use super::CommandError;
use crate::{cli, client, output};

#[cfg(test)]
mod tests;

const HEADING: [&str; 9] =
    ["ZONE", "INSTANCE", "TARGET", "PHASE", "INTENDED", "SERVING", "REVISION", "CALLS", "NOTE"];

pub(super) async fn run(
    client: &client::Client,
    output: cli::Output,
    all: bool,
) -> Result<process::ExitCode, CommandError> {
    let mut status: wire::Status = client.get("/api/status").await?;
    status.instances.sort_by(|a, b| (&a.zone, &a.instance).cmp(&(&b.zone, &b.instance)));
    if output == cli::Output::Table {
        let wire::Status { revision, control, entry, .. } = &status;
        println!("revision {revision} at {entry}, voters {control}");
    }
    output::print(output, &status, |status| {
        let mut table = output::Table::new(&HEADING);
        rows(status, all).into_iter().for_each(|row| table.row(row));
        table
    })?;
    Ok(process::ExitCode::SUCCESS)
}

/// The rows of the table, in the order of the instances. Unless `all` is set, instances of a zone
/// and target in the state of most of them share the row of the first one.
fn rows(status: &wire::Status, all: bool) -> Vec<Vec<String>> {
    let usual = usual_states(status);
    let mut shown = collections::BTreeSet::new();
    let mut rows = Vec::new();
    for instance in &status.instances {
        let group = (instance.zone.as_str(), instance.target.as_str());
        let members = match usual.get(&group) {
            Some((state, members)) if !all && *state == state_of(status, instance) => members,
            _ => {
                rows.push(row(status, instance, &instance.instance, instance.running));
                continue;
            }
        };
        if shown.insert(group) {
            let calls = members.iter().map(|member| member.running).sum();
            let name = match members.len() {
                1 => instance.instance.clone(),
                count => format!("{count} instances"),
            };
            rows.push(row(status, instance, &name, calls));
        }
    }
    rows
}

/// What two instances must have in common to share a row.
type State = Vec<String>;

type Group<'s> = (&'s str, &'s str);

/// The state of most instances of each zone and target, and these instances.
fn usual_states(
    status: &wire::Status,
) -> collections::BTreeMap<Group<'_>, (State, Vec<&wire::InstanceStatus>)> {
    let mut by_state =
        collections::BTreeMap::<(Group<'_>, State), Vec<&wire::InstanceStatus>>::new();
    for instance in &status.instances {
        let group = (instance.zone.as_str(), instance.target.as_str());
        by_state.entry((group, state_of(status, instance))).or_default().push(instance);
    }
    let mut usual = collections::BTreeMap::<Group<'_>, (State, Vec<_>)>::new();
    for ((group, state), members) in by_state {
        if usual.get(&group).is_none_or(|(_, held)| held.len() < members.len()) {
            usual.insert(group, (state, members));
        }
    }
    usual
}

fn state_of(status: &wire::Status, instance: &wire::InstanceStatus) -> State {
    row(status, instance, "", 0)
}

fn row(
    status: &wire::Status,
    instance: &wire::InstanceStatus,
    name: &str,
    calls: u64,
) -> Vec<String> {
    vec![
        instance.zone.clone(),
        name.to_owned(),
        instance.target.clone(),
        instance.phase.clone(),
        output::short(instance.intended.as_deref()),
        output::short(instance.serving.as_deref()),
        instance.applied_revision.to_string(),
        calls.to_string(),
        note(status, instance),
    ]
}

fn note(status: &wire::Status, instance: &wire::InstanceStatus) -> String {
    let mut notes = Vec::new();
    if instance.leaving {
        notes.push("leaving".to_owned());
    }
    notes.extend(instance.behind.clone());
    if instance.applied_revision < status.revision {
        notes.push(format!("behind by {} changes", status.revision - instance.applied_revision));
    }
    notes.join("; ")
}
