//! The entry's side of the voters: follows the configuration and proposes entries of their log.

use std::sync::{self, atomic};

use ragwortdeal_core::command;
use ragwortdeal_wire::link as wire;
use snafu::Snafu;
use tokio::sync::mpsc;

use super::Entry;
use crate::{link, settings};

/// Events of the voters' links that may wait to be taken.
pub(super) const EVENTS: usize = 1_024;

/// An event on the link to one of the voters.
pub(super) struct VoterEvent {
    voter: usize,
    event: link::LinkEvent,
}

/// Why a proposal has no outcome.
#[derive(Debug, Snafu)]
pub enum ProposeError {
    /// No voter took it: it did not take effect and never will.
    #[snafu(display("no quorum of voters can be reached"))]
    NotTaken,
    /// A voter may have taken it; asking again with the same identifier tells.
    #[snafu(display("the voters' answer was lost"))]
    Unknown,
}

/// Opens a link to each voter.
pub(super) fn open_links(
    settings: &settings::entry::Settings,
    identity: &settings::common::Identity,
    credential: &link::Credential,
    events: mpsc::Sender<VoterEvent>,
) -> Vec<link::Link> {
    let open = |(voter, address): (usize, &std::net::SocketAddr)| {
        let (sender, mut receiver) = mpsc::channel(EVENTS);
        let events = events.clone();
        tokio::spawn(async move {
            while let Some(event) = receiver.recv().await {
                if events.send(VoterEvent { voter, event }).await.is_err() {
                    return;
                }
            }
        });
        let (hello, limits) = (identity.hello("entry"), link::LinkLimits::default());
        link::open(&address.to_string(), credential.clone(), hello, limits, sender)
    };
    settings.voters.addresses.iter().enumerate().map(open).collect()
}

/// Follows the voters' configuration.
pub(super) async fn follow(entry: sync::Arc<Entry>, mut events: mpsc::Receiver<VoterEvent>) {
    while let Some(VoterEvent { voter, event }) = events.recv().await {
        let link = &entry.voters[voter];
        match event {
            link::LinkEvent::Up => subscribe(link, entry.config.borrow().revision()),
            link::LinkEvent::Push(message) => {
                if let wire::Message::ConfigUpdate(update) = *message
                    && !entry.apply(&update)
                {
                    subscribe(link, 0);
                }
            }
            link::LinkEvent::Down => (),
        }
    }
}

fn subscribe(link: &link::Link, held_revision: u64) {
    let message = wire::Message::Subscribe(wire::Subscribe { held_revision });
    if let Err(error) = link.push("subscribe", message) {
        log::debug!("entry: {error}");
    }
}

impl Entry {
    /// Takes a configuration update, upwards only, and passes it on. `false` asks for the whole.
    pub(super) fn apply(&self, update: &wire::ConfigUpdate) -> bool {
        let Ok(decoded) = ciborium::from_reader(&update.payload[..]) else {
            return false;
        };
        let mut whole = true;
        let rose = self.config.send_if_modified(|config| match config.apply(&decoded) {
            Ok(rose) => rose,
            Err(error) => {
                log::warn!("entry: configuration not applied: {error}");
                whole = false;
                false
            }
        });
        if rose {
            self.pass_on(update);
        }
        if whole {
            self.told.store(true, atomic::Ordering::Relaxed);
        }
        whole
    }

    /// Whether the configuration held here is at least what its upstreams have in force.
    ///
    /// A restarted entry in a cut-off availability zone may reach one voter alone, and that one may
    /// be behind what the zone had applied. Serving by it would take accepted changes back. The
    /// announcements of upstreams carry what they have applied, so the entry refuses calls until it
    /// has at least that, and asks the upstreams themselves for it.
    pub(super) fn knows_configuration(&self) -> bool {
        self.told.load(atomic::Ordering::Relaxed) && !self.is_behind_upstreams()
    }

    /// Whether some upstream has a later configuration in force than this entry.
    pub(super) fn is_behind_upstreams(&self) -> bool {
        let floor_revision = self.floor_revision.load(atomic::Ordering::Relaxed);
        self.config.borrow().revision() < floor_revision
    }

    /// Whether a voter can be reached now.
    pub(super) fn reaches_voters(&self) -> bool {
        self.voters.iter().any(link::Link::is_up)
    }

    /// Proposes an entry of the log to one voter after the other.
    ///
    /// Every command carries an identifier by which the voters know a resend, so asking a second
    /// voter after a lost answer decides nothing twice.
    pub(super) async fn propose(
        &self,
        command: &command::Command,
    ) -> Result<command::Outcome, ProposeError> {
        let mut payload = Vec::new();
        ciborium::into_writer(command, &mut payload).expect("own types encode into memory");
        let mut sent = false;
        for voter in &self.voters {
            let message = wire::Message::Propose(wire::Propose { payload: payload.clone().into() });
            let answer = voter.request("propose", message, self.settings.limits.control_ms).await;
            match answer {
                Ok(wire::Message::Proposed(proposed)) => {
                    return ciborium::from_reader(&proposed.payload[..])
                        .map_err(|_| ProposeError::Unknown);
                }
                Ok(_) | Err(link::LinkError::Unanswered { .. }) => sent = true,
                Err(error) => log::debug!("entry: {error}"),
            }
        }
        if sent { Err(ProposeError::Unknown) } else { Err(ProposeError::NotTaken) }
    }
}
