//! Body of a response to a caller.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use snafu::Snafu;
use tokio::sync::mpsc;

/// Error that ends a response early. It closes the connection, so that the response doesn't look complete.
#[derive(Debug, Clone, Copy, Snafu)]
#[snafu(display("the stream failed and could not be resumed at another target"))]
pub struct Error;

/// Response body.
#[derive(Debug)]
pub enum Body {
    /// Body that is sent at once, or none.
    Full(Option<Bytes>),
    /// Stream as it arrives. It fails if its sender is dropped before [`Part::End`].
    Events(mpsc::Receiver<Part>),
}

/// Part of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// Whole events.
    Events(Bytes),
    /// The stream is complete.
    End,
}

impl Body {
    /// Returns a body that is sent at once.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()).filter(|bytes: &Bytes| !bytes.is_empty()))
    }
}

impl From<Infallible> for Error {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        match &mut *self {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Events(parts) => parts.poll_recv(context).map(|part| match part {
                Some(Part::Events(events)) => Some(Ok(Frame::data(events))),
                Some(Part::End) => None,
                None => Some(Err(Error)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Events(_) => SizeHint::default(),
        }
    }
}
