//! The `ragwortdeal-agent` program.

mod cli;

use std::process;

use clap::Parser as _;
use ragwortdeal_node::{agent, fleet, program, settings};

fn main() -> process::ExitCode {
    let options = cli::Options::parse();
    match options.fleet {
        true => run_in_fleet(&options),
        false => run_alone(&options),
    }
}

fn run_alone(options: &cli::Options) -> process::ExitCode {
    let run = async |settings: settings::agent::Settings, stop| {
        let listener = tokio::net::TcpListener::bind(settings.listen.calls).await?;
        agent::run(settings, listener, stop).await?;
        Ok::<_, Box<dyn std::error::Error>>(())
    };
    program::run(&options.config, options.check, run)
}

fn run_in_fleet(options: &cli::Options) -> process::ExitCode {
    let run = async |settings: settings::fleet::Settings, stop| {
        let seeds = fleet::reload::watch_seeds(&options.config, &settings);
        let address = (settings.fleet.address, settings.fleet.link_port);
        let listener = tokio::net::TcpListener::bind(address).await?;
        fleet::agent::run(settings, &ragwortdeal_platform::DIALECT, listener, seeds, stop).await?;
        Ok::<_, Box<dyn std::error::Error>>(())
    };
    program::run_on_one_thread(&options.config, options.check, run)
}
