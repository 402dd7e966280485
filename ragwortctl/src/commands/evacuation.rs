//! Lists, starts and ends evacuations of availability zones.

use std::{net, process};

use ragwortdeal_node::voter::operate::evacuations::{
    self, EvacuationsReply, EvacuationsRequest, ListedZones,
};

use super::{CommandError, voter_link};
use crate::{cli, output};

/// How long a voter may take to answer. It waits for the group to decide.
const ANSWER_MS: u64 = 6_000;

/// Runs the command at the first voter that gives a clear answer.
pub(super) async fn run(
    voters: &[net::SocketAddr],
    secret: &str,
    output: cli::Output,
    command: cli::Evacuation,
) -> Result<process::ExitCode, CommandError> {
    let set = |zone, evacuated| EvacuationsRequest::SetEvacuation { zone, evacuated };
    let request = match command {
        cli::Evacuation::List => EvacuationsRequest::ListEvacuations,
        cli::Evacuation::Start { zone } => set(zone, true),
        cli::Evacuation::End { zone } => set(zone, false),
    };
    for voter in voters {
        match ask(*voter, secret, &request).await {
            // Another voter may reach a quorum, and the order may be given again.
            Ok(EvacuationsReply::NotConfirmed { reason }) | Err(reason) => {
                eprintln!("ragwortctl: voter {voter}: {reason}");
            }
            Ok(reply) => return print(output, reply),
        }
    }
    Ok(process::ExitCode::FAILURE)
}

async fn ask(
    voter: net::SocketAddr,
    secret: &str,
    request: &EvacuationsRequest,
) -> Result<EvacuationsReply, String> {
    let link = voter_link::open(voter, secret).await?;
    evacuations::ask(&link, request, ANSWER_MS).await.map_err(|error| error.to_string())
}

fn print(output: cli::Output, reply: EvacuationsReply) -> Result<process::ExitCode, CommandError> {
    match reply {
        EvacuationsReply::Zones(listed) => {
            if !listed.confirmed {
                eprintln!("ragwortctl: may be outdated: no quorum of the voters confirmed it");
            }
            output::print(output, &listed, table)?;
            Ok(process::ExitCode::SUCCESS)
        }
        EvacuationsReply::InForce(state) => {
            let what = if state.evacuated { "evacuated" } else { "not evacuated" };
            println!("{} is {what}, revision {}", state.zone, state.revision);
            Ok(process::ExitCode::SUCCESS)
        }
        EvacuationsReply::UnknownZone => {
            eprintln!("ragwortctl: the voters' settings name no such availability zone");
            Ok(process::ExitCode::FAILURE)
        }
        EvacuationsReply::NotConfirmed { reason } => {
            eprintln!("ragwortctl: not confirmed: {reason}");
            Ok(process::ExitCode::FAILURE)
        }
    }
}

fn table(listed: &ListedZones) -> output::Table {
    let mut table = output::Table::new(&["ZONE", "STATE", "REVISION"]);
    for zone in &listed.zones {
        let state = if zone.evacuated { "evacuated" } else { "in use" };
        table.row(vec![zone.zone.to_string(), state.to_owned(), zone.revision.to_string()]);
    }
    table
}
