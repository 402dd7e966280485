//! Simulation of an engine that works in passes, with the engine parameters of a document.

use std::collections;

use ragwortdeal_core::document;

/// A request at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Index of the caller.
    pub caller: usize,
    /// Number of its level. The queue is ordered by it.
    pub level: usize,
    /// Prompt tokens still to be read.
    pub unread_tokens: f64,
    /// All prompt tokens.
    pub prompt_tokens: f64,
    /// Answer tokens still to be decoded.
    pub undecoded_tokens: f64,
    /// Answer tokens decoded so far.
    pub decoded_tokens: f64,
}

/// One pass of an engine.
#[derive(Clone, Debug)]
pub struct Pass {
    pub took_ms: f64,
    /// Callers that get their first event in it.
    pub started: Vec<usize>,
    /// Time of their first event within the pass, in milliseconds.
    pub first_event_ms: f64,
    /// Callers that wait for their next event meanwhile.
    pub decoding: Vec<usize>,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    parameters: document::Engine,
    queue: collections::VecDeque<Work>,
    running: Vec<Work>,
    /// Factor by which passes that begin take longer than usual.
    pub pace: f64,
}

impl Engine {
    pub fn new(parameters: &document::Engine) -> Self {
        let queue = collections::VecDeque::new();
        Self { parameters: parameters.clone(), queue, running: Vec::new(), pace: 1.0 }
    }

    /// Numbers of running and of waiting requests.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.queue.len())
    }

    pub fn offer(&mut self, work: Work) {
        let behind = self.queue.partition_point(|queued| queued.level <= work.level);
        self.queue.insert(behind, work);
    }

    /// Drops the request of a caller that left.
    pub fn cancel(&mut self, caller: usize) {
        self.queue.retain(|work| work.caller != caller);
        self.running.retain(|work| work.caller != caller);
    }

    /// Starts a pass, unless there is no work.
    pub fn begin_pass(&mut self) -> Option<Pass> {
        while self.running.len() < self.parameters.slots as usize
            && let Some(work) = self.queue.pop_front()
        {
            self.running.push(work);
        }
        if self.running.is_empty() {
            return None;
        }
        let is_decoding = |work: &&Work| work.unread_tokens <= 0.0;
        let decoding: Vec<_> =
            self.running.iter().filter(is_decoding).map(|work| work.caller).collect();
        // A chunk is read before each step.
        let chunks = if decoding.is_empty() { 1 } else { self.parameters.steps_per_pass };
        let prefill_ms = self.prefill(chunks);
        let decoding_requests: Vec<_> =
            self.running.iter().filter(|work| work.unread_tokens <= 0.0).collect();
        let contexts =
            decoding_requests.iter().map(|work| work.prompt_tokens + work.decoded_tokens);
        let context_tokens: f64 = contexts.sum();
        let parameters = &self.parameters;
        let step_ms = parameters.step_ms
            + decoding_requests.len() as f64 * parameters.step_per_request_ms
            + parameters.step_per_context_ms * context_tokens / 1_000.0;
        let started = decoding_requests.iter().filter(|work| work.decoded_tokens <= 0.0);
        let started = started.map(|work| work.caller).collect();
        let steps =
            if decoding_requests.is_empty() { 0.0 } else { f64::from(parameters.steps_per_pass) };
        let took_ms = (prefill_ms + steps * step_ms) * self.pace;
        let first_event_ms = (prefill_ms + step_ms) * self.pace;
        Some(Pass { took_ms, started, first_event_ms, decoding })
    }

    /// Reads as many prompt tokens as fit into the chunks. Returns the time it takes in
    /// milliseconds.
    fn prefill(&mut self, chunks: u32) -> f64 {
        let mut room = f64::from(self.parameters.prefill_chunk_tokens * chunks);
        let mut took_ms = 0.0;
        for work in self.running.iter_mut().filter(|work| work.unread_tokens > 0.0) {
            let tokens = work.unread_tokens.min(room);
            let before = work.prompt_tokens - work.unread_tokens;
            let pairs = tokens * (before + tokens / 2.0);
            took_ms += tokens * 1_000.0 / self.parameters.prefill_tokens_per_s;
            took_ms += pairs / 1e6 * self.parameters.prefill_pairs_ms;
            work.unread_tokens -= tokens;
            room -= tokens;
            if room <= 0.0 {
                break;
            }
        }
        took_ms
    }

    /// Ends the current pass. Returns the callers whose answers are complete.
    pub fn end_pass(&mut self) -> Vec<usize> {
        let steps = f64::from(self.parameters.steps_per_pass);
        for work in self.running.iter_mut().filter(|work| work.unread_tokens <= 0.0) {
            work.decoded_tokens += steps;
            work.undecoded_tokens -= steps;
        }
        let is_complete = |work: &Work| work.undecoded_tokens <= 0.0;
        let complete = self.running.iter().filter(|work| is_complete(work));
        let complete = complete.map(|work| work.caller).collect();
        self.running.retain(|work| !is_complete(work));
        complete
    }
}
