//! The `ragwortdeal-agent` program.

mod cli;

use std::process;

use clap::Parser as _;
use ragwortdeal_node::{agent, program, settings};

fn main() -> process::ExitCode {
    let options = cli::Options::parse();
    let run = async |settings: settings::agent::Settings, stop| {
        let listener = tokio::net::TcpListener::bind(settings.listen.calls).await?;
        agent::run(settings, listener, stop).await?;
        Ok::<_, Box<dyn std::error::Error>>(())
    };
    program::run(&options.config, options.check, run)
}
