//! The `ragwortdeal-voter` program.

mod cli;

use std::process;

use clap::Parser as _;
use ragwortdeal_node::{program, settings, voter};

fn main() -> process::ExitCode {
    let options = cli::Options::parse();
    let settings = match program::load::<settings::voter::Settings>(&options.config) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if options.check {
        return process::ExitCode::SUCCESS;
    }
    let level = settings.log.level.clone();
    program::run(&level, async |stop| {
        let listener = tokio::net::TcpListener::bind(settings.listen.links).await?;
        voter::run(settings, listener, stop).await?;
        Ok::<_, Box<dyn std::error::Error>>(())
    })
}
