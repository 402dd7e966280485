//! The side of a link that opens it, and opens it again whenever it breaks.

use std::{
    collections,
    sync::{self, atomic},
};

use ragwortdeal_wire::link as wire;
use tokio::{
    net,
    sync::{mpsc, oneshot},
    time,
};
use tokio_tungstenite::tungstenite;

use super::{Credential, LinkError, LinkLimits, connection, millis};
use crate::stop;

/// Pause before a broken link is opened again.
const REOPEN_MS: u64 = 100;

/// What happens on an opened link.
#[derive(Clone, Debug)]
pub enum LinkEvent {
    /// The link is open; what the peer should know is to be pushed now.
    Up,
    /// The peer pushed a message.
    Push(Box<wire::Message>),
    /// The link broke and is being opened again.
    Down,
}

type Pending = collections::HashMap<u64, oneshot::Sender<wire::Message>>;

#[derive(Debug)]
struct Shared {
    peer: sync::Arc<str>,
    next_request: atomic::AtomicU64,
    up: atomic::AtomicBool,
    pending: sync::Mutex<Pending>,
    outgoing: sync::Mutex<Option<mpsc::Sender<wire::Frame>>>,
}

/// Handle of an opened link. Clones share the connection; the last one dropped closes it.
#[derive(Clone, Debug)]
pub struct Link {
    shared: sync::Arc<Shared>,
    _alive: sync::Arc<stop::Stopper>,
}

/// Opens a link in a task of its own and keeps it open.
pub fn open(
    address: &str,
    credential: Credential,
    hello: wire::Hello,
    limits: LinkLimits,
    events: mpsc::Sender<LinkEvent>,
) -> Link {
    let shared = sync::Arc::new(Shared {
        peer: sync::Arc::from(address),
        next_request: atomic::AtomicU64::new(1),
        up: atomic::AtomicBool::new(false),
        pending: sync::Mutex::default(),
        outgoing: sync::Mutex::default(),
    });
    let (stopper, stop) = stop::pair();
    let opener = Opener { shared: shared.clone(), credential, hello, limits, events };
    tokio::spawn(async move {
        tokio::select! {
            () = opener.keep_open() => (),
            () = stop.wait() => (),
        }
    });
    Link { shared, _alive: sync::Arc::new(stopper) }
}

impl Link {
    /// Address of the other side.
    pub fn peer(&self) -> &sync::Arc<str> {
        &self.shared.peer
    }

    /// Whether the link is open now.
    pub fn is_up(&self) -> bool {
        self.shared.up.load(atomic::Ordering::Relaxed)
    }

    /// Sends a message that wants no answer.
    pub fn push(&self, step: &'static str, message: wire::Message) -> Result<(), LinkError> {
        self.send(step, wire::Frame { request: None, answer: false, traceparent: None, message })
    }

    /// Sends a request and waits for its answer until the deadline.
    pub async fn request(
        &self,
        step: &'static str,
        message: wire::Message,
        deadline_ms: u64,
    ) -> Result<wire::Message, LinkError> {
        let number = self.shared.next_request.fetch_add(1, atomic::Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.shared.pending.lock().expect("no panic under lock").insert(number, sender);
        let request = Some(number);
        let frame = wire::Frame { request, answer: false, traceparent: None, message };
        if let Err(error) = self.send(step, frame) {
            self.forget(number);
            return Err(error);
        }
        let answered = time::timeout(millis(deadline_ms), receiver).await;
        self.forget(number);
        let peer = self.peer().clone();
        match answered {
            Ok(Ok(wire::Message::Refused(refused))) => {
                let wire::Refused { reason, leader, .. } = refused;
                Err(LinkError::Refused { step, peer, reason, leader })
            }
            Ok(Ok(message)) => Ok(message),
            Ok(Err(_)) | Err(_) => Err(LinkError::Unanswered { step, peer }),
        }
    }

    fn send(&self, step: &'static str, frame: wire::Frame) -> Result<(), LinkError> {
        let peer = self.peer().clone();
        let outgoing = self.shared.outgoing.lock().expect("no panic under lock");
        let sent = outgoing.as_ref().is_some_and(|sender| sender.try_send(frame).is_ok());
        if sent { Ok(()) } else { Err(LinkError::NotSent { step, peer }) }
    }

    fn forget(&self, number: u64) {
        self.shared.pending.lock().expect("no panic under lock").remove(&number);
    }
}

struct Opener {
    shared: sync::Arc<Shared>,
    credential: Credential,
    hello: wire::Hello,
    limits: LinkLimits,
    events: mpsc::Sender<LinkEvent>,
}

impl Opener {
    async fn keep_open(self) {
        time::sleep(millis(self.limits.open_after_ms)).await;
        loop {
            match time::timeout(millis(self.limits.connect_ms), self.connect()).await {
                Ok(Ok(socket)) => self.run(socket).await,
                Ok(Err(error)) => log::debug!("link: no link to {}: {error}", self.shared.peer),
                Err(_) => log::debug!("link: connecting to {} timed out", self.shared.peer),
            }
            time::sleep(millis(REOPEN_MS)).await;
        }
    }

    async fn connect(
        &self,
    ) -> Result<tokio_tungstenite::WebSocketStream<net::TcpStream>, tungstenite::Error> {
        let stream = net::TcpStream::connect(&*self.shared.peer).await?;
        stream.set_nodelay(true)?;
        let uri: tungstenite::http::Uri = format!("ws://{}/link", self.shared.peer)
            .parse()
            .map_err(|_| tungstenite::error::UrlError::UnableToConnect(self.peer_text()))?;
        let request = tungstenite::ClientRequestBuilder::new(uri)
            .with_header("Authorization", self.credential.header_value());
        let config = connection::socket_config(&self.limits);
        let (socket, _) =
            tokio_tungstenite::client_async_with_config(request, stream, Some(config)).await?;
        Ok(socket)
    }

    fn peer_text(&self) -> String {
        self.shared.peer.as_ref().to_owned()
    }

    async fn run(&self, socket: tokio_tungstenite::WebSocketStream<net::TcpStream>) {
        let (sender, mut outgoing) = mpsc::channel(self.limits.queue_frames);
        let hello = wire::Message::Hello(self.hello.clone());
        let first = wire::Frame { request: None, answer: false, traceparent: None, message: hello };
        // The queue is empty and longer than one frame, so this cannot fail.
        let _ = sender.try_send(first);
        *self.shared.outgoing.lock().expect("no panic under lock") = Some(sender);
        self.shared.up.store(true, atomic::Ordering::Relaxed);
        let mut alive = self.events.send(LinkEvent::Up).await.is_ok();
        if alive {
            let end = connection::run(
                socket,
                connection::Side::Opener,
                &self.limits,
                &mut outgoing,
                |frame| self.heard(frame),
            );
            let end = end.await;
            log::debug!("link: the link to {} ended: {end:?}", self.shared.peer);
        }
        self.shared.up.store(false, atomic::Ordering::Relaxed);
        *self.shared.outgoing.lock().expect("no panic under lock") = None;
        // Dropping the senders tells each waiting request that no answer will come.
        self.shared.pending.lock().expect("no panic under lock").clear();
        alive &= self.events.send(LinkEvent::Down).await.is_ok();
        if !alive {
            log::debug!("link: nobody listens to the link to {}", self.shared.peer);
        }
    }

    /// Takes a frame; `false` ends the connection.
    fn heard(&self, frame: wire::Frame) -> bool {
        let wire::Frame { request, answer, message, .. } = frame;
        let Some(number) = request.filter(|_| answer) else {
            // A full queue means that the owner fell behind; a new link starts from its state.
            return self.events.try_send(LinkEvent::Push(Box::new(message))).is_ok();
        };
        let waiting = self.shared.pending.lock().expect("no panic under lock").remove(&number);
        if let Some(waiting) = waiting {
            // The requester may have gone; its answer is then of no use to anybody.
            let _ = waiting.send(message);
        }
        true
    }
}
