//! Command line of `ragwortctl`.

use std::{net, path};

/// Changes labels and selectors of ragwortdeal, and shows what they led to.
#[derive(clap::Parser, Debug)]
#[command(name = "ragwortctl", version)]
pub struct Options {
    /// Address of an entry's listener for operators. With several, the next is asked when one
    /// does not answer; a change keeps its identifier, so it is never made twice.
    #[arg(
        long,
        global = true,
        env = "RAGWORTCTL_ENTRY",
        value_delimiter = ',',
        default_value = "127.0.0.1:7101"
    )]
    pub entry: Vec<net::SocketAddr>,
    /// The operator's secret.
    #[arg(
        long,
        global = true,
        env = "RAGWORTCTL_TOKEN",
        hide_env_values = true,
        default_value = ""
    )]
    pub token: String,
    /// How to print.
    #[arg(long, global = true, value_enum, default_value = "table")]
    pub output: Output,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// How to print.
#[derive(clap::ValueEnum, Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// For people.
    Table,
    /// For programs.
    Json,
}

/// What to do.
#[derive(clap::Subcommand, Debug)]
pub enum Command {
    /// Labels of instances, models, services and accounts.
    #[command(subcommand)]
    Label(Label),
    /// Selectors: placements and routes.
    #[command(subcommand)]
    Selector(Selector),
    /// Versions of weights.
    #[command(subcommand)]
    Version(Version),
    /// What is intended, what serves, and what is behind and why, by availability zone. Instances
    /// in the state of most of their zone share a line.
    Status {
        /// Shows each instance on a line of its own.
        #[arg(long)]
        all: bool,
    },
    /// Progress of the rollout of each version.
    Spread {
        /// Redraws until all replicas serve what is intended.
        #[arg(long)]
        watch: bool,
    },
    /// Operations that may not be repeated.
    Operations {
        /// Only those whose outcome nobody knows.
        #[arg(long)]
        in_doubt: bool,
    },
    /// Settles an operation in doubt after a look at the ledger.
    Settle {
        /// The operation's identifier.
        operation: String,
        /// Whether the ledger shows that it ran.
        #[arg(long, value_parser = clap::builder::BoolishValueParser::new(), action = clap::ArgAction::Set)]
        ran: bool,
    },
    /// Prints the story of one request from log files of a fleet's processes, and its cause.
    Explain {
        /// The request's identifier.
        request: String,
        /// Log files.
        #[arg(required = true)]
        files: Vec<path::PathBuf>,
    },
    /// Parts of prompts that end engines, at the voters of a fleet.
    Parts {
        /// Address of a voter's listener for links. With several, the next is asked when one does
        /// not answer.
        #[arg(long, env = "RAGWORTCTL_VOTER", value_delimiter = ',', required = true)]
        voter: Vec<net::SocketAddr>,
        /// The secret of the fleet's processes.
        #[arg(long, env = "RAGWORTCTL_SECRET", hide_env_values = true, default_value = "")]
        secret: String,
        /// What to do.
        #[command(subcommand)]
        command: Parts,
    },
    /// Evacuations of availability zones, at the voters of a fleet.
    Evacuation {
        /// Address of a voter's listener for links. With several, the next is asked when one does
        /// not confirm the state.
        #[arg(long, env = "RAGWORTCTL_VOTER", value_delimiter = ',', required = true)]
        voter: Vec<net::SocketAddr>,
        /// The secret of the fleet's processes.
        #[arg(long, env = "RAGWORTCTL_SECRET", hide_env_values = true, default_value = "")]
        secret: String,
        /// What to do.
        #[command(subcommand)]
        command: Evacuation,
    },
    /// The voters.
    Members,
    /// Replaces a voter that is lost for good, brings a new one in, or both.
    ReplaceVoter {
        /// Instance whose voter is lost for good.
        #[arg(long)]
        lost: Option<String>,
        /// Instance of a running voter that is to take part.
        #[arg(long)]
        new: Option<String>,
    },
    /// Checks a settings file.
    CheckConfig {
        /// The program that reads it.
        #[arg(long, value_enum)]
        program: Program,
        /// The file.
        file: path::PathBuf,
    },
    /// Writes shell completions and man pages.
    #[command(hide = true)]
    Generate {
        /// Folder to write to.
        folder: path::PathBuf,
    },
}

/// Parts of prompts that end engines.
#[derive(clap::Subcommand, Debug)]
pub enum Parts {
    /// Lists the parts that are isolated or were released, and what speaks against others.
    List,
    /// Refuses requests with a part from now on.
    Isolate {
        /// Name of the part.
        name: String,
    },
    /// Serves requests with a part again, as after new weights that bear it.
    Release {
        /// Name of the part.
        name: String,
    },
}

/// Evacuations of availability zones.
#[derive(clap::Subcommand, Debug)]
pub enum Evacuation {
    /// Lists the availability zones and whether they are evacuated.
    List,
    /// Sends nothing more to upstreams of a zone. Streams in progress run to their end.
    Start {
        /// Name of the availability zone.
        zone: String,
    },
    /// Sends requests to upstreams of a zone again.
    End {
        /// Name of the availability zone.
        zone: String,
    },
}

/// Programs that read settings.
#[derive(clap::ValueEnum, Clone, Copy, Debug)]
pub enum Program {
    /// `ragwortdeal-entry`.
    Entry,
    /// `ragwortdeal-agent`.
    Agent,
    /// `ragwortdeal-voter`.
    Voter,
    /// Any program in a fleet.
    Fleet,
}

/// What guards a change.
#[derive(clap::Args, Debug, Clone, Default)]
pub struct Guard {
    /// Refuses the change unless the object is at this revision; 0 means that it must not exist.
    #[arg(long)]
    pub expected_revision: Option<u64>,
    /// Identifier of the change, to send one again whose answer was lost.
    #[arg(long)]
    pub change_id: Option<String>,
}

/// Labels.
#[derive(clap::Subcommand, Debug)]
pub enum Label {
    /// Sets labels, and removes those written as KEY-.
    Set {
        /// What to label, such as instance/a-1 or model/match.
        key: String,
        /// Labels as KEY=VALUE, or KEY- to remove one.
        #[arg(required = true)]
        labels: Vec<String>,
        /// What guards the change.
        #[command(flatten)]
        guard: Guard,
    },
    /// Shows the labels of one thing.
    Get {
        /// What is labelled, such as instance/a-1.
        key: String,
    },
    /// Lists labels.
    List {
        /// Only this kind, such as instance.
        kind: Option<String>,
    },
    /// Removes all labels of one thing.
    Remove {
        /// What is labelled, such as instance/a-1.
        key: String,
        /// What guards the change.
        #[command(flatten)]
        guard: Guard,
    },
}

/// Selectors.
#[derive(clap::Subcommand, Debug)]
pub enum Selector {
    /// Sets which version the selected instances serve.
    Place {
        /// Name of the placement.
        name: String,
        /// Label selector over instances, such as 'pool=chat,!canary'.
        #[arg(long)]
        instances: String,
        /// Digest of the version's manifest.
        #[arg(long)]
        version: String,
        /// What guards the change.
        #[command(flatten)]
        guard: Guard,
    },
    /// Sets which accounts reach which upstreams.
    Route {
        /// Name of the route.
        name: String,
        /// Label selector over accounts; empty selects all.
        #[arg(long, default_value = "")]
        accounts: String,
        /// Label selector over models and services; empty selects all.
        #[arg(long, default_value = "")]
        targets: String,
        /// Label selector over upstream instances; empty selects all.
        #[arg(long, default_value = "")]
        upstreams: String,
        /// What guards the change.
        #[command(flatten)]
        guard: Guard,
    },
    /// Shows one selector.
    Get {
        /// Kind and name, such as placement/chat.
        key: String,
    },
    /// Lists selectors.
    List {
        /// Only this kind: placement or route.
        kind: Option<String>,
    },
    /// Removes a selector.
    Remove {
        /// Kind and name, such as placement/chat.
        key: String,
        /// What guards the change.
        #[command(flatten)]
        guard: Guard,
    },
}

/// Versions of weights.
#[derive(clap::Subcommand, Debug)]
pub enum Version {
    /// Registers a version, which never changes its meaning afterwards.
    Add {
        /// Digest of the manifest.
        version: String,
        /// Model that callers ask for.
        #[arg(long)]
        model: String,
        /// Adapter that is part of the version.
        #[arg(long)]
        adapter: Option<String>,
        /// Size of all chunks together.
        #[arg(long)]
        size_bytes: u64,
        /// What guards the change.
        #[command(flatten)]
        guard: Guard,
    },
    /// Lists versions.
    List,
    /// Removes a version that no placement names.
    Remove {
        /// Digest of the manifest.
        version: String,
        /// What guards the change.
        #[command(flatten)]
        guard: Guard,
    },
}

#[cfg(test)]
mod tests {
    use clap::CommandFactory as _;

    #[googletest::test]
    fn the_command_line_is_consistent() {
        super::Options::command().debug_assert();
    }
}
