//! Announces the upstream to an entry, and takes configuration from it.

use std::{sync, time};

use ragwortdeal_wire::link as wire;
use tokio::sync::mpsc;

use super::{Agent, guard};
use crate::{lease, link};

/// How often an announcement is renewed; entries believe it for several times as long.
const RENEW: time::Duration = time::Duration::from_millis(500);

/// Pushes of an entry that may wait to be taken.
const EVENTS: usize = 256;

/// Pause before a lease is asked for again that was not granted, as the first one never is.
const AGAIN: time::Duration = time::Duration::from_millis(100);

/// How long an entry may take to answer a renewal.
const RENEW_MS: u64 = 1_000;

/// Keeps a link to one entry of the availability zone.
pub(super) async fn to_entry(agent: sync::Arc<Agent>, address: String) {
    let (sender, mut events) = mpsc::channel(EVENTS);
    let hello = agent.identity.hello("agent");
    let limits = link::LinkLimits::default();
    let link = link::open(&address, agent.credential.clone(), hello, limits, sender);
    let mut offering = tokio::task::JoinSet::new();
    offering.spawn(guard::offer(agent.clone(), link.clone()));
    offering.spawn(renew_lease(agent.clone(), link.clone()));
    let mut renew = tokio::time::interval(RENEW);
    let mut changes = agent.weights.subscribe();
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => handle(&agent, &link, &address, event),
                None => return,
            },
            _ = renew.tick() => announce(&agent, &link, &address),
            _ = changes.changed() => announce(&agent, &link, &address),
        }
    }
}

fn handle(agent: &Agent, link: &link::Link, address: &str, event: link::LinkEvent) {
    match event {
        link::LinkEvent::Up => {
            subscribe(link, agent.config.borrow().revision());
            announce(agent, link, address);
        }
        link::LinkEvent::Push(message) => match *message {
            // Where steps are missing, revision 0 asks for the whole state.
            wire::Message::ConfigUpdate(update) if !agent.apply(&update) => {
                subscribe(link, 0);
            }
            wire::Message::Members(members) => {
                if let Ok(update) = ciborium::from_reader(&members.payload[..]) {
                    agent.transfer.roster(address, update);
                }
            }
            _ => (),
        },
        link::LinkEvent::Down => (),
    }
}

/// Keeps the lease at one entry, for as long as the link is kept.
async fn renew_lease(agent: sync::Arc<Agent>, link: link::Link) {
    let mut echo = None;
    loop {
        let renewal = lease::Renewal { incarnation: agent.identity.incarnation, echo };
        let answer = link.request("renew lease", lease::message(&renewal), RENEW_MS).await;
        let answer = answer.ok().and_then(|message| lease::read::<lease::Answer>(&message));
        echo = answer.map(|answer| answer.stamp);
        let granted = answer.is_some_and(|answer| answer.granted);
        tokio::time::sleep(if granted { RENEW } else { AGAIN }).await;
    }
}

fn subscribe(link: &link::Link, held_revision: u64) {
    let message = wire::Message::Subscribe(wire::Subscribe { held_revision });
    if let Err(error) = link.push("subscribe", message) {
        log::debug!("agent: {error}");
    }
}

fn announce(agent: &Agent, link: &link::Link, address: &str) {
    let message = wire::Message::Announce(agent.announcement(address));
    // A lost announcement is made good by the next one.
    if let Err(error) = link.push("announce", message) {
        log::debug!("agent: {error}");
    }
}
