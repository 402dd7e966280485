//! Appends spans to a file, a JSON object a line.

use std::{
    fs, io,
    io::Write as _,
    path,
    sync::{Mutex, MutexGuard, PoisonError},
    time,
};

use opentelemetry::trace::SpanId;
use opentelemetry_sdk::{error, trace};

/// One span as it stands in the file.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub(super) struct Line {
    trace_id: String,
    span_id: String,
    parent_span_id: Option<String>,
    name: String,
    start_us: u128,
    duration_us: u128,
    attributes: std::collections::BTreeMap<String, String>,
}

/// An exporter to a file.
#[derive(Debug)]
pub(super) struct SpansFile {
    file: Mutex<fs::File>,
}

impl SpansFile {
    pub(super) fn open(file: &path::Path) -> io::Result<Self> {
        let file = fs::OpenOptions::new().create(true).append(true).open(file)?;
        Ok(Self { file: Mutex::new(file) })
    }

    fn lock(&self) -> MutexGuard<'_, fs::File> {
        self.file.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, batch: &[trace::SpanData]) -> io::Result<()> {
        let mut lines = Vec::new();
        for span in batch {
            serde_json::to_writer(&mut lines, &line(span))?;
            lines.push(b'\n');
        }
        self.lock().write_all(&lines)
    }
}

fn line(span: &trace::SpanData) -> Line {
    let attributes = span.attributes.iter();
    let since_epoch = span.start_time.duration_since(time::UNIX_EPOCH).unwrap_or_default();
    let duration = span.end_time.duration_since(span.start_time).unwrap_or_default();
    Line {
        trace_id: span.span_context.trace_id().to_string(),
        span_id: span.span_context.span_id().to_string(),
        parent_span_id: (span.parent_span_id != SpanId::INVALID)
            .then(|| span.parent_span_id.to_string()),
        name: span.name.to_string(),
        start_us: since_epoch.as_micros(),
        duration_us: duration.as_micros(),
        attributes: attributes.map(|pair| (pair.key.to_string(), pair.value.to_string())).collect(),
    }
}

impl trace::SpanExporter for SpansFile {
    async fn export(&self, batch: Vec<trace::SpanData>) -> error::OTelSdkResult {
        self.write(&batch)
            .map_err(|failed| error::OTelSdkError::InternalFailure(failed.to_string()))
    }
}
