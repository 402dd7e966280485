//! Command line of `ragwortdeal-voter`.

use std::path;

/// Runs the voter of ragwortdeal.
#[derive(clap::Parser, Debug)]
#[command(name = "ragwortdeal-voter", version)]
pub struct Options {
    /// Settings file.
    #[arg(
        long,
        short,
        value_name = "FILE",
        env = "RAGWORTDEAL_SETTINGS",
        default_value = "voter.toml"
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
