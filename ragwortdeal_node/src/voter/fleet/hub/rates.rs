//! What entries tell of upstreams for other entries: rates that they name, and those of which a
//! fresh announcement is wanted.

use std::collections;

use ragwortdeal_core::directory;

use super::State;
use crate::fleet::notice;

/// What entries told.
#[derive(Debug, Default)]
pub(super) struct Told {
    rates: collections::BTreeMap<directory::Text, notice::NamedRate>,
    awaited: collections::BTreeSet<directory::Text>,
}

impl State {
    /// Takes the rates that upstreams named to an entry. Of two starts of an upstream the later one
    /// counts, and of two words on the same start the later word.
    pub(super) fn record_named_rates(&mut self, rates: Vec<notice::NamedRate>) {
        for rate in rates {
            let held = &mut self.told.rates;
            let is_known = held.contains_key(&rate.instance);
            let older = held.get(&rate.instance).is_some_and(|it| it.born_ms > rate.born_ms);
            match rate.per_s {
                _ if older => (),
                Some(_) if is_known || held.len() < directory::UPSTREAMS_MAX => {
                    held.insert(rate.instance.clone(), rate);
                }
                Some(_) => (),
                None => _ = held.remove(&rate.instance),
            }
        }
    }

    /// Rates that upstreams name, without those that restarted or left since.
    pub(super) fn named_rates(&self) -> Vec<notice::NamedRate> {
        let is_current = |rate: &&notice::NamedRate| {
            self.directory.get(&rate.instance).is_none_or(|upstream| {
                let announcement = &upstream.announcement;
                announcement.order.born_ms <= rate.born_ms
                    && announcement.status != directory::Status::Gone
            })
        };
        self.told.rates.values().filter(is_current).cloned().collect()
    }

    /// Takes the upstreams that an entry assumes to be cold.
    pub(super) fn await_announcements(&mut self, instances: Vec<directory::Text>) {
        for instance in instances {
            if self.told.awaited.len() < directory::UPSTREAMS_MAX {
                self.told.awaited.insert(instance);
            }
        }
    }

    /// Passes on an announcement that shows nothing new, if an entry waits for it.
    pub(super) fn tell_awaited(&mut self, said: directory::Announcement) {
        if self.told.awaited.remove(&said.instance) {
            self.tell_of(said);
        }
    }
}
