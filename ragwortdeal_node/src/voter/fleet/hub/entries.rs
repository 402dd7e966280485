//! Tells entries of each other.

use std::{collections, net};

use ragwortdeal_core::dispatch::entry_roster;

use super::State;
use crate::fleet::notice;

impl State {
    /// Connected entries with their addresses.
    pub(super) fn entries(&self) -> impl Iterator<Item = entry_roster::EntryInfo> {
        let hellos = self.followers.values().map(|it| &it.session.hello);
        let entries = hellos.filter(|hello| hello.role == "entry");
        entries.filter_map(|hello| {
            let address = hello.name.parse().ok()?;
            Some(entry_roster::EntryInfo { address, zone: hello.zone.as_str().into() })
        })
    }

    /// Tells entries which of them joined or left.
    pub(super) fn tell_entry_changes(&mut self) {
        let changed = std::mem::take(&mut self.changed_entries);
        let joined: Vec<_> = self.entries().filter(|it| changed.contains(&it.address)).collect();
        let here = |address: &net::Ipv4Addr| joined.iter().any(|it| it.address == *address);
        let left = changed.into_iter().filter(|address| !here(address)).collect();
        self.tell_role("entry", &notice::encode(&notice::Notice::EntryChanges { joined, left }));
    }

    /// Tells entries how many of them are connected.
    pub(super) fn tell_entry_count(&self) {
        let count = notice::Notice::EntryCount(self.entry_count());
        self.tell_role("entry", &notice::encode(&count));
    }

    /// Number of connected entries, if the log tells a lower one.
    pub(super) fn unrecorded_entry_count(&self) -> Option<u32> {
        Some(self.entry_count()).filter(|count| *count > self.documents.entries)
    }

    /// Number of connected entries. One that comes back may have its former link still open.
    fn entry_count(&self) -> u32 {
        let addresses: collections::HashSet<_> = self.entries().map(|it| it.address).collect();
        addresses.len() as u32
    }
}
