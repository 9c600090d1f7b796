//! One request and the answer to it.

use std::net::SocketAddr;

use snafu::Snafu;

use crate::{problem::Problem, response::Response};

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
    pub source: std::io::Error,
}

/// Request with the connection to answer on. One that is dropped unanswered answers 500.
#[derive(Debug)]
pub struct Exchange {
    peer: SocketAddr,
}

impl Exchange {
    /// Returns the method.
    pub fn method(&self) -> &str {
        ""
    }

    /// Returns the path, percent-decoded.
    pub fn path(&self) -> &str {
        ""
    }

    /// Returns the query as it was sent.
    pub fn query(&self) -> Option<&str> {
        None
    }

    /// Returns the path and query as they were sent, for forwarding.
    pub fn target(&self) -> &str {
        ""
    }

    /// Returns the headers in the order they were sent, with lower-case names.
    pub fn headers(&self) -> &[(String, String)] {
        &[]
    }

    /// Returns the first header of a name, in any case.
    pub fn header(&self, _name: &str) -> Option<&str> {
        None
    }

    /// Returns the address of the client.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Takes the body; it is empty when taken again.
    pub fn body(&mut self, _limit: usize) -> Result<Vec<u8>, BodyError> {
        Ok(Vec::new())
    }

    /// Takes the body as text.
    pub fn text(&mut self, _limit: usize) -> Result<String, BodyError> {
        Ok(String::new())
    }

    /// Returns whether the client has closed the connection.
    pub fn is_gone(&self) -> bool {
        false
    }

    /// Answers with a whole response.
    pub fn respond(self, _response: impl Into<Response>) -> Result<(), Gone> {
        Ok(())
    }

    /// Answers with a stream. The headers are sent at once.
    pub fn stream(self, _status: u16, _headers: &[(&str, &str)]) -> Result<Stream, Gone> {
        Ok(Stream { peer: self.peer })
    }
}

/// Streamed answer. One that is dropped before [`Stream::finish`] ends without the terminating
/// chunk, so the client sees that it was cut.
#[derive(Debug)]
pub struct Stream {
    peer: SocketAddr,
}

impl Stream {
    /// Sends one server-sent event at once; line breaks become further `data:` lines.
    pub fn event(&mut self, _data: &str) -> Result<(), Gone> {
        Ok(())
    }

    /// Sends bytes at once.
    pub fn write(&mut self, _bytes: &[u8]) -> Result<(), Gone> {
        Ok(())
    }

    /// Returns whether the client has closed the connection.
    pub fn is_gone(&self) -> bool {
        false
    }

    /// Returns the address of the client.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Marks the proper end.
    pub fn finish(self) -> Result<(), Gone> {
        Ok(())
    }
}
