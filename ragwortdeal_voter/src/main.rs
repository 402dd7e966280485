//! The `ragwortdeal-voter` program.

mod cli;

use std::process;

use clap::Parser as _;
use ragwortdeal_node::{program, settings, voter};

fn main() -> process::ExitCode {
    let options = cli::Options::parse();
    let run = async |settings: settings::voter::Settings, stop| {
        let listener = tokio::net::TcpListener::bind(settings.listen.links).await?;
        voter::run(settings, listener, stop).await?;
        Ok::<_, Box<dyn std::error::Error>>(())
    };
    program::run(&options.config, options.check, run)
}
