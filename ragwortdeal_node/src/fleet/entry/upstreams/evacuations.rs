//! Availability zones to which nothing more is sent.

use std::net;

use ragwortdeal_core::{directory, document::evacuation};

use super::Upstreams;
use crate::fleet::notice;

impl Upstreams {
    /// Takes what a voter tells of evacuations. The highest revision of each zone counts, because a
    /// voter that lags tells of earlier ones.
    pub(in super::super) fn record_evacuations(
        &mut self,
        voter: net::Ipv4Addr,
        told: &[evacuation::Evacuation],
        now_ms: u64,
    ) {
        for evacuation in told {
            let was_evacuated = self.evacuations.is_evacuated(&evacuation.zone);
            if !self.evacuations.record(evacuation) || was_evacuated == evacuation.evacuated {
                continue;
            }
            notice::log_evacuation("entry", voter, evacuation, now_ms);
            if !evacuation.evacuated {
                self.assume_cold_in_zone(&evacuation.zone, now_ms);
            }
        }
    }

    /// Number of evacuated zones.
    pub(in super::super) fn evacuated_count(&self) -> u64 {
        self.evacuations.count() as u64
    }

    /// Whether nothing may be sent to an upstream because its zone is evacuated.
    pub(super) fn is_evacuated(&self, announcement: &directory::Announcement) -> bool {
        self.evacuations.is_evacuated(&announcement.zone)
    }

    /// Whether a service has upstreams that only an evacuation keeps from taking work.
    pub(super) fn has_evacuated(&self, service: &directory::Text) -> bool {
        let mut upstreams = self.directory.all().map(|upstream| &upstream.announcement);
        upstreams.any(|it| {
            it.service == *service && it.status == directory::Status::Ready && self.is_evacuated(it)
        })
    }
}
