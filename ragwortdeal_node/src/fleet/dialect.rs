//! Adapter to the external protocols of callers, upstreams and operators.
//!
//! An implementation translates names and formats into the project's types and back. It does not
//! compare, choose, wait or retry.

use std::net;

use gotham::hyper::{Method, Uri, header};
use ragwortdeal_core::{directory, document, document::store};
use snafu::Snafu;

/// The dialect that a process uses.
pub type DialectRef = &'static dyn Dialect;

/// External input that is malformed.
#[derive(Debug, Snafu)]
#[snafu(display("read {step}: {reason}"))]
pub struct ParseError {
    /// What was being read.
    pub step: &'static str,
    /// Why it is malformed.
    pub reason: String,
}

/// Names of the headers that the system reads or sets.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Identifier of a request.
    pub request_id: header::HeaderName,
    /// Milliseconds for which the caller waits.
    pub deadline_ms: header::HeaderName,
    /// Account on whose behalf an upstream is called.
    pub account: header::HeaderName,
    /// The only upstream that may serve the request.
    pub expected_instance: header::HeaderName,
    /// The only version of weights that may serve the request.
    pub expected_version: header::HeaderName,
    /// Priority of a request at an engine, 0 to 9.
    pub priority: header::HeaderName,
    /// Present if an upstream did not execute a request.
    pub not_executed: header::HeaderName,
    /// Load of an upstream.
    pub load: header::HeaderName,
    /// Requests a second that an upstream takes from all entries together.
    pub rate_limit: header::HeaderName,
    /// Set to a number other than 0 if an upstream leaves.
    pub leaving: header::HeaderName,
    /// Last event of a stream that the caller has received.
    pub last_event: header::HeaderName,
    /// Size of a request in tokens.
    pub tokens: header::HeaderName,
    /// Parts of a request's prompt.
    pub prompt_parts: header::HeaderName,
    /// Milliseconds for which an upstream stays cold, in answers to health checks.
    pub cold_remaining: header::HeaderName,
    /// The upstream that answered.
    pub instance: header::HeaderName,
}

/// A call by an operator or an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// An upstream announces itself.
    Announce {
        /// Its identifier.
        instance: String,
    },
    /// An upstream leaves.
    Leave {
        /// Its identifier.
        instance: String,
    },
    /// Puts a document in force.
    Install,
    /// Reads the document in force.
    Read,
    /// Names new weights.
    NameWeights,
    /// Sends nothing more to the upstreams of an availability zone.
    StartEvacuation {
        /// Its name.
        zone: String,
    },
    /// Ends the evacuation of an availability zone.
    EndEvacuation {
        /// Its name.
        zone: String,
    },
}

/// Load that an upstream reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Requests that can run at the same time.
    pub slots: u32,
    /// How long work takes at this moment in percent of the usual time, if it tells.
    pub pace_percent: Option<u32>,
}

/// Size of a request in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tokens {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Largest number of tokens of the answer.
    pub answer_max: u32,
}

/// A call to an engine or an origin.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: bytes::Bytes,
}

/// What happens to running requests when an engine loads other weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cutover {
    /// They finish first.
    Drain,
    /// They are aborted.
    Abort,
}

/// Report of an engine about itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Start of the engine in Unix milliseconds, if it tells.
    pub born_ms: Option<u64>,
    /// Models that it serves.
    pub held: Vec<directory::ServedModel>,
    /// Layers that it holds of them, or none if it does not report them.
    pub layers: Option<directory::Layers>,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Number of orders accepted so far.
    pub orders_accepted: u64,
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// How long work takes at this moment, as a multiple of the usual time, if it tells.
    pub pace: Option<f64>,
}

/// Hashes of the chunks of a version.
#[derive(Clone, Debug, PartialEq)]
pub struct PublishedManifest {
    /// Size of one chunk.
    pub chunk_bytes: u32,
    /// SHA-256 hash of each chunk.
    pub digests: Vec<[u8; 32]>,
}

/// Translates between external protocols and the project's types.
pub trait Dialect: Send + Sync {
    /// Names of headers.
    fn headers(&self) -> &Headers;

    /// The call that an operator or an upstream makes; none if there is no such call.
    fn control_call(&self, method: &Method, uri: &Uri) -> Option<ControlCall>;

    /// Parses an announcement.
    fn announcement(
        &self,
        instance: &str,
        body: &[u8],
    ) -> Result<directory::Announcement, ParseError>;

    /// Parses the age of a departure. It may be absent; a body that cannot be read is an error.
    fn departure(&self, body: &[u8]) -> Result<Option<directory::AnnouncementOrder>, ParseError>;

    /// Body of the answer to an announcement.
    fn announcement_response(&self) -> bytes::Bytes;

    /// Parses a document.
    fn document(&self, body: &[u8]) -> Result<document::Document, ParseError>;

    /// Parses the names of a document's services, without the rest of it.
    fn service_names(&self, body: &[u8]) -> Result<Vec<document::Text>, ParseError>;

    /// Parses which weights are named.
    fn weights(&self, body: &[u8]) -> Result<store::ModelVersion, ParseError>;

    /// The API key of a request.
    fn api_key<'r>(&self, headers: &'r header::HeaderMap) -> Option<&'r str>;

    /// Parses an upstream's load.
    fn load(&self, value: &str) -> Option<Load>;

    /// Parses the requests a second that an upstream takes.
    fn rate_limit(&self, value: &str) -> Option<f64>;

    /// Parses the size of a request.
    fn tokens(&self, value: &str) -> Option<Tokens>;

    /// Parses the names of the parts of a prompt, in their order. Empty if the request names none.
    fn prompt_parts<'r>(&self, headers: &'r header::HeaderMap) -> Result<Vec<&'r str>, ParseError>;

    /// Requests an engine's report.
    fn report_call(&self) -> Call;

    /// Parses an engine's report.
    fn report(&self, body: &[u8]) -> Result<EngineReport, ParseError>;

    /// Orders an engine to load what is staged: all layers, or only those given.
    fn load_call(
        &self,
        model: &str,
        version: u64,
        layers: Option<directory::Layers>,
        cutover: Cutover,
        expected_orders: Option<u64>,
    ) -> Call;

    /// Requests the hashes of a version from the origin.
    fn manifest_call(&self, model: &str, version: u64) -> Call;

    /// Parses the hashes of a version.
    fn manifest(&self, body: &[u8]) -> Result<PublishedManifest, ParseError>;

    /// Requests a chunk from the origin.
    fn chunk_call(&self, model: &str, version: u64, chunk: u32) -> Call;

    /// Stages a chunk at an engine.
    fn stage_call(&self, model: &str, chunk: u32, bytes: bytes::Bytes) -> Call;

    /// Reads a staged chunk back.
    fn read_staged_call(&self, model: &str, chunk: u32) -> Call;
}

/// Address of an upstream as dialects give it.
pub type Address = net::SocketAddrV4;
