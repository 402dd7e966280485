//! Directory of the upstreams that have announced themselves to this process.
//!
//! There is no other list of upstreams. Announcements arrive late, twice and out of order, and an
//! address may be reused by another upstream. Announcements of an upstream are therefore ordered by
//! its start time and a sequence number, and of two upstreams at one address the one that started
//! later owns it. An upstream of a service that no document names owns nothing: its announcement may
//! come from another writer. A dispute over an address only concerns who gets requests; the word of
//! an upstream that it leaves counts in any case.

use std::{collections, sync};

/// A shared immutable string.
pub type Text = sync::Arc<str>;

/// Time for which an upstream that has left stays recorded, so that a delayed announcement of it is
/// recognised as old. Announcements may arrive some seconds late.
const TOMBSTONE_MS: u64 = 60_000;

/// Upstreams kept at most, so that announcements cannot exhaust the memory.
pub const UPSTREAMS_MAX: usize = 20_000;

/// Whether an upstream accepts new requests.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum Status {
    /// It accepts new requests.
    Ready,
    /// It finishes its requests and gets no new ones.
    Draining,
    /// It has announced that it is gone.
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
    /// The layer after the last one.
    pub to: u32,
}

impl Layers {
    /// Whether these are all layers of a model with `layers` layers.
    pub fn covers_all(self, layers: u32) -> bool {
        self.from == 0 && self.to >= layers
    }
}

/// Order of the announcements of one upstream: its start in Unix milliseconds, then a number that
/// increases with each announcement. Both come from the upstream and are not compared with this
/// process's clock.
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
    /// Start of the upstream in Unix milliseconds.
    pub born_ms: u64,
    /// Sequence number of the announcement.
    pub sequence: u64,
}

/// An upstream's announcement of itself.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Announcement {
    /// Its identifier.
    pub instance: Text,
    /// Position among the upstream's announcements.
    #[serde(rename = "age")]
    pub order: AnnouncementOrder,
    /// Its service.
    pub service: Text,
    /// Its HTTP address.
    pub address: std::net::SocketAddrV4,
    /// Its availability zone.
    pub zone: Text,
    /// Whether it accepts new requests.
    #[serde(rename = "standing")]
    pub status: Status,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Models that it serves.
    #[serde(rename = "held")]
    pub models: Vec<ServedModel>,
    /// Layers of these models that it holds, or `None` if it does not report them.
    #[serde(default)]
    pub layers: Option<Layers>,
    /// How much longer it is cold, in milliseconds, 0 if it is warm. Absent in announcements of
    /// earlier versions of this program.
    #[serde(default)]
    pub cold_remaining_ms: u64,
}

impl Announcement {
    /// An announcement of an upstream of which only the departure is known.
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
            cold_remaining_ms: 0,
        }
    }

    /// Whether this tells nothing new of how long the upstream is cold: time passes by itself.
    fn cools_on_as(&self, earlier: &Self) -> bool {
        let (left_ms, earlier_ms) = (self.cold_remaining_ms, earlier.cold_remaining_ms);
        left_ms <= earlier_ms && (left_ms == 0) == (earlier_ms == 0)
    }
}

/// A known upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its latest announcement.
    pub announcement: Announcement,
    /// When it was last heard from, on this process's clock.
    pub last_heard_ms: u64,
}

/// Effect of an announcement on the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It was ignored, for example because it is older than what is known.
    Stale,
    /// It only shows that the upstream is alive.
    Refreshed,
    /// It changed what is known of the upstream.
    Changed,
}

/// All known upstreams.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    upstreams: collections::BTreeMap<Text, Upstream>,
    /// Services that the document in force names, or `None` before there is a document.
    named_services: Option<collections::BTreeSet<Text>>,
}

impl Directory {
    /// Sets the services that the document in force names.
    pub fn set_named_services(&mut self, services: impl IntoIterator<Item = Text>) {
        self.named_services = Some(services.into_iter().collect());
    }

    /// Applies an announcement.
    pub fn apply_announcement(&mut self, announcement: Announcement, now_ms: u64) -> Effect {
        if !self.upstreams.contains_key(&announcement.instance)
            && self.upstreams.len() >= UPSTREAMS_MAX
        {
            return Effect::Stale;
        }
        if announcement.status == Status::Ready && self.address_taken(&announcement) {
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
        // An upstream that leaves never returns without a restart. Its leaving therefore also
        // counts after a newer announcement has arrived by another path.
        let same_incarnation = known.announcement.order.born_ms == announcement.order.born_ms;
        if same_incarnation && announcement.status > known.announcement.status {
            let order = known.announcement.order.max(announcement.order);
            known.announcement = Announcement { order, ..announcement };
            known.last_heard_ms = now_ms;
            return Effect::Changed;
        }
        // The clock that dates starts can go back, so what looks like an earlier start may be the
        // present one. Its leaving counts until a start that looks later is heard of again; if it
        // really was late, that takes until the upstream's next announcement.
        let leaves = announcement.status > known.announcement.status
            && known.announcement.status == Status::Ready;
        if leaves && announcement.order.born_ms < known.announcement.order.born_ms {
            known.announcement = announcement;
            known.last_heard_ms = now_ms;
            return Effect::Changed;
        }
        let returns = same_incarnation && announcement.status < known.announcement.status;
        if announcement.order <= known.announcement.order || returns {
            return Effect::Stale;
        }
        let mut previous = std::mem::replace(&mut known.announcement, announcement);
        known.last_heard_ms = now_ms;
        previous.order = known.announcement.order;
        if known.announcement.cools_on_as(&previous) {
            previous.cold_remaining_ms = known.announcement.cold_remaining_ms;
        }
        if previous == known.announcement && same_incarnation {
            Effect::Refreshed
        } else {
            Effect::Changed
        }
    }

    /// Applies an upstream's announcement that it is gone. An unknown upstream is recorded as gone
    /// if its `order` is given, so that a delayed announcement of it is recognised as old.
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

    /// Whether another upstream that started later owns the address. Without this check, an
    /// announcement that was delayed by a partition would route requests for a dead upstream to a
    /// live one of another service at the same address.
    fn address_taken(&self, announcement: &Announcement) -> bool {
        let is_named = |service: &Text| {
            self.named_services.as_ref().is_none_or(|services| services.contains(service))
        };
        self.upstreams.values().any(|other| {
            other.announcement.address == announcement.address
                && is_named(&other.announcement.service)
                && other.announcement.instance != announcement.instance
                && other.announcement.order.born_ms > announcement.order.born_ms
                && other.announcement.status != Status::Gone
        })
    }

    /// All upstreams, including those that have left.
    pub fn all(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// The upstream with this identifier.
    pub fn get(&self, instance: &str) -> Option<&Upstream> {
        self.upstreams.get(instance)
    }

    /// Removes upstreams that left long ago and returns their identifiers. For a process that
    /// receives only changes, to which silence does not mean that an upstream is lost.
    pub fn forget_gone(&mut self, now_ms: u64) -> Vec<Text> {
        self.forget_silent(u64::MAX, now_ms)
    }

    /// Removes upstreams that left long ago or were silent for more than `silent_ms`, and returns
    /// their identifiers.
    pub fn forget_silent(&mut self, silent_ms: u64, now_ms: u64) -> Vec<Text> {
        let forgotten = |upstream: &Upstream| {
            let keep_ms = match upstream.announcement.status {
                Status::Gone => TOMBSTONE_MS,
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
