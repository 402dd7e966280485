//! Keeps links to all voters that can be discovered, starting with the seeds.
//!
//! No process is told how many voters there are or where. The seeds may be outdated, cut off or
//! down, so every voter that was ever named is tried for a while, and voters tell of each other.

use std::{
    collections,
    net::Ipv4Addr,
    sync::{self, atomic},
};

use tokio::{
    sync::{mpsc, watch},
    time,
};

use super::notice;
use crate::{link, settings, settings::common};

/// Queue length for notices; a subscriber that falls behind is sent everything again.
const QUEUED_NOTICES_MAX: usize = 4_096;

/// How long a voter that is no longer named is still tried.
const UNNAMED_TTL: time::Duration = time::Duration::from_secs(60);

/// How often such voters are looked for.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Largest number of voters that are followed.
const VOTERS_MAX: usize = 32;

/// Time between the first connects to two voters. When all machines come back at once, hundreds of
/// processes would otherwise connect to the same few voters in the same moment, and each of these
/// would take all that time for the first of them.
const CONNECT_SPACING_MS: u64 = 300;

/// Role by which a voter follows another one. Messages of the replicated log have links of their
/// own.
pub const VOTER_ROLE: &str = "fellow";

/// Addresses of voters' listeners for operators, as given by the current settings.
pub type Seeds = watch::Receiver<Vec<std::net::SocketAddrV4>>;

/// A notice of a voter, or a change of the link to it.
#[derive(Debug)]
pub enum Event {
    /// The link is up.
    Up(Ipv4Addr),
    /// The link is down.
    Down(Ipv4Addr),
    /// A notice was received.
    Notice(Ipv4Addr, notice::Notice),
}

struct VoterLink {
    link: link::Link,
    last_named: time::Instant,
}

/// The links to all voters. Clones share them.
#[derive(Clone)]
pub struct Voters {
    shared: sync::Arc<Shared>,
}

struct Shared {
    settings: sync::Arc<settings::fleet::Settings>,
    identity: common::Identity,
    role: &'static str,
    /// Time between the first connects to two voters.
    spacing_ms: u64,
    held_version: sync::Arc<atomic::AtomicU64>,
    events: mpsc::Sender<Event>,
    voters: sync::Mutex<collections::BTreeMap<Ipv4Addr, VoterLink>>,
}

/// Starts to follow the voters. `held_version` is the version of the document that this process
/// holds.
pub fn start(
    settings: sync::Arc<settings::fleet::Settings>,
    identity: common::Identity,
    role: &'static str,
    held_version: sync::Arc<atomic::AtomicU64>,
    seeds: Seeds,
) -> (Voters, mpsc::Receiver<Event>) {
    let (events, receiver) = mpsc::channel(QUEUED_NOTICES_MAX);
    let shared = Shared {
        settings,
        identity,
        role,
        // Voters are few, and need each other first of all.
        spacing_ms: if role == VOTER_ROLE { 0 } else { CONNECT_SPACING_MS },
        held_version,
        events,
        voters: sync::Mutex::default(),
    };
    let voters = Voters { shared: sync::Arc::new(shared) };
    tokio::spawn(voters.clone().sweep(seeds));
    (voters, receiver)
}

impl Voters {
    /// Follows the given voters, including those named before.
    pub fn follow(&self, addresses: &[Ipv4Addr]) {
        let mut voters = self.voters();
        let own = self.shared.settings.fleet.address;
        for address in connect_order(own, addresses) {
            if let Some(known) = voters.get_mut(&address) {
                known.last_named = time::Instant::now();
            } else if voters.len() < VOTERS_MAX && address != own {
                log::info!("{}: following voter {address}", self.shared.role);
                let link = self.open(address, self.shared.spacing_ms * voters.len() as u64);
                voters.insert(address, VoterLink { link, last_named: time::Instant::now() });
            }
        }
    }

    /// Sends a notice to all connected voters.
    pub fn broadcast(&self, notice: &notice::Notice) {
        for voter in self.voters().values().filter(|it| it.link.is_up()) {
            // A link that breaks now is sent everything again when it is up again.
            let _ = voter.link.push("tell voter", notice::encode(notice));
        }
    }

    /// Sends a notice to one voter.
    pub fn send_to(&self, voter: Ipv4Addr, notice: &notice::Notice) {
        if let Some(held) = self.voters().get(&voter) {
            // As in `broadcast`.
            let _ = held.link.push("tell voter", notice::encode(notice));
        }
    }

    /// Sends a notice to one of the connected voters, the same one for all processes that reach it.
    pub fn send_to_first(&self, notice: &notice::Notice) {
        let first = self.voters().iter().find(|(_, it)| it.link.is_up()).map(|(voter, _)| *voter);
        if let Some(voter) = first {
            self.send_to(voter, notice);
        }
    }

    /// Whether any voter is connected.
    pub fn any_up(&self) -> bool {
        self.voters().values().any(|it| it.link.is_up())
    }

    fn voters(&self) -> sync::MutexGuard<'_, collections::BTreeMap<Ipv4Addr, VoterLink>> {
        self.shared.voters.lock().expect("no panic under lock")
    }

    fn open(&self, address: Ipv4Addr, open_after_ms: u64) -> link::Link {
        let shared = &self.shared;
        let (link_events, received) = mpsc::channel(QUEUED_NOTICES_MAX);
        let credential = link::Credential::new(&shared.settings.credentials.cluster);
        let hello = shared.identity.hello(shared.role);
        let peer = shared.settings.link_address(&address.to_string());
        let limits = link::LinkLimits { open_after_ms, ..link::LinkLimits::default() };
        let link = link::open(&peer, credential, hello, limits, link_events);
        tokio::spawn(self.clone().listen(address, link.clone(), received));
        link
    }

    async fn listen(
        self,
        address: Ipv4Addr,
        link: link::Link,
        mut received: mpsc::Receiver<link::LinkEvent>,
    ) {
        while let Some(event) = received.recv().await {
            let event = match event {
                link::LinkEvent::Up => {
                    let version = self.shared.held_version.load(atomic::Ordering::Relaxed);
                    let subscribe = notice::encode(&notice::Notice::Subscribe { version });
                    // If the link is down again already, the next connect subscribes again.
                    let _ = link.push("follow voter", subscribe);
                    log::info!("{}: voter {address} is in reach", self.shared.role);
                    Event::Up(address)
                }
                link::LinkEvent::Down => {
                    log::warn!("{}: voter {address} is out of reach", self.shared.role);
                    Event::Down(address)
                }
                link::LinkEvent::Push(message) => match notice::decode(&message) {
                    Some(notice::Notice::Voters(voters)) => {
                        self.follow(&voters);
                        continue;
                    }
                    Some(notice) => Event::Notice(address, notice),
                    None => continue,
                },
            };
            if self.shared.events.send(event).await.is_err() {
                return;
            }
        }
    }

    /// Applies new seeds, and drops voters that are no longer named and not connected.
    async fn sweep(self, mut seeds: Seeds) {
        loop {
            let named: Vec<_> = seeds.borrow_and_update().iter().map(|seed| *seed.ip()).collect();
            self.follow(&named);
            tokio::select! {
                () = time::sleep(SWEEP_INTERVAL) => (),
                // Without a sender the seeds no longer change.
                Ok(()) = seeds.changed() => (),
            }
            self.voters()
                .retain(|_, voter| voter.last_named.elapsed() < UNNAMED_TTL || voter.link.is_up());
        }
    }
}

/// The order in which a process connects to voters. Processes begin at different ones, so that each
/// voter gets an even part of them first.
fn connect_order(own: Ipv4Addr, voters: &[Ipv4Addr]) -> impl Iterator<Item = Ipv4Addr> {
    let count = voters.len();
    let first = (own.to_bits() as usize).checked_rem(count).unwrap_or(0);
    (0..count).map(move |step| voters[(first + step) % count])
}
