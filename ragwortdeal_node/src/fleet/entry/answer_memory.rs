//! Memory that answers hold until their callers have taken them.

use std::sync;

use bytes::Bytes;
use ragwortdeal_core::dispatch::answer_memory::{self, Denied};

use super::exchange;
use crate::settings;

/// Part of a process's memory that answers may hold.
const PART_OF_PROCESS: usize = 4;

/// Memory of a process that is told no limit.
const PROCESS_DEFAULT_MB: usize = 256;

/// Smallest step in which an answer takes memory.
const STEP_BYTES: usize = 16 << 10;

type Shared = sync::Arc<sync::Mutex<answer_memory::AnswerMemory>>;

/// The memory for answers of this process.
#[derive(Clone)]
pub(super) struct AnswerMemory {
    shared: Shared,
    each_max_bytes: usize,
}

impl AnswerMemory {
    /// Memory within the bounds of the settings.
    pub(super) fn new(bounds: &settings::fleet::Bounds) -> Self {
        let process_mb = match bounds.memory_mb {
            0 => PROCESS_DEFAULT_MB,
            limit_mb => limit_mb,
        };
        let total_bytes = (process_mb << 20) / PART_OF_PROCESS;
        let memory = answer_memory::AnswerMemory::new(total_bytes, bounds.answer_max_bytes);
        let each_max_bytes = bounds.answer_max_bytes;
        Self { shared: sync::Arc::new(sync::Mutex::new(memory)), each_max_bytes }
    }

    /// Bytes that are read for a whole answer at most, with its framing.
    pub(super) fn read_max_bytes(&self) -> u64 {
        self.each_max_bytes as u64 + exchange::UNDELIVERED_MAX_BYTES
    }

    /// Bytes that answers hold.
    pub(super) fn held_bytes(&self) -> u64 {
        self.shared.lock().expect("no panic under lock").held_bytes() as u64
    }

    /// Memory of an answer that holds nothing yet.
    pub(super) fn reservation(&self) -> Reservation {
        Reservation { shared: self.shared.clone(), bytes: 0 }
    }
}

/// The memory that one answer holds. It is given back when this is dropped.
pub(super) struct Reservation {
    shared: Shared,
    bytes: usize,
}

impl Reservation {
    /// Takes what is missing for so many bytes. What was taken is kept.
    pub(super) fn grow_to(&mut self, bytes: usize) -> Result<(), Denied> {
        if bytes <= self.bytes {
            return Ok(());
        }
        let mut memory = self.shared.lock().expect("no panic under lock");
        let missing = bytes - self.bytes;
        let step = missing.max(STEP_BYTES);
        // The last step of the largest answer is smaller.
        let taken = match memory.take(self.bytes, step) {
            Ok(()) => step,
            Err(_) => memory.take(self.bytes, missing).map(|()| missing)?,
        };
        self.bytes += taken;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shared.lock().expect("no panic under lock").give_back(self.bytes);
    }
}

/// An answer with its memory.
struct HeldAnswer {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The bytes of an answer, which hold its memory until nobody needs them any more.
pub(super) fn held(bytes: Vec<u8>, reservation: Reservation) -> Bytes {
    Bytes::from_owner(HeldAnswer { bytes, _reservation: reservation })
}
