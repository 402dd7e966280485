//! An instance that takes part in a spread and misbehaves: it announces every chunk and spoils what
//! it sends.

use std::{
    io, net,
    sync::{self, atomic},
};

use ragwortdeal_core::{name, spread::roster};
use ragwortdeal_node::{http as node_http, link};
use ragwortdeal_wire::link as wire;
use tokio::sync::mpsc;

use crate::{deployment, http, origin};

/// How often it announces itself.
const RENEW: std::time::Duration = std::time::Duration::from_millis(300);

/// Longest time one of its requests may take.
const PATIENCE_MS: u64 = 1_000;

/// What it does when it is asked for a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answers {
    /// The chunk with one bit changed.
    Corrupt,
    /// The first half of the chunk.
    Short,
    /// It says that it does not hold the chunk.
    Deny,
    /// It takes the request and never answers.
    Stall,
}

#[derive(Debug)]
struct Shared {
    instance: name::InstanceName,
    weights: origin::Weights,
    answers: Answers,
    asked: atomic::AtomicU64,
}

/// A running misbehaving peer.
#[derive(Debug)]
pub struct Peer {
    shared: sync::Arc<Shared>,
    _server: http::Server,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Peer {
    /// Starts it beside the agents of an entry.
    pub async fn start(
        name: &str,
        zone: &str,
        entry: net::SocketAddr,
        weights: &origin::Weights,
        answers: Answers,
    ) -> io::Result<Self> {
        let shared = sync::Arc::new(Shared {
            instance: name::InstanceName::new(name).map_err(io::Error::other)?,
            weights: weights.clone(),
            answers,
            asked: atomic::AtomicU64::new(0),
        });
        let answering = shared.clone();
        let server = http::serve(http::any_port(), move |request| {
            let shared = answering.clone();
            async move { shared.answer(request.uri().path()).await }
        });
        let server = server.await?;
        let announcing = announce(shared.clone(), zone.to_owned(), server.address, entry);
        Ok(Self { shared, _server: server, task: tokio::spawn(announcing) })
    }

    /// How often it was asked for a chunk.
    pub fn asked(&self) -> u64 {
        self.shared.asked.load(atomic::Ordering::Relaxed)
    }
}

impl Shared {
    async fn answer(&self, path: &str) -> http::Response {
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        let ["internal", "peers", _, chunk] = parts[..] else {
            return http::respond(204, "text/plain", "");
        };
        self.asked.fetch_add(1, atomic::Ordering::Relaxed);
        let chunk = chunk.parse().ok().and_then(|chunk: usize| self.weights.chunks.get(chunk));
        let Some(bytes) = chunk.filter(|_| self.answers != Answers::Deny) else {
            let mut response = http::respond(404, "text/plain", "");
            let held = hyper::header::HeaderValue::from(0u32);
            response.headers_mut().insert("x-ragwortdeal-held", held);
            return response;
        };
        let mut spoilt = bytes.to_vec();
        match self.answers {
            Answers::Short => spoilt.truncate(bytes.len() / 2),
            Answers::Stall => std::future::pending().await,
            Answers::Corrupt | Answers::Deny => spoilt[0] ^= 1,
        }
        http::respond(200, "application/octet-stream", spoilt)
    }

    fn announcement(&self, zone: &str, address: net::SocketAddr, sequence: u64) -> wire::Message {
        wire::Message::Announce(wire::Announcement {
            instance: self.instance.to_string(),
            zone: zone.to_owned(),
            region: "home".to_owned(),
            incarnation: 1,
            sequence,
            target: String::new(),
            kind: wire::AnnouncementKind::Engine,
            call_address: address.to_string(),
            leaving: false,
            serving: None,
            holds: None,
            phase: "staging".to_owned(),
            behind: None,
            applied_revision: 0,
            origin_bytes: 0,
            peer_bytes: 0,
            region_bytes: 0,
            staged_bytes: 0,
            size_bytes: 0,
            running: 0,
            from_here: 0,
            slots: 0,
            queued: 0,
            report_age_ms: 0,
        })
    }

    /// Tells an agent that every chunk is here.
    async fn boast(&self, http: &node_http::Client, credential: &link::Credential, to: String) {
        let chunks = (0..self.weights.chunks.len() as u32).collect();
        let (instance, version) = (self.instance.clone(), self.weights.version());
        let mut body = Vec::new();
        let holdings = roster::Holdings { instance, version, chunks };
        ciborium::into_writer(&holdings, &mut body).expect("own types encode into memory");
        let request = hyper::Request::post(format!("http://{to}/internal/peers/holdings"))
            .header("authorization", credential.header_value())
            .body(node_http::full(body))
            .expect("an address makes a valid URL");
        // An agent that is not there yet is told again.
        let _ = http.fetch("boast", &to, request, 1 << 16, PATIENCE_MS).await;
    }
}

async fn announce(
    shared: sync::Arc<Shared>,
    zone: String,
    address: net::SocketAddr,
    entry: net::SocketAddr,
) {
    let credential = link::Credential::new(deployment::CLUSTER_SECRET);
    let hello = wire::Hello {
        name: shared.instance.to_string(),
        zone: zone.clone(),
        role: "agent".to_owned(),
        incarnation: 1,
    };
    let (sender, mut events) = mpsc::channel(1_024);
    let limits = link::LinkLimits::default();
    let link = link::open(&entry.to_string(), credential.clone(), hello, limits, sender);
    let http = node_http::Client::new(PATIENCE_MS);
    let mut agents = roster::Roster::new();
    let mut renew = tokio::time::interval(RENEW);
    let mut sequence = 0;
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Some(link::LinkEvent::Up) => {
                    let subscribe = wire::Subscribe { held_revision: 0 };
                    // The link has just come up; if it broke again, another `Up` follows.
                    let _ = link.push("subscribe", wire::Message::Subscribe(subscribe));
                }
                Some(link::LinkEvent::Push(message)) => follow(&mut agents, &message),
                Some(link::LinkEvent::Down) => (),
                None => return,
            },
            _ = renew.tick() => {
                sequence += 1;
                let _ = link.push("announce", shared.announcement(&zone, address, sequence));
                let others = agents.values().filter(|seat| seat.address != address);
                let boasts = others
                    .map(|seat| shared.boast(&http, &credential, seat.address.to_string()));
                futures_util::future::join_all(boasts).await;
            }
        }
    }
}

fn follow(agents: &mut roster::Roster, message: &wire::Message) {
    if let wire::Message::Members(members) = message
        && let Ok(update) = ciborium::from_reader::<roster::Update, _>(&members.payload[..])
    {
        update.apply(agents);
    }
}
