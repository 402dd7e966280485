//! Generated from schema/link.json by ./generate; not edited by hand.

/// SHA-256 of the schema file that this module was generated from.
pub const SCHEMA_SHA256: &str = "9ffc3da319fdcb22b8445cf27eecb32b5011997240c4cfc57f4cb7bbf8e0c7ea";

#[doc = "An upstream's announcement of itself, renewed before its lease ends."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Announcement {
    #[doc = "Revision in force there."]
    pub applied_revision: u64,
    #[doc = "Why it does not serve what is intended."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub behind: ::std::option::Option<::std::string::String>,
    #[doc = "Address of the agent's HTTP listener."]
    pub call_address: ::std::string::String,
    #[doc = "Calls in progress at that report that came through the receiver of this announcement."]
    pub from_here: u64,
    #[doc = "Digest of the version it is staging."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub holds: ::std::option::Option<::std::string::String>,
    #[doc = "Start of the agent."]
    pub incarnation: u64,
    #[doc = "Name of the instance."]
    pub instance: ::std::string::String,
    #[doc = "Kind of upstream."]
    pub kind: AnnouncementKind,
    #[doc = "Whether it stops taking new work."]
    pub leaving: bool,
    #[doc = "Bytes drawn from the origin."]
    pub origin_bytes: u64,
    #[doc = "Bytes from the region's instances."]
    pub peer_bytes: u64,
    #[doc = "Phase of the life cycle of its weights."]
    pub phase: ::std::string::String,
    #[doc = "Calls waiting by the engine's last report."]
    pub queued: u64,
    #[doc = "Region."]
    pub region: ::std::string::String,
    #[doc = "Bytes across region links."]
    pub region_bytes: u64,
    #[doc = "Age of that report."]
    pub report_age_ms: u64,
    #[doc = "Calls in progress by the engine's last report."]
    pub running: u64,
    #[doc = "Number of this announcement within the incarnation."]
    pub sequence: u64,
    #[doc = "Digest of the version it serves."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub serving: ::std::option::Option<::std::string::String>,
    #[doc = "Size of the intended version."]
    pub size_bytes: u64,
    #[doc = "Calls that the upstream works on at once."]
    pub slots: u64,
    #[doc = "Verified bytes of the intended version."]
    pub staged_bytes: u64,
    #[doc = "Model or service it serves, or empty before the first."]
    pub target: ::std::string::String,
    #[doc = "Availability zone."]
    pub zone: ::std::string::String,
}
#[doc = "Kind of upstream."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum AnnouncementKind {
    #[serde(rename = "engine")]
    Engine,
    #[serde(rename = "service")]
    Service,
}
impl ::std::fmt::Display for AnnouncementKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Engine => f.write_str("engine"),
            Self::Service => f.write_str("service"),
        }
    }
}
impl ::std::str::FromStr for AnnouncementKind {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "engine" => Ok(Self::Engine),
            "service" => Ok(Self::Service),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for AnnouncementKind {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for AnnouncementKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Asks an agent about an attempt at an operation."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Attempt {
    #[doc = "Identifier of the attempt."]
    pub attempt: ::std::string::String,
    #[doc = "Whether the agent is to promise never to start it."]
    pub forbid: bool,
}
#[doc = "What an agent knows of an attempt."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct AttemptState {
    #[doc = "CBOR of the guard's answer."]
    pub payload: ::serde_bytes::ByteBuf,
}
#[doc = "Steps or a snapshot of the configuration."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct ConfigUpdate {
    #[doc = "CBOR of the core's update."]
    pub payload: ::serde_bytes::ByteBuf,
}
#[doc = "Demand of the accounts at one entry, told to the other entries."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Demand {
    #[doc = "CBOR of the demand by model or service."]
    pub payload: ::serde_bytes::ByteBuf,
}
#[doc = "One frame of a link."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Frame {
    #[doc = "Whether this frame answers a request."]
    pub answer: bool,
    pub message: Message,
    #[doc = "Number of a request, repeated in its answer; absent in a push."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub request: ::std::option::Option<u64>,
    #[doc = "W3C trace context of the hop."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub traceparent: ::std::option::Option<::std::string::String>,
}
#[doc = "First message on a link, so that each side knows the other."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Hello {
    #[doc = "Start of this process; a later start has a higher number."]
    pub incarnation: u64,
    #[doc = "Name of the process."]
    pub name: ::std::string::String,
    #[doc = "entry, agent or voter."]
    pub role: ::std::string::String,
    #[doc = "Its availability zone."]
    pub zone: ::std::string::String,
}
#[doc = "`LinksBetweenTheSystemsOwnProcesses`"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct LinksBetweenTheSystemsOwnProcesses(pub ::serde_json::Value);
impl ::std::ops::Deref for LinksBetweenTheSystemsOwnProcesses {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<LinksBetweenTheSystemsOwnProcesses> for ::serde_json::Value {
    fn from(value: LinksBetweenTheSystemsOwnProcesses) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for LinksBetweenTheSystemsOwnProcesses {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "Membership deltas and summaries between entries and to agents."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Members {
    #[doc = "CBOR of the membership message."]
    pub payload: ::serde_bytes::ByteBuf,
}
#[doc = "What travels in a frame."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub enum Message {
    #[doc = "Introduces a process."]
    #[serde(rename = "hello")]
    Hello(Hello),
    #[doc = "An upstream announces itself."]
    #[serde(rename = "announce")]
    Announce(Announcement),
    #[doc = "Asks for configuration."]
    #[serde(rename = "subscribe")]
    Subscribe(Subscribe),
    #[doc = "Carries configuration."]
    #[serde(rename = "config_update")]
    ConfigUpdate(ConfigUpdate),
    #[doc = "Proposes an entry of the log."]
    #[serde(rename = "propose")]
    Propose(Propose),
    #[doc = "Answers a proposal."]
    #[serde(rename = "proposed")]
    Proposed(Proposed),
    #[doc = "Refuses a request."]
    #[serde(rename = "refused")]
    Refused(Refused),
    #[doc = "Replication between voters."]
    #[serde(rename = "replicate")]
    Replicate(Replicate),
    #[doc = "Membership."]
    #[serde(rename = "members")]
    Members(Members),
    #[doc = "Asks about an attempt."]
    #[serde(rename = "attempt")]
    Attempt(Attempt),
    #[doc = "Answers about an attempt."]
    #[serde(rename = "attempt_state")]
    AttemptState(AttemptState),
    #[doc = "Demand of accounts."]
    #[serde(rename = "demand")]
    Demand(Demand),
}
impl ::std::convert::From<Hello> for Message {
    fn from(value: Hello) -> Self {
        Self::Hello(value)
    }
}
impl ::std::convert::From<Announcement> for Message {
    fn from(value: Announcement) -> Self {
        Self::Announce(value)
    }
}
impl ::std::convert::From<Subscribe> for Message {
    fn from(value: Subscribe) -> Self {
        Self::Subscribe(value)
    }
}
impl ::std::convert::From<ConfigUpdate> for Message {
    fn from(value: ConfigUpdate) -> Self {
        Self::ConfigUpdate(value)
    }
}
impl ::std::convert::From<Propose> for Message {
    fn from(value: Propose) -> Self {
        Self::Propose(value)
    }
}
impl ::std::convert::From<Proposed> for Message {
    fn from(value: Proposed) -> Self {
        Self::Proposed(value)
    }
}
impl ::std::convert::From<Refused> for Message {
    fn from(value: Refused) -> Self {
        Self::Refused(value)
    }
}
impl ::std::convert::From<Replicate> for Message {
    fn from(value: Replicate) -> Self {
        Self::Replicate(value)
    }
}
impl ::std::convert::From<Members> for Message {
    fn from(value: Members) -> Self {
        Self::Members(value)
    }
}
impl ::std::convert::From<Attempt> for Message {
    fn from(value: Attempt) -> Self {
        Self::Attempt(value)
    }
}
impl ::std::convert::From<AttemptState> for Message {
    fn from(value: AttemptState) -> Self {
        Self::AttemptState(value)
    }
}
impl ::std::convert::From<Demand> for Message {
    fn from(value: Demand) -> Self {
        Self::Demand(value)
    }
}
#[doc = "Asks the voters for an entry of their log."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Propose {
    #[doc = "CBOR of the proposal."]
    pub payload: ::serde_bytes::ByteBuf,
}
#[doc = "What became of a proposal."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Proposed {
    #[doc = "CBOR of the decision."]
    pub payload: ::serde_bytes::ByteBuf,
}
#[doc = "A request on a link that was not carried out."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Refused {
    #[doc = "Address of the voter to ask instead."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub leader: ::std::option::Option<::std::string::String>,
    #[doc = "Why."]
    pub reason: ::std::string::String,
    #[doc = "Step at which it was refused."]
    pub step: ::std::string::String,
}
#[doc = "Messages between voters."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Replicate {
    #[doc = "CBOR of the replication message."]
    pub payload: ::serde_bytes::ByteBuf,
}
#[doc = "Asks for configuration updates from a revision on."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Subscribe {
    #[doc = "Revision held."]
    pub held_revision: u64,
}
#[doc = " Error types."]
pub mod error {
    #[doc = r" Error from a `TryFrom` or `FromStr` implementation."]
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
