//! Plain services: a ledger or payments service that counts the effects of each key, and a portal.

use std::{
    collections, io, net,
    sync::{self, atomic},
    time,
};

use crate::http;

/// How a service behaves.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Time from the request to the effect.
    pub before_ms: u64,
    /// Time from the effect to the answer.
    pub after_ms: u64,
    /// Whether a key seen before has no second effect.
    pub honours_key: bool,
    /// Whether it closes a connection after its first request, when it has the next one already.
    pub hangs_up: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self { before_ms: 1, after_ms: 1, honours_key: false, hangs_up: false }
    }
}

#[derive(Debug)]
struct Shared {
    behaviour: sync::Mutex<Behaviour>,
    effects: sync::Arc<Ledger>,
}

/// The mainframe's record: how often each key took effect. Several service instances share one.
#[derive(Debug, Default)]
pub struct Ledger {
    effects: sync::Mutex<collections::BTreeMap<String, u64>>,
    total: atomic::AtomicU64,
}

impl Ledger {
    /// How often each key took effect.
    pub fn effects(&self) -> collections::BTreeMap<String, u64> {
        self.effects.lock().expect("no panic under lock").clone()
    }

    /// Keys that took effect more than once.
    pub fn duplicates(&self) -> usize {
        self.effects().values().filter(|&&count| count > 1).count()
    }

    fn take_effect(&self, key: &str, honours_key: bool) -> u64 {
        let mut effects = self.effects.lock().expect("no panic under lock");
        let count = effects.entry(key.to_owned()).or_default();
        if *count == 0 || !honours_key {
            *count += 1;
            return self.total.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        }
        self.total.load(atomic::Ordering::Relaxed)
    }
}

/// A running service instance.
#[derive(Debug)]
pub struct Service {
    shared: sync::Arc<Shared>,
    server: http::Server,
}

impl Service {
    /// Starts a service instance over a shared record.
    pub async fn start(ledger: sync::Arc<Ledger>, behaviour: Behaviour) -> io::Result<Self> {
        Self::start_at(http::any_port(), ledger, behaviour).await
    }

    /// Starts a service instance on an address.
    pub async fn start_at(
        address: net::SocketAddr,
        ledger: sync::Arc<Ledger>,
        behaviour: Behaviour,
    ) -> io::Result<Self> {
        let behaviour = sync::Mutex::new(behaviour);
        let shared = sync::Arc::new(Shared { behaviour, effects: ledger });
        let answering = shared.clone();
        let server = http::serve(address, move |request| {
            let shared = answering.clone();
            async move { shared.answer(request).await }
        });
        Ok(Self { shared, server: server.await? })
    }

    /// Its address.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Changes how it behaves from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.shared.behaviour.lock().expect("no panic under lock") = behaviour;
    }
}

impl Shared {
    async fn answer(&self, request: http::Request) -> http::Response {
        let behaviour = self.behaviour.lock().expect("no panic under lock").clone();
        let place = request.extensions().get::<http::Place>();
        if behaviour.hangs_up && place.is_some_and(|place| place.0 > 0) {
            return http::hang_up();
        }
        if request.method() == hyper::Method::GET {
            return http::respond(200, "text/plain", "open");
        }
        let key = request.headers().get("idempotency-key").and_then(|key| key.to_str().ok());
        let key = key.unwrap_or("none").to_owned();
        let body = http::body(request).await;
        let Behaviour { before_ms, after_ms, honours_key, .. } = behaviour;
        tokio::time::sleep(time::Duration::from_millis(before_ms)).await;
        let number = self.effects.take_effect(&key, honours_key);
        tokio::time::sleep(time::Duration::from_millis(after_ms)).await;
        let answer = serde_json::json!({"entry": number, "bytes": body.len()});
        http::respond(200, "application/json", answer.to_string())
    }
}
