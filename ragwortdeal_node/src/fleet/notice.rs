//! What voters, entries and agents tell each other on their links.

use std::{fmt, net};

use ragwortdeal_core::{
    directory,
    document::{naming, store},
};
use ragwortdeal_wire::link as wire;

/// One message. It travels inside a link's opaque field: both ends are the same program.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum Notice {
    /// A follower wants to be told, and holds this document already.
    #[serde(rename = "Follow")]
    Subscribe {
        /// Version of its document.
        version: u64,
    },
    /// The document where the follower's is older.
    Documents(store::Store),
    /// Weights that were named, and how long ago. Voters tell it, and followers tell a voter that
    /// comes into reach: after a restart it does not know how long ago.
    #[serde(rename = "Named")]
    Namings(Vec<naming::Naming>),
    /// Voters that can be followed, by address.
    Voters(Vec<net::Ipv4Addr>),
    /// Announcements of upstreams.
    Upstreams(Vec<directory::Announcement>),
    /// An upstream says that it is gone.
    #[serde(rename = "Left")]
    UpstreamLeft {
        /// Its identifier.
        instance: directory::Text,
        /// How old its word is, where it told.
        age: Option<directory::Age>,
    },
    /// All agents that run, as this voter knows them, for an agent that follows anew.
    Agents(Vec<AgentInfo>),
    /// An agent that has come, or of which something changed. Each change goes to all agents from all
    /// voters, so it names this agent alone.
    Agent(AgentInfo),
    /// An agent that is not connected any more.
    AgentLeft(net::Ipv4Addr),
    /// An agent tells which weights its engine serves. A voter tells an agent that follows it what
    /// was said from there before.
    #[serde(rename = "Serves")]
    EngineStatus(EngineStatus),
    /// The words of all agents, for an entry that follows anew. One by one they would not fit into
    /// the queue of its link.
    #[serde(rename = "AllServe")]
    EngineStatuses(Vec<EngineStatus>),
    /// An entry counts as running as long as it says so.
    #[serde(rename = "Entries")]
    EntryCount(u32),
}

/// An agent and where it stands.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AgentInfo {
    /// Its address.
    pub address: net::Ipv4Addr,
    /// Its availability zone.
    pub zone: String,
    /// Start of its process.
    pub incarnation: u64,
    /// Whether its link is narrow, by its own word.
    pub narrow: bool,
}

/// What an agent knows of its engine, sooner than the engine announces it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EngineStatus {
    /// Address of the engine.
    pub address: net::SocketAddrV4,
    /// Start of the engine, 0 where it is not known.
    pub born_ms: u64,
    /// Number of this word of the agent; a higher one is newer.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Version that it serves, 0 for none.
    pub version: u64,
    /// Whether it takes new requests.
    pub accepts: bool,
    /// Highest version of which the agent holds all chunks. An agent that has got the newer weights
    /// shows that its link is well and that its engine changes in its turn.
    #[serde(rename = "whole")]
    pub complete_version: u64,
    /// Whether the agent finds its link narrow. The engine stands behind the same link.
    pub narrow: bool,
}

/// Wraps a notice for a link.
pub fn encode(notice: &Notice) -> wire::Message {
    let mut payload = Vec::new();
    ciborium::into_writer(notice, &mut payload).expect("own types encode into memory");
    wire::Message::Replicate(wire::Replicate { payload: payload.into() })
}

/// Reads a notice. Another kind of message is none.
pub fn decode(message: &wire::Message) -> Option<Notice> {
    let wire::Message::Replicate(replicate) = message else {
        return None;
    };
    ciborium::from_reader(&replicate.payload[..]).ok()
}

/// Logs what a process learns of a naming. With its age and its teller the line explains later why
/// requests went to older weights, or did not.
pub fn log_naming(process: &str, teller: impl fmt::Display, naming: &naming::Naming) {
    log::info!(
        model = &*naming.model, version = naming.version, age_ms = naming.age_ms, teller:%;
        "{process}: weights are named"
    );
}
