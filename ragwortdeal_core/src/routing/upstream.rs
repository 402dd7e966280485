//! One upstream as an entry sees it: what it offers, its lease, load and health.

use crate::{digest, labels, name, routing, routing::load};

/// Short identifier of an upstream within one router. It outlives the upstream: a forgotten one
/// is recognised by its generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId {
    pub(super) index: u32,
    pub(super) generation: u32,
}

impl UpstreamId {
    pub(super) fn index(self) -> usize {
        self.index as usize
    }
}

/// What calls ask for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Target {
    /// A model, with an adapter where one is asked for.
    Model {
        /// The model's name.
        model: name::ModelName,
        /// The adapter's name, if any.
        adapter: Option<name::AdapterName>,
    },
    /// A plain service.
    Service(name::ServiceName),
}

/// Something that an upstream serves right now, with whole weights.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Served {
    /// What it serves.
    pub target: Target,
    /// The version it serves it with; plain services have none.
    pub version: Option<digest::Digest>,
}

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The instance it runs on.
    pub instance: name::InstanceName,
    /// Grows with each start of the process beside the upstream.
    pub incarnation: u64,
    /// The instance's availability zone.
    pub zone: name::ZoneName,
    /// Labels by which selectors pick it, its role among them.
    pub labels: labels::Labels,
    /// What it serves now.
    pub served: Vec<Served>,
    /// Calls it works on at once.
    pub slots: u32,
    /// End of its lease on this entry's clock, in milliseconds.
    pub lease_until_ms: u64,
}

impl Announcement {
    /// Whether pools need not be worked out again.
    pub(super) fn offers_the_same(&self, other: &Self) -> bool {
        self.labels == other.labels && self.served == other.served && self.zone == other.zone
    }
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It takes new work.
    Serving,
    /// It finishes what it has.
    Leaving,
}

/// Failures in a row, and the time aside that follows from them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    failures: u32,
    ejected_until_ms: u64,
}

impl Health {
    pub(super) fn recovered(&mut self) {
        *self = Self::default();
    }

    /// An upstream that dies before its lease ends would go on drawing calls, and each would
    /// fail: callers see a burst of errors for seconds. Putting it aside ends that after a few.
    pub(super) fn failed(&mut self, settings: &routing::Settings, now_ms: u64) {
        self.failures += 1;
        let beyond = self.failures.checked_sub(settings.failures_until_ejection);
        if let Some(beyond) = beyond {
            let ejection_ms = settings.ejection_ms.saturating_mul(1 << beyond.min(16));
            self.ejected_until_ms = now_ms + ejection_ms.min(settings.ejection_max_ms);
        }
    }

    /// Whether the upstream is better left alone for now.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }
}

/// Everything that one entry knows of an upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What it said last.
    pub announcement: Announcement,
    /// Whether it takes new work.
    pub state: State,
    /// Its load as seen from here.
    pub load: load::Load,
    /// Its health as seen from here.
    pub health: Health,
}

impl Upstream {
    pub(super) fn new(announcement: Announcement) -> Self {
        let load = load::Load::default();
        Self { announcement, state: State::Serving, load, health: Health::default() }
    }

    /// Announcements are reordered on their way, so a lease never grows shorter.
    pub(super) fn renew(&mut self, announcement: Announcement) {
        let lease_until_ms = self.lease_until_ms().max(announcement.lease_until_ms);
        self.announcement = Announcement { lease_until_ms, ..announcement };
    }

    /// End of its lease in milliseconds.
    pub fn lease_until_ms(&self) -> u64 {
        self.announcement.lease_until_ms
    }

    /// Whether a new call may be sent to it.
    pub fn takes_new_work(&self, now_ms: u64) -> bool {
        self.state == State::Serving && now_ms < self.lease_until_ms()
    }
}
