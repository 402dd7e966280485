//! The part of the log that a replica keeps in memory.

use std::collections;

use crate::replication::{entry, membership};

/// Consecutive entries after a base position, with an index of the memberships among them.
#[derive(Clone, Debug)]
pub struct Log {
    base: entry::Position,
    entries: collections::VecDeque<entry::Entry>,
    /// Memberships with the index of their entry, oldest first; never empty.
    memberships: Vec<(u64, membership::Membership)>,
}

impl Log {
    /// Builds the log from persistent state.
    pub fn new(stored: &entry::PersistentState) -> Self {
        let mut log = match &stored.snapshot {
            Some(snapshot) => Self::from_snapshot(snapshot),
            None => Self::empty(),
        };
        for entry in &stored.entries {
            log.append(entry.clone());
        }
        log
    }

    /// Creates an empty log that starts after a snapshot.
    pub fn from_snapshot(snapshot: &entry::Snapshot) -> Self {
        Self {
            base: snapshot.position,
            entries: collections::VecDeque::new(),
            memberships: vec![(snapshot.position.index, snapshot.membership.clone())],
        }
    }

    fn empty() -> Self {
        Self {
            base: entry::Position::default(),
            entries: collections::VecDeque::new(),
            memberships: vec![(0, membership::Membership::default())],
        }
    }

    /// Position of the last entry.
    pub fn last(&self) -> entry::Position {
        self.entries.back().map_or(self.base, |entry| entry.position)
    }

    /// Term of the entry at an index, or `None` if the entry is not in memory.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.position.term)
    }

    /// Whether the log has an entry with this index and term.
    pub fn contains(&self, position: entry::Position) -> bool {
        self.term_at(position.index) == Some(position.term)
    }

    fn get(&self, index: u64) -> Option<&entry::Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Entries from an index on, limited to a number of bytes but at least one if there is one.
    pub fn slice(&self, from: u64, max_bytes: usize) -> Vec<entry::Entry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        let mut index = from;
        while let Some(entry) = self.get(index) {
            bytes += entry.payload.data_bytes() + ENTRY_OVERHEAD_BYTES;
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
            index += 1;
        }
        entries
    }

    /// Entries of an inclusive range of indices.
    pub fn range(&self, from: u64, to: u64) -> Vec<entry::Entry> {
        (from..=to).filter_map(|index| self.get(index).cloned()).collect()
    }

    /// Appends the next entry.
    pub fn append(&mut self, entry: entry::Entry) {
        debug_assert_eq!(entry.position.index, self.last().index + 1);
        if let entry::Payload::Membership(membership) = &entry.payload {
            self.memberships.push((entry.position.index, membership.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Drops the entries from an index on, and the memberships that they set.
    pub fn truncate_from(&mut self, index: u64) {
        let retained = index.saturating_sub(self.base.index + 1);
        self.entries.truncate(usize::try_from(retained).unwrap_or(usize::MAX));
        self.memberships.retain(|(set_at, _)| *set_at < index);
    }

    /// Drops the entries up to an index from memory.
    pub fn trim_to(&mut self, index: u64) {
        while let Some(entry) = self.entries.front() {
            if entry.position.index > index {
                break;
            }
            self.base = entry.position;
            self.entries.pop_front();
        }
        let effective = self.memberships.iter().rposition(|(set_at, _)| *set_at <= index);
        self.memberships.drain(..effective.unwrap_or(0));
    }

    /// The effective membership: that of the last entry that sets one, committed or not.
    pub fn membership(&self) -> &membership::Membership {
        &self.memberships[self.memberships.len() - 1].1
    }

    /// Index of the entry that set the effective membership.
    pub fn membership_index(&self) -> u64 {
        self.memberships[self.memberships.len() - 1].0
    }

    /// The membership as of an index that is still in memory.
    pub fn membership_at(&self, index: u64) -> &membership::Membership {
        let effective = self.memberships.iter().rev().find(|(set_at, _)| *set_at <= index);
        &effective.unwrap_or(&self.memberships[0]).1
    }
}

/// Counted for each entry in addition to its data, so that the size limit of a message also limits
/// the number of empty entries.
const ENTRY_OVERHEAD_BYTES: usize = 32;
