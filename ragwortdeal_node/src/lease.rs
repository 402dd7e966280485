//! Renewals of an upstream's lease between its agent and an entry.
//!
//! A lease counts from the entry's own clock reading that the renewal echoes, never from arrival;
//! `docs/design/membership.md` tells why.

use ragwortdeal_core::membership;
use ragwortdeal_wire::link as wire;

/// What an agent asks of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Renewal {
    /// Start of the agent.
    pub incarnation: u64,
    /// The entry's last stamp that the agent holds.
    pub echo: Option<membership::Stamp>,
}

/// What the entry answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// The entry's clock now, for the next renewal.
    pub stamp: membership::Stamp,
    /// Whether the lease stands.
    pub granted: bool,
}

/// Wraps a renewal or an answer for a link.
pub fn message(value: &impl serde::Serialize) -> wire::Message {
    let mut payload = Vec::new();
    ciborium::into_writer(value, &mut payload).expect("own types encode into memory");
    wire::Message::Members(wire::Members { payload: payload.into() })
}

/// Reads a renewal or an answer; anything else on the link gives nothing.
pub fn read<T: serde::de::DeserializeOwned>(message: &wire::Message) -> Option<T> {
    match message {
        wire::Message::Members(members) => ciborium::from_reader(&members.payload[..]).ok(),
        _ => None,
    }
}

/// End of the lease that a renewal is worth, if that is still to come.
pub fn end_ms(
    renewal: &Renewal,
    entry_incarnation: u64,
    now_ms: u64,
    lease_ms: u64,
) -> Option<u64> {
    let echoed_ms = renewal.echo?.read_by(entry_incarnation, now_ms)?;
    Some(echoed_ms + lease_ms).filter(|end_ms| *end_ms > now_ms)
}
