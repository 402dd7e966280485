//! The `ragwortctl` program.

mod cli;
mod client;
mod commands;
mod output;

use std::process;

use clap::Parser as _;
use ragwortdeal_node::logging;

fn main() -> process::ExitCode {
    let options = cli::Options::parse();
    logging::start("warn");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = match runtime {
        Ok(runtime) => runtime.block_on(commands::run(options)),
        Err(source) => Err(commands::CommandError::Io { step: "start", source }),
    };
    match ended {
        Ok(code) => code,
        Err(error) => {
            eprintln!("ragwortctl: {error}");
            process::ExitCode::FAILURE
        }
    }
}
