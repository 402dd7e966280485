//! Shows objects, status, operations and voters.

use std::process;

use ragwortdeal_wire::operator as wire;
use snafu::OptionExt as _;

use super::{CommandError, NotSetSnafu};
use crate::{cli, client, output};

pub(super) async fn find(
    client: &client::Client,
    key: &str,
) -> Result<Option<wire::ObjectView>, CommandError> {
    let list: wire::ObjectList = client.get("/api/objects").await?;
    Ok(list.objects.into_iter().find(|view| view.key == key))
}

pub(super) async fn object(
    client: &client::Client,
    output: cli::Output,
    key: &str,
) -> Result<process::ExitCode, CommandError> {
    let view = find(client, key).await?.context(NotSetSnafu { key })?;
    output::print(output, &view, |view| table_of([view].into_iter()))?;
    Ok(process::ExitCode::SUCCESS)
}

pub(super) async fn objects(
    client: &client::Client,
    output: cli::Output,
    kind: Option<&str>,
    kinds: &[&str],
) -> Result<process::ExitCode, CommandError> {
    let mut list: wire::ObjectList = client.get("/api/objects").await?;
    list.objects.retain(|view| {
        let of = view.key.split('/').next().unwrap_or_default();
        kinds.contains(&of) && kind.is_none_or(|kind| kind == of)
    });
    output::print(output, &list, |list| table_of(list.objects.iter()))?;
    Ok(process::ExitCode::SUCCESS)
}

fn table_of<'v>(views: impl Iterator<Item = &'v wire::ObjectView>) -> output::Table {
    let mut table = output::Table::new(&["KEY", "REVISION", "OBJECT"]);
    for view in views {
        table.row(vec![view.key.clone(), view.revision.to_string(), text_of(&view.object)]);
    }
    table
}

fn text_of(object: &wire::Object) -> String {
    match object {
        wire::Object::Labels(labels) => {
            let mut pairs: Vec<String> =
                labels.iter().map(|(key, value)| format!("{key}={value}")).collect();
            pairs.sort();
            pairs.join(",")
        }
        wire::Object::Version(version) => {
            let adapter = version.adapter.as_deref().unwrap_or("-");
            format!("model={} adapter={adapter} size_bytes={}", version.model, version.size_bytes)
        }
        wire::Object::Placement(placement) => {
            let version = output::short(Some(&placement.version));
            format!("instances=[{}] version={version}", placement.instances)
        }
        wire::Object::Route(route) => {
            let wire::Route { accounts, targets, upstreams } = route;
            format!("accounts=[{accounts}] targets=[{targets}] upstreams=[{upstreams}]")
        }
    }
}

pub(super) async fn operations(
    client: &client::Client,
    output: cli::Output,
    in_doubt: bool,
) -> Result<process::ExitCode, CommandError> {
    let path = if in_doubt { "/api/operations?in_doubt=true" } else { "/api/operations" };
    let list: wire::OperationList = client.get(path).await?;
    output::print(output, &list, |list| {
        let heading = ["OPERATION", "ACCOUNT", "SERVICE", "STATE", "UPSTREAM"];
        let mut table = output::Table::new(&heading);
        for one in &list.operations {
            let upstream = one.upstream.clone().unwrap_or_default();
            let cells = [&one.operation_id, &one.account, &one.service, &one.state, &upstream];
            table.row(cells.map(Clone::clone).to_vec());
        }
        table
    })?;
    Ok(process::ExitCode::SUCCESS)
}

pub(super) async fn settle(
    client: &client::Client,
    output: cli::Output,
    operation_id: String,
    ran: bool,
) -> Result<process::ExitCode, CommandError> {
    let body = serde_json::to_vec(&wire::Settlement { operation_id, ran }).unwrap_or_default();
    let settled: wire::OperationView = client.post("/api/operations/settle", body).await?;
    output::print(output, &settled, |one| {
        let mut table = output::Table::new(&["OPERATION", "STATE"]);
        table.row(vec![one.operation_id.clone(), one.state.clone()]);
        table
    })?;
    Ok(process::ExitCode::SUCCESS)
}

pub(super) async fn members(
    client: &client::Client,
    output: cli::Output,
) -> Result<process::ExitCode, CommandError> {
    let list: wire::VoterList = client.get("/api/voters").await?;
    output::print(output, &list, voters_table)?;
    Ok(process::ExitCode::SUCCESS)
}

pub(super) async fn replace_voter(
    client: &client::Client,
    output: cli::Output,
    replacement: wire::VoterReplacement,
) -> Result<process::ExitCode, CommandError> {
    let body = serde_json::to_vec(&replacement).unwrap_or_default();
    let list: wire::VoterList = client.post("/api/voters/replace", body).await?;
    output::print(output, &list, voters_table)?;
    Ok(process::ExitCode::SUCCESS)
}

fn voters_table(list: &wire::VoterList) -> output::Table {
    let mut table = output::Table::new(&["VOTER", "STORAGE", "ROLE", "LAST INDEX"]);
    for voter in &list.voters {
        let last_index = voter.last_index.to_string();
        let cells = [&voter.name, &voter.storage, &voter.role, &last_index];
        table.row(cells.map(Clone::clone).to_vec());
    }
    table
}
