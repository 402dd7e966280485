//! What the time to the head of an answer tells about the path to its upstream.
//!
//! A request that waits in the queue of an engine has its head late, as was forecast. Only what
//! exceeds the forecast is the path's.

/// A head that comes so much later than forecast indicates a slow path.
const SLOW_MS: f64 = 800.0;

/// A head that takes no longer indicates a responsive path, whatever was forecast.
const RESPONSIVE_MS: u64 = 500;

/// State of a path, as far as one head tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// Requests or answers were delayed.
    Slow,
    /// A request and its answer got through without delay.
    Responsive,
    /// Neither is certain.
    Unclear,
}

/// Judges a path by the time from a request to the head of its answer.
pub fn judge(took_ms: u64, forecast_ms: Option<f64>) -> Path {
    let unexpected_ms = took_ms as f64 - forecast_ms.unwrap_or(0.0);
    if took_ms <= RESPONSIVE_MS {
        Path::Responsive
    } else if unexpected_ms >= SLOW_MS {
        Path::Slow
    } else {
        Path::Unclear
    }
}
