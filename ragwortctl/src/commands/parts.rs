//! Lists, isolates and releases parts of prompts that end engines, and requests that end upstreams.

use std::{net, process};

use ragwortdeal_node::voter::operate::parts;

use super::{CommandError, voter_link};
use crate::{cli, output};

/// How long a voter may take to answer.
const ANSWER_MS: u64 = 5_000;

/// Charges that are listed at most.
const CHARGES_LISTED_MAX: usize = 20;

/// Runs the command at the first voter that answers.
pub(super) async fn run(
    voters: &[net::SocketAddr],
    secret: &str,
    output: cli::Output,
    command: cli::Parts,
) -> Result<process::ExitCode, CommandError> {
    let request = match command {
        cli::Parts::List => parts::PartsRequest::ListParts,
        cli::Parts::Isolate { name } => parts::PartsRequest::SetPart { name, isolated: true },
        cli::Parts::Release { name } => parts::PartsRequest::SetPart { name, isolated: false },
    };
    for voter in voters {
        match ask(*voter, secret, &request).await {
            Ok(reply) => return print(output, reply),
            Err(reason) => eprintln!("ragwortctl: voter {voter}: {reason}"),
        }
    }
    Ok(process::ExitCode::FAILURE)
}

async fn ask(
    voter: net::SocketAddr,
    secret: &str,
    request: &parts::PartsRequest,
) -> Result<parts::PartsReply, String> {
    let link = voter_link::open(voter, secret).await?;
    parts::ask(&link, request, ANSWER_MS).await.map_err(|error| error.to_string())
}

fn print(output: cli::Output, reply: parts::PartsReply) -> Result<process::ExitCode, CommandError> {
    match reply {
        parts::PartsReply::Parts(listed) => {
            output::print(output, &listed, table)?;
            Ok(process::ExitCode::SUCCESS)
        }
        parts::PartsReply::Recorded(verdict) => {
            let state = if verdict.isolated { "isolated" } else { "released" };
            println!("{} is {state}, revision {}", verdict.part.name, verdict.revision);
            Ok(process::ExitCode::SUCCESS)
        }
        parts::PartsReply::NotRecorded { reason } => {
            eprintln!("ragwortctl: in force, but not recorded by the voters: {reason}");
            Ok(process::ExitCode::FAILURE)
        }
    }
}

fn table(listed: &parts::ListedParts) -> output::Table {
    let mut table = output::Table::new(&["PART", "STATE", "ENDS", "WEIGHT"]);
    for verdict in listed.verdicts.iter().chain(&listed.requests) {
        let state = if verdict.isolated { "isolated" } else { "released" };
        let (name, ends) = (verdict.part.name.to_string(), verdict.ends.to_string());
        table.row(vec![name, state.to_owned(), ends, "-".to_owned()]);
    }
    for charge in listed.charges.iter().take(CHARGES_LISTED_MAX) {
        let (name, ends) = (charge.part.name.to_string(), charge.ends.to_string());
        table.row(vec![name, "charged".to_owned(), ends, format!("{:.1}", charge.weight)]);
    }
    table
}
