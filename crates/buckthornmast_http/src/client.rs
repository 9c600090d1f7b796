//! Blocking client for complete and streamed answers.
//!
//! Each request uses its own connection: on a reused connection that the peer has just closed, a request fails
//! after bytes were written, so it would be unknown whether it was run. Connections are driven by a runtime that
//! all clients of the process share.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Body as _, Bytes, Incoming},
    client::conn::http1,
};
use hyper_util::rt::TokioIo;
use rustix::io::Errno;
use snafu::Snafu;
use tokio::{net::TcpStream, time::timeout};

use crate::runtime;

/// Maximum size of one event in bytes; reading a larger one fails.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Size of the read buffer of a connection in bytes. The head of an answer must fit into it.
const BUFFER_BYTES: usize = 32 << 10;

/// Request to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request<'a> {
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Headers except `Host`, `Content-Length` and `Connection`, which the client sets.
    pub headers: &'a [(&'a str, &'a str)],
    /// Body.
    pub body: &'a [u8],
}

/// Time limits of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Time limit for connecting.
    pub connect: Duration,
    /// Time limit for the complete response head, connecting included.
    pub head: Duration,
    /// Maximum wait for the next bytes of the body, or for the next complete event.
    pub gap: Duration,
}

impl Timeouts {
    /// Returns the same limit for each step, for calls that are answered without delay.
    pub fn all(bound: Duration) -> Self {
        Self {
            connect: bound,
            head: bound,
            gap: bound,
        }
    }
}

/// Reason why no response head arrived.
#[derive(Debug, Snafu)]
#[snafu(display("{step} at {peer}: {source} (sent: {may_have_been_sent})"))]
pub struct SendError {
    /// Step that failed.
    pub step: &'static str,
    /// Address of the server.
    pub peer: SocketAddr,
    /// Whether any byte of the request may have been sent.
    pub may_have_been_sent: bool,
    /// Cause.
    pub source: io::Error,
}

impl SendError {
    /// Returns whether the failure is local to this process, for example a lack of descriptors, and is no
    /// evidence against the server.
    pub fn is_local(&self) -> bool {
        let errno = Errno::from_io_error(&self.source);
        let is_exhausted = matches!(
            errno,
            Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::ADDRNOTAVAIL)
        );
        !self.may_have_been_sent && (is_exhausted || self.step != "connect")
    }
}

/// Reason why a body could not be read further.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// Nothing arrived within the gap. Reading may continue.
    #[snafu(display("nothing from {peer} within {gap:?}"))]
    TimedOut {
        /// Address of the server.
        peer: SocketAddr,
        /// Limit that was exceeded.
        gap: Duration,
    },
    /// The connection ended before the end of the body.
    #[snafu(display("answer of {peer} was cut: {source}"))]
    Truncated {
        /// Address of the server.
        peer: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The body, or one event of it, is over the limit.
    #[snafu(display("answer of {peer} is over the limit of {limit} bytes"))]
    TooLarge {
        /// Address of the server.
        peer: SocketAddr,
        /// Limit in bytes.
        limit: usize,
    },
}

/// Response whose body is still being received. Dropping it closes the connection.
#[derive(Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Headers with lower-case names; values that are not text are omitted.
    pub headers: Vec<(String, String)>,
    peer: SocketAddr,
    gap: Duration,
    deadline: Option<Instant>,
    body: Incoming,
    buffer: Vec<u8>,
    connection: tokio::task::JoinHandle<()>,
}

impl Drop for Response {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

impl Response {
    /// Returns the value of the first header of a name, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Sets the limit of a single wait.
    pub fn set_gap(&mut self, gap: Duration) {
        self.gap = gap;
    }

    /// Sets a deadline for all further waits together. Without it, each byte that arrives prolongs the reading.
    pub fn set_deadline(&mut self, deadline: Instant) {
        self.deadline = Some(deadline);
    }

    /// Returns whether a complete body can be distinguished from one that was truncated by a closed connection.
    ///
    /// A body with neither a length nor chunks ends with the connection (RFC 9112, section 6.3).
    pub fn is_delimited(&self) -> bool {
        self.body.size_hint().exact().is_some() || self.header("transfer-encoding").is_some()
    }

    /// Returns the next bytes of the body, or `None` at its end.
    pub fn chunk(&mut self) -> Result<Option<Bytes>, ReadError> {
        self.chunk_until(Instant::now() + self.gap)
    }

    fn chunk_until(&mut self, until: Instant) -> Result<Option<Bytes>, ReadError> {
        let (peer, gap) = (self.peer, self.gap);
        let truncated = |source| ReadError::Truncated { peer, source };
        let runtime = runtime::shared().map_err(truncated)?;
        let until = self.deadline.map_or(until, |deadline| deadline.min(until));
        loop {
            let remaining = until.saturating_duration_since(Instant::now());
            // A timeout of zero would still return bytes that have arrived, without ever ending.
            if remaining.is_zero() {
                return Err(ReadError::TimedOut { peer, gap });
            }
            let body = &mut self.body;
            let next = runtime.block_on(async { timeout(remaining, body.frame()).await });
            match next {
                Err(_) => return Err(ReadError::TimedOut { peer, gap }),
                Ok(None) => return Ok(None),
                Ok(Some(Err(error))) => return Err(truncated(io::Error::other(error))),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Returns the data of the next server-sent event, or `None` at the end of the stream. A stream that ends inside an event
    /// has been truncated.
    ///
    /// The gap limits the whole wait: comments and parts of an event don't prolong it.
    pub fn event(&mut self) -> Result<Option<String>, ReadError> {
        let until = Instant::now() + self.gap;
        loop {
            if let Some(end) = find(&self.buffer, b"\n\n") {
                let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
                match event_data(&event) {
                    Some(data) => return Ok(Some(data)),
                    // A comment or an event without data.
                    None => continue,
                }
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(ReadError::TooLarge {
                    peer: self.peer,
                    limit: MAX_EVENT_BYTES,
                });
            }
            match self.chunk_until(until)? {
                Some(bytes) => self
                    .buffer
                    .extend(bytes.iter().filter(|byte| **byte != b'\r')),
                None if self.buffer.is_empty() => return Ok(None),
                None => {
                    return Err(ReadError::Truncated {
                        peer: self.peer,
                        source: io::ErrorKind::UnexpectedEof.into(),
                    });
                }
            }
        }
    }

    /// Returns the rest of the body. Fails if it has more than `limit` bytes.
    pub fn read_to_end(&mut self, limit: usize) -> Result<Vec<u8>, ReadError> {
        let mut content = std::mem::take(&mut self.buffer);
        while let Some(bytes) = self.chunk()? {
            if content.len() + bytes.len() > limit {
                return Err(ReadError::TooLarge {
                    peer: self.peer,
                    limit,
                });
            }
            content.extend_from_slice(&bytes);
        }
        Ok(content)
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// Returns the data lines of an event, joined by line breaks.
fn event_data(event: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(event);
    let lines = text.lines().filter_map(|line| line.strip_prefix("data:"));
    let lines: Vec<&str> = lines
        .map(|line| line.strip_prefix(' ').unwrap_or(line))
        .collect();
    (!lines.is_empty()).then(|| lines.join("\n"))
}

fn build_request(
    peer: SocketAddr,
    request: &Request<'_>,
) -> io::Result<hyper::Request<Full<Bytes>>> {
    let mut builder = hyper::Request::builder()
        .method(request.method)
        .uri(request.target);
    builder = builder.header("host", peer.to_string());
    for (name, value) in request.headers {
        builder = builder.header(*name, *value);
    }
    builder
        .body(Full::new(Bytes::copy_from_slice(request.body)))
        .map_err(io::Error::other)
}

fn timed_out() -> io::Error {
    io::ErrorKind::TimedOut.into()
}

/// Sends a request and waits for the response head.
pub fn send(
    peer: SocketAddr,
    request: &Request<'_>,
    timeouts: &Timeouts,
) -> Result<Response, SendError> {
    let fail = |step, may_have_been_sent| {
        move |source| SendError {
            step,
            peer,
            may_have_been_sent,
            source,
        }
    };
    let request = build_request(peer, request).map_err(fail("build", false))?;
    let runtime = runtime::shared().map_err(fail("runtime", false))?;
    let started = Instant::now();
    runtime.block_on(async {
        let stream = timeout(timeouts.connect, TcpStream::connect(peer)).await;
        let stream = stream.unwrap_or_else(|_| Err(timed_out()));
        let stream = stream.map_err(fail("connect", false))?;
        let _ = stream.set_nodelay(true);
        let (mut sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| fail("connect", false)(io::Error::other(error)))?;
        let connection = tokio::spawn(async move {
            // Errors of the connection are reported by the response as well.
            let _ = connection.await;
        });
        let remaining = timeouts.head.saturating_sub(started.elapsed());
        let answered = timeout(remaining, sender.send_request(request)).await;
        let answered = match answered {
            Ok(answered) => answered.map_err(io::Error::other),
            Err(_) => Err(timed_out()),
        };
        match answered {
            Ok(response) => Ok(build_response(peer, timeouts.gap, response, connection)),
            Err(error) => {
                connection.abort();
                Err(fail("send", true)(error))
            }
        }
    })
}

fn build_response(
    peer: SocketAddr,
    gap: Duration,
    response: hyper::Response<Incoming>,
    connection: tokio::task::JoinHandle<()>,
) -> Response {
    let (head, body) = response.into_parts();
    let headers = head.headers.iter().filter_map(|(name, value)| {
        Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
    });
    Response {
        status: head.status.as_u16(),
        headers: headers.collect(),
        peer,
        gap,
        deadline: None,
        body,
        buffer: Vec::new(),
        connection,
    }
}
