//! Replacement of `hyper`'s own error answers by problem details.
//!
//! `hyper` answers a request head that it can't parse with a status and no body, and offers no hook for it.
//! [`Interceptor`] sits between `hyper` and the socket and withholds such an answer until `hyper` has ended the
//! connection and returned its error. The answer is replaced only if that is a parse error, so that an answer
//! of a handler is never replaced.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

use crate::{problem::Problem, response::Response};

/// Header line of an answer without a body.
const NO_BODY: &str = "content-length: 0\r\n";

/// Maximum number of bytes that are read and discarded before a connection is closed. Unread bytes make the kernel
/// reset the connection, and the client may then lose the answer.
const MAX_DRAIN_BYTES: usize = 256 << 10;

/// Maximum number of bytes of a refused request that are read and discarded, twice the largest body of most services.
const MAX_REST_BYTES: usize = 8 << 20;

/// Time limit for that.
const REST_TIMEOUT: Duration = Duration::from_secs(1);

/// Connection that inspects the first bytes of each answer.
#[derive(Debug)]
pub(crate) struct Interceptor {
    io: TokioIo<TcpStream>,
    /// Requests that `hyper` has passed to the service.
    calls: Arc<AtomicU64>,
    /// Number of these requests whose answer has begun to be sent.
    answered: u64,
    /// Whether everything written so far has been flushed, so that the next write may begin an answer.
    is_flushed: bool,
    /// Answer that is withheld.
    withheld: Vec<u8>,
}

impl Interceptor {
    /// Wraps a connection; `calls` is incremented for each request passed to the service.
    pub(crate) fn new(stream: TcpStream, calls: Arc<AtomicU64>) -> Self {
        Self {
            io: TokioIo::new(stream),
            calls,
            answered: 0,
            is_flushed: true,
            withheld: Vec::new(),
        }
    }

    /// Returns whether a write is an error answer of `hyper` to a request that was never passed to the service.
    fn is_parse_error_answer(&mut self, bytes: &[u8]) -> bool {
        if !std::mem::take(&mut self.is_flushed) {
            return false;
        }
        let calls = self.calls.load(Ordering::Relaxed);
        if calls > self.answered {
            // The final answer follows an interim one.
            if !bytes.starts_with(b"HTTP/1.1 100 ") {
                self.answered = calls;
            }
            return false;
        }
        let is_error = bytes.starts_with(b"HTTP/1.1 4") && bytes.ends_with(b"\r\n\r\n");
        is_error && std::str::from_utf8(bytes).is_ok_and(|text| text.contains(NO_BODY))
    }

    /// Writes the withheld answer.
    fn poll_write_withheld(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.withheld.is_empty() {
            let written = ready!(Pin::new(&mut self.io).poll_write(context, &self.withheld))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.withheld.drain(..written);
        }
        Poll::Ready(Ok(()))
    }

    /// Ends the connection. A withheld answer is sent, with problem details if `hyper` has refused the
    /// head. The rest of a request that was refused before it was read is discarded, so that the client reads the answer.
    pub(crate) async fn end(self, is_refused: bool, has_rest: bool) -> io::Result<()> {
        if self.withheld.is_empty() {
            if has_rest {
                // The time limit ends a client that sends without end.
                let _ = timeout(REST_TIMEOUT, discard(&self.io.into_inner())).await;
            }
            return Ok(());
        }
        let answer = if is_refused {
            with_problem(&self.withheld)
        } else {
            self.withheld
        };
        let stream = self.io.into_inner();
        let mut rest = answer.as_slice();
        while !rest.is_empty() {
            stream.writable().await?;
            match stream.try_write(rest) {
                Ok(written) => rest = rest.split_at_checked(written).map_or(&[], |(_, rest)| rest),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        let mut buffer = vec![0; 16 << 10];
        let mut drained = 0;
        while drained < MAX_DRAIN_BYTES {
            match stream.try_read(&mut buffer) {
                Ok(read) if read > 0 => drained += read,
                _ => break,
            }
        }
        socket2::SockRef::from(&stream).shutdown(std::net::Shutdown::Write)
    }
}

/// Reads and discards what a client still sends, until it closes the connection.
async fn discard(stream: &TcpStream) {
    let mut discarded = 0;
    while discarded < MAX_REST_BYTES && stream.readable().await.is_ok() {
        match read_discarded(stream) {
            Ok(0) => return,
            Ok(bytes) => discarded += bytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

/// Reads once, with a buffer that isn't a part of the future.
fn read_discarded(stream: &TcpStream) -> io::Result<usize> {
    stream.try_read(&mut [0; 16 << 10])
}

/// Returns an answer without a body with problem details as its body, and with all other headers unchanged.
fn with_problem(empty_answer: &[u8]) -> Vec<u8> {
    let head = String::from_utf8_lossy(empty_answer);
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.unwrap_or(400);
    let title = match status {
        414 => "target too long",
        431 => "head too large",
        _ => "bad request",
    };
    let problem = Problem::new(status, title, "head").detail("the request head can't be parsed");
    let response = Response::from(problem);
    let mut lines = format!("content-length: {}\r\n", response.body.len());
    for (name, value) in &response.headers {
        lines.push_str(&format!("{}: {value}\r\n", name.to_lowercase()));
    }
    let mut answer = head.replacen(NO_BODY, &lines, 1).into_bytes();
    answer.extend(response.body);
    answer
}

impl Read for Interceptor {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(context, buffer)
    }
}

impl Write for Interceptor {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_write_withheld(context))?;
        if self.is_parse_error_answer(bytes) {
            self.withheld = bytes.to_vec();
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.io).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_write_withheld(context))?;
        let first = slices.first().map_or(&[][..], |slice| &slice[..]);
        // An answer without a body is a single slice.
        if self.is_parse_error_answer(first) && slices.len() == 1 {
            self.withheld = first.to_vec();
            return Poll::Ready(Ok(first.len()));
        }
        Pin::new(&mut self.io).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.io).poll_flush(context))?;
        self.is_flushed = true;
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The withheld answer is sent in `end`, before the socket is shut down.
        if self.withheld.is_empty() {
            Pin::new(&mut self.io).poll_shutdown(context)
        } else {
            Poll::Ready(Ok(()))
        }
    }
}
