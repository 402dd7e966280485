//! An engine that works in passes, by the figures of the document.

use std::collections;

use ragwortdeal_core::document;

/// A request at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Index of the caller.
    pub caller: usize,
    /// Prompt tokens that are not read yet.
    pub unread_tokens: f64,
    /// Prompt tokens in all.
    pub prompt_tokens: f64,
    /// Tokens of the answer that are not written yet.
    pub unwritten_tokens: f64,
    /// Tokens that are written.
    pub written_tokens: f64,
}

/// One pass of an engine.
#[derive(Clone, Debug)]
pub struct Pass {
    pub took_ms: f64,
    /// Callers that get their first event in it.
    pub begun: Vec<usize>,
    /// When in the pass they get it.
    pub begun_ms: f64,
    /// Callers that wait for the next event meanwhile.
    pub writing: Vec<usize>,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    figures: document::Engine,
    queue: collections::VecDeque<Work>,
    running: Vec<Work>,
}

impl Engine {
    pub fn new(figures: &document::Engine) -> Self {
        let queue = collections::VecDeque::new();
        Self { figures: figures.clone(), queue, running: Vec::new() }
    }

    /// Requests that it works on, and that wait.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.queue.len())
    }

    pub fn offer(&mut self, work: Work) {
        self.queue.push_back(work);
    }

    /// Drops the request of a caller that left.
    pub fn cancel(&mut self, caller: usize) {
        self.queue.retain(|work| work.caller != caller);
        self.running.retain(|work| work.caller != caller);
    }

    /// Begins a pass. Returns how long it takes, none where there is no work.
    pub fn begin_pass(&mut self) -> Option<Pass> {
        while self.running.len() < self.figures.slots as usize
            && let Some(work) = self.queue.pop_front()
        {
            self.running.push(work);
        }
        if self.running.is_empty() {
            return None;
        }
        let is_writing = |work: &&Work| work.unread_tokens <= 0.0;
        let writing: Vec<_> =
            self.running.iter().filter(is_writing).map(|work| work.caller).collect();
        // A chunk is read before each step.
        let chunks = if writing.is_empty() { 1 } else { self.figures.steps_per_pass };
        let read_ms = self.read(chunks);
        let writers: Vec<_> =
            self.running.iter().filter(|work| work.unread_tokens <= 0.0).collect();
        let contexts = writers.iter().map(|work| work.prompt_tokens + work.written_tokens);
        let context_tokens: f64 = contexts.sum();
        let figures = &self.figures;
        let step_ms = figures.step_ms
            + writers.len() as f64 * figures.step_per_request_ms
            + figures.step_per_context_ms * context_tokens / 1_000.0;
        let begun = writers.iter().filter(|work| work.written_tokens <= 0.0);
        let begun = begun.map(|work| work.caller).collect();
        let steps = if writers.is_empty() { 0.0 } else { f64::from(figures.steps_per_pass) };
        let took_ms = read_ms + steps * step_ms;
        Some(Pass { took_ms, begun, begun_ms: read_ms + step_ms, writing })
    }

    /// Reads what fits into some chunks. Returns how long that takes in milliseconds.
    fn read(&mut self, chunks: u32) -> f64 {
        let mut room = f64::from(self.figures.prefill_chunk_tokens * chunks);
        let mut took_ms = 0.0;
        for work in self.running.iter_mut().filter(|work| work.unread_tokens > 0.0) {
            let tokens = work.unread_tokens.min(room);
            let before = work.prompt_tokens - work.unread_tokens;
            let pairs = tokens * (before + tokens / 2.0);
            took_ms += tokens * 1_000.0 / self.figures.prefill_tokens_per_s;
            took_ms += pairs / 1e6 * self.figures.prefill_pairs_ms;
            work.unread_tokens -= tokens;
            room -= tokens;
            if room <= 0.0 {
                break;
            }
        }
        took_ms
    }

    /// Ends the pass under way. Returns the callers whose answers are whole.
    pub fn end_pass(&mut self) -> Vec<usize> {
        let stride = f64::from(self.figures.steps_per_pass);
        for work in self.running.iter_mut().filter(|work| work.unread_tokens <= 0.0) {
            work.written_tokens += stride;
            work.unwritten_tokens -= stride;
        }
        let is_whole = |work: &Work| work.unwritten_tokens <= 0.0;
        let whole = self.running.iter().filter(|work| is_whole(work));
        let whole = whole.map(|work| work.caller).collect();
        self.running.retain(|work| !is_whole(work));
        whole
    }
}
