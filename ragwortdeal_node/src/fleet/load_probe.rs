//! Datagrams by which entries probe agents for the load of their engines.
//!
//! A lost datagram is replaced by the next one, and none queues behind an older one as it would on
//! a connection: only the newest reply counts.

use serde::{Deserialize, Serialize, de};

/// Length of the tag that authenticates a datagram.
const TAG_BYTES: usize = 8;

/// Largest datagram.
pub const DATAGRAM_MAX_BYTES: usize = 256;

/// A probe of an entry.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Request {
    /// When it was sent, in milliseconds of the entry's own clock.
    pub asked_at_ms: u64,
}

/// The reply of an agent.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Reply {
    /// The time in the probe.
    pub asked_at_ms: u64,
    /// Load of the engine, if it reported it.
    pub load: Option<EngineLoad>,
}

/// Load of an engine.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// How long work takes at the moment as a multiple of the usual time, if the engine tells.
    /// Agents of earlier versions do not send it.
    #[serde(default)]
    pub pace: Option<f64>,
}

/// Key of the tags, derived from the shared secret of all processes of the deployment.
#[derive(Clone, Copy)]
pub struct Key([u8; blake3::KEY_LEN]);

impl Key {
    /// Derives the key.
    pub fn new(secret: &str) -> Self {
        Self(blake3::derive_key("ragwortdeal words of agents to entries", secret.as_bytes()))
    }

    /// Encodes a message into a datagram.
    pub fn encode(&self, message: &impl Serialize) -> Vec<u8> {
        let mut body = Vec::new();
        ciborium::into_writer(message, &mut body).expect("own types encode into memory");
        let mut datagram = self.tag(&body).to_vec();
        datagram.extend(body);
        datagram
    }

    /// Decodes a datagram. None if it is malformed or its tag does not match.
    pub fn decode<M: de::DeserializeOwned>(&self, datagram: &[u8]) -> Option<M> {
        let (tag, body) = datagram.split_at_checked(TAG_BYTES)?;
        (tag == self.tag(body)).then(|| ciborium::from_reader(body).ok())?
    }

    fn tag(&self, body: &[u8]) -> [u8; TAG_BYTES] {
        let hash = blake3::keyed_hash(&self.0, body);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        tag
    }
}
