//! One request and the answer to it.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::body::{Bytes, Frame};
use snafu::Snafu;
use tokio::sync::{Notify, mpsc, oneshot};

use crate::{account::Held, problem::Problem, response::Response};

/// Maximum number of events of a stream that are queued for the connection.
const STREAM_QUEUE_LEN: usize = 64;

/// Body of an answer as the connection sends it.
pub(crate) type Body = BoxBody<Bytes, io::Error>;

/// Answer as the connection sends it.
pub(crate) type Answer = hyper::Response<Body>;

/// Reason why a body is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The body is over the limit.
    #[snafu(display("the body has {len} bytes, over the limit of {limit}"))]
    TooLarge {
        /// Size of the body in bytes.
        len: usize,
        /// Limit in bytes.
        limit: usize,
    },
    /// The body is not UTF-8.
    #[snafu(display("the body is not UTF-8 at byte {at}"))]
    Utf8 {
        /// Offset of the first byte that is not UTF-8.
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

/// The client disconnected, or did not read the answer in time.
#[derive(Debug, Snafu)]
#[snafu(display("client {peer} disconnected or stopped reading: {source}"))]
pub struct DisconnectError {
    /// Address of the client.
    pub peer: SocketAddr,
    /// Cause.
    pub source: io::Error,
}

/// Request with the channel for its answer. If it is dropped unanswered, the server answers 500.
#[derive(Debug)]
pub struct Exchange {
    pub(crate) peer: SocketAddr,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) target: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    /// Memory of the body, which handlers may pass on for as long as the exchange lasts.
    pub(crate) _held: Held,
    pub(crate) write_timeout: Duration,
    pub(crate) runtime: tokio::runtime::Handle,
    pub(crate) answer: Option<oneshot::Sender<Answer>>,
    /// Set once the connection has ended or the client has closed it.
    pub(crate) closed: Arc<AtomicBool>,
    /// Closes the connection.
    pub(crate) close: Arc<Notify>,
}

impl Exchange {
    /// Returns the method.
    pub fn method(&self) -> &str {
        &self.method
    }

    /// Returns the path, percent-decoded.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns the query as received.
    pub fn query(&self) -> Option<&str> {
        self.target.split_once('?').map(|(_, query)| query)
    }

    /// Returns the path and query as received, for forwarding.
    pub fn target(&self) -> &str {
        &self.target
    }

    /// Returns the headers in the order received, with lower-case names.
    pub fn headers(&self) -> &[(String, String)] {
        &self.headers
    }

    /// Returns the value of the first header of a name, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the address of the client.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Takes the body, leaving an empty one behind. Fails if it has more than `limit` bytes.
    pub fn take_body(&mut self, limit: usize) -> Result<Vec<u8>, BodyError> {
        let len = self.body.len();
        if len > limit {
            return Err(BodyError::TooLarge { len, limit });
        }
        Ok(std::mem::take(&mut self.body))
    }

    /// Takes the body as text. Fails if it has more than `limit` bytes or is not UTF-8.
    pub fn take_text(&mut self, limit: usize) -> Result<String, BodyError> {
        let body = self.take_body(limit)?;
        String::from_utf8(body).map_err(|error| {
            let at = error.utf8_error().valid_up_to();
            BodyError::Utf8 { at }
        })
    }

    /// Returns whether the client has closed the connection.
    pub fn is_disconnected(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
            || self.answer.as_ref().is_some_and(oneshot::Sender::is_closed)
    }

    fn send(&mut self, answer: Answer) -> Result<(), DisconnectError> {
        let sent = self
            .answer
            .take()
            .is_some_and(|channel| channel.send(answer).is_ok());
        if sent {
            Ok(())
        } else {
            Err(disconnected(self.peer, io::ErrorKind::BrokenPipe))
        }
    }

    /// Answers with a complete response.
    pub fn respond(mut self, response: impl Into<Response>) -> Result<(), DisconnectError> {
        let answer = complete(response.into());
        self.send(answer)
    }

    /// Answers with a stream. The headers are sent without delay.
    pub fn stream(
        mut self,
        status: u16,
        headers: &[(&str, &str)],
    ) -> Result<Stream, DisconnectError> {
        let (frames, queue) = mpsc::channel(STREAM_QUEUE_LEN);
        let body = StreamBody::new(Queue {
            frames: queue,
            abort_timer: None,
        })
        .boxed();
        let pairs = headers.iter().map(|(name, value)| (*name, *value));
        self.send(
            response_head(status, pairs)
                .body(body)
                .unwrap_or_else(|_| internal_error()),
        )?;
        Ok(Stream {
            peer: self.peer,
            frames: Some(frames),
            runtime: self.runtime.clone(),
            write_timeout: self.write_timeout,
            closed: Arc::clone(&self.closed),
            close: Arc::clone(&self.close),
        })
    }
}

fn disconnected(peer: SocketAddr, kind: io::ErrorKind) -> DisconnectError {
    DisconnectError {
        peer,
        source: kind.into(),
    }
}

fn response_head<'a>(
    status: u16,
    headers: impl Iterator<Item = (&'a str, &'a str)>,
) -> hyper::http::response::Builder {
    let builder = hyper::Response::builder().status(status);
    headers.fold(builder, |builder, (name, value)| {
        // A line break would start another header.
        let value: String = value.chars().filter(|c| !c.is_control()).collect();
        builder.header(name, value)
    })
}

/// Returns the answer for a response whose status or headers can't be sent.
fn internal_error() -> Answer {
    let mut answer = hyper::Response::new(full_body(Vec::new()));
    *answer.status_mut() = hyper::StatusCode::INTERNAL_SERVER_ERROR;
    answer
}

fn full_body(body: Vec<u8>) -> Body {
    Full::new(Bytes::from(body))
        .map_err(|never| match never {})
        .boxed()
}

/// Converts a complete response.
pub(crate) fn complete(response: Response) -> Answer {
    let headers = response
        .headers
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_str()));
    let head = response_head(response.status, headers);
    head.body(full_body(response.body))
        .unwrap_or_else(|_| internal_error())
}

type FrameResult = Result<Frame<Bytes>, io::Error>;

/// Time for sending the last events of an unfinished answer before the connection is aborted, since `hyper` drops
/// buffered data when a body fails.
const ABORT_DELAY: Duration = Duration::from_millis(20);

/// Frames of a streamed body. Without the final `None` of [`Stream::finish`] the connection is aborted.
struct Queue {
    frames: mpsc::Receiver<Option<Bytes>>,
    abort_timer: Option<Pin<Box<tokio::time::Sleep>>>,
}

impl futures_core::Stream for Queue {
    type Item = FrameResult;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<FrameResult>> {
        if self.abort_timer.is_none() {
            match self.frames.poll_recv(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Some(bytes))) => {
                    return Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
                Poll::Ready(Some(None)) => return Poll::Ready(None),
                Poll::Ready(None) => {
                    self.abort_timer = Some(Box::pin(tokio::time::sleep(ABORT_DELAY)))
                }
            }
        }
        let wait = self
            .abort_timer
            .as_mut()
            .map(|timer| timer.as_mut().poll(context));
        if wait == Some(Poll::Pending) {
            return Poll::Pending;
        }
        Poll::Ready(Some(Err(io::Error::other("the answer was not finished"))))
    }
}

/// Streamed answer. If it is dropped before [`Stream::finish`], the connection is closed without the
/// terminating chunk, so the client sees that the answer was truncated.
#[derive(Debug)]
pub struct Stream {
    peer: SocketAddr,
    frames: Option<mpsc::Sender<Option<Bytes>>>,
    runtime: tokio::runtime::Handle,
    write_timeout: Duration,
    closed: Arc<AtomicBool>,
    close: Arc<Notify>,
}

impl Stream {
    /// Sends one server-sent event without delay; each line of the data becomes a `data:` line.
    pub fn event(&mut self, data: &str) -> Result<(), DisconnectError> {
        let mut text = String::with_capacity(data.len() + 8);
        for line in data.split('\n') {
            text.push_str("data: ");
            text.push_str(line.trim_end_matches('\r'));
            text.push('\n');
        }
        text.push('\n');
        self.send_frame(Some(Bytes::from(text)))
    }

    /// Sends bytes without delay.
    pub fn write(&mut self, bytes: &[u8]) -> Result<(), DisconnectError> {
        // An empty chunk would end the body.
        if bytes.is_empty() {
            Ok(())
        } else {
            self.send_frame(Some(Bytes::copy_from_slice(bytes)))
        }
    }

    fn send_frame(&mut self, frame: Option<Bytes>) -> Result<(), DisconnectError> {
        let Some(frames) = &self.frames else {
            return Err(disconnected(self.peer, io::ErrorKind::BrokenPipe));
        };
        let error = match frames.try_send(frame) {
            Ok(()) => return Ok(()),
            Err(mpsc::error::TrySendError::Closed(_)) => io::ErrorKind::BrokenPipe,
            Err(mpsc::error::TrySendError::Full(frame)) => {
                // The client is slow; the worker waits for it up to the write timeout.
                let send =
                    async { tokio::time::timeout(self.write_timeout, frames.send(frame)).await };
                match self.runtime.block_on(send) {
                    Ok(Ok(())) => return Ok(()),
                    Ok(Err(_)) => io::ErrorKind::BrokenPipe,
                    Err(_) => {
                        // The data buffered for this client will never be read.
                        self.close.notify_one();
                        io::ErrorKind::TimedOut
                    }
                }
            }
        };
        self.frames = None;
        Err(disconnected(self.peer, error))
    }

    /// Returns whether the client has closed the connection.
    pub fn is_disconnected(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
            || self.frames.as_ref().is_none_or(mpsc::Sender::is_closed)
    }

    /// Returns the address of the client.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Ends the answer, so that the client sees it as complete.
    pub fn finish(mut self) -> Result<(), DisconnectError> {
        self.send_frame(None)
    }
}
