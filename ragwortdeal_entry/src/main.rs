//! The `ragwortdeal-entry` program.

mod cli;

use std::process;

use clap::Parser as _;
use ragwortdeal_node::{entry, fleet, program, settings};

fn main() -> process::ExitCode {
    let options = cli::Options::parse();
    match options.fleet {
        true => run_in_fleet(&options),
        false => run_alone(&options),
    }
}

fn run_alone(options: &cli::Options) -> process::ExitCode {
    let run = async |settings: settings::entry::Settings, stop| {
        let listeners = entry::Listeners::bind(&settings).await?;
        entry::run(settings, listeners, stop).await?;
        Ok::<_, Box<dyn std::error::Error>>(())
    };
    program::run(&options.config, options.check, run)
}

fn run_in_fleet(options: &cli::Options) -> process::ExitCode {
    let run = async |settings: settings::fleet::Settings, stop| {
        let seeds = fleet::reload::watch_seeds(&options.config, &settings);
        let listeners = fleet::entry::Listeners::bind(&settings).await?;
        fleet::entry::run(settings, &ragwortdeal_platform::DIALECT, listeners, seeds, stop).await?;
        Ok::<_, Box<dyn std::error::Error>>(())
    };
    program::run_on_one_thread(&options.config, options.check, run)
}
