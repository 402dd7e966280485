//! Metrics by `cadence` and traces by `opentelemetry`, both off where the settings name no target.
//!
//! Each process has a span for its hop of a request. The W3C `traceparent` travels in HTTP headers
//! and in the frames of links; a process that exports nothing passes it on unchanged, so that the
//! hops before and after it stay in one trace.

pub mod aggregate;
mod spans_file;

use std::{io, net, sync};

use cadence::{Counted as _, Gauged as _, Timed as _};
use opentelemetry::{
    KeyValue,
    propagation::TextMapPropagator as _,
    trace::{TraceContextExt as _, Tracer as _, TracerProvider as _},
};
use opentelemetry_otlp::WithExportConfig as _;
use opentelemetry_sdk::{propagation, trace};
use snafu::{ResultExt as _, Snafu};

use crate::settings;

/// Header and link field that carries the trace context.
pub const TRACEPARENT: &str = "traceparent";

/// First part of each metric's name.
const METRICS_PREFIX: &str = "ragwortdeal";

/// Why metrics or traces cannot be sent as the settings say.
#[derive(Debug, Snafu)]
pub enum TelemetryError {
    /// The socket for metrics cannot be opened.
    #[snafu(display("open metrics socket to {peer}: {reason}"))]
    Metrics {
        /// Address of the statsd server.
        peer: net::SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The file for spans cannot be opened.
    #[snafu(display("open spans file {}: {source}", file.display()))]
    SpansFile {
        /// The file.
        file: std::path::PathBuf,
        /// What went wrong.
        source: io::Error,
    },
    /// The exporter to the collector cannot be made.
    #[snafu(display("export traces to {url}: {reason}"))]
    Collector {
        /// URL of the collector.
        url: String,
        /// What went wrong.
        reason: String,
    },
}

/// Metrics and traces of one process.
#[derive(Clone, Debug)]
pub struct Telemetry {
    metrics: sync::Arc<cadence::StatsdClient>,
    provider: Option<trace::SdkTracerProvider>,
    instance: sync::Arc<str>,
}

impl Telemetry {
    /// Sends nothing, as where the settings name no target.
    pub fn off() -> Self {
        let metrics = cadence::StatsdClient::from_sink(METRICS_PREFIX, cadence::NopMetricSink);
        Self { metrics: sync::Arc::new(metrics), provider: None, instance: "".into() }
    }

    /// Keeps metrics in the process, for those who fetch them.
    pub fn kept(aggregate: &aggregate::Aggregate) -> Self {
        let metrics = cadence::StatsdClient::from_sink(METRICS_PREFIX, aggregate.clone());
        Self { metrics: sync::Arc::new(metrics), ..Self::off() }
    }

    /// Records a latency in milliseconds.
    pub fn took(&self, key: &str, took_ms: u64) {
        let _ = self.metrics.time(key, took_ms);
    }

    /// Starts what the settings of a process ask for.
    pub fn start(
        instance: &str,
        settings: &settings::common::Telemetry,
    ) -> Result<Self, TelemetryError> {
        let mut telemetry = Self { instance: instance.into(), ..Self::off() };
        if let Some(peer) = settings.statsd {
            telemetry.metrics = sync::Arc::new(metrics(peer)?);
        }
        if settings.spans_file.is_none() && settings.otlp_url.is_none() {
            return Ok(telemetry);
        }
        let mut provider = trace::SdkTracerProvider::builder();
        if let Some(file) = &settings.spans_file {
            let exporter = spans_file::SpansFile::open(file).context(SpansFileSnafu { file })?;
            provider = provider.with_simple_exporter(exporter);
        }
        if let Some(url) = &settings.otlp_url {
            let exporter = opentelemetry_otlp::SpanExporter::builder()
                .with_http()
                .with_endpoint(url)
                .build()
                .map_err(|error| TelemetryError::Collector {
                    url: url.clone(),
                    reason: error.to_string(),
                })?;
            provider = provider.with_batch_exporter(exporter);
        }
        telemetry.provider = Some(provider.build());
        Ok(telemetry)
    }

    /// Adds to a counter.
    pub fn count(&self, key: &str, amount: u64) {
        // A metric that cannot be sent is lost; the work it counts goes on.
        let _ = self.metrics.count(key, amount);
    }

    /// Sets a gauge.
    pub fn gauge(&self, key: &str, value: u64) {
        let _ = self.metrics.gauge(key, value);
    }

    /// Starts the span of a hop below the trace context that came with the request.
    pub fn span(&self, name: &'static str, parent: Option<&str>) -> Span {
        let Some(provider) = &self.provider else {
            return Span { context: None, passed_on: parent.map(str::to_owned) };
        };
        let tracer = provider.tracer("ragwortdeal");
        let carrier = parent.map(|text| (TRACEPARENT.to_owned(), text.to_owned()));
        let carrier: std::collections::HashMap<String, String> = carrier.into_iter().collect();
        let parent = propagation::TraceContextPropagator::new()
            .extract_with_context(&opentelemetry::Context::new(), &carrier);
        let span = tracer.start_with_context(name, &parent);
        let context = parent.with_span(span);
        context.span().set_attribute(KeyValue::new("instance", self.instance.to_string()));
        Span { context: Some(context), passed_on: None }
    }

    /// Sends what is still waiting, before the process ends.
    pub fn flush(&self) {
        if let Some(provider) = &self.provider
            && let Err(error) = provider.force_flush()
        {
            log::warn!("telemetry: spans were lost: {error}");
        }
    }
}

fn metrics(peer: net::SocketAddr) -> Result<cadence::StatsdClient, TelemetryError> {
    let failed = |reason: String| TelemetryError::Metrics { peer, reason };
    let socket = net::UdpSocket::bind(("0.0.0.0", 0)).map_err(|error| failed(error.to_string()))?;
    socket.set_nonblocking(true).map_err(|error| failed(error.to_string()))?;
    let sink = cadence::BufferedUdpMetricSink::from(peer, socket);
    let sink = sink.map_err(|error| failed(error.to_string()))?;
    // The queue keeps a slow socket off the paths that count.
    let sink = cadence::QueuingMetricSink::from(sink);
    Ok(cadence::StatsdClient::from_sink(METRICS_PREFIX, sink))
}

/// The span of one hop. It ends when it is dropped.
#[derive(Debug)]
pub struct Span {
    context: Option<opentelemetry::Context>,
    passed_on: Option<String>,
}

impl Span {
    /// The trace context for the next hop.
    pub fn traceparent(&self) -> Option<String> {
        let Some(context) = &self.context else {
            return self.passed_on.clone();
        };
        let mut carrier = std::collections::HashMap::new();
        propagation::TraceContextPropagator::new().inject_context(context, &mut carrier);
        carrier.remove(TRACEPARENT)
    }

    /// Notes something about the hop.
    pub fn note(&self, key: &'static str, value: &str) {
        if let Some(context) = &self.context {
            context.span().set_attribute(KeyValue::new(key, value.to_owned()));
        }
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        if let Some(context) = &self.context {
            context.span().end();
        }
    }
}
