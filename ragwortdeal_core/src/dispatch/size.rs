//! Size of a request, as logs and counters tell it.
//!
//! Who is refused or fails is counted by size, since bounds that grow with a request leave the
//! large ones unserved first. The prompt tells it alone: of the answer only a bound is known.

/// Prefill time from which a request counts as large, in mean ones. It is about the largest tenth.
const LARGE_MEANS: f64 = 2.0;

/// Size of a request, by the prefill time of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Size {
    /// Below the mean.
    Small,
    /// From the mean on.
    Medium,
    /// From twice the mean on.
    Large,
}

impl Size {
    /// The size of a request whose prompt takes `prefill_ms`, where a mean one takes `mean_ms`.
    pub fn new(prefill_ms: f64, mean_ms: f64) -> Self {
        match prefill_ms / mean_ms.max(f64::MIN_POSITIVE) {
            means if means >= LARGE_MEANS => Self::Large,
            means if means >= 1.0 => Self::Medium,
            _ => Self::Small,
        }
    }

    /// Its name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Small => "small",
            Self::Medium => "medium",
            Self::Large => "large",
        }
    }
}
