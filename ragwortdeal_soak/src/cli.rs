//! Command line of `ragwortdeal-soak`.

use std::{ops, path, str};

use ragwortdeal_soak::regressions;

/// Runs the programs of a fleet under faults from outside, and checks what callers see.
#[derive(clap::Parser, Debug)]
#[command(name = "ragwortdeal-soak", version)]
pub struct Options {
    /// Decides which faults come when and where.
    #[arg(long, default_value_t = 1, conflicts_with = "seeds")]
    pub seed: u64,
    /// Runs these seeds one after the other, the last one included.
    #[arg(long, value_name = "A..B")]
    pub seeds: Option<Seeds>,
    /// Runs the seeds that ever broke a promise, each with its seconds.
    #[arg(long, conflicts_with_all = ["seed", "seeds", "seconds"])]
    pub regressions: bool,
    /// Seconds with faults in each run. Each takes some 25 s more, without faults.
    #[arg(long, default_value_t = 24)]
    pub seconds: u64,
    /// Folder for settings, logs and disks, one below it for each seed.
    #[arg(long, default_value = "target/soak")]
    pub folder: path::PathBuf,
    /// Folder of the programs; that of this program unless told.
    #[arg(long)]
    pub programs: Option<path::PathBuf>,
}

impl Options {
    /// Seeds to run, with their seconds.
    pub fn runs(&self) -> Vec<(u64, u64)> {
        if self.regressions {
            return regressions::all();
        }
        let seeds = self.seeds.as_ref().map_or(self.seed..=self.seed, |seeds| seeds.0.clone());
        seeds.map(|seed| (seed, self.seconds)).collect()
    }
}

/// A range of seeds.
#[derive(Clone, Debug)]
pub struct Seeds(pub ops::RangeInclusive<u64>);

impl str::FromStr for Seeds {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let read = || {
            let (first, last) = text.split_once("..")?;
            Some(Self(first.parse().ok()?..=last.trim_start_matches('=').parse().ok()?))
        };
        read().ok_or_else(|| format!("{text:?} is not like 1..50"))
    }
}
