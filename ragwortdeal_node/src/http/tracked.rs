//! An accepted connection that tells what it is doing.

use std::{io, pin, sync, task};

use ragwortdeal_core::inbound::connections::Phase;
use tokio::{io as tokio_io, net};

use super::inbound::ConnectionState;

/// An accepted connection.
#[derive(Debug)]
pub(super) struct Tracked {
    stream: net::TcpStream,
    state: sync::Arc<ConnectionState>,
}

impl Tracked {
    pub(super) fn new(stream: net::TcpStream, state: sync::Arc<ConnectionState>) -> Self {
        Self { stream, state }
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
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
