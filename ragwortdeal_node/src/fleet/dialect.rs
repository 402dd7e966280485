//! The seam to the outside: how callers, upstreams and operators speak.
//!
//! An implementation translates names and formats into the project's types and back. It compares,
//! chooses, waits and retries nothing.

use std::net;

use gotham::hyper::{Method, Uri, header};
use ragwortdeal_core::{directory, document, document::store};
use snafu::Snafu;

/// The dialect that a process speaks.
pub type DialectRef = &'static dyn Dialect;

/// Something from outside that is not what it should be.
#[derive(Debug, Snafu)]
#[snafu(display("read {step}: {reason}"))]
pub struct ParseError {
    /// What was being read.
    pub step: &'static str,
    /// What is wrong.
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
    /// Rank of a request at an engine, 0 to 9.
    pub priority: header::HeaderName,
    /// Present where an upstream did not run a request.
    pub not_executed: header::HeaderName,
    /// Load of an upstream.
    pub load: header::HeaderName,
    /// Last event of a stream that the caller has.
    pub last_event: header::HeaderName,
    /// Size of a request in tokens.
    pub tokens: header::HeaderName,
    /// The answering upstream.
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
    /// A document is to be put in force.
    Install,
    /// The document in force is read.
    Read,
    /// New weights are named.
    NameWeights,
}

/// Load of an upstream by its own word.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run together.
    pub slots: u32,
}

/// Size of a request in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tokens {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Most tokens of the answer.
    pub answer_max: u32,
}

/// A call to an engine or an origin.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: bytes::Bytes,
}

/// What becomes of running requests when an engine loads other weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cutover {
    /// They end before.
    Drain,
    /// They are broken off.
    Abort,
}

/// What an engine says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Models that it serves.
    pub held: Vec<directory::Held>,
    /// Layers that it holds of them, none where it does not tell.
    pub layers: Option<directory::Layers>,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Orders accepted so far.
    pub orders_accepted: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// Hashes of the chunks of a version.
#[derive(Clone, Debug, PartialEq)]
pub struct PublishedManifest {
    /// Bytes of one chunk.
    pub chunk_bytes: u32,
    /// Hash of each chunk, by SHA-256.
    pub digests: Vec<[u8; 32]>,
}

/// How the outside speaks.
pub trait Dialect: Send + Sync {
    /// Names of headers.
    fn headers(&self) -> &Headers;

    /// Which call an operator or an upstream makes; none where there is no such call.
    fn control_call(&self, method: &Method, uri: &Uri) -> Option<ControlCall>;

    /// Reads an announcement.
    fn announcement(
        &self,
        instance: &str,
        body: &[u8],
    ) -> Result<directory::Announcement, ParseError>;

    /// Reads how old the word of an upstream that leaves is. It may say nothing of it.
    fn departure(&self, body: &[u8]) -> Option<directory::Age>;

    /// Body of the answer to an announcement.
    fn announcement_response(&self) -> bytes::Bytes;

    /// Reads a document.
    fn document(&self, body: &[u8]) -> Result<document::Document, ParseError>;

    /// Reads which weights are named.
    fn weights(&self, body: &[u8]) -> Result<store::ModelVersion, ParseError>;

    /// The key that a request carries.
    fn api_key<'r>(&self, headers: &'r header::HeaderMap) -> Option<&'r str>;

    /// Reads an upstream's load.
    fn load(&self, value: &str) -> Option<Load>;

    /// Reads the size of a request.
    fn tokens(&self, value: &str) -> Option<Tokens>;

    /// Asks an engine for its report.
    fn report_call(&self) -> Call;

    /// Reads an engine's report.
    fn report(&self, body: &[u8]) -> Result<EngineReport, ParseError>;

    /// Orders an engine to load what is staged: all layers, or these alone.
    fn load_call(
        &self,
        model: &str,
        version: u64,
        layers: Option<directory::Layers>,
        cutover: Cutover,
        expected_orders: Option<u64>,
    ) -> Call;

    /// Asks the origin for the hashes of a version.
    fn manifest_call(&self, model: &str, version: u64) -> Call;

    /// Reads the hashes of a version.
    fn manifest(&self, body: &[u8]) -> Result<PublishedManifest, ParseError>;

    /// Asks the origin for a chunk.
    fn chunk_call(&self, model: &str, version: u64, chunk: u32) -> Call;

    /// Stages a chunk at an engine.
    fn stage_call(&self, model: &str, chunk: u32, bytes: bytes::Bytes) -> Call;

    /// Reads a staged chunk back.
    fn read_staged_call(&self, model: &str, chunk: u32) -> Call;
}

/// Address of an upstream as the dialects give it.
pub type Address = net::SocketAddrV4;
