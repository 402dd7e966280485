//! Tells the agents that follow this entry which other agents run, so that they exchange chunks.

use std::{collections, net, sync, time};

use ragwortdeal_core::{
    name,
    spread::{event, roster},
};
use ragwortdeal_wire::link as wire;

use super::{Entry, members};
use crate::link;

/// Changes are gathered for this long, so that a rack that fails makes one message.
const PERIOD: time::Duration = time::Duration::from_millis(250);

/// The agents by the last message, and the links that are told of changes.
#[derive(Default)]
pub(super) struct Roster(sync::Mutex<Told>);

#[derive(Default)]
struct Told {
    seats: roster::Roster,
    sessions: collections::HashMap<link::SessionId, link::Session>,
}

impl Roster {
    /// Tells an agent the whole roster, and from then on every change.
    pub(super) fn introduce(&self, session: &link::Session) {
        if session.hello.role != "agent" {
            return;
        }
        let mut told = self.0.lock().expect("no panic under lock");
        session.push(message(&roster::Update::full(&told.seats)));
        told.sessions.insert(session.id, session.clone());
    }

    /// Forgets a link that closed.
    pub(super) fn closed(&self, session: &link::Session) {
        self.0.lock().expect("no panic under lock").sessions.remove(&session.id);
    }

    fn change(&self, seats: roster::Roster) {
        let mut told = self.0.lock().expect("no panic under lock");
        let Some(update) = roster::Update::between(&told.seats, &seats) else {
            return;
        };
        told.seats = seats;
        let message = message(&update);
        told.sessions.retain(|_, session| session.push(message.clone()));
    }
}

/// Follows the membership for as long as the process runs.
pub(super) async fn follow(entry: sync::Arc<Entry>) {
    let mut ticks = tokio::time::interval(PERIOD);
    loop {
        ticks.tick().await;
        let seats = seats(&entry);
        entry.roster.change(seats);
    }
}

fn seats(entry: &Entry) -> roster::Roster {
    let members = entry.members.lock().expect("no panic under lock");
    let seats =
        members.all().filter_map(|(name, member)| Some((name.clone(), seat(name, member)?)));
    seats.collect()
}

/// The seat of a member, if it is an engine's agent; others hold no weights.
fn seat(instance: &name::InstanceName, member: &members::Member) -> Option<roster::AgentInfo> {
    let announcement = &member.announcement;
    if announcement.kind != wire::AnnouncementKind::Engine || announcement.leaving {
        return None;
    }
    let location = event::Location {
        instance: instance.clone(),
        zone: name::ZoneName::new(&announcement.zone).ok()?,
        region: name::RegionName::new(&announcement.region).ok()?,
    };
    let address: net::SocketAddr = announcement.call_address.parse().ok()?;
    Some(roster::AgentInfo { location, address, incarnation: announcement.incarnation })
}

fn message(update: &roster::Update) -> wire::Message {
    let mut payload = Vec::new();
    ciborium::into_writer(update, &mut payload).expect("own types encode into memory");
    wire::Message::Members(wire::Members { payload: payload.into() })
}
