//! Client for whole and streamed answers.
//!
//! `minreq` has one bound for the whole request, in whole seconds, and does not lend its socket, so a
//! bound on the gap between reads cannot be set with it. The client is therefore written on
//! `std::net::TcpStream`, whose read timeout is that bound, with `httparse` for the response head.
//! Each request uses a connection of its own: a reused connection that the peer has just closed
//! fails after bytes were written, which would leave it unknown whether the request was run.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use snafu::Snafu;

use crate::{chunk::Decoder, head};

/// Most bytes of a response head.
const HEAD_LIMIT: usize = 32 << 10;
const HEADER_LIMIT: usize = 100;
/// Most bytes of a server-sent event.
const EVENT_LIMIT: usize = 1 << 20;
/// Shortest socket timeout; zero is refused by the standard library.
const SHORTEST: Duration = Duration::from_millis(1);

/// Request to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request<'a> {
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Headers without `Host`, `Content-Length` and `Connection`, which the client sets.
    pub headers: &'a [(&'a str, &'a str)],
    /// Body.
    pub body: &'a [u8],
}

/// Bounds of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Time to connect.
    pub connect: Duration,
    /// Time to send the request.
    pub write: Duration,
    /// Time from the sent request to the whole response head.
    pub head: Duration,
    /// Longest gap between reads of the body.
    pub gap: Duration,
}

/// Reason why no response head arrived.
#[derive(Debug, Snafu)]
#[snafu(display("{step} at {peer}: {source} (sent: {sent})"))]
pub struct SendError {
    /// Step that failed.
    pub step: &'static str,
    /// Server.
    pub peer: SocketAddr,
    /// Whether any byte of the request may have been sent.
    pub sent: bool,
    /// Cause.
    pub source: io::Error,
}

/// Reason why a body could not be read further.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// Nothing arrived within the gap. Reading may go on.
    #[snafu(display("nothing from {peer} within {gap:?}"))]
    Gap {
        /// Server.
        peer: SocketAddr,
        /// Bound that was exceeded.
        gap: Duration,
    },
    /// The connection ended before the proper end of the body.
    #[snafu(display("answer of {peer} was cut: {source}"))]
    Cut {
        /// Server.
        peer: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The body, or one line of it, is over the limit.
    #[snafu(display("answer of {peer} is over the limit of {limit} bytes"))]
    TooLarge {
        /// Server.
        peer: SocketAddr,
        /// Limit in bytes.
        limit: usize,
    },
}

/// How the rest of the body is delimited.
#[derive(Debug)]
enum Rest {
    Length(u64),
    Chunked(Decoder),
    /// Without a length, the body ends with the connection.
    Close,
}

/// Response whose body is still being received. Dropping it closes the connection.
#[derive(Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Headers with lower-case names.
    pub headers: Vec<(String, String)>,
    stream: TcpStream,
    peer: SocketAddr,
    gap: Duration,
    rest: Rest,
    /// Bytes received and not yet decoded.
    raw: Vec<u8>,
    /// Bytes decoded and not yet part of a returned event.
    text: Vec<u8>,
}

impl Response {
    /// Returns the first header of a name, in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        head::find(&self.headers, name)
    }

    /// Returns the address of the server.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Changes the bound on the gap between reads; zero counts as 1 ms.
    pub fn set_gap(&mut self, gap: Duration) {
        self.gap = gap.max(SHORTEST);
    }

    fn cut(&self, kind: io::ErrorKind) -> ReadError {
        ReadError::Cut {
            peer: self.peer,
            source: kind.into(),
        }
    }

    /// Returns the next bytes of the body, or `None` at its proper end.
    pub fn chunk(&mut self) -> Result<Option<Vec<u8>>, ReadError> {
        if !self.text.is_empty() {
            return Ok(Some(std::mem::take(&mut self.text)));
        }
        loop {
            let mut out = Vec::new();
            let done = self.decode(&mut out)?;
            if !out.is_empty() {
                return Ok(Some(out));
            }
            if done || !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Decodes what has been received and returns whether the body is complete.
    fn decode(&mut self, out: &mut Vec<u8>) -> Result<bool, ReadError> {
        match &mut self.rest {
            Rest::Close => {
                out.append(&mut self.raw);
                Ok(false)
            }
            Rest::Length(left) => {
                let take =
                    usize::try_from(*left).map_or(self.raw.len(), |left| left.min(self.raw.len()));
                out.extend(self.raw.drain(..take));
                *left -= take as u64;
                Ok(*left == 0)
            }
            Rest::Chunked(decoder) => {
                let used = decoder.decode(&self.raw, out);
                let done = decoder.is_done();
                let used = used.map_err(|_| self.cut(io::ErrorKind::InvalidData))?;
                self.raw.drain(..used);
                Ok(done)
            }
        }
    }

    /// Receives more bytes. Returns `false` at the proper end of a body without a length.
    fn fill(&mut self) -> Result<bool, ReadError> {
        let cut = |source| ReadError::Cut {
            peer: self.peer,
            source,
        };
        // The timeout bounds each read, which is the gap.
        self.stream.set_read_timeout(Some(self.gap)).map_err(cut)?;
        match receive(&mut self.stream, &mut self.raw) {
            Ok(0) if matches!(self.rest, Rest::Close) => Ok(false),
            Ok(0) => Err(self.cut(io::ErrorKind::UnexpectedEof)),
            Ok(_) => Ok(true),
            Err(error) if is_timeout(&error) => Err(ReadError::Gap {
                peer: self.peer,
                gap: self.gap,
            }),
            Err(error) => Err(cut(error)),
        }
    }

    /// Returns the data of the next server-sent event, or `None` at the proper end of the stream.
    ///
    /// Fields other than `data` are ignored. An unfinished event at the end counts as cut.
    pub fn event(&mut self) -> Result<Option<String>, ReadError> {
        loop {
            while let Some(end) = event_end(&self.text) {
                let event: Vec<u8> = self.text.drain(..end).collect();
                if let Some(data) = event_data(&event).map_err(|kind| self.cut(kind))? {
                    return Ok(Some(data));
                }
            }
            if self.text.len() > EVENT_LIMIT {
                return Err(ReadError::TooLarge {
                    peer: self.peer,
                    limit: EVENT_LIMIT,
                });
            }
            let mut text = std::mem::take(&mut self.text);
            let more = self.chunk();
            if let Ok(Some(more)) = &more {
                text.extend_from_slice(more);
            }
            self.text = text;
            if more?.is_none() {
                if self.text.iter().any(|byte| !byte.is_ascii_whitespace()) {
                    return Err(self.cut(io::ErrorKind::UnexpectedEof));
                }
                return Ok(None);
            }
        }
    }

    /// Returns the rest of the body.
    pub fn whole(&mut self, limit: usize) -> Result<Vec<u8>, ReadError> {
        let mut body = Vec::new();
        while let Some(chunk) = self.chunk()? {
            body.extend_from_slice(&chunk);
            if body.len() > limit {
                let peer = self.peer;
                return Err(ReadError::TooLarge { peer, limit });
            }
        }
        Ok(body)
    }
}

/// Returns where the first event ends, behind its empty line.
fn event_end(text: &[u8]) -> Option<usize> {
    let mut start = 0;
    for (at, _) in text.iter().enumerate().filter(|(_, byte)| **byte == b'\n') {
        if text[start..at].trim_ascii().is_empty() {
            return Some(at + 1);
        }
        start = at + 1;
    }
    None
}

fn event_data(event: &[u8]) -> Result<Option<String>, io::ErrorKind> {
    let event = std::str::from_utf8(event).map_err(|_| io::ErrorKind::InvalidData)?;
    let lines = event.lines().filter_map(|line| line.strip_prefix("data:"));
    let data: Vec<&str> = lines
        .map(|line| line.strip_prefix(' ').unwrap_or(line))
        .collect();
    Ok((!data.is_empty()).then(|| data.join("\n")))
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

fn receive(stream: &mut TcpStream, into: &mut Vec<u8>) -> io::Result<usize> {
    let mut buffer = [0; 8 << 10];
    loop {
        match stream.read(&mut buffer) {
            Ok(read) => {
                into.extend_from_slice(&buffer[..read]);
                return Ok(read);
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
}

/// Returns the time left, or an error when there is none.
fn left(deadline: Instant) -> io::Result<Duration> {
    let left = deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(io::ErrorKind::TimedOut.into());
    }
    // Sockets take a timeout below their resolution for none at all.
    Ok(left.max(SHORTEST))
}

fn encode(peer: SocketAddr, request: &Request<'_>) -> io::Result<Vec<u8>> {
    let mut head = format!("{} {} HTTP/1.1\r\n", request.method, request.target);
    let len = request.body.len();
    let own = [
        ("Host", peer.to_string()),
        ("Content-Length", len.to_string()),
        ("Connection", "close".to_owned()),
    ];
    let own = own.iter().map(|(name, value)| (*name, value.as_str()));
    for (name, value) in own.chain(request.headers.iter().copied()) {
        // A line break would start another header or another request.
        if name
            .bytes()
            .chain(value.bytes())
            .any(|byte| byte.is_ascii_control())
        {
            return Err(io::ErrorKind::InvalidInput.into());
        }
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    let spaced = |text: &str| text.bytes().any(|byte| !byte.is_ascii_graphic());
    if spaced(request.method) || spaced(request.target) {
        return Err(io::ErrorKind::InvalidInput.into());
    }
    head.push_str("\r\n");
    let mut out = head.into_bytes();
    out.extend_from_slice(request.body);
    Ok(out)
}

/// Writes everything within a time. The second value says whether a byte may have left.
fn write(stream: &mut TcpStream, bytes: &[u8], timeout: Duration) -> (io::Result<()>, bool) {
    let deadline = Instant::now() + timeout;
    let mut rest = bytes;
    while !rest.is_empty() {
        let written = left(deadline)
            .and_then(|left| stream.set_write_timeout(Some(left)))
            .and_then(|()| stream.write(rest));
        match written {
            Ok(0) => {
                return (
                    Err(io::ErrorKind::WriteZero.into()),
                    rest.len() < bytes.len(),
                );
            }
            Ok(written) => rest = &rest[written..],
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            // A call that fails has taken nothing, so only earlier calls count.
            Err(error) => return (Err(error), rest.len() < bytes.len()),
        }
    }
    (Ok(()), true)
}

type Parsed = (u16, Vec<(String, String)>, usize);

fn parse(raw: &[u8]) -> io::Result<Option<Parsed>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADER_LIMIT];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(raw) {
        Ok(httparse::Status::Complete(len)) => {
            let headers = response.headers.iter().map(|header| {
                let value = String::from_utf8_lossy(header.value).into_owned();
                (header.name.to_ascii_lowercase(), value)
            });
            Ok(Some((response.code.unwrap_or(0), headers.collect(), len)))
        }
        Ok(httparse::Status::Partial) if raw.len() <= HEAD_LIMIT => Ok(None),
        Ok(httparse::Status::Partial) => Err(io::ErrorKind::InvalidData.into()),
        Err(error) => Err(io::Error::new(io::ErrorKind::InvalidData, error)),
    }
}

/// Receives a final response head; interim ones are skipped.
fn receive_head(
    stream: &mut TcpStream,
    raw: &mut Vec<u8>,
    timeout: Duration,
) -> io::Result<Parsed> {
    let deadline = Instant::now() + timeout;
    loop {
        match parse(raw)? {
            Some((100..=199, _, len)) => {
                raw.drain(..len);
            }
            Some((status, headers, len)) => {
                raw.drain(..len);
                return Ok((status, headers, len));
            }
            None => {
                stream.set_read_timeout(Some(left(deadline)?))?;
                if receive(stream, raw)? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
        }
    }
}

fn rest(method: &str, status: u16, headers: &[(String, String)]) -> io::Result<Rest> {
    if method == "HEAD" || matches!(status, 204 | 304) {
        return Ok(Rest::Length(0));
    }
    match head::find(headers, "transfer-encoding") {
        Some(coding) if coding.eq_ignore_ascii_case("chunked") => {
            return Ok(Rest::Chunked(Decoder::new()));
        }
        Some(_) => return Err(io::ErrorKind::InvalidData.into()),
        None => {}
    }
    match head::find(headers, "content-length") {
        Some(len) => match len.parse() {
            Ok(len) => Ok(Rest::Length(len)),
            Err(_) => Err(io::ErrorKind::InvalidData.into()),
        },
        None => Ok(Rest::Close),
    }
}

/// Sends a request and waits for the response head.
pub fn send(
    peer: SocketAddr,
    request: &Request<'_>,
    timeouts: &Timeouts,
) -> Result<Response, SendError> {
    let failed = |step, sent| {
        move |source| SendError {
            step,
            peer,
            sent,
            source,
        }
    };
    let bytes = encode(peer, request).map_err(failed("encode", false))?;
    let mut stream = TcpStream::connect_timeout(&peer, timeouts.connect.max(SHORTEST))
        .map_err(failed("connect", false))?;
    stream.set_nodelay(true).map_err(failed("connect", false))?;
    let (written, sent) = write(&mut stream, &bytes, timeouts.write);
    written.map_err(failed("write", sent))?;
    let mut raw = Vec::new();
    let (status, headers, _) =
        receive_head(&mut stream, &mut raw, timeouts.head).map_err(failed("head", true))?;
    let rest = rest(request.method, status, &headers).map_err(failed("head", true))?;
    Ok(Response {
        status,
        headers,
        stream,
        peer,
        gap: timeouts.gap.max(SHORTEST),
        rest,
        raw,
        text: Vec::new(),
    })
}
