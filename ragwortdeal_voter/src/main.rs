//! The `ragwortdeal-voter` program.

mod cli;

use std::process;

use clap::Parser as _;
use ragwortdeal_node::{fleet, program, settings, voter};

fn main() -> process::ExitCode {
    let options = cli::Options::parse();
    match options.fleet {
        true => run_in_fleet(&options),
        false => run_alone(&options),
    }
}

fn run_alone(options: &cli::Options) -> process::ExitCode {
    let run = async |settings: settings::voter::Settings, stop| {
        let listener = tokio::net::TcpListener::bind(settings.listen.links).await?;
        voter::run(settings, listener, stop).await?;
        Ok::<_, Box<dyn std::error::Error>>(())
    };
    program::run(&options.config, options.check, run)
}

fn run_in_fleet(options: &cli::Options) -> process::ExitCode {
    let run = async |settings: settings::fleet::Settings, stop| {
        let seeds = fleet::reload::watch_seeds(&options.config, &settings);
        let control = settings.listen.control.ok_or("listen.control is missing")?;
        let links = (settings.fleet.address, settings.fleet.link_port);
        let listeners = voter::fleet::Listeners {
            links: tokio::net::TcpListener::bind(links).await?,
            control: tokio::net::TcpListener::bind(control).await?,
        };
        voter::fleet::run(settings, &ragwortdeal_platform::DIALECT, listeners, seeds, stop).await?;
        Ok::<_, Box<dyn std::error::Error>>(())
    };
    program::run_on_one_thread(&options.config, options.check, run)
}
