//! The time that a caller has for its request.
//!
//! An answer that comes while its caller waits is of use, one that comes later is work for nobody.
//! So this time, less the work that is left and the error of forecasts, bounds how long a request
//! may wait: a first attempt and a retry alike. `docs/design/overload.md` has the requirement.

/// Time of a caller from now on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerTime {
    /// Milliseconds until it leaves unless an event has come.
    pub first_event_ms: f64,
    /// Milliseconds until it leaves in any case. The answer must be whole by then.
    pub answer_ms: f64,
}

impl CallerTime {
    /// Milliseconds within which the first event must come, if the rest of the answer takes
    /// `rest_ms` from then on.
    pub fn for_first_event_ms(&self, rest_ms: f64) -> f64 {
        self.first_event_ms.min(self.answer_ms - rest_ms)
    }
}
