//! The operator: documents and weights, sent until acknowledged, and documents read back.

use std::{collections, net, sync, time};

use ragwortdeal_platform::outside;
use ragwortdeal_standins::fleet::operator as calls;
use tokio::sync::{mpsc, watch};

use crate::{
    history::{Document, ReadBack},
    record,
};

/// How long a voter may take to answer.
const CALL_MS: u64 = 1_000;
/// Pause after all voters were asked in vain.
const AGAIN: time::Duration = time::Duration::from_millis(150);
/// Pause between two readings.
const READ_PAUSE: time::Duration = time::Duration::from_millis(250);
/// Rounds over all voters for one reading at the end.
const LAST_ROUNDS: usize = 40;
/// Versions of invalid documents lie above all others.
const INVALID: u64 = 1_000_000;

/// Calls of the operator and of engines to voters.
#[derive(Clone, Debug)]
pub struct Operator {
    http: calls::Operator,
    voters: Vec<net::SocketAddrV4>,
    next: sync::Arc<sync::atomic::AtomicUsize>,
}

impl Operator {
    /// An operator who knows these addresses.
    pub fn new(voters: Vec<net::SocketAddrV4>) -> Self {
        let http = calls::Operator::new(voters.clone());
        Self { http, voters, next: sync::Arc::default() }
    }

    async fn next(&self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let turn = self.next.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let voter = self.voters[turn % self.voters.len()];
        let call = self.http.call(voter, method, path, body);
        tokio::time::timeout(time::Duration::from_millis(CALL_MS), call).await.ok()?
    }

    /// Asks one voter after the other until one gives a clear answer, each once at most.
    pub async fn any(&self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        for _ in 0..self.voters.len() {
            let answer = self.next(method, path, body).await;
            if let Some(answer) = answer.filter(|(status, _)| clear(*status)) {
                return Some(answer);
            }
        }
        None
    }
}

fn clear(status: u16) -> bool {
    status < 500 && !matches!(status, 307 | 408 | 429)
}

/// Makes the document with a version.
pub type Make = Box<dyn Fn(u64, &'static str) -> serde_json::Value + Send + Sync>;

/// Something that the operator is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Send the next document.
    Document,
    /// Send an invalid document.
    BadDocument,
    /// Name the next weights.
    Name,
}

/// Does what the schedule orders, one after the other.
pub struct Desk {
    operator: Operator,
    record: sync::Arc<record::Record>,
    make: Make,
    sent: sync::Mutex<collections::BTreeMap<u64, serde_json::Value>>,
}

impl std::fmt::Debug for Desk {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Desk")
    }
}

impl Desk {
    /// A desk without orders.
    pub fn new(operator: Operator, record: sync::Arc<record::Record>, make: Make) -> Self {
        Self { operator, record, make, sent: sync::Mutex::default() }
    }

    /// Works until there are no orders any more. Documents and weights go their own ways, so that
    /// one that gets no answer does not hold up the other.
    pub async fn work(&self, mut orders: mpsc::UnboundedReceiver<Order>) {
        let (mut document, mut weights) = (1, 1);
        while let Some(order) = orders.recv().await {
            match order {
                Order::Document => {
                    document += 3;
                    self.send(document, true).await;
                }
                Order::BadDocument => self.send(INVALID + document, false).await,
                Order::Name => {
                    weights += 1;
                    self.name(weights).await;
                }
            }
        }
    }

    /// Sends a document until a voter gives a clear answer.
    pub async fn send(&self, version: u64, valid: bool) {
        let reads = if version.is_multiple_of(2) { "ledger" } else { "ledger-b" };
        let mut body = (self.make)(version, reads);
        if !valid {
            body["routes"][0]["service"] = "nowhere".into();
        }
        self.sent().insert(version, body.clone());
        let noted = Document { reads, valid, acked_ms: None, refused: None };
        self.record.change(|history| _ = history.documents.insert(version, noted));
        let (status, text) =
            self.until_clear("PUT", outside::DOCUMENT_PATH, &body.to_string()).await;
        let now_ms = self.record.now_ms();
        log::info!("operator: document version={version} status={status} {text}");
        self.record.change(|history| {
            if let Some(document) = history.documents.get_mut(&version) {
                match status {
                    200..=299 => document.acked_ms = Some(now_ms),
                    _ => document.refused = Some(status),
                }
            }
        });
    }

    async fn name(&self, version: u64) {
        let body = serde_json::json!({"model": "model-a", "version": version}).to_string();
        let (status, _) = self.until_clear("POST", outside::WEIGHTS_PATH, &body).await;
        let now_ms = self.record.now_ms();
        if status == 200 {
            self.record.change(|history| _ = history.named.insert(version, now_ms));
        }
    }

    async fn until_clear(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        loop {
            if let Some(answer) = self.operator.any(method, path, body).await {
                return answer;
            }
            tokio::time::sleep(AGAIN).await;
        }
    }

    fn sent(&self) -> sync::MutexGuard<'_, collections::BTreeMap<u64, serde_json::Value>> {
        self.sent.lock().expect("no panic under lock")
    }

    /// Reads the document back again and again.
    pub async fn read_back(&self, ended: watch::Receiver<bool>) {
        while !*ended.borrow() {
            let asked_ms = self.record.now_ms();
            let answer = self.operator.next("GET", outside::DOCUMENT_PATH, "").await;
            self.note_read(asked_ms, answer);
            tokio::time::sleep(READ_PAUSE).await;
        }
    }

    /// Reads the document once more after all; whether it came.
    pub async fn read_last(&self) -> bool {
        for _ in 0..LAST_ROUNDS {
            let asked_ms = self.record.now_ms();
            let answer = self.operator.next("GET", outside::DOCUMENT_PATH, "").await;
            if self.note_read(asked_ms, answer) {
                return true;
            }
            tokio::time::sleep(AGAIN).await;
        }
        false
    }

    fn note_read(&self, asked_ms: u64, answer: Option<(u16, String)>) -> bool {
        let Some((200, text)) = answer else {
            return false;
        };
        let read: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
        let version = read["version"].as_u64().unwrap_or(0);
        let as_sent = self.sent().get(&version) == Some(&read);
        let read = ReadBack { asked_ms, version, as_sent };
        self.record.change(|history| history.read_back.push(read));
        true
    }
}

/// A document with this version that leads reads to a service, beside the services of the run.
pub fn document(
    mut plain: serde_json::Value,
    version: u64,
    reads: &str,
    origin: net::SocketAddrV4,
) -> serde_json::Value {
    plain["version"] = version.into();
    plain["routes"][1]["service"] = reads.into();
    plain["services"][2]["origin"] = origin.to_string().into();
    for name in ["ledger-b", "archive"] {
        let mut service = plain["services"][1].clone();
        service["name"] = name.into();
        if let Some(services) = plain["services"].as_array_mut() {
            services.push(service);
        }
    }
    plain
}
