//! Links between the system's own processes: WebSocket frames that carry CBOR.
//!
//! A link is opened by one side and carries requests from the opener, answers to them, and pushes
//! both ways. Both sides send heartbeats and close a link that stays silent, because a connection
//! can go silent for good while new ones work; the opener then opens another. A request on a link
//! that broke is reported as unanswered and never sent again here: only its giver knows whether
//! that is safe. `docs/design/control-state.md` weighs this against other transports.

mod client;
mod connection;
mod server;

pub use client::{Link, LinkEvent, open};
pub use server::{Service, Session, SessionId, refused, serve};

use std::{sync, time};

use ragwortdeal_wire::link as wire;
use snafu::Snafu;
use subtle::ConstantTimeEq as _;

/// Timing and bounds of links, the same on both sides.
#[derive(Clone, Copy, Debug)]
pub struct LinkLimits {
    /// How often each side sends a heartbeat.
    pub heartbeat_ms: u64,
    /// After how much silence a link is given up.
    pub silence_ms: u64,
    /// Pause before the first connect.
    pub open_after_ms: u64,
    /// How long a connect with its handshake may take.
    pub connect_ms: u64,
    /// Largest frame that is read.
    pub frame_max_bytes: usize,
    /// Frames that may wait to be sent; a peer that reads slower loses the link, not our memory.
    pub queue_frames: usize,
    /// Requests of one peer that are worked on at the same time.
    pub requests_max: usize,
}

impl Default for LinkLimits {
    fn default() -> Self {
        Self {
            heartbeat_ms: 500,
            // Four heartbeats: three may be lost before a working link is given up.
            silence_ms: 2_000,
            open_after_ms: 0,
            connect_ms: 1_000,
            frame_max_bytes: 4 << 20,
            queue_frames: 1_024,
            requests_max: 256,
        }
    }
}

/// The credential that own processes present to each other.
#[derive(Clone)]
pub struct Credential(sync::Arc<str>);

impl Credential {
    /// Wraps the secret text from the settings.
    pub fn new(secret: &str) -> Self {
        Self(sync::Arc::from(secret))
    }

    /// The value of an `Authorization` header that presents it.
    pub fn header_value(&self) -> String {
        format!("Bearer {}", self.0)
    }

    /// Compares in constant time, so that a guesser learns nothing from how long it takes.
    pub fn accepts(&self, header_value: Option<&[u8]>) -> bool {
        let expected = self.header_value();
        header_value.is_some_and(|given| bool::from(given.ct_eq(expected.as_bytes())))
    }
}

impl std::fmt::Debug for Credential {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Credential(..)")
    }
}

/// Why a message on a link had no answer.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// The link is down or its queue is full; nothing left this process.
    #[snafu(display("{step}: not sent to {peer}, the link is down"))]
    NotSent {
        /// What was being done.
        step: &'static str,
        /// Address of the other side.
        peer: sync::Arc<str>,
    },
    /// The message may have arrived, but no answer came.
    #[snafu(display("{step}: no answer from {peer}"))]
    Unanswered {
        /// What was being done.
        step: &'static str,
        /// Address of the other side.
        peer: sync::Arc<str>,
    },
    /// The peer refused the request and did not carry it out.
    #[snafu(display("{step}: refused by {peer}: {reason}"))]
    Refused {
        /// What was being done.
        step: &'static str,
        /// Address of the other side.
        peer: sync::Arc<str>,
        /// Its reason.
        reason: String,
        /// The voter to ask instead, where the peer knows one.
        leader: Option<String>,
    },
}

fn encode(frame: &wire::Frame) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(frame, &mut bytes).expect("own types encode into memory");
    bytes
}

fn millis(value_ms: u64) -> time::Duration {
    time::Duration::from_millis(value_ms)
}
