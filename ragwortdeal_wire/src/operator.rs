//! Generated from schema/operator.json by ./generate; not edited by hand.

/// SHA-256 of the schema file that this module was generated from.
pub const SCHEMA_SHA256: &str = "4aaca4e22a5ba2896cc2b6d26e4980b97c12ce67cfa7d8f3c47bbd3f26f059d9";

#[doc = "A change of one object."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Change {
    #[doc = "Revision at which the operator saw the object, 0 where it must not exist."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub expected_revision: ::std::option::Option<u64>,
    #[doc = "The operator's identifier of this change, the same on every resend."]
    pub id: ::std::string::String,
    #[doc = "Kind and name, such as instance/a-1."]
    pub key: ::std::string::String,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub object: ::std::option::Option<Object>,
}
#[doc = "What became of a change."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ChangeAnswer {
    #[doc = "How many known instances the selector matches now."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub matches: ::std::option::Option<u64>,
    #[doc = "Accepted, refused (did not run), or unknown: ask again with the same id."]
    pub outcome: ChangeAnswerOutcome,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub present: ::std::option::Option<Object>,
    #[doc = "Revision of the object as it stands."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub present_revision: ::std::option::Option<u64>,
    #[doc = "Why it was refused, or how to ask again."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub reason: ::std::option::Option<::std::string::String>,
    #[doc = "Revision that the change brought about."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub revision: ::std::option::Option<u64>,
}
#[doc = "Accepted, refused (did not run), or unknown: ask again with the same id."]
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
pub enum ChangeAnswerOutcome {
    #[serde(rename = "accepted")]
    Accepted,
    #[serde(rename = "refused")]
    Refused,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::fmt::Display for ChangeAnswerOutcome {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Accepted => f.write_str("accepted"),
            Self::Refused => f.write_str("refused"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for ChangeAnswerOutcome {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "accepted" => Ok(Self::Accepted),
            "refused" => Ok(Self::Refused),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ChangeAnswerOutcome {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ChangeAnswerOutcome {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "One instance as seen by the answering entry."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct InstanceStatus {
    #[doc = "Revision in force there."]
    pub applied_revision: u64,
    #[doc = "Why it does not serve what is intended."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub behind: ::std::option::Option<::std::string::String>,
    #[doc = "Name of the instance."]
    pub instance: ::std::string::String,
    #[doc = "Digest of the intended version."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub intended: ::std::option::Option<::std::string::String>,
    #[doc = "Whether it announced that it stops."]
    pub leaving: bool,
    #[doc = "Bytes of the version drawn from the origin."]
    pub origin_bytes: u64,
    #[doc = "Bytes from instances of its own region."]
    pub peer_bytes: u64,
    #[doc = "Phase of the life cycle of its weights."]
    pub phase: ::std::string::String,
    #[doc = "Bytes that crossed a region link."]
    pub region_bytes: u64,
    #[doc = "Calls in progress."]
    pub running: u64,
    #[doc = "Digest of the version it serves."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub serving: ::std::option::Option<::std::string::String>,
    #[doc = "Size of the intended version."]
    pub size_bytes: u64,
    #[doc = "Verified bytes of the intended version."]
    pub staged_bytes: u64,
    #[doc = "Model or service that it serves."]
    pub target: ::std::string::String,
    #[doc = "Its availability zone."]
    pub zone: ::std::string::String,
}
#[doc = "Label values by key."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct Labels(pub ::std::collections::HashMap<::std::string::String, ::std::string::String>);
impl ::std::ops::Deref for Labels {
    type Target = ::std::collections::HashMap<::std::string::String, ::std::string::String>;
    fn deref(&self) -> &::std::collections::HashMap<::std::string::String, ::std::string::String> {
        &self.0
    }
}
impl ::std::convert::From<Labels>
    for ::std::collections::HashMap<::std::string::String, ::std::string::String>
{
    fn from(value: Labels) -> Self {
        value.0
    }
}
impl ::std::convert::From<::std::collections::HashMap<::std::string::String, ::std::string::String>>
    for Labels
{
    fn from(
        value: ::std::collections::HashMap<::std::string::String, ::std::string::String>,
    ) -> Self {
        Self(value)
    }
}
#[doc = "One object of the configuration."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub enum Object {
    #[doc = "Labels of an instance, a model, a service or an account."]
    #[serde(rename = "labels")]
    Labels(Labels),
    #[doc = "A version of weights."]
    #[serde(rename = "version")]
    Version(Version),
    #[doc = "Which version the selected instances serve."]
    #[serde(rename = "placement")]
    Placement(Placement),
    #[doc = "Which accounts reach which upstreams."]
    #[serde(rename = "route")]
    Route(Route),
}
impl ::std::convert::From<Labels> for Object {
    fn from(value: Labels) -> Self {
        Self::Labels(value)
    }
}
impl ::std::convert::From<Version> for Object {
    fn from(value: Version) -> Self {
        Self::Version(value)
    }
}
impl ::std::convert::From<Placement> for Object {
    fn from(value: Placement) -> Self {
        Self::Placement(value)
    }
}
impl ::std::convert::From<Route> for Object {
    fn from(value: Route) -> Self {
        Self::Route(value)
    }
}
#[doc = "Objects in force at the answering process."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ObjectList {
    #[doc = "The objects by key."]
    pub objects: ::std::vec::Vec<ObjectView>,
    #[doc = "Revision in force."]
    pub revision: u64,
}
#[doc = "One object with the revision that last changed it."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ObjectView {
    #[doc = "Kind and name."]
    pub key: ::std::string::String,
    pub object: Object,
    #[doc = "Revision that last changed it."]
    pub revision: u64,
}
#[doc = "Operations."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OperationList {
    #[doc = "Operations by identifier."]
    pub operations: ::std::vec::Vec<OperationView>,
}
#[doc = "One operation that may not be repeated."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OperationView {
    #[doc = "Account that asked for it."]
    pub account: ::std::string::String,
    #[doc = "Identifier to ask and settle by."]
    pub operation_id: ::std::string::String,
    #[doc = "Service that runs it."]
    pub service: ::std::string::String,
    #[doc = "State of its claim."]
    pub state: ::std::string::String,
    #[doc = "Instance it was sent to."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub upstream: ::std::option::Option<::std::string::String>,
}
#[doc = "`OperatorApiAndAnswersToCallers`"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct OperatorApiAndAnswersToCallers(pub ::serde_json::Value);
impl ::std::ops::Deref for OperatorApiAndAnswersToCallers {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<OperatorApiAndAnswersToCallers> for ::serde_json::Value {
    fn from(value: OperatorApiAndAnswersToCallers) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for OperatorApiAndAnswersToCallers {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "Which version the selected instances serve."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    #[doc = "Label selector over instances."]
    pub instances: ::std::string::String,
    #[doc = "Digest of the version's manifest, 64 hexadecimal digits."]
    pub version: ::std::string::String,
}
#[doc = "An error as application/problem+json."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Problem {
    #[doc = "What happened this time."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub detail: ::std::option::Option<::std::string::String>,
    #[doc = "Identifier to ask by where the outcome is unknown."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub operation_id: ::std::option::Option<::std::string::String>,
    pub ran: Ran,
    #[doc = "Identifier of the request across all hops."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub request_id: ::std::option::Option<::std::string::String>,
    #[doc = "When to come back."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_after_ms: ::std::option::Option<u64>,
    #[doc = "HTTP status."]
    pub status: u16,
    #[doc = "Short text of the kind."]
    pub title: ::std::string::String,
    #[doc = "Identifies the kind of error."]
    #[serde(rename = "type")]
    pub type_: ::std::string::String,
}
#[doc = "Whether the request ran: the answer to the question whether it may be sent again."]
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
pub enum Ran {
    #[serde(rename = "did-not-run")]
    DidNotRun,
    #[serde(rename = "ran")]
    Ran,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::fmt::Display for Ran {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::DidNotRun => f.write_str("did-not-run"),
            Self::Ran => f.write_str("ran"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for Ran {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "did-not-run" => Ok(Self::DidNotRun),
            "ran" => Ok(Self::Ran),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Ran {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Ran {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Which accounts reach which upstreams for which models and services."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Route {
    #[doc = "Label selector over accounts."]
    pub accounts: ::std::string::String,
    #[doc = "Label selector over models and services."]
    pub targets: ::std::string::String,
    #[doc = "Label selector over upstream instances."]
    pub upstreams: ::std::string::String,
}
#[doc = "Staff's word on an operation in doubt, after a look at the ledger."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settlement {
    #[doc = "The operation."]
    pub operation_id: ::std::string::String,
    #[doc = "Whether the ledger shows that it ran."]
    pub ran: bool,
}
#[doc = "What is intended, what serves and what is behind, by instance."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Status {
    #[doc = "Whether the entry reaches a quorum of voters; without it changes are refused."]
    pub control: StatusControl,
    #[doc = "The answering entry."]
    pub entry: ::std::string::String,
    #[doc = "All known instances."]
    pub instances: ::std::vec::Vec<InstanceStatus>,
    #[doc = "Revision in force at the answering entry."]
    pub revision: u64,
}
#[doc = "Whether the entry reaches a quorum of voters; without it changes are refused."]
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
pub enum StatusControl {
    #[serde(rename = "reachable")]
    Reachable,
    #[serde(rename = "cut-off")]
    CutOff,
}
impl ::std::fmt::Display for StatusControl {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Reachable => f.write_str("reachable"),
            Self::CutOff => f.write_str("cut-off"),
        }
    }
}
impl ::std::str::FromStr for StatusControl {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "reachable" => Ok(Self::Reachable),
            "cut-off" => Ok(Self::CutOff),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for StatusControl {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for StatusControl {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "A version of a model's weights."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Version {
    #[doc = "Adapter that is part of the version."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub adapter: ::std::option::Option<::std::string::String>,
    #[doc = "Model that callers ask for."]
    pub model: ::std::string::String,
    #[doc = "Size of all chunks together."]
    pub size_bytes: u64,
}
#[doc = "One member of the voters."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Voter {
    #[doc = "Last index of its log."]
    pub last_index: u64,
    #[doc = "Name of the voter."]
    pub name: ::std::string::String,
    #[doc = "leader, follower or learner."]
    pub role: ::std::string::String,
    #[doc = "Identifier of its data folder, which another disk does not have."]
    pub storage: ::std::string::String,
}
#[doc = "The voters as the leader knows them."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct VoterList {
    #[doc = "Term of the leader."]
    pub term: u64,
    #[doc = "All voters and learners."]
    pub voters: ::std::vec::Vec<Voter>,
}
#[doc = "Replaces a voter that is lost for good, brings a new one in, or both."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct VoterReplacement {
    #[doc = "Instance whose voter is lost for good."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub lost: ::std::option::Option<::std::string::String>,
    #[doc = "Instance of a running voter that is to take part."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub new: ::std::option::Option<::std::string::String>,
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
