//! The planned stop of an entry, as its requests see it.

use std::time;

use ragwortdeal_core::dispatch::planned_stop;
use tokio::sync::watch;

use super::request::{CallerRequest, Refusal};

/// When a caller that is refused because the process stops may come back: at once, as other entries
/// have room. The pause spreads callers that are refused together.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(50);

/// Whether and when the process ends.
pub(super) struct PlannedStop {
    ends_at: watch::Sender<Option<time::Instant>>,
}

impl PlannedStop {
    pub(super) fn new() -> Self {
        Self { ends_at: watch::Sender::new(None) }
    }

    /// Begins the stop. No answer is written after `rest`.
    pub(super) fn begin(&self, rest: time::Duration) {
        self.ends_at.send_replace(Some(time::Instant::now() + rest));
    }

    pub(super) fn is_begun(&self) -> bool {
        self.ends_at.borrow().is_some()
    }

    /// Refuses a request whose answer may come after the end of the process.
    pub(super) fn check(&self, request: &CallerRequest) -> Result<(), Refusal> {
        let Some(ends_at) = *self.ends_at.borrow() else {
            return Ok(());
        };
        let rest = ends_at.saturating_duration_since(time::Instant::now());
        let candidate = planned_stop::Candidate {
            remaining_ms: request.remaining().as_millis() as u64,
            first_event_ms: request.abandoned_after().map(|after| after.as_millis() as u64),
        };
        match planned_stop::admits(candidate, rest.as_millis() as u64) {
            true => Ok(()),
            false => Err(Self::refusal()),
        }
    }

    /// The refusal of a request that has not run.
    pub(super) fn refusal() -> Refusal {
        Refusal::retry_after(503, "the process stops before an answer could come", RETRY_AFTER)
    }

    /// Waits until the last answers have to be written.
    pub(super) async fn ended(&self) {
        let mut ends_at = self.ends_at.subscribe();
        let begun = ends_at.wait_for(Option::is_some).await.ok().and_then(|ends_at| *ends_at);
        let Some(ends_at) = begun else {
            return std::future::pending().await;
        };
        tokio::time::sleep_until(ends_at.into()).await;
    }
}
