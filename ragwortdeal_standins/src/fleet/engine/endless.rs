//! Bodies that never end.

use bytes::Bytes;
use futures_util::StreamExt as _;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body;

use super::{Body, Running};

/// Bytes of one frame.
const FRAME_BYTES: usize = 8 << 10;

/// A body that goes on for as long as somebody takes it.
pub(super) fn body(running: Running) -> Body {
    let frame = Bytes::from(vec![b'a'; FRAME_BYTES]);
    let frames = futures_util::stream::unfold(running, move |running| {
        let frame = frame.clone();
        async move { Some((Ok(body::Frame::data(frame)), running)) }
    });
    StreamBody::new(frames.boxed()).boxed_unsync()
}
