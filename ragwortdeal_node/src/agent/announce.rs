//! Announces the upstream to an entry, and takes configuration from it.

use std::{sync, time};

use ragwortdeal_wire::link as wire;
use tokio::sync::mpsc;

use super::{Agent, guard};
use crate::{lease, link, voter};

/// How often an announcement is renewed; entries believe it for several times as long.
const RENEW: time::Duration = time::Duration::from_millis(500);

/// Pushes of an entry that may wait to be taken.
const EVENTS: usize = 256;

/// Keeps a link to one entry of the availability zone.
pub(super) async fn to_entry(agent: sync::Arc<Agent>, address: String) {
    let (sender, mut events) = mpsc::channel(EVENTS);
    let hello = agent.identity.hello("agent");
    let limits = link::LinkLimits::default();
    let link = link::open(&address, agent.credential.clone(), hello, limits, sender);
    let mut offering = tokio::task::JoinSet::new();
    offering.spawn(guard::offer(agent.clone(), link.clone()));
    offering.spawn(lease::keep(link.clone(), agent.identity.incarnation));
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
            // An entry that started anew and reaches no voter that knows what is in force here.
            wire::Message::Subscribe(subscribe) => {
                let config = agent.config.borrow();
                if config.revision() > subscribe.held_revision {
                    send(link, "pass configuration on", voter::config_update(&config.snapshot()));
                }
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

fn subscribe(link: &link::Link, held_revision: u64) {
    send(link, "subscribe", wire::Message::Subscribe(wire::Subscribe { held_revision }));
}

fn send(link: &link::Link, step: &'static str, message: wire::Message) {
    if let Err(error) = link.push(step, message) {
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
