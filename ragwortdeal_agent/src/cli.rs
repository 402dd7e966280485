//! Command line of `ragwortdeal-agent`.

use std::path;

/// Runs the agent of ragwortdeal.
#[derive(clap::Parser, Debug)]
#[command(name = "ragwortdeal-agent", version)]
pub struct Options {
    /// Settings file.
    #[arg(
        long,
        short,
        value_name = "FILE",
        env = "RAGWORTDEAL_SETTINGS",
        default_value = "agent.toml"
    )]
    pub config: path::PathBuf,
    /// Checks the settings file and exits.
    #[arg(long)]
    pub check: bool,
    /// Runs as a part of a fleet: upstreams announce themselves, and the configuration is one
    /// document.
    #[arg(long)]
    pub fleet: bool,
}
