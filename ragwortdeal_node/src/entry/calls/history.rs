//! Attempts at one call so far, and whether there is to be another.

use std::mem;

use ragwortdeal_core::{name, retry};
use ragwortdeal_wire::operator as wire;

use super::super::{Entry, callers};
use super::attempt;
use crate::http;

/// What is remembered of a call's attempts.
pub(super) struct History {
    pub(super) tried: Vec<name::InstanceName>,
    /// Whether one of them may have run.
    may_have_run: bool,
    id: String,
    deadline_ms: u64,
    last_detail: String,
}

impl History {
    pub(super) fn new(id: &str, deadline_ms: u64) -> Self {
        let (tried, last_detail) = (Vec::new(), String::new());
        Self { tried, may_have_run: false, id: id.to_owned(), deadline_ms, last_detail }
    }

    /// Time left for an attempt in milliseconds.
    pub(super) fn patience_ms(&self, entry: &Entry) -> u64 {
        let left_ms = self.deadline_ms.saturating_sub(entry.clock.now_ms());
        left_ms.min(entry.settings.limits.first_byte_ms)
    }

    /// Decides whether a failed call is tried again. The error is the final answer.
    pub(super) fn again(
        &mut self,
        entry: &Entry,
        failed: attempt::Failed,
    ) -> Result<(), http::Response> {
        log::info!("entry: {}: {}", self.id, failed.detail);
        self.may_have_run |= failed.failure != retry::Failure::NotRun;
        let attempted = retry::FailedCall {
            // Completions and reads change nothing.
            idempotent: true,
            attempts: self.tried.len() as u32,
            failure: failed.failure,
            resumable_on: None,
            deadline_ms: self.deadline_ms,
            min_answer_ms: 0,
        };
        let verdict = match retry::decide(&attempted, entry.clock.now_ms()) {
            retry::Decision::GiveUp(reason) => Err(reason),
            _ => {
                let mut traffic = entry.traffic.lock().expect("no panic under lock");
                traffic.may_retry(&failed.instance)
            }
        };
        self.last_detail = failed.detail;
        verdict.map_err(|reason| {
            let detail = format!("{}; given up: {reason:?}", mem::take(&mut self.last_detail));
            self.give_up(http::Kind::Unavailable, &detail)
        })
    }

    /// The final answer where no upstream is left to try.
    pub(super) fn nobody_left(&self, kind: http::Kind) -> http::Response {
        let detail = format!("no upstream may serve this call now {}", self.last_detail);
        self.give_up(kind, detail.trim_end())
    }

    /// The final answer, which says "did not run" only where that is certain.
    fn give_up(&self, kind: http::Kind, detail: &str) -> http::Response {
        if !self.may_have_run {
            return callers::not_run(kind, detail, &self.id);
        }
        let kind = http::Kind::UpstreamFailed;
        let mut problem = http::problem(kind, wire::Ran::Unknown, detail);
        problem.request_id = Some(self.id.clone());
        http::answer(&problem)
    }
}
