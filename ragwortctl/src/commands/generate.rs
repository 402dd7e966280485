//! Writes shell completions and man pages.

use std::{fs, path, process};

use clap::CommandFactory as _;
use snafu::ResultExt as _;

use super::{CommandError, IoSnafu};
use crate::cli;

pub(super) fn write(folder: &path::Path) -> Result<process::ExitCode, CommandError> {
    let completions = folder.join("completions");
    let man = folder.join("man");
    fs::create_dir_all(&completions).context(IoSnafu { step: "create folder" })?;
    fs::create_dir_all(&man).context(IoSnafu { step: "create folder" })?;
    let mut command = without_help(cli::Options::command());
    for shell in [clap_complete::Shell::Bash, clap_complete::Shell::Zsh, clap_complete::Shell::Fish]
    {
        clap_complete::generate_to(shell, &mut command, "ragwortctl", &completions)
            .context(IoSnafu { step: "write completions" })?;
    }
    clap_mangen::generate_to(command, &man).context(IoSnafu { step: "write man pages" })?;
    Ok(process::ExitCode::SUCCESS)
}

/// Leaves out the `help` commands, which would double the number of man pages.
fn without_help(command: clap::Command) -> clap::Command {
    command.disable_help_subcommand(true).mut_subcommands(without_help)
}
