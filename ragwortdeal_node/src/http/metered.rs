//! Counts the bytes that are read from a peer, and ends a connection that brings too many.
//!
//! Parsers bound what they deliver. Interim answers, the size of a chunk and bytes behind an answer
//! are read and delivered to nobody, so a peer could send them for ever.

use std::{
    io, pin,
    sync::{self, atomic},
    task,
};

use hyper::Uri;
use hyper_util::{client::legacy::connect, rt};
use tokio::{io as tokio_io, net};
use tower_service::Service;

/// Bytes that may be read for one answer, and those that were.
#[derive(Debug)]
pub struct Meter {
    read_bytes: atomic::AtomicU64,
    allowed_bytes: atomic::AtomicU64,
}

impl Meter {
    /// A meter that allows so many bytes.
    pub fn new(allowed_bytes: u64) -> sync::Arc<Self> {
        let allowed_bytes = atomic::AtomicU64::new(allowed_bytes);
        sync::Arc::new(Self { read_bytes: atomic::AtomicU64::new(0), allowed_bytes })
    }

    /// Starts to count anew.
    pub fn restart(&self, allowed_bytes: u64) {
        self.read_bytes.store(0, atomic::Ordering::Relaxed);
        self.allowed_bytes.store(allowed_bytes, atomic::Ordering::Relaxed);
    }

    /// Allows more bytes.
    pub fn allow(&self, more_bytes: u64) {
        self.allowed_bytes.fetch_add(more_bytes, atomic::Ordering::Relaxed);
    }

    /// Bytes read since the last start.
    pub fn read_bytes(&self) -> u64 {
        self.read_bytes.load(atomic::Ordering::Relaxed)
    }

    fn is_used_up(&self) -> bool {
        self.read_bytes() > self.allowed_bytes.load(atomic::Ordering::Relaxed)
    }
}

/// A connection whose bytes are counted.
#[derive(Debug)]
pub struct Metered {
    stream: net::TcpStream,
    meter: sync::Arc<Meter>,
    /// Bytes that each answer may take, where one begins with the request that is written. None
    /// where the owner of the meter starts it.
    each_answer_bytes: Option<u64>,
}

impl Metered {
    /// A connection whose owner starts the meter for each answer.
    pub fn new(stream: net::TcpStream, meter: sync::Arc<Meter>) -> Self {
        Self { stream, meter, each_answer_bytes: None }
    }

    /// A connection on which so many bytes may be read after each request.
    pub fn with_bound(stream: net::TcpStream, each_answer_bytes: u64) -> Self {
        let meter = Meter::new(each_answer_bytes);
        Self { stream, meter, each_answer_bytes: Some(each_answer_bytes) }
    }

    fn record_written(&self) {
        if let Some(bytes) = self.each_answer_bytes {
            self.meter.restart(bytes);
        }
    }
}

impl tokio_io::AsyncRead for Metered {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut tokio_io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let polled = pin::Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = (buffer.filled().len() - filled) as u64;
        self.meter.read_bytes.fetch_add(read, atomic::Ordering::Relaxed);
        if self.meter.is_used_up() {
            let error = "more bytes than an answer takes";
            return task::Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        polled
    }
}

impl tokio_io::AsyncWrite for Metered {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        self.record_written();
        pin::Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        self.record_written();
        pin::Pin::new(&mut self.stream).poll_write_vectored(context, slices)
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

impl connect::Connection for Metered {
    fn connected(&self) -> connect::Connected {
        self.stream.connected()
    }
}

/// Opens connections on which an answer takes a bounded number of bytes.
#[derive(Clone, Debug)]
pub struct Connector {
    inner: connect::HttpConnector,
    each_answer_bytes: u64,
}

impl Connector {
    /// A connector whose connections read so many bytes at most after each request.
    pub fn new(inner: connect::HttpConnector, each_answer_bytes: u64) -> Self {
        Self { inner, each_answer_bytes }
    }
}

impl Service<Uri> for Connector {
    type Response = rt::TokioIo<Metered>;
    type Error = <connect::HttpConnector as Service<Uri>>::Error;
    type Future = pin::Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(
        &mut self,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let (connecting, bytes) = (self.inner.call(uri), self.each_answer_bytes);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            Ok(rt::TokioIo::new(Metered::with_bound(stream, bytes)))
        })
    }
}
