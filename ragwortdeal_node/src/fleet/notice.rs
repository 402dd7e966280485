//! Messages that voters, entries and agents exchange on their links.

use std::{fmt, net};

use ragwortdeal_core::{
    directory,
    dispatch::{
        entry_roster,
        isolation::{evidence, request_ends, verdicts},
        prompt,
    },
    document::{evacuation, naming, store},
};
use ragwortdeal_wire::link as wire;

/// One message. It is sent in a link's opaque field: both ends are the same program.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum Notice {
    /// A subscriber asks for updates.
    #[serde(rename = "Follow")]
    Subscribe {
        /// Version of the document that it holds already.
        version: u64,
    },
    /// The document, if the subscriber's is older.
    Documents(store::Store),
    /// Weights that were named, and how long ago. Voters send it, and subscribers send it to a
    /// voter that comes into reach: after a restart the voter does not know how long ago.
    #[serde(rename = "Named")]
    Namings(Vec<naming::Naming>),
    /// Addresses of voters that can be followed.
    Voters(Vec<net::Ipv4Addr>),
    /// Announcements of upstreams.
    Upstreams(Vec<directory::Announcement>),
    /// An upstream reported that it is gone.
    #[serde(rename = "Left")]
    UpstreamLeft {
        /// Its identifier.
        instance: directory::Text,
        /// Age of its report, if known.
        age: Option<directory::AnnouncementOrder>,
    },
    /// All running agents as known to this voter, for an agent that has just subscribed.
    Agents(Vec<AgentInfo>),
    /// An agent that joined or changed. Each change goes to all agents from all voters, so it
    /// contains this agent alone.
    Agent(AgentInfo),
    /// An agent that is no longer connected.
    AgentLeft(net::Ipv4Addr),
    /// Several agents that joined, changed or left together.
    AgentChanges {
        /// Those that joined or changed.
        changed: Vec<AgentInfo>,
        /// Those that are no longer connected.
        left: Vec<net::Ipv4Addr>,
    },
    /// An agent reports which weights its engine serves. A voter sends an agent that subscribes the
    /// last report from its address.
    #[serde(rename = "Serves")]
    EngineStatus(EngineStatus),
    /// The reports of many agents: of all for an entry that has just subscribed, later of those
    /// that came together. Sent one by one they would not fit into the queue of its link.
    #[serde(rename = "AllServe")]
    EngineStatuses(Vec<EngineStatus>),
    /// Number of running entries. An entry counts as long as it is connected.
    #[serde(rename = "Entries")]
    EntryCount(u32),
    /// All entries that are connected to this voter, for an entry that has just subscribed.
    #[serde(rename = "AllEntries")]
    Entries(Vec<entry_roster::EntryInfo>),
    /// Entries that joined or left together.
    EntryChanges {
        /// Those that joined.
        joined: Vec<entry_roster::EntryInfo>,
        /// Those that are no longer connected.
        left: Vec<net::Ipv4Addr>,
    },
    /// Rates that upstreams name, or no longer name. An entry reports its changes to all voters, and
    /// all rates that it knows to a voter that comes into reach. Voters send all to an entry that
    /// connects.
    NamedRates(Vec<NamedRate>),
    /// Upstreams that an entry assumes to be cold. A voter passes on the next announcement of each,
    /// also if it shows nothing new.
    AwaitedUpstreams(Vec<directory::Text>),
    /// An entry tells of the end of an upstream, with what ran there.
    EngineEnded(evidence::EndReport),
    /// Parts of prompts that ended engines are charged with. Entries tell when an engine bears one.
    ChargedParts(Vec<prompt::PartId>),
    /// An entry tells that engines have just borne these parts, or that upstreams have just answered
    /// requests with these fingerprints whole.
    PartsProved(Vec<prompt::PartId>),
    /// Parts of prompts and requests that were isolated or released. Whoever holds a verdict tells it to a
    /// process that comes into reach.
    Verdicts(Vec<verdicts::Verdict>),
    /// On requests under which upstreams ended.
    Copies(CopiesNotice),
    /// Availability zones that were evacuated, or are no longer. A voter sends all of them to an
    /// entry that subscribes, and later those that change.
    Evacuations(Vec<evacuation::Evacuation>),
}

/// What bounds how often a request is sent under which upstreams ended.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum CopiesNotice {
    /// A voter tells entries how many ends count against requests with two and more, or no longer.
    Charges {
        /// Whether these are all such requests.
        all: bool,
        /// The requests.
        charges: Vec<request_ends::RequestCharge>,
    },
    /// An entry asks one voter whether it may send the request.
    TrialWanted(prompt::PartId),
    /// It may.
    TrialGranted(prompt::PartId),
    /// The entry has its outcome, or sends it no longer.
    TrialOver(prompt::PartId),
}

/// A rate that an upstream named in an answer.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct NamedRate {
    /// The upstream.
    pub instance: directory::Text,
    /// Its start in Unix milliseconds. A restart ends the rate.
    pub born_ms: u64,
    /// Requests a second that it takes from all entries together, none where it named none lately.
    pub per_s: Option<f64>,
}

/// An agent, its location and its link.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AgentInfo {
    /// Its address.
    pub address: net::Ipv4Addr,
    /// Its availability zone.
    pub zone: String,
    /// Start time of its process.
    pub incarnation: u64,
    /// Whether it reports that its link is narrow.
    pub narrow: bool,
}

/// What an agent knows about its engine before the engine announces it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EngineStatus {
    /// Address of the engine.
    pub address: net::SocketAddrV4,
    /// Start time of the engine, 0 if unknown.
    pub born_ms: u64,
    /// Number of this report; a higher one is newer.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Version that it serves, 0 for none.
    pub version: u64,
    /// Whether it accepts new requests.
    pub accepts: bool,
    /// Highest version of which the agent holds all chunks. An agent that holds the newer weights
    /// shows that its link works and that its engine will switch on schedule.
    #[serde(rename = "whole")]
    pub complete_version: u64,
    /// Whether the agent finds its link narrow. The engine is behind the same link.
    pub narrow: bool,
}

/// Encodes a notice for a link.
pub fn encode(notice: &Notice) -> wire::Message {
    let mut payload = Vec::new();
    ciborium::into_writer(notice, &mut payload).expect("own types encode into memory");
    wire::Message::Replicate(wire::Replicate { payload: payload.into() })
}

/// Decodes a notice. None for other kinds of messages.
pub fn decode(message: &wire::Message) -> Option<Notice> {
    let wire::Message::Replicate(replicate) = message else {
        return None;
    };
    ciborium::from_reader(&replicate.payload[..]).ok()
}

/// Logs what a process learns of a naming. The age and the teller in this line explain later why
/// requests were or were not sent to older weights.
pub fn log_naming(process: &str, teller: impl fmt::Display, naming: &naming::Naming) {
    log::info!(
        model = &*naming.model, version = naming.version, age_ms = naming.age_ms, teller:%;
        "{process}: weights are named"
    );
}

/// Logs what a process learns of an evacuation, with the time since its start: one that has just
/// started hears of evacuations that are long in force.
pub fn log_evacuation(
    process: &str,
    teller: impl fmt::Display,
    told: &evacuation::Evacuation,
    running_ms: u64,
) {
    let what = if told.evacuated { "is evacuated" } else { "is no longer evacuated" };
    log::warn!(
        zone = &*told.zone, revision = told.revision, teller:%, running_ms;
        "{process}: an availability zone {what}"
    );
}

/// Logs what a process learns of a part of prompts, or of a request.
pub fn log_verdict(process: &str, teller: &str, verdict: &verdicts::Verdict) {
    let what = if verdict.isolated { "isolated" } else { "released" };
    let of = if verdict.is_of_request() { "a request" } else { "a part of prompts" };
    log::warn!(
        part = &*verdict.part.name, revision = verdict.revision, ends = verdict.ends, teller;
        "{process}: {of} is {what}"
    );
}
