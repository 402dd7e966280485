//! The upstreams that announced themselves, as one process knows them.
//!
//! There is no other list. Announcements come late, twice and out of order, and an address may be
//! taken over by another upstream, so each announcement is ordered by the start of its sender and
//! its number, and of two upstreams at one address the one that started later holds it.

use std::{collections, sync};

/// A shared immutable text.
pub type Text = sync::Arc<str>;

/// How long an upstream is remembered after it left, so that a late announcement of it is known
/// to be old. Announcements were seen to come some seconds late.
const GONE_MS: u64 = 60_000;

/// Most upstreams that are kept; an outside writer must not fill the memory.
pub const UPSTREAMS_MAX: usize = 20_000;

/// Whether an upstream takes new work.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum Status {
    /// It takes work.
    Ready,
    /// It leaves and gets no new work.
    Draining,
    /// It said that it is gone.
    Gone,
}

/// A version of a model that an engine serves.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ServedModel {
    /// The model.
    pub model: Text,
    /// The version.
    pub version: u64,
}

/// The part of a model's layers that an engine holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Layers {
    /// The first layer.
    pub from: u32,
    /// The layer behind the last one.
    pub to: u32,
}

impl Layers {
    /// Whether these are all layers of a model that has so many.
    pub fn covers_all(self, layers: u32) -> bool {
        self.from == 0 && self.to >= layers
    }
}

/// Order of what one upstream says of itself: its start in Unix milliseconds, then a number that
/// rises with each announcement. Both are the upstream's own; no clock of ours is compared.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct AnnouncementOrder {
    /// Start of the upstream.
    pub born_ms: u64,
    /// Number of the announcement.
    pub sequence: u64,
}

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Announcement {
    /// Its identifier.
    pub instance: Text,
    /// How old the announcement is.
    #[serde(rename = "age")]
    pub order: AnnouncementOrder,
    /// Its service.
    pub service: Text,
    /// Its HTTP address.
    pub address: std::net::SocketAddrV4,
    /// Its availability zone.
    pub zone: Text,
    /// Whether it takes work.
    #[serde(rename = "standing")]
    pub status: Status,
    /// Requests that it works on together.
    pub slots: u32,
    /// Models that it serves.
    #[serde(rename = "held")]
    pub models: Vec<ServedModel>,
    /// Layers that it holds of them, none where it does not tell.
    #[serde(default)]
    pub layers: Option<Layers>,
}

impl Announcement {
    /// An upstream of which only its end is known.
    fn gone(instance: &str, order: AnnouncementOrder) -> Self {
        Self {
            instance: instance.into(),
            order,
            service: "".into(),
            address: std::net::SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0),
            zone: "".into(),
            status: Status::Gone,
            slots: 0,
            models: Vec::new(),
            layers: None,
        }
    }
}

/// One upstream as it is known here.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The newest announcement.
    pub announcement: Announcement,
    /// When it was heard of last, on this process's clock.
    pub last_heard_ms: u64,
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It is older than what is known, or no upstream's.
    Stale,
    /// It only shows that the upstream lives.
    Refreshed,
    /// Something about the upstream is new.
    Changed,
}

/// All known upstreams.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    upstreams: collections::BTreeMap<Text, Upstream>,
}

impl Directory {
    /// Takes an announcement.
    pub fn apply_announcement(&mut self, announcement: Announcement, now_ms: u64) -> Effect {
        if !self.upstreams.contains_key(&announcement.instance)
            && self.upstreams.len() >= UPSTREAMS_MAX
        {
            return Effect::Stale;
        }
        if self.address_taken(&announcement) {
            return Effect::Stale;
        }
        let known = self.upstreams.get_mut(&announcement.instance);
        let Some(known) = known else {
            self.upstreams.insert(
                announcement.instance.clone(),
                Upstream { announcement, last_heard_ms: now_ms },
            );
            return Effect::Changed;
        };
        // An upstream that said that it leaves never comes back in the same life. So its leaving
        // counts also where something else was heard that is newer, by another way.
        let same_life = known.announcement.order.born_ms == announcement.order.born_ms;
        if same_life && announcement.status > known.announcement.status {
            let order = known.announcement.order.max(announcement.order);
            known.announcement = Announcement { order, ..announcement };
            known.last_heard_ms = now_ms;
            return Effect::Changed;
        }
        let returns = same_life && announcement.status < known.announcement.status;
        if announcement.order <= known.announcement.order || returns {
            return Effect::Stale;
        }
        let mut previous = std::mem::replace(&mut known.announcement, announcement);
        known.last_heard_ms = now_ms;
        previous.order = known.announcement.order;
        if previous == known.announcement && same_life {
            Effect::Refreshed
        } else {
            Effect::Changed
        }
    }

    /// Takes the word of an upstream that it is gone. One that was not known is remembered as gone
    /// where it told its start and sequence number, so that a late announcement of it is known to be old.
    pub fn apply_departure(
        &mut self,
        instance: &str,
        order: Option<AnnouncementOrder>,
        now_ms: u64,
    ) -> Effect {
        let Some(known) = self.upstreams.get_mut(instance) else {
            let Some(order) = order.filter(|_| self.upstreams.len() < UPSTREAMS_MAX) else {
                return Effect::Stale;
            };
            let announcement = Announcement::gone(instance, order);
            self.upstreams.insert(
                announcement.instance.clone(),
                Upstream { announcement, last_heard_ms: now_ms },
            );
            return Effect::Changed;
        };
        let older = order.is_some_and(|order| order.born_ms < known.announcement.order.born_ms);
        if older || known.announcement.status == Status::Gone {
            return Effect::Stale;
        }
        known.announcement.status = Status::Gone;
        known.announcement.order = known.announcement.order.max(order.unwrap_or_default());
        known.last_heard_ms = now_ms;
        Effect::Changed
    }

    /// Whether another upstream that started later holds the address. Without this, a late
    /// announcement from behind a partition would bring a dead upstream back to the address of a
    /// live one of another service.
    fn address_taken(&self, announcement: &Announcement) -> bool {
        self.upstreams.values().any(|other| {
            other.announcement.address == announcement.address
                && other.announcement.instance != announcement.instance
                && other.announcement.order.born_ms > announcement.order.born_ms
                && other.announcement.status != Status::Gone
        })
    }

    /// All upstreams, those that left included.
    pub fn all(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// One upstream.
    pub fn get(&self, instance: &str) -> Option<&Upstream> {
        self.upstreams.get(instance)
    }

    /// Forgets those that left long ago. Returns their names. A process that is told of news only
    /// cannot tell from silence that an upstream is lost.
    pub fn forget_gone(&mut self, now_ms: u64) -> Vec<Text> {
        self.forget_silent(u64::MAX, now_ms)
    }

    /// Forgets those that were silent for long. Returns their names.
    pub fn forget_silent(&mut self, silent_ms: u64, now_ms: u64) -> Vec<Text> {
        let forgotten = |upstream: &Upstream| {
            let keep_ms = match upstream.announcement.status {
                Status::Gone => GONE_MS,
                Status::Ready | Status::Draining => silent_ms,
            };
            now_ms.saturating_sub(upstream.last_heard_ms) > keep_ms
        };
        let names: Vec<Text> = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| forgotten(upstream))
            .map(|(name, _)| name.clone())
            .collect();
        names.iter().for_each(|name| _ = self.upstreams.remove(name));
        names
    }
}
