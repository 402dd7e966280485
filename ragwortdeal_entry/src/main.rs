//! The `ragwortdeal-entry` program.

mod cli;

use std::process;

use clap::Parser as _;
use ragwortdeal_node::{entry, program, settings};

fn main() -> process::ExitCode {
    let options = cli::Options::parse();
    let run = async |settings: settings::entry::Settings, stop| {
        let listeners = entry::Listeners::bind(&settings).await?;
        entry::run(settings, listeners, stop).await?;
        Ok::<_, Box<dyn std::error::Error>>(())
    };
    program::run(&options.config, options.check, run)
}
