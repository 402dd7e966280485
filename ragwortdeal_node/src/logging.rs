//! Logs by `log` and `env_logger`; each part starts its lines with its own fixed prefix.
//!
//! A program that runs alone writes lines for people to standard error. In a fleet each line is a
//! JSON object on standard output; `docs/OPERATIONS.md` lists the fields.

mod limit;
mod queue;

use std::{
    io::{self, Write as _},
    sync, time,
};

use log::kv;

/// Starts logging to standard error. `RUST_LOG` overrides the level from the settings.
pub fn start(level: &str) {
    let environment = env_logger::Env::default().default_filter_or(level);
    // A second start in one process, as tests do, keeps the first.
    let _ = env_logger::Builder::from_env(environment).format_target(false).try_init();
}

/// The lines that a process has not written yet.
pub struct Pending(sync::Arc<queue::Queue>);

impl Pending {
    /// Waits for a moment until all lines are written, before the process ends.
    pub fn flush(&self) {
        self.0.flush();
    }
}

/// Starts logging as JSON lines on standard output. No part of the process ever waits for its log:
/// lines go through a bounded queue, and those that do not fit are counted.
pub fn start_structured(level: &str) -> Pending {
    start_structured_to(level, std::io::stdout())
}

/// The same, on another output.
pub fn start_structured_to(level: &str, output: impl io::Write + Send + 'static) -> Pending {
    let queue = sync::Arc::new(queue::Queue::start(output));
    let (target, limits) = (queue.clone(), limit::Limits::default());
    let environment = env_logger::Env::default().default_filter_or(level);
    let builder = env_logger::Builder::from_env(environment)
        .target(env_logger::Target::Pipe(Box::new(queue::Writer(target))))
        .format(move |buffer, record| match limits.admit(record) {
            limit::Verdict::LeaveOut => Ok(()),
            limit::Verdict::Write { left_out } => buffer.write_all(&line(record, left_out)),
        })
        .try_init();
    if let Err(error) = builder {
        eprintln!("logging: keeps what was started before: {error}");
    }
    Pending(queue)
}

/// One line: the time, the level, the part, the message, and the fields of the record.
fn line(record: &log::Record<'_>, left_out: u64) -> Vec<u8> {
    let text = record.args().to_string();
    let (part, message) = text.split_once(": ").unwrap_or(("", &text));
    let mut fields = serde_json::Map::new();
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    let at_ms = since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64);
    fields.insert("at_ms".to_owned(), at_ms.into());
    fields.insert("level".to_owned(), record.level().as_str().into());
    fields.insert("part".to_owned(), part.into());
    fields.insert("message".to_owned(), message.into());
    // The macros give only keys and values that can be visited.
    let _ = record.key_values().visit(&mut Fields(&mut fields));
    if left_out > 0 {
        fields.insert("left_out".to_owned(), left_out.into());
    }
    let mut line = serde_json::to_vec(&fields).unwrap_or_default();
    line.push(b'\n');
    line
}

struct Fields<'f>(&'f mut serde_json::Map<String, serde_json::Value>);

impl<'kvs> kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let number = value.to_u64().map(serde_json::Value::from);
        let value = number.unwrap_or_else(|| value.to_string().into());
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    #[googletest::test]
    fn a_line_is_an_object_with_its_fields() {
        let fields = [("request", kv::Value::from("r-1")), ("status", kv::Value::from(503))];
        let line = line(
            &log::Record::builder()
                .args(format_args!("entry: refused: full"))
                .level(log::Level::Info)
                .key_values(&fields.as_slice())
                .build(),
            3,
        );
        let read: serde_json::Value = serde_json::from_slice(&line).unwrap();
        expect_that!(read["part"].as_str(), some(eq("entry")));
        expect_that!(read["message"].as_str(), some(eq("refused: full")));
        expect_that!(read["request"].as_str(), some(eq("r-1")));
        expect_that!(read["status"].as_u64(), some(eq(503)));
        expect_that!(read["left_out"].as_u64(), some(eq(3)));
    }
}
