//! The `ragwortdeal-entry` program.

mod cli;

use std::process;

use clap::Parser as _;
use ragwortdeal_node::{entry, program, settings};

fn main() -> process::ExitCode {
    let options = cli::Options::parse();
    let settings = match program::load::<settings::entry::Settings>(&options.config) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if options.check {
        return process::ExitCode::SUCCESS;
    }
    let level = settings.log.level.clone();
    program::run(&level, async |stop| {
        let listeners = entry::Listeners::bind(&settings).await?;
        entry::run(settings, listeners, stop).await?;
        Ok::<_, Box<dyn std::error::Error>>(())
    })
}
