//! What entries ask agents about the engines beside them, and the answers, as datagrams.
//!
//! A datagram that is lost is replaced by the next one, and none waits behind an older one as it
//! would on a connection: only the newest word counts.

use serde::{Deserialize, Serialize, de};

/// Bytes of a tag that proves that a datagram comes from an own process.
const TAG_BYTES: usize = 8;

/// Largest datagram.
pub const DATAGRAM_MAX_BYTES: usize = 256;

/// A question of an entry.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Request {
    /// When it was asked, in milliseconds of the entry's own clock.
    pub asked_at_ms: u64,
}

/// The answer of an agent.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Reply {
    /// The moment in the question.
    pub asked_at_ms: u64,
    /// What the engine has, where it told.
    pub load: Option<EngineLoad>,
}

/// What an engine has.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// Key of the tags, from the secret that all own processes hold.
#[derive(Clone, Copy)]
pub struct Key([u8; blake3::KEY_LEN]);

impl Key {
    /// Derives it.
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

    /// Reads a datagram. None where another one sent it.
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
