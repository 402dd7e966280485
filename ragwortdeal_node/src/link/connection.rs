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

/// Settings of the WebSocket below a link.
pub(super) fn socket_config(limits: &LinkLimits) -> tungstenite::protocol::WebSocketConfig {
    tungstenite::protocol::WebSocketConfig::default()
        .max_message_size(Some(limits.frame_max_bytes))
        .max_frame_size(Some(limits.frame_max_bytes))
}

/// Runs a connection until it ends. `heard` gets each frame.
pub(super) async fn run<S>(
    socket: tokio_tungstenite::WebSocketStream<S>,
    limits: &LinkLimits,
    outgoing: &mut mpsc::Receiver<wire::Frame>,
    mut heard: impl FnMut(wire::Frame) -> bool,
) -> End
where
    S: io::AsyncRead + io::AsyncWrite + Unpin,
{
    let (mut sink, mut stream) = socket.split();
    let mut heartbeat = tokio::time::interval(millis(limits.heartbeat_ms));
    heartbeat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last_heard = time::Instant::now();
    let silence = millis(limits.silence_ms);
    loop {
        let to_send = tokio::select! {
            queued = outgoing.recv() => match queued {
                Some(frame) => tungstenite::Message::Binary(encode(&frame).into()),
                None => return End::Released,
            },
            received = stream.next() => match received {
                Some(Ok(message)) => {
                    last_heard = time::Instant::now();
                    match take(message, &mut heard) {
                        Ok(()) => continue,
                        Err(end) => return end,
                    }
                }
                Some(Err(_)) | None => return End::Closed,
            },
            _ = heartbeat.tick() => {
                // A connection whose middle has forgotten it neither fails nor delivers. Only the
                // lack of the other side's heartbeats shows it.
                if last_heard.elapsed() > silence {
                    return End::Silent;
                }
                tungstenite::Message::Ping(bytes::Bytes::new())
            }
        };
        // A peer that stops reading would block this forever, so sending has the same deadline.
        match tokio::time::timeout(silence, sink.send(to_send)).await {
            Ok(Ok(())) => (),
            Ok(Err(_)) => return End::Closed,
            Err(_) => return End::Silent,
        }
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
