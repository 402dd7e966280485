//! Uploads of this instance, bounded so that slow receivers cannot tie up more memory.

use crate::{name, spread::limits};

/// A chunk that is being sent to a receiver.
#[derive(Clone, Debug)]
struct Upload {
    to: name::InstanceName,
    chunk: u32,
    deadline_ms: u64,
}

/// All open uploads.
#[derive(Clone, Debug)]
pub struct Uploads {
    open: Vec<Upload>,
    total_max: usize,
    per_peer_max: usize,
    deadline_ms: u64,
}

impl Uploads {
    /// Starts without uploads.
    pub fn new(limits: &limits::Limits) -> Self {
        Self {
            open: Vec::new(),
            total_max: limits.uploads_max,
            per_peer_max: limits.uploads_per_peer_max,
            deadline_ms: limits.deadline_max_ms,
        }
    }

    /// Occupies a slot if one is free; returns whether it did.
    ///
    /// The last slot is reserved for other zones and regions: if the many peers of the own zone
    /// took all slots, the whole next zone would wait for its first copy.
    pub fn start(
        &mut self,
        now_ms: u64,
        to: &name::InstanceName,
        chunk: u32,
        same_zone: bool,
    ) -> bool {
        let reserved = usize::from(same_zone && self.total_max > 1);
        let to_peer = self.open.iter().filter(|upload| upload.to == *to).count();
        if self.open.len() + reserved >= self.total_max || to_peer >= self.per_peer_max {
            return false;
        }
        let deadline_ms = now_ms + self.deadline_ms;
        self.open.push(Upload { to: to.clone(), chunk, deadline_ms });
        true
    }

    /// Sets the limit over all receivers.
    pub fn set_total_max(&mut self, uploads: usize) {
        self.total_max = uploads;
    }

    /// Frees the slot of an upload that completed or failed.
    pub fn end(&mut self, to: &name::InstanceName, chunk: u32) {
        let found = self.open.iter().position(|upload| upload.to == *to && upload.chunk == chunk);
        if let Some(index) = found {
            self.open.swap_remove(index);
        }
    }

    /// Frees and returns the uploads past their deadline; their receivers have timed out by now.
    pub fn overdue(&mut self, now_ms: u64) -> Vec<(name::InstanceName, u32)> {
        let late = self.open.extract_if(.., |upload| upload.deadline_ms <= now_ms);
        late.map(|upload| (upload.to, upload.chunk)).collect()
    }

    /// Frees and returns all uploads.
    pub fn drain(&mut self) -> Vec<(name::InstanceName, u32)> {
        self.open.drain(..).map(|upload| (upload.to, upload.chunk)).collect()
    }

    /// Number of open uploads.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no upload is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
