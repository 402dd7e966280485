//! The story of one request, from the logs of several processes.
//!
//! It reads lines only and asks nobody, so it works after everything has ended.
//! `docs/OPERATIONS.md` shows it for three kinds of failed request.

use std::fmt;

/// Messages that tell why a request ended as it did, the most telling first.
const CAUSES: [&str; 7] = [
    "stream cut",
    "lost, it may have run",
    "the answer broke off",
    "not run by its upstream",
    "not sent",
    "refused",
    "left by its caller",
];

/// One line of a log that speaks of the request.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Wall time in milliseconds; processes of one deployment differ by a little.
    pub at_ms: u64,
    /// File that it stands in.
    pub source: String,
    /// Part of the process.
    pub part: String,
    /// What happened.
    pub message: String,
    /// The other fields, as `key=value`.
    pub fields: Vec<String>,
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { at_ms, source, part, message, fields } = self;
        write!(f, "{at_ms} {source} {part}: {message}; {}", fields.join(" "))
    }
}

/// Finds the lines of a request in a log, which may hold other text as well.
pub fn lines_of(request: &str, source: &str, log: &str) -> Vec<Line> {
    log.lines().filter_map(|line| line_of(request, source, line)).collect()
}

fn line_of(request: &str, source: &str, line: &str) -> Option<Line> {
    // What a supervisor puts before the line is passed over.
    let object = &line[line.find('{')?..];
    let object: serde_json::Map<String, serde_json::Value> = serde_json::from_str(object).ok()?;
    if object.get("request")?.as_str()? != request {
        return None;
    }
    let text = |key: &str| object.get(key).and_then(|value| value.as_str()).unwrap_or_default();
    let known = ["at_ms", "level", "part", "message", "request"];
    let others = object.iter().filter(|(key, _)| !known.contains(&key.as_str()));
    let value = |value: &serde_json::Value| match value {
        serde_json::Value::String(text) => format!("{text:?}"),
        other => other.to_string(),
    };
    Some(Line {
        at_ms: object.get("at_ms").and_then(serde_json::Value::as_u64).unwrap_or(0),
        source: source.to_owned(),
        part: text("part").to_owned(),
        message: text("message").to_owned(),
        fields: others.map(|(key, held)| format!("{key}={}", value(held))).collect(),
    })
}

/// The line that tells why a request failed. Of equally telling ones the last decided.
pub fn cause(story: &[Line]) -> Option<&Line> {
    CAUSES.iter().find_map(|cause| story.iter().rfind(|line| line.message.starts_with(cause)))
}
