//! Present speed of upstreams.
//!
//! An upstream's pace is the factor by which its work takes longer than usual at the moment. It
//! changes many times a second, so a reported pace says less the older it is, and the mean of the
//! service takes its place. `docs/design/hard-load.md` has the requirement.

/// Mean time for which an upstream keeps its pace, in milliseconds. It is the time constant with
/// which a reported pace approaches the mean: a half-life of 416 ms.
const HOLDING_MS: f64 = 600.0;

/// Plausible paces. An upstream that works even slower does not work.
const PLAUSIBLE: std::ops::RangeInclusive<f64> = 0.01..=100.0;

/// Half-life of reports in the mean of a service.
const MEAN_HALF_LIFE_MS: f64 = 10_000.0;

/// Time for which a report counts in the mean at least, in milliseconds, which is the interval of
/// probes. It is all that the first report of an upstream counts for.
const COUNTED_MIN_MS: u64 = 100;

/// Time for which a report counts in the mean at most, in milliseconds. An upstream that is
/// silent for longer has changed its pace meanwhile.
const COUNTED_MAX_MS: u64 = 600;

/// Time for which the usual pace counts in the mean, in milliseconds, so that the first reports of
/// a few upstreams do not set it alone, and a mean without further reports is given up.
const USUAL_MS: f64 = 1_000.0;

/// A plausible pace, as an upstream reported it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Factor(f64);

/// A reported pace is not a factor by which work can take longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl Factor {
    /// Checks a reported factor, of which 1.0 is the usual one.
    pub fn new(factor: f64) -> Result<Self, Malformed> {
        PLAUSIBLE.contains(&factor).then_some(Self(factor)).ok_or(Malformed)
    }

    /// Checks a reported percentage, of which 100 is the usual one.
    pub fn from_percent(percent: u32) -> Result<Self, Malformed> {
        Self::new(f64::from(percent) / 100.0)
    }
}

/// The pace that an upstream reported last.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    reported: Option<Report>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    factor: f64,
    at_ms: u64,
}

impl Pace {
    /// Records a report made at `at_ms`, here and in the mean of the upstream's service. One older
    /// than the last is ignored.
    pub fn record(&mut self, factor: Factor, at_ms: u64, mean: &mut ServiceMean) {
        let since_ms = match self.reported {
            Some(last) if at_ms < last.at_ms => return,
            Some(last) => (at_ms - last.at_ms).min(COUNTED_MAX_MS),
            None => COUNTED_MIN_MS,
        };
        mean.record(factor, since_ms, at_ms);
        self.reported = Some(Report { factor: factor.0, at_ms });
    }

    /// The pace expected from now on.
    pub fn expected(&self, mean: &ServiceMean, now_ms: u64) -> Expected {
        let mean = mean.factor(now_ms);
        let deviation = self.reported.map_or(0.0, |report| {
            let age_ms = now_ms.saturating_sub(report.at_ms) as f64;
            (report.factor - mean) * (-age_ms / HOLDING_MS).exp()
        });
        Expected { now: mean + deviation, mean }
    }
}

/// Mean of the paces that the upstreams of a service reported, over upstreams and time.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceMean {
    /// Sum of the factors, each multiplied by the milliseconds for which it counts.
    factor_ms: f64,
    /// Sum of these times in milliseconds.
    counted_ms: f64,
    at_ms: u64,
}

impl ServiceMean {
    fn record(&mut self, factor: Factor, since_ms: u64, now_ms: u64) {
        let weight = self.weight(now_ms);
        let since_ms = since_ms as f64;
        self.factor_ms = self.factor_ms * weight + factor.0 * since_ms;
        self.counted_ms = self.counted_ms * weight + since_ms;
        self.at_ms = self.at_ms.max(now_ms);
    }

    /// The mean, 1.0 where nothing is reported.
    pub fn factor(&self, now_ms: u64) -> f64 {
        let weight = self.weight(now_ms);
        (self.factor_ms * weight + USUAL_MS) / (self.counted_ms * weight + USUAL_MS)
    }

    /// What remains of the weight of earlier reports.
    fn weight(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        0.5_f64.powf(age_ms / MEAN_HALF_LIFE_MS)
    }
}

/// Pace expected of an upstream: from its present value it approaches the mean of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Expected {
    now: f64,
    mean: f64,
}

/// The usual pace, with which forecasts and loads are what they are without any report.
impl Default for Expected {
    fn default() -> Self {
        Self::usual_now(1.0)
    }
}

impl Expected {
    /// The usual pace now, in a service with this mean.
    pub fn usual_now(mean: f64) -> Self {
        Self { now: 1.0, mean }
    }

    /// The factor at this moment.
    pub fn now(&self) -> f64 {
        self.now
    }

    /// The mean of the service.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Time in milliseconds that work takes which takes `work_ms` at the usual pace.
    ///
    /// With t the time from now, the work is done at a speed of 1 / (mean + (now - mean) x
    /// exp(-t / holding time)). The time is the solution of the integral.
    pub fn duration_ms(&self, work_ms: f64) -> f64 {
        let at_mean_ms = self.mean * work_ms;
        let approached = 1.0 - (-at_mean_ms / HOLDING_MS).exp();
        let deviation = self.now / self.mean - 1.0;
        at_mean_ms + HOLDING_MS * (deviation * approached).ln_1p()
    }
}
