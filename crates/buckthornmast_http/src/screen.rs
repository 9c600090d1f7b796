//! Error answers of the HTTP library, replaced by problem details.
//!
//! The library answers a head that it can't parse itself, with a status and no body, and offers no hook
//! for it. [`Screen`] stands between the library and the socket and holds such an answer back until the
//! library has ended the connection and said why. Only an answer that a parse error explains is then
//! replaced, so that no answer of a handler can be.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::{problem::Problem, response::Response};

/// Line by which an answer without a body is known.
const NO_BODY: &str = "content-length: 0\r\n";

/// Most bytes that are read and dropped before a connection is closed. Unread bytes make the system reset
/// the connection, which can cost the client the answer.
const MAX_DRAIN: usize = 256 << 10;

/// Connection whose first bytes of an answer are looked at.
#[derive(Debug)]
pub(crate) struct Screen {
    io: TokioIo<TcpStream>,
    /// Requests that the library has handed over.
    calls: Arc<AtomicU64>,
    /// Those of them whose answer has begun to leave.
    begun: u64,
    /// Whether everything written so far has left, so that the next write may begin an answer.
    is_flushed: bool,
    /// Answer that is held back.
    held: Vec<u8>,
}

impl Screen {
    /// Wraps a connection; `calls` is counted up for each request that is handed over.
    pub(crate) fn new(stream: TcpStream, calls: Arc<AtomicU64>) -> Self {
        Self {
            io: TokioIo::new(stream),
            calls,
            begun: 0,
            is_flushed: true,
            held: Vec::new(),
        }
    }

    /// Returns whether a write is an error answer to what was never handed over.
    fn is_unasked(&mut self, bytes: &[u8]) -> bool {
        if !std::mem::take(&mut self.is_flushed) {
            return false;
        }
        let calls = self.calls.load(Ordering::Relaxed);
        if calls > self.begun {
            // The final answer is still to come after an interim one.
            if !bytes.starts_with(b"HTTP/1.1 100 ") {
                self.begun = calls;
            }
            return false;
        }
        let is_error = bytes.starts_with(b"HTTP/1.1 4") && bytes.ends_with(b"\r\n\r\n");
        is_error && std::str::from_utf8(bytes).is_ok_and(|text| text.contains(NO_BODY))
    }

    /// Writes what is held back.
    fn poll_release(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.held.is_empty() {
            let written = ready!(Pin::new(&mut self.io).poll_write(context, &self.held))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.held.drain(..written);
        }
        Poll::Ready(Ok(()))
    }

    /// Ends the connection. An answer that was held back is sent, as a problem if the library has
    /// refused the head.
    pub(crate) async fn end(self, is_refused: bool) -> io::Result<()> {
        if self.held.is_empty() {
            return Ok(());
        }
        let answer = if is_refused {
            explain(&self.held)
        } else {
            self.held
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
        while drained < MAX_DRAIN {
            match stream.try_read(&mut buffer) {
                Ok(read) if read > 0 => drained += read,
                _ => break,
            }
        }
        socket2::SockRef::from(&stream).shutdown(std::net::Shutdown::Write)
    }
}

/// Returns the answer with problem details in place of no body, and with all other headers.
fn explain(bare: &[u8]) -> Vec<u8> {
    let head = String::from_utf8_lossy(bare);
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

impl Read for Screen {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(context, buffer)
    }
}

impl Write for Screen {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_release(context))?;
        if self.is_unasked(bytes) {
            self.held = bytes.to_vec();
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.io).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_release(context))?;
        let first = slices.first().map_or(&[][..], |slice| &slice[..]);
        // An answer without a body is a single slice.
        if self.is_unasked(first) && slices.len() == 1 {
            self.held = first.to_vec();
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
        // What is held back leaves before the socket is shut down, in `end`.
        if self.held.is_empty() {
            Pin::new(&mut self.io).poll_shutdown(context)
        } else {
            Poll::Ready(Ok(()))
        }
    }
}
