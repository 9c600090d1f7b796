//! Body of a response to a caller.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use smallvec::SmallVec;
use snafu::Snafu;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::memory::{Memory, Share};

/// Number of parts that wait for a slow caller before reading from the target pauses.
const MAX_WAITING_PARTS: usize = 64;

/// Number of bytes that wait for a slow caller before reading from the target pauses. One larger part may wait alone.
const MAX_WAITING_BYTES: u32 = 64 << 10;

/// Error that ends a response early. It closes the connection, so that the response doesn't look complete.
#[derive(Debug, Clone, Copy, Snafu)]
#[snafu(display("the answer failed and could not be resumed at another target"))]
pub struct Error;

/// Error that the caller has disconnected.
#[derive(Debug, Clone, Copy, Snafu)]
#[snafu(display("the caller disconnected"))]
pub struct Disconnected;

/// Part of a body that waits for the caller.
#[derive(Debug)]
struct Part {
    bytes: Bytes,
    _room: OwnedSemaphorePermit,
    _share: Share,
}

/// Sender of the parts of a body.
#[derive(Debug)]
pub struct Sender {
    // `None` is the end of the body.
    parts: mpsc::Sender<Option<Part>>,
    room: Arc<Semaphore>,
    memory: Memory,
}

impl Sender {
    /// Sends a part once the caller has read enough of the former ones, or all of them if there is no memory for more.
    pub async fn send(&self, bytes: Bytes) -> Result<(), Disconnected> {
        let wanted = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        let mut room = self.reserve(wanted.min(MAX_WAITING_BYTES)).await?;
        let mut share = self.memory.share();
        if !share.draw(bytes.len(), 0) {
            metrics::counter!("buckthornmast_parts_without_memory_total").increment(1);
            drop(room);
            room = self.reserve(MAX_WAITING_BYTES).await?;
        }
        let part = Part {
            bytes,
            _room: room,
            _share: share,
        };
        self.parts.send(Some(part)).await.map_err(|_| Disconnected)
    }

    /// Waits until this number of bytes is free.
    async fn reserve(&self, bytes: u32) -> Result<OwnedSemaphorePermit, Disconnected> {
        let room = Arc::clone(&self.room).acquire_many_owned(bytes);
        room.await.map_err(|_| Disconnected)
    }

    /// Ends a body that is complete.
    pub async fn end(self) -> Result<(), Disconnected> {
        self.parts.send(None).await.map_err(|_| Disconnected)
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.parts.closed().await;
    }
}

/// Receiver of the parts of a body.
#[derive(Debug)]
pub struct Receiver(mpsc::Receiver<Option<Part>>);

/// Returns the two ends of a body that is sent as it arrives. Parts that wait for the caller draw from a memory.
pub fn channel(memory: &Memory) -> (Sender, Receiver) {
    let (parts, received) = mpsc::channel(MAX_WAITING_PARTS);
    let room = Arc::new(Semaphore::new(MAX_WAITING_BYTES as usize));
    let memory = memory.clone();
    let sender = Sender {
        parts,
        room,
        memory,
    };
    (sender, Receiver(received))
}

/// Response body.
#[derive(Debug)]
pub enum Body {
    /// Body that is there as a whole, in pieces, or none.
    Full(smallvec::IntoIter<[Bytes; 1]>),
    /// Events of a stream, or parts of a large answer, as they arrive. It fails if its sender is dropped before
    /// [`Sender::end`].
    Parts(Receiver),
}

impl Body {
    /// Returns a body that is sent at once.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = Some(bytes.into()).filter(|bytes: &Bytes| !bytes.is_empty());
        Self::Full(bytes.into_iter().collect::<SmallVec<_>>().into_iter())
    }
}

impl Default for Body {
    fn default() -> Self {
        Self::Full(SmallVec::new().into_iter())
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
            Self::Full(pieces) => Poll::Ready(pieces.next().map(|piece| Ok(Frame::data(piece)))),
            Self::Parts(Receiver(parts)) => parts.poll_recv(context).map(|part| match part {
                Some(Some(part)) => Some(Ok(Frame::data(part.bytes))),
                Some(None) => None,
                None => Some(Err(Error)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(pieces) if pieces.as_slice().is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(pieces) => {
                let pieces = pieces.as_slice().iter();
                SizeHint::with_exact(pieces.map(|piece| piece.len() as u64).sum())
            }
            Self::Parts(_) => SizeHint::default(),
        }
    }
}
