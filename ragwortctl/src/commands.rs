//! What each command does.

mod changes;
mod evacuation;
mod explain;
mod generate;
mod parts;
mod spread;
mod status;
mod views;
mod voter_link;

use std::{io, process};

use ragwortdeal_node::{border, program, settings};
use ragwortdeal_wire::operator as wire;
use snafu::Snafu;

use crate::{cli, client};

/// Why a command failed.
#[derive(Debug, Snafu)]
pub enum CommandError {
    /// No entry gave a usable answer.
    #[snafu(display("{source}"), context(false))]
    Client {
        /// What went wrong.
        source: client::ClientError,
    },
    /// Something on this machine failed.
    #[snafu(display("{step}: {source}"))]
    Io {
        /// What was being done.
        step: &'static str,
        /// What went wrong.
        source: io::Error,
    },
    /// An argument is malformed.
    #[snafu(display("{source}"), context(false))]
    Argument {
        /// What is wrong.
        source: border::BorderError,
    },
    /// A label is neither KEY=VALUE nor KEY-.
    #[snafu(display("{text:?} is neither KEY=VALUE nor KEY-"))]
    Label {
        /// The argument.
        text: String,
    },
    /// Nothing stands under this key.
    #[snafu(display("{key} is not set"))]
    NotSet {
        /// The key.
        key: String,
    },
}

impl From<io::Error> for CommandError {
    fn from(source: io::Error) -> Self {
        CommandError::Io { step: "print", source }
    }
}

/// Runs the command.
pub async fn run(options: cli::Options) -> Result<process::ExitCode, CommandError> {
    let cli::Options { entry, token, output, command } = options;
    let client = client::Client::new(entry, token);
    match command {
        cli::Command::Label(command) => changes::label(&client, output, command).await,
        cli::Command::Selector(command) => changes::selector(&client, output, command).await,
        cli::Command::Version(command) => changes::version(&client, output, command).await,
        cli::Command::Status { all } => status::run(&client, output, all).await,
        cli::Command::Spread { watch } => spread::spread(&client, output, watch).await,
        cli::Command::Operations { in_doubt } => views::operations(&client, output, in_doubt).await,
        cli::Command::Settle { operation, ran } => {
            views::settle(&client, output, operation, ran).await
        }
        cli::Command::Explain { request, files } => explain::explain(&request, &files),
        cli::Command::Parts { voter, secret, command } => {
            parts::run(&voter, &secret, output, command).await
        }
        cli::Command::Evacuation { voter, secret, command } => {
            evacuation::run(&voter, &secret, output, command).await
        }
        cli::Command::Members => views::members(&client, output).await,
        cli::Command::ReplaceVoter { lost, new } => {
            let replacement = wire::VoterReplacement { lost, new };
            views::replace_voter(&client, output, replacement).await
        }
        cli::Command::CheckConfig { program, file } => Ok(check_config(program, &file)),
        cli::Command::Generate { folder } => generate::write(&folder),
    }
}

fn check_config(program: cli::Program, file: &std::path::Path) -> process::ExitCode {
    let checked = match program {
        cli::Program::Entry => program::load::<settings::entry::Settings>(file).map(drop),
        cli::Program::Agent => program::load::<settings::agent::Settings>(file).map(drop),
        cli::Program::Voter => program::load::<settings::voter::Settings>(file).map(drop),
        cli::Program::Fleet => program::load::<settings::fleet::Settings>(file).map(drop),
    };
    match checked {
        Ok(()) => {
            println!("{}: ok", file.display());
            process::ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}
