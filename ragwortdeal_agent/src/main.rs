//! The `ragwortdeal-agent` program.

mod cli;

use std::process;

use clap::Parser as _;
use ragwortdeal_node::{agent, program, settings};

fn main() -> process::ExitCode {
    let options = cli::Options::parse();
    let settings = match program::load::<settings::agent::Settings>(&options.config) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if options.check {
        return process::ExitCode::SUCCESS;
    }
    let level = settings.log.level.clone();
    program::run(&level, async |stop| {
        let listener = tokio::net::TcpListener::bind(settings.listen.calls).await?;
        agent::run(settings, listener, stop).await?;
        Ok::<_, Box<dyn std::error::Error>>(())
    })
}
