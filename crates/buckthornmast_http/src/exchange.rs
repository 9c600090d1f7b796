//! One request and the answer to it.

use std::{io, net::SocketAddr};

use buckthornmast_types::prelude::*;
use snafu::Snafu;

use crate::{
    head::Head,
    link::{self, Link},
    problem::Problem,
    response::Response,
};

/// Reason why a body is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The body is over the limit.
    #[snafu(display("the body has {len} bytes, over the limit of {limit}"))]
    TooLarge {
        /// Bytes of the body.
        len: usize,
        /// Limit in bytes.
        limit: usize,
    },
    /// The body is not UTF-8.
    #[snafu(display("the body is not UTF-8 at byte {at}"))]
    Utf8 {
        /// First byte that is not UTF-8.
        at: usize,
    },
}

impl From<BodyError> for Problem {
    fn from(error: BodyError) -> Self {
        let problem = match error {
            BodyError::TooLarge { .. } => Self::new(413, "body too large", "body"),
            BodyError::Utf8 { .. } => Self::new(400, "body is not UTF-8", "body"),
        };
        problem.detail(error.to_string())
    }
}

/// The client is gone, or did not take the answer in time.
#[derive(Debug, Snafu)]
#[snafu(display("client {peer} is gone: {source}"))]
pub struct Gone {
    /// Client.
    pub peer: SocketAddr,
    /// Cause.
    pub source: io::Error,
}

/// Request with the connection to answer on. One that is dropped unanswered answers 500.
#[derive(Debug)]
pub struct Exchange {
    head: Box<Head>,
    body: Vec<u8>,
    peer: SocketAddr,
    link: Option<Link>,
}

impl Exchange {
    pub(crate) fn new(head: Box<Head>, body: Vec<u8>, link: Link) -> Self {
        Self {
            head,
            body,
            peer: link.peer,
            link: Some(link),
        }
    }

    /// Returns the method.
    pub fn method(&self) -> &str {
        &self.head.method
    }

    /// Returns the path, percent-decoded and without dot segments.
    pub fn path(&self) -> &str {
        &self.head.path
    }

    /// Returns the query as it was sent.
    pub fn query(&self) -> Option<&str> {
        self.head.query()
    }

    /// Returns the path and query as they were sent, for forwarding.
    pub fn target(&self) -> &str {
        &self.head.target
    }

    /// Returns the headers in the order they were sent, with lower-case names.
    pub fn headers(&self) -> &[(String, String)] {
        &self.head.headers
    }

    /// Returns the first header of a name, in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name)
    }

    /// Returns the address of the client.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Takes the body; it is empty when taken again.
    ///
    /// The server has received it before the handler was called, within its own limit, so this neither
    /// blocks nor finds it truncated.
    pub fn body(&mut self, limit: usize) -> Result<Vec<u8>, BodyError> {
        let len = self.body.len();
        if len > limit {
            return Err(BodyError::TooLarge { len, limit });
        }
        Ok(std::mem::take(&mut self.body))
    }

    /// Takes the body as text.
    pub fn text(&mut self, limit: usize) -> Result<String, BodyError> {
        String::from_utf8(self.body(limit)?).map_err(|error| BodyError::Utf8 {
            at: error.utf8_error().valid_up_to(),
        })
    }

    /// Returns whether the client has closed the connection or its writing side of it.
    pub fn is_gone(&self) -> bool {
        self.link.as_ref().is_none_or(Link::is_gone)
    }

    fn take(&mut self) -> Result<Link, Gone> {
        let source = io::ErrorKind::NotConnected.into();
        let peer = self.peer;
        self.link.take().ok_or(Gone { peer, source })
    }

    /// Answers with a whole response.
    pub fn respond(mut self, response: impl Into<Response>) -> Result<(), Gone> {
        self.answer(&response.into())
    }

    fn answer(&mut self, response: &Response) -> Result<(), Gone> {
        let link = self.take()?;
        let keep_alive = self.head.keep_alive && !link.is_stopping();
        let bytes = link::whole(response, Some(&self.head), keep_alive);
        link.write(&bytes).map_err(|source| Gone {
            peer: self.peer,
            source,
        })?;
        link.release(keep_alive);
        Ok(())
    }

    /// Answers with a stream. The headers are sent at once.
    pub fn stream(mut self, status: u16, headers: &[(&str, &str)]) -> Result<Stream, Gone> {
        let link = self.take()?;
        let coding = if self.head.method == "HEAD" {
            Coding::Discard
        } else if self.head.http10 {
            Coding::Raw
        } else {
            Coding::Chunked
        };
        let keep_alive = self.head.keep_alive && !link.is_stopping();
        let mut out = link::start_head(status, keep_alive);
        link::push_headers(&mut out, headers.iter().copied());
        if coding == Coding::Chunked {
            out.extend_from_slice(b"Transfer-Encoding: chunked\r\n");
        }
        out.extend_from_slice(b"\r\n");
        let stream = Stream {
            link: Some(link),
            coding,
            keep_alive,
            peer: self.peer,
        };
        stream.send(&out)?;
        Ok(stream)
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if self.link.is_some() {
            let problem = Problem::new(500, "no answer from the handler", "handler");
            let _ = self.answer(&problem.run(Run::Unknown).into());
        }
    }
}

/// How the bytes of a stream are marked out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Coding {
    Chunked,
    /// HTTP/1.0 has no chunks: the close is the end, so a cut stream is reset instead.
    Raw,
    /// An answer to HEAD has no body.
    Discard,
}

/// Streamed answer. One that is dropped before [`Stream::finish`] ends without the terminating
/// chunk, so the client sees that it was cut.
#[derive(Debug)]
pub struct Stream {
    link: Option<Link>,
    coding: Coding,
    keep_alive: bool,
    peer: SocketAddr,
}

impl Stream {
    fn send(&self, bytes: &[u8]) -> Result<(), Gone> {
        let sent = match &self.link {
            Some(link) => link.write(bytes),
            None => Err(io::ErrorKind::NotConnected.into()),
        };
        sent.map_err(|source| Gone {
            peer: self.peer,
            source,
        })
    }

    /// Sends one server-sent event at once; line breaks become further `data:` lines.
    pub fn event(&mut self, data: &str) -> Result<(), Gone> {
        let mut event = String::with_capacity(data.len() + 8);
        // A carriage return is a line break in this format as well.
        for line in data.replace("\r\n", "\n").split(['\n', '\r']) {
            event.push_str("data: ");
            event.push_str(line);
            event.push('\n');
        }
        event.push('\n');
        self.write(event.as_bytes())
    }

    /// Sends bytes at once.
    pub fn write(&mut self, bytes: &[u8]) -> Result<(), Gone> {
        match self.coding {
            // An empty chunk would be the terminating one.
            _ if bytes.is_empty() => Ok(()),
            Coding::Discard => Ok(()),
            Coding::Raw => self.send(bytes),
            Coding::Chunked => {
                let mut out = format!("{:x}\r\n", bytes.len()).into_bytes();
                out.extend_from_slice(bytes);
                out.extend_from_slice(b"\r\n");
                self.send(&out)
            }
        }
    }

    /// Returns whether the client has closed the connection or its writing side of it.
    pub fn is_gone(&self) -> bool {
        self.link.as_ref().is_none_or(Link::is_gone)
    }

    /// Returns the address of the client.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Marks the proper end.
    pub fn finish(mut self) -> Result<(), Gone> {
        if self.coding == Coding::Chunked {
            self.send(b"0\r\n\r\n")?;
        }
        if let Some(link) = self.link.take() {
            link.release(self.keep_alive);
        }
        Ok(())
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if self.coding == Coding::Raw
            && let Some(link) = self.link.take()
        {
            link.reset();
        }
    }
}
