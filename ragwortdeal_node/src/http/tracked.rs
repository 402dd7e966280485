//! An accepted connection that tells what it is doing, and that discards what a refused client sends.
//!
//! A connection that is closed with unread bytes is reset, and its client may lose the answer. The
//! sending side is closed first here, and what comes is discarded for a bounded time.

use std::{io, pin, sync, task, time};

use ragwortdeal_core::inbound::connections::Phase;
use tokio::{io as tokio_io, io::AsyncRead as _, net};

use super::inbound::ConnectionState;

/// Bytes that are discarded at once.
const DISCARD_BYTES: usize = 4 << 10;

/// Reads that discard before other tasks get their turn.
const DISCARDS_IN_TURN: u32 = 16;

/// How long and how much is discarded.
#[derive(Debug)]
struct Drain {
    longest: time::Duration,
    left_bytes: usize,
    ends: Option<pin::Pin<Box<tokio::time::Sleep>>>,
}

/// An accepted connection.
#[derive(Debug)]
pub(super) struct Tracked {
    stream: net::TcpStream,
    state: sync::Arc<ConnectionState>,
    drain: Drain,
}

impl Tracked {
    pub(super) fn new(
        stream: net::TcpStream,
        state: sync::Arc<ConnectionState>,
        (longest, left_bytes): (time::Duration, usize),
    ) -> Self {
        Self { stream, state, drain: Drain { longest, left_bytes, ends: None } }
    }

    fn record_written<T>(&self, polled: &task::Poll<T>) {
        match polled {
            task::Poll::Ready(_) => self.state.unblock(),
            task::Poll::Pending if self.state.phase() != Phase::AnswerBlocked => {
                self.state.enter(Phase::AnswerBlocked);
            }
            task::Poll::Pending => (),
        }
    }

    /// Discards what comes until the client closes, or the bounds are reached.
    fn poll_drain(&mut self, context: &mut task::Context<'_>) -> task::Poll<()> {
        if self.drain.ends.is_none() {
            self.state.enter(Phase::Draining);
            self.drain.ends = Some(Box::pin(tokio::time::sleep(self.drain.longest)));
        }
        let ended = self.drain.ends.as_mut().is_none_or(|it| it.as_mut().poll(context).is_ready());
        if ended {
            return task::Poll::Ready(());
        }
        let mut discarded = [0; DISCARD_BYTES];
        for _ in 0..DISCARDS_IN_TURN {
            let mut buffer = tokio_io::ReadBuf::new(&mut discarded);
            let polled = pin::Pin::new(&mut self.stream).poll_read(context, &mut buffer);
            let read_bytes = buffer.filled().len();
            match polled {
                task::Poll::Pending => return task::Poll::Pending,
                task::Poll::Ready(Ok(())) if read_bytes > 0 => (),
                task::Poll::Ready(_) => return task::Poll::Ready(()),
            }
            self.drain.left_bytes = self.drain.left_bytes.saturating_sub(read_bytes);
            if self.drain.left_bytes == 0 {
                return task::Poll::Ready(());
            }
        }
        context.waker().wake_by_ref();
        task::Poll::Pending
    }
}

impl tokio_io::AsyncRead for Tracked {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut tokio_io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let polled = pin::Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > filled
            && matches!(self.state.phase(), Phase::Silent | Phase::Idle)
        {
            self.state.enter(Phase::Head);
        }
        polled
    }
}

impl tokio_io::AsyncWrite for Tracked {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let polled = pin::Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_written(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let polled = pin::Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_written(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.drain.ends.is_none() {
            std::task::ready!(pin::Pin::new(&mut self.stream).poll_shutdown(context))?;
        }
        match self.state.is_body_unread() {
            true => self.poll_drain(context).map(Ok),
            false => task::Poll::Ready(Ok(())),
        }
    }
}
