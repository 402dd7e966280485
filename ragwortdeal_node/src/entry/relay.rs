//! Links that the entry accepts: agents announce their upstreams and follow the configuration.

use std::sync::{self, atomic};

use ragwortdeal_core::membership;
use ragwortdeal_wire::link as wire;

use super::{Entry, operations};
use crate::{lease, link, voter};

/// A process that follows the configuration through this entry.
pub(super) struct Subscriber {
    session: link::Session,
    subscribed: bool,
    /// Whether its last announcement told of a later configuration than this entry's.
    was_ahead: bool,
}

/// The entry as a service to links.
pub(super) struct Links(pub(super) sync::Arc<Entry>);

impl link::Service for Links {
    fn opened(&self, session: &link::Session) {
        let subscriber =
            Subscriber { session: session.clone(), subscribed: false, was_ahead: false };
        let mut sessions = self.0.sessions.lock().expect("no panic under lock");
        sessions.insert(session.id, subscriber);
    }

    fn pushed(&self, session: &link::Session, message: wire::Message) {
        match message {
            wire::Message::Announce(announcement) => {
                let now_ms = self.0.clock.now_ms();
                let instance = announcement.instance.clone();
                self.0.learn_floor(session, announcement.applied_revision);
                let mut members = self.0.members.lock().expect("no panic under lock");
                members.announced(announcement, now_ms);
                drop(members);
                self.0.noticed(&instance);
            }
            wire::Message::Subscribe(subscribe) => {
                self.0.subscribe(session, subscribe.held_revision);
                self.0.roster.introduce(session);
            }
            wire::Message::ConfigUpdate(update) => {
                self.0.apply(&update);
            }
            wire::Message::Demand(demand) => self.0.learn_demand(&session.hello.name, &demand),
            _ => log::debug!("entry: unexpected message from {}", session.hello.name),
        }
    }

    async fn requested(&self, session: &link::Session, message: wire::Message) -> wire::Message {
        match message {
            wire::Message::Members(_) => self.0.renew(session, &message),
            wire::Message::AttemptState(late) => {
                operations::record_late_answer(&self.0, &late.payload).await
            }
            _ => link::refused("entry", "not a request for an entry"),
        }
    }

    fn closed(&self, session: &link::Session) {
        self.0.roster.closed(session);
        self.0.sessions.lock().expect("no panic under lock").remove(&session.id);
    }
}

impl Entry {
    fn renew(&self, session: &link::Session, message: &wire::Message) -> wire::Message {
        let Some(renewal) = lease::read::<lease::Renewal>(message) else {
            return link::refused("renew lease", "not a renewal");
        };
        let (now_ms, incarnation) = (self.clock.now_ms(), self.identity.incarnation);
        let mut members = self.members.lock().expect("no panic under lock");
        let granted = members.renewed(&session.hello.name, &renewal, incarnation, now_ms);
        let stamp = membership::Stamp { incarnation, at_ms: now_ms };
        lease::message(&lease::Answer { stamp, granted })
    }

    /// Notes what an upstream has in force, and asks it for that where the voters do not bring it.
    fn learn_floor(&self, session: &link::Session, applied_revision: u64) {
        self.floor_revision.fetch_max(applied_revision, atomic::Ordering::Relaxed);
        let held_revision = self.config.borrow().revision();
        let is_ahead = applied_revision > held_revision;
        let mut sessions = self.sessions.lock().expect("no panic under lock");
        let Some(subscriber) = sessions.get_mut(&session.id) else {
            return;
        };
        // An upstream that is ahead once has only heard of a change a moment earlier.
        if is_ahead && subscriber.was_ahead {
            let message = wire::Message::Subscribe(wire::Subscribe { held_revision });
            subscriber.session.push(message);
        }
        subscriber.was_ahead = is_ahead;
    }

    fn subscribe(&self, session: &link::Session, held_revision: u64) {
        let mut sessions = self.sessions.lock().expect("no panic under lock");
        if let Some(subscriber) = sessions.get_mut(&session.id) {
            subscriber.subscribed = true;
        }
        // Sent under the lock, so that no update passes between the snapshot and the deltas.
        let config = self.config.borrow();
        if config.revision() > held_revision {
            session.push(voter::config_update(&config.snapshot()));
        }
    }

    /// Passes an update on to all who follow through this entry.
    pub(super) fn pass_on(&self, update: &wire::ConfigUpdate) {
        let sessions = self.sessions.lock().expect("no panic under lock");
        let following = sessions.values().filter(|subscriber| subscriber.subscribed);
        for subscriber in following {
            subscriber.session.push(wire::Message::ConfigUpdate(update.clone()));
        }
    }
}
