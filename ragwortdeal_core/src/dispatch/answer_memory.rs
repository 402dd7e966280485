//! Shares the memory for answers between all that are held at once.
//!
//! Answers that never end, and many large ones at once, would take all memory of a process. An
//! answer may hold as much as is left free, so that few may be large, many are small, and there is
//! always room for one more: n answers without end hold n / (n + 1) of the memory together.

/// Why an answer gets no more memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// It is larger than any answer may be.
    TooLarge,
    /// Others hold too much, or it does itself.
    Short,
}

/// Memory for answers, in bytes.
#[derive(Clone, Debug)]
pub struct AnswerMemory {
    total_bytes: usize,
    each_max_bytes: usize,
    held_bytes: usize,
}

impl AnswerMemory {
    /// Memory of which nothing is held.
    pub fn new(total_bytes: usize, each_max_bytes: usize) -> Self {
        Self { total_bytes, each_max_bytes, held_bytes: 0 }
    }

    /// Takes memory for an answer that holds some already.
    pub fn take(&mut self, own_bytes: usize, more_bytes: usize) -> Result<(), Denied> {
        let own_after = own_bytes + more_bytes;
        if own_after > self.each_max_bytes {
            return Err(Denied::TooLarge);
        }
        if own_after > self.total_bytes.saturating_sub(self.held_bytes) {
            return Err(Denied::Short);
        }
        self.held_bytes += more_bytes;
        Ok(())
    }

    /// Gives memory back.
    pub fn give_back(&mut self, bytes: usize) {
        self.held_bytes = self.held_bytes.saturating_sub(bytes);
    }

    /// Bytes that all answers hold.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }
}
