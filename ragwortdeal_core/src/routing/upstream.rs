//! One upstream as an entry sees it: what it serves, its lease, load and health.

use crate::{digest, labels, name, routing, routing::load};

/// Short identifier of an upstream within one router. It may outlive the upstream; the generation
/// tells whether it is still valid.
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
    /// A model, with an adapter if one is asked for.
    Model {
        /// The model's name.
        model: name::ModelName,
        /// The adapter's name, if any.
        adapter: Option<name::AdapterName>,
    },
    /// A plain service.
    Service(name::ServiceName),
}

/// A target that an upstream currently serves, with complete weights.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Served {
    /// What it serves.
    pub target: Target,
    /// The version in service. Plain services have none.
    pub version: Option<digest::Digest>,
}

/// Announcement of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The instance it runs on.
    pub instance: name::InstanceName,
    /// Increases with each start of the process next to the upstream.
    pub incarnation: u64,
    /// The instance's availability zone.
    pub zone: name::ZoneName,
    /// Labels for selectors, including its role.
    pub labels: labels::Labels,
    /// What it serves now.
    pub served: Vec<Served>,
    /// Calls that it processes concurrently.
    pub slots: u32,
    /// End of its lease on this entry's clock, in milliseconds.
    pub lease_until_ms: u64,
}

impl Announcement {
    /// Whether membership in pools is unchanged.
    pub(super) fn offers_same(&self, other: &Self) -> bool {
        self.labels == other.labels && self.served == other.served && self.zone == other.zone
    }
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It takes new work.
    Serving,
    /// It only finishes the work it has.
    Leaving,
}

/// Consecutive failures and the resulting ejection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    failures: u32,
    ejected_until_ms: u64,
}

impl Health {
    pub(super) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Counts a failure and ejects the upstream after several. An upstream that dies before its
    /// lease ends would otherwise attract calls that all fail, and callers would see a burst of
    /// errors for seconds.
    pub(super) fn record_failure(&mut self, settings: &routing::Settings, now_ms: u64) {
        self.failures += 1;
        let beyond = self.failures.checked_sub(settings.failures_until_ejection);
        if let Some(beyond) = beyond {
            let ejection_ms = settings.ejection_ms.saturating_mul(1 << beyond.min(16));
            self.ejected_until_ms = now_ms + ejection_ms.min(settings.ejection_max_ms);
        }
    }

    /// Whether the upstream is ejected for now.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }
}

/// State of an upstream as known to one entry.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its last announcement.
    pub announcement: Announcement,
    /// Whether it takes new work.
    pub state: State,
    /// Its load as seen from this entry.
    pub load: load::Load,
    /// Its health as seen from this entry.
    pub health: Health,
}

impl Upstream {
    pub(super) fn new(announcement: Announcement) -> Self {
        let load = load::Load::default();
        Self { announcement, state: State::Serving, load, health: Health::default() }
    }

    /// Announcements may be reordered in transit, so a lease never gets shorter.
    pub(super) fn renew(&mut self, announcement: Announcement) {
        let lease_until_ms = self.lease_until_ms().max(announcement.lease_until_ms);
        self.announcement = Announcement { lease_until_ms, ..announcement };
    }

    /// End of its lease in milliseconds.
    pub fn lease_until_ms(&self) -> u64 {
        self.announcement.lease_until_ms
    }

    /// Whether new calls may be sent to it.
    pub fn takes_new_work(&self, now_ms: u64) -> bool {
        self.state == State::Serving && now_ms < self.lease_until_ms()
    }
}
