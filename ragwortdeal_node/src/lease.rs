//! Renewals of an upstream's lease between its agent and an entry.
//!
//! A lease counts from the entry's own clock reading that the renewal echoes, never from arrival;
//! `docs/design/membership.md` tells why.

use std::time;

use ragwortdeal_core::membership;
use ragwortdeal_wire::link as wire;

use crate::link;

/// How often a lease is renewed; entries grant it for several times as long.
const RENEW: time::Duration = time::Duration::from_millis(500);

/// Pause before a lease is asked for again that was not granted, as the first one never is.
const AGAIN: time::Duration = time::Duration::from_millis(100);

/// How long an entry may take to answer a renewal.
const RENEW_MS: u64 = 1_000;

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
    let echoed_ms = renewal.echo?.reading_of(entry_incarnation, now_ms)?;
    Some(echoed_ms + lease_ms).filter(|end_ms| *end_ms > now_ms)
}

/// Keeps the lease at one entry, for as long as this runs.
pub async fn keep(link: link::Link, incarnation: u64) {
    let mut echo = None;
    loop {
        let renewal = message(&Renewal { incarnation, echo });
        let answer = link.request("renew lease", renewal, RENEW_MS).await;
        let answer = answer.ok().and_then(|message| read::<Answer>(&message));
        echo = answer.map(|answer| answer.stamp);
        let granted = answer.is_some_and(|answer| answer.granted);
        tokio::time::sleep(if granted { RENEW } else { AGAIN }).await;
    }
}
