//! Keeps counters and latencies in the process, for those who fetch them as text.

use std::{collections, fmt::Write as _, io, sync};

use hdrhistogram::Histogram;

/// Longest latency that is told apart, in milliseconds.
const LATENCY_MAX_MS: u64 = 60_000;

/// Digits to which latencies are exact.
const DIGITS: u8 = 2;

/// Quantiles that are given of each latency.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

#[derive(Debug, Default)]
struct Values {
    counters: collections::BTreeMap<String, u64>,
    gauges: collections::BTreeMap<String, u64>,
    latencies: collections::BTreeMap<String, Histogram<u64>>,
}

/// What was counted. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Aggregate {
    values: sync::Arc<sync::Mutex<Values>>,
}

impl Aggregate {
    /// All values as text, a name and a number a line.
    pub fn text(&self) -> String {
        let values = self.values.lock().expect("no panic under lock");
        let mut text = String::new();
        for (name, value) in values.counters.iter().chain(&values.gauges) {
            let _ = writeln!(text, "{name} {value}");
        }
        for (name, latency) in &values.latencies {
            let _ = writeln!(text, "{name}_count {}", latency.len());
            for quantile in QUANTILES {
                let value = latency.value_at_quantile(quantile);
                let _ = writeln!(text, "{name}{{quantile=\"{quantile}\"}} {value}");
            }
        }
        text
    }

    fn take(&self, metric: &str) -> Option<()> {
        let (name, rest) = metric.split_once(':')?;
        let (value, kind) = rest.split_once('|')?;
        let value: u64 = value.parse().ok()?;
        let name = name.replace('.', "_");
        let mut values = self.values.lock().expect("no panic under lock");
        match kind.split('|').next()? {
            "c" => *values.counters.entry(name).or_default() += value,
            "g" => _ = values.gauges.insert(name, value),
            "ms" => {
                let new = || Histogram::new_with_max(LATENCY_MAX_MS, DIGITS);
                let latency = match values.latencies.entry(name) {
                    collections::btree_map::Entry::Occupied(held) => held.into_mut(),
                    collections::btree_map::Entry::Vacant(free) => free.insert(new().ok()?),
                };
                latency.saturating_record(value);
            }
            _ => return None,
        }
        Some(())
    }
}

impl cadence::MetricSink for Aggregate {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        match self.take(metric) {
            Some(()) => Ok(metric.len()),
            None => Err(io::Error::other(format!("a metric that is not kept: {metric}"))),
        }
    }
}

#[cfg(test)]
mod tests {
    use cadence::MetricSink as _;
    use googletest::prelude::*;

    use super::*;

    #[googletest::test]
    fn counters_add_up_and_latencies_have_quantiles() {
        let aggregate = Aggregate::default();
        for metric in ["a.b:2|c", "a.b:3|c", "size:7|g", "took:10|ms", "took:30|ms"] {
            aggregate.emit(metric).unwrap();
        }
        let text = aggregate.text();
        expect_that!(text, contains_substring("a_b 5\n"));
        expect_that!(text, contains_substring("size 7\n"));
        expect_that!(text, contains_substring("took_count 2\n"));
        expect_that!(text, contains_substring("took{quantile=\"0.5\"} 10\n"));
        expect_that!(aggregate.emit("nonsense"), err(anything()));
    }
}
