//! One WebSocket connection: sends queued frames, reads frames, and watches for silence.

use std::time;

use futures_util::{SinkExt as _, StreamExt as _};
use ragwortdeal_wire::link as wire;
use tokio::{io, sync::mpsc};
use tokio_tungstenite::tungstenite;

use super::{LinkLimits, encode, millis};

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// The other side closed it or the transport failed.
    Closed,
    /// Nothing was heard for the time that the limits allow.
    Silent,
    /// A frame was no valid message.
    BadFrame,
    /// Our own side is done with it.
    Released,
}

/// Which side of a link a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    /// It opened the link and sends the heartbeats.
    Opener,
    /// It accepted the link, and sends heartbeats only where the opener's fail to come.
    Acceptor,
}

/// Settings of the WebSocket below a link.
pub(super) fn socket_config(limits: &LinkLimits) -> tungstenite::protocol::WebSocketConfig {
    tungstenite::protocol::WebSocketConfig::default()
        .max_message_size(Some(limits.frame_max_bytes))
        .max_frame_size(Some(limits.frame_max_bytes))
}

/// Runs a connection until it ends. `heard` gets each frame.
pub(super) async fn run<S>(
    socket: tokio_tungstenite::WebSocketStream<S>,
    side: Side,
    limits: &LinkLimits,
    outgoing: &mut mpsc::Receiver<wire::Frame>,
    mut heard: impl FnMut(wire::Frame) -> bool,
) -> End
where
    S: io::AsyncRead + io::AsyncWrite + Unpin,
{
    let (mut sink, mut stream) = socket.split();
    let mut ticks = tokio::time::interval(millis(limits.heartbeat_ms));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut traffic = Traffic::start(side, limits);
    loop {
        let to_send = tokio::select! {
            queued = outgoing.recv() => match queued {
                Some(frame) => tungstenite::Message::Binary(encode(&frame).into()),
                None => return End::Released,
            },
            received = stream.next() => match received {
                Some(Ok(message)) => {
                    traffic.heard(&message);
                    match take(message, &mut heard) {
                        Ok(()) => continue,
                        Err(end) => return end,
                    }
                }
                Some(Err(_)) | None => return End::Closed,
            },
            _ = ticks.tick() => {
                // A connection whose middle has forgotten it neither fails nor delivers. Only the
                // lack of anything from the other side shows it.
                if traffic.is_silent() {
                    return End::Silent;
                }
                if !traffic.needs_heartbeat() {
                    continue;
                }
                tungstenite::Message::Ping(bytes::Bytes::new())
            }
        };
        traffic.sent();
        // A peer that stops reading would block this forever, so sending has the same deadline.
        match tokio::time::timeout(traffic.silence, sink.send(to_send)).await {
            Ok(Ok(())) => (),
            Ok(Err(_)) => return End::Closed,
            Err(_) => return End::Silent,
        }
    }
}

/// When something last went each way, to tell whether a heartbeat is needed.
struct Traffic {
    last_heard: time::Instant,
    last_sent: time::Instant,
    heartbeat: time::Duration,
    silence: time::Duration,
}

impl Traffic {
    fn start(side: Side, limits: &LinkLimits) -> Self {
        let now = time::Instant::now();
        Self {
            last_heard: now,
            last_sent: now,
            // Without the difference both sides would tick together and each send its own.
            heartbeat: match side {
                Side::Opener => millis(limits.heartbeat_ms),
                Side::Acceptor => millis(limits.heartbeat_ms * 2),
            },
            silence: millis(limits.silence_ms),
        }
    }

    fn heard(&mut self, message: &tungstenite::Message) {
        self.last_heard = time::Instant::now();
        // The library answers a ping by itself, so something is sent then.
        if message.is_ping() {
            self.last_sent = self.last_heard;
        }
    }

    fn sent(&mut self) {
        self.last_sent = time::Instant::now();
    }

    fn is_silent(&self) -> bool {
        self.last_heard.elapsed() > self.silence
    }

    /// A ping and its answer go both ways, so one side's heartbeat serves both; and where messages
    /// go both ways anyway, none is needed. At 30 links of an entry, heartbeats of both sides on
    /// every tick took most of what control may cost.
    fn needs_heartbeat(&self) -> bool {
        let stale = |last: time::Instant| last.elapsed() >= self.heartbeat * 9 / 10;
        stale(self.last_heard) || stale(self.last_sent)
    }
}

fn take(
    message: tungstenite::Message,
    heard: &mut impl FnMut(wire::Frame) -> bool,
) -> Result<(), End> {
    match message {
        tungstenite::Message::Binary(bytes) => {
            let frame = ciborium::from_reader(&*bytes).map_err(|_| End::BadFrame)?;
            if heard(frame) { Ok(()) } else { Err(End::Released) }
        }
        tungstenite::Message::Close(_) => Err(End::Closed),
        tungstenite::Message::Text(_) => Err(End::BadFrame),
        _ => Ok(()),
    }
}
