//! Follows all voters that can be found, beginning with the seeds.
//!
//! Nobody is told how many voters there are or where. The seeds may be old, cut off or down, so
//! every voter that was ever named is tried for a while, and voters tell of each other.

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

/// Notices that may wait; a follower that is slower than that is sent everything anew.
const NOTICES: usize = 4_096;

/// How long a voter that nobody names any more is still tried.
const FORGET: time::Duration = time::Duration::from_secs(60);

/// How often voters that nobody names are looked for.
const SWEEP: time::Duration = time::Duration::from_secs(5);

/// Most voters that are followed.
const VOTERS_MAX: usize = 32;

/// Voters' listeners for operators, as the settings name them at present.
pub type Seeds = watch::Receiver<Vec<std::net::SocketAddrV4>>;

/// Something that a voter told, or that happened to the link to it.
#[derive(Debug)]
pub enum Event {
    /// The link is up.
    Up(Ipv4Addr),
    /// The link is down.
    Down(Ipv4Addr),
    /// A notice.
    Notice(Ipv4Addr, notice::Notice),
}

struct Followed {
    link: link::Link,
    named: time::Instant,
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
    held_version: sync::Arc<atomic::AtomicU64>,
    told: mpsc::Sender<Event>,
    followed: sync::Mutex<collections::BTreeMap<Ipv4Addr, Followed>>,
}

/// Starts to follow the voters. `held_version` is the version of the document that is held here.
pub fn start(
    settings: sync::Arc<settings::fleet::Settings>,
    identity: common::Identity,
    role: &'static str,
    held_version: sync::Arc<atomic::AtomicU64>,
    seeds: Seeds,
) -> (Voters, mpsc::Receiver<Event>) {
    let (told, receiver) = mpsc::channel(NOTICES);
    let shared =
        Shared { settings, identity, role, held_version, told, followed: sync::Mutex::default() };
    let voters = Voters { shared: sync::Arc::new(shared) };
    tokio::spawn(voters.clone().sweep(seeds));
    (voters, receiver)
}

impl Voters {
    /// Follows voters that were named, also those named before.
    pub fn follow(&self, addresses: &[Ipv4Addr]) {
        let mut followed = self.followed();
        for &address in addresses {
            if let Some(known) = followed.get_mut(&address) {
                known.named = time::Instant::now();
            } else if followed.len() < VOTERS_MAX && address != self.shared.settings.fleet.address {
                log::info!("{}: follows voter {address}", self.shared.role);
                let link = self.open(address);
                followed.insert(address, Followed { link, named: time::Instant::now() });
            }
        }
    }

    /// Tells all voters within reach.
    pub fn broadcast(&self, notice: &notice::Notice) {
        for followed in self.followed().values().filter(|it| it.link.is_up()) {
            // A link that breaks now is told anew when it is up again.
            let _ = followed.link.push("tell voter", notice::encode(notice));
        }
    }

    /// Tells one voter.
    pub fn send_to(&self, voter: Ipv4Addr, notice: &notice::Notice) {
        if let Some(followed) = self.followed().get(&voter) {
            // As with all voters.
            let _ = followed.link.push("tell voter", notice::encode(notice));
        }
    }

    /// Whether any voter is within reach.
    pub fn any_up(&self) -> bool {
        self.followed().values().any(|it| it.link.is_up())
    }

    fn followed(&self) -> sync::MutexGuard<'_, collections::BTreeMap<Ipv4Addr, Followed>> {
        self.shared.followed.lock().expect("no panic under lock")
    }

    fn open(&self, address: Ipv4Addr) -> link::Link {
        let shared = &self.shared;
        let (events, received) = mpsc::channel(NOTICES);
        let credential = link::Credential::new(&shared.settings.credentials.cluster);
        let hello = shared.identity.hello(shared.role);
        let peer = shared.settings.link_address(&address.to_string());
        let link = link::open(&peer, credential, hello, link::LinkLimits::default(), events);
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
            let told = match event {
                link::LinkEvent::Up => {
                    let version = self.shared.held_version.load(atomic::Ordering::Relaxed);
                    let follow = notice::encode(&notice::Notice::Subscribe { version });
                    // Where the link broke already it comes up once more, and is asked again.
                    let _ = link.push("follow voter", follow);
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
            if self.shared.told.send(told).await.is_err() {
                return;
            }
        }
    }

    /// Takes up new seeds, and gives up voters that nobody names and that are out of reach.
    async fn sweep(self, mut seeds: Seeds) {
        loop {
            let named: Vec<_> = seeds.borrow_and_update().iter().map(|seed| *seed.ip()).collect();
            self.follow(&named);
            tokio::select! {
                () = time::sleep(SWEEP) => (),
                // Where nobody can change them any more, the seeds stay as they are.
                Ok(()) = seeds.changed() => (),
            }
            self.followed()
                .retain(|_, followed| followed.named.elapsed() < FORGET || followed.link.is_up());
        }
    }
}
