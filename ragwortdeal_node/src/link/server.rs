//! The side of links that accepts them.

use std::sync::{self, atomic};

use ragwortdeal_wire::link as wire;
use tokio::{
    net,
    sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc},
    time,
};
use tokio_tungstenite::tungstenite;

use super::{Credential, LinkLimits, connection, millis};
use crate::stop;

/// Most links that one process accepts at once.
const LINKS_MAX: usize = 8_192;

/// Most connections that have not shown a credential yet. Anyone can open these.
const HANDSHAKES_MAX: usize = 64;

/// Number of an accepted link within its process.
pub type SessionId = u64;

/// An accepted link, to push messages on.
#[derive(Clone, Debug)]
pub struct Session {
    /// Number of the link.
    pub id: SessionId,
    /// Who opened it.
    pub hello: sync::Arc<wire::Hello>,
    outgoing: mpsc::Sender<wire::Frame>,
    /// Signalled where a message did not fit into the queue.
    overflown: sync::Arc<Notify>,
}

impl Session {
    /// Pushes a message. Returns `false` where the link is gone or its queue is full. A link whose
    /// queue was full is closed: the message is told to nobody again, and the peer opens another
    /// link and asks for what it lacks.
    pub fn push(&self, message: wire::Message) -> bool {
        let frame = wire::Frame { request: None, answer: false, traceparent: None, message };
        let sent = self.outgoing.try_send(frame);
        if let Err(mpsc::error::TrySendError::Full(_)) = sent {
            self.overflown.notify_one();
        }
        sent.is_ok()
    }
}

/// What a process does with the links it accepts.
pub trait Service: Send + Sync + 'static {
    /// A link was opened by the process that introduced itself.
    fn opened(&self, session: &Session);
    /// The peer pushed a message.
    fn pushed(&self, session: &Session, message: wire::Message);
    /// The peer asks for something.
    fn requested(
        &self,
        session: &Session,
        message: wire::Message,
    ) -> impl Future<Output = wire::Message> + Send;
    /// The link ended.
    fn closed(&self, session: &Session);
}

/// Accepts links until the stop.
pub async fn serve<S: Service>(
    listener: net::TcpListener,
    credential: Credential,
    limits: LinkLimits,
    service: sync::Arc<S>,
    stop: stop::Stop,
) {
    let numbers = sync::Arc::new(atomic::AtomicU64::new(1));
    let places = sync::Arc::new(Semaphore::new(LINKS_MAX));
    let handshakes = sync::Arc::new(Semaphore::new(HANDSHAKES_MAX));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.wait() => return,
        };
        let Ok((stream, peer)) = accepted else {
            // Out of file descriptors, most likely. Without a pause this would spin.
            time::sleep(millis(50)).await;
            continue;
        };
        let Ok(place) = places.clone().try_acquire_owned() else {
            log::warn!("link: refused {peer}, all places are taken");
            continue;
        };
        let Ok(handshake) = handshakes.clone().try_acquire_owned() else {
            log::warn!("link: refused {peer}, too many connections show no credential");
            continue;
        };
        let id = numbers.fetch_add(1, atomic::Ordering::Relaxed);
        let (credential, service, stop) = (credential.clone(), service.clone(), stop.clone());
        tokio::spawn(async move {
            let handled = handle(stream, id, credential, limits, service, handshake);
            tokio::select! {
                () = handled => (),
                () = stop.wait() => (),
            }
            drop(place);
        });
    }
}

/// Tells the service that the link ended, also where its task was cut short by the stop.
struct ClosedOnDrop<S: Service> {
    service: sync::Arc<S>,
    session: Session,
}

impl<S: Service> Drop for ClosedOnDrop<S> {
    fn drop(&mut self) {
        self.service.closed(&self.session);
    }
}

async fn handle<S: Service>(
    stream: net::TcpStream,
    id: SessionId,
    credential: Credential,
    limits: LinkLimits,
    service: sync::Arc<S>,
    place: OwnedSemaphorePermit,
) {
    let _ = stream.set_nodelay(true);
    let handshake = time::timeout(millis(limits.connect_ms), accept(stream, credential, &limits));
    let Ok(Ok(socket)) = handshake.await else {
        return;
    };
    drop(place);
    let (sender, mut outgoing) = mpsc::channel(limits.queue_frames);
    let overflown = sync::Arc::new(Notify::new());
    let requests = sync::Arc::new(Semaphore::new(limits.requests_max));
    let mut opened: Option<ClosedOnDrop<S>> = None;
    let heard = |frame: wire::Frame| match &opened {
        None => {
            let wire::Message::Hello(hello) = frame.message else {
                return false;
            };
            let hello = sync::Arc::new(hello);
            let (outgoing, overflown) = (sender.clone(), overflown.clone());
            let session = Session { id, hello, outgoing, overflown };
            service.opened(&session);
            opened = Some(ClosedOnDrop { service: service.clone(), session });
            true
        }
        Some(open) => dispatch(frame, open, &requests),
    };
    let running =
        connection::run(socket, connection::Side::Acceptor, &limits, &mut outgoing, heard);
    tokio::select! {
        end = running => log::debug!("link: accepted link {id} ended: {end:?}"),
        () = overflown.notified() => log::warn!("link: accepted link {id} is closed, its queue is full"),
    }
}

fn dispatch<S: Service>(
    frame: wire::Frame,
    open: &ClosedOnDrop<S>,
    requests: &sync::Arc<Semaphore>,
) -> bool {
    let wire::Frame { request, message, .. } = frame;
    let Some(number) = request else {
        open.service.pushed(&open.session, message);
        return true;
    };
    let (service, session) = (open.service.clone(), open.session.clone());
    let Ok(place) = requests.clone().try_acquire_owned() else {
        return answer(&session, number, refused("accept", "too many requests on this link"));
    };
    tokio::spawn(async move {
        let message = service.requested(&session, message).await;
        answer(&session, number, message);
        drop(place);
    });
    true
}

fn answer(session: &Session, number: u64, message: wire::Message) -> bool {
    let frame = wire::Frame { request: Some(number), answer: true, traceparent: None, message };
    session.outgoing.try_send(frame).is_ok()
}

/// An answer that says that a request was not carried out.
pub fn refused(step: &str, reason: &str) -> wire::Message {
    let (step, reason) = (step.to_owned(), reason.to_owned());
    wire::Message::Refused(wire::Refused { step, reason, leader: None })
}

async fn accept(
    stream: net::TcpStream,
    credential: Credential,
    limits: &LinkLimits,
) -> Result<tokio_tungstenite::WebSocketStream<net::TcpStream>, tungstenite::Error> {
    let check = move |request: &tungstenite::handshake::server::Request, response| {
        let given =
            request.headers().get("authorization").map(tungstenite::http::HeaderValue::as_bytes);
        if credential.accepts(given) {
            return Ok(response);
        }
        log::warn!("link: refused a peer with a wrong credential");
        let mut refusal = tungstenite::handshake::server::ErrorResponse::new(None);
        *refusal.status_mut() = tungstenite::http::StatusCode::UNAUTHORIZED;
        Err(refusal)
    };
    let config = connection::socket_config(limits);
    tokio_tungstenite::accept_hdr_async_with_config(stream, check, Some(config)).await
}
