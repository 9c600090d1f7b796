//! Writing side of a connection while a worker has it.

use std::{
    io::{self, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant, SystemTime},
};

use crate::{head::Head, response::Response};

/// Bytes that the client must take within the write timeout.
const WRITE_PART: usize = 64 << 10;

/// What becomes of a connection that a worker gives back.
#[derive(Debug)]
pub(crate) enum Return {
    /// It takes further requests; these bytes have already arrived.
    KeepAlive(TcpStream, SocketAddr, Vec<u8>),
    /// It is closed after the client has read the answer.
    Linger(TcpStream, SocketAddr),
    /// It is closed.
    Closed,
}

/// Way back to the thread that reads requests.
#[derive(Debug, Clone)]
pub(crate) struct Home {
    pub(crate) sender: flume::Sender<Return>,
    pub(crate) waker: Arc<mio::Waker>,
    pub(crate) stopping: Arc<AtomicBool>,
}

/// Connection of one exchange.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) stream: Option<TcpStream>,
    pub(crate) peer: SocketAddr,
    pub(crate) rest: Vec<u8>,
    pub(crate) home: Home,
    pub(crate) write_timeout: Duration,
}

impl Link {
    fn stream(&self) -> io::Result<&TcpStream> {
        self.stream
            .as_ref()
            .ok_or_else(|| io::ErrorKind::NotConnected.into())
    }

    /// Writes everything. The socket has the same write timeout for each call, so a client that takes
    /// a few bytes each time can stretch one part to twice the timeout at most.
    pub(crate) fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let mut stream = self.stream()?;
        for part in bytes.chunks(WRITE_PART) {
            let deadline = Instant::now() + self.write_timeout;
            let mut rest = part;
            while !rest.is_empty() {
                match stream.write(rest) {
                    Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                    Ok(written) => rest = &rest[written..],
                    Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                    Err(error) => return Err(error),
                }
                if !rest.is_empty() && Instant::now() > deadline {
                    return Err(io::ErrorKind::TimedOut.into());
                }
            }
        }
        Ok(())
    }

    /// Returns whether the client has closed its side or the connection has failed.
    pub(crate) fn is_gone(&self) -> bool {
        let Ok(stream) = self.stream() else {
            return true;
        };
        let mut byte = [0];
        let peeked = stream
            .set_nonblocking(true)
            .and_then(|()| stream.peek(&mut byte));
        let restored = stream.set_nonblocking(false);
        let gone = match peeked {
            Ok(read) => read == 0,
            Err(error) => !matches!(
                error.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
            ),
        };
        gone || restored.is_err()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.home.stopping.load(Ordering::Relaxed)
    }

    /// Gives the connection back after a complete answer.
    pub(crate) fn release(mut self, keep_alive: bool) {
        if let Some(stream) = self.stream.take() {
            let rest = std::mem::take(&mut self.rest);
            self.give_back(if keep_alive {
                Return::KeepAlive(stream, self.peer, rest)
            } else {
                Return::Linger(stream, self.peer)
            });
        }
    }

    /// Closes the connection with a reset, for answers whose end is the end of the connection.
    pub(crate) fn reset(self) {
        if let Some(stream) = &self.stream {
            let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }

    fn give_back(&self, what: Return) {
        // The reading thread outlives all links, except when its poll has failed to start.
        let _ = self.home.sender.send(what);
        let _ = self.home.waker.wake();
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        if let Some(stream) = self.stream.take() {
            let _ = stream.shutdown(Shutdown::Both);
            drop(stream);
            self.give_back(Return::Closed);
        }
    }
}

fn push_header(out: &mut Vec<u8>, name: &str, value: &str) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    // A line break in a value would let it start another header.
    out.extend(value.bytes().filter(|byte| !byte.is_ascii_control()));
    out.extend_from_slice(b"\r\n");
}

/// Returns the status line and the headers that every answer has.
pub(crate) fn start_head(status: u16, keep_alive: bool) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} {}\r\n", reason(status)).into_bytes();
    push_header(
        &mut out,
        "Date",
        &httpdate::fmt_http_date(SystemTime::now()),
    );
    if !keep_alive {
        push_header(&mut out, "Connection", "close");
    }
    out
}

/// Adds headers, except those that delimit the message.
pub(crate) fn push_headers<'a>(
    out: &mut Vec<u8>,
    headers: impl Iterator<Item = (&'a str, &'a str)>,
) {
    const OWN: [&str; 4] = ["connection", "content-length", "date", "transfer-encoding"];
    for (name, value) in headers {
        if !OWN.iter().any(|own| own.eq_ignore_ascii_case(name)) {
            push_header(out, name, value);
        }
    }
}

/// Returns the bytes of a whole response.
pub(crate) fn whole(response: &Response, head: Option<&Head>, keep_alive: bool) -> Vec<u8> {
    let mut out = start_head(response.status, keep_alive);
    let headers = response.headers.iter();
    push_headers(&mut out, headers.map(|(name, value)| (&**name, &**value)));
    let bodiless = matches!(response.status, 100..=199 | 204 | 304);
    if !bodiless {
        push_header(&mut out, "Content-Length", &response.body.len().to_string());
    }
    out.extend_from_slice(b"\r\n");
    if !bodiless && head.is_none_or(|head| head.method != "HEAD") {
        out.extend_from_slice(&response.body);
    }
    out
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
