//! Generated from schema/engine.json by ./generate; not edited by hand.

/// SHA-256 of the schema file that this module was generated from.
pub const SCHEMA_SHA256: &str = "1f73650d78563321844153922d74991b9fe3d572bbb907c5a54a7c5d0700bc8d";

#[doc = "State of an engine and its load."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct EngineState {
    #[doc = "Digest of the version that serves new requests."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub active: ::std::option::Option<::std::string::String>,
    #[doc = "Highest fencing number seen, 0 where the engine does not check."]
    pub highest_fence: u64,
    #[doc = "Digests of loaded versions."]
    pub loaded: ::std::vec::Vec<::std::string::String>,
    #[doc = "Requests waiting."]
    pub queued: u64,
    #[doc = "Role of the engine."]
    pub role: ::std::string::String,
    #[doc = "Requests in progress."]
    pub running: u64,
}
#[doc = "A version's chunks."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Manifest {
    #[doc = "Size of each chunk but the last."]
    pub chunk_bytes: u64,
    #[doc = "Digests of the chunks in order."]
    pub chunks: ::std::vec::Vec<::std::string::String>,
    #[doc = "Size of all chunks."]
    pub size_bytes: u64,
}
#[doc = "An order to an engine."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Order {
    #[doc = "What to do."]
    pub action: OrderAction,
    #[doc = "Adapter in the version."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub adapter: ::std::option::Option<::std::string::String>,
    #[doc = "Fencing number: an engine that checks it refuses a lower one than it has seen."]
    pub fence: u64,
    #[doc = "Model that the version belongs to."]
    pub model: ::std::string::String,
    #[doc = "New role, for a change of role."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub role: ::std::option::Option<::std::string::String>,
    #[doc = "URL below which the manifest and chunks are read, for a load."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub source: ::std::option::Option<::std::string::String>,
    #[doc = "Digest of the version's manifest."]
    pub version: ::std::string::String,
}
#[doc = "What to do."]
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
pub enum OrderAction {
    #[serde(rename = "load")]
    Load,
    #[serde(rename = "activate")]
    Activate,
    #[serde(rename = "unload")]
    Unload,
    #[serde(rename = "change-role")]
    ChangeRole,
}
impl ::std::fmt::Display for OrderAction {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Load => f.write_str("load"),
            Self::Activate => f.write_str("activate"),
            Self::Unload => f.write_str("unload"),
            Self::ChangeRole => f.write_str("change-role"),
        }
    }
}
impl ::std::str::FromStr for OrderAction {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "load" => Ok(Self::Load),
            "activate" => Ok(Self::Activate),
            "unload" => Ok(Self::Unload),
            "change-role" => Ok(Self::ChangeRole),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for OrderAction {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for OrderAction {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "What became of an order."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct OrderAnswer {
    #[doc = "Whether it was carried out."]
    pub done: bool,
    #[doc = "Highest fencing number that the engine has seen, where it checks."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub highest_fence: ::std::option::Option<u64>,
    #[doc = "Why not."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub reason: ::std::option::Option<::std::string::String>,
}
#[doc = "`ProtocolBetweenAnAgentItsEngineAndTheOriginOfWeights`"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct ProtocolBetweenAnAgentItsEngineAndTheOriginOfWeights(pub ::serde_json::Value);
impl ::std::ops::Deref for ProtocolBetweenAnAgentItsEngineAndTheOriginOfWeights {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<ProtocolBetweenAnAgentItsEngineAndTheOriginOfWeights>
    for ::serde_json::Value
{
    fn from(value: ProtocolBetweenAnAgentItsEngineAndTheOriginOfWeights) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value>
    for ProtocolBetweenAnAgentItsEngineAndTheOriginOfWeights
{
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
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
