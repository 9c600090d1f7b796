//! Connections between instances that carry frames both ways.
//!
//! A frame is a length followed by a message in postcard. Either end can push messages at any time, which calls with
//! one response can't do. The subscriptions of jsonrpsee could, but they need several times the bytes and the processor
//! time per message, on instances with a quarter of a core.
//!
//! Each connection has one task that reads and one that writes. Both end with the connection. An empty frame is a
//! heartbeat. A connection on which nothing has arrived for [`Timing::idle_timeout`] is closed, since something
//! on the path may have lost the state of this connection while new connections work.

pub mod error;

use std::{marker::PhantomData, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use serde::{Serialize, de::DeserializeOwned};
use snafu::ResultExt;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::AsyncWriteExt,
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    task::JoinHandle,
    time::timeout,
};
use tokio_util::codec::{Encoder, FramedRead, LengthDelimitedCodec};

use crate::error::{ConnectSnafu, Error, SocketSnafu};

/// Largest frame in bytes, with room to spare for a document of routes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// Maximum number of messages that wait in each direction. Sending fails if the outgoing queue is full, and reading
/// pauses while the incoming queue is full. A peer that falls further behind misses messages, and has to connect again.
pub const MAX_QUEUED_FRAMES: usize = 4096;

/// Number of zeros that stand for missing fields at the end of a message, one for each field at least.
const MISSING_BYTES: usize = 16;

/// Size in bytes from which a batch of frames is written.
const WRITE_BATCH_BYTES: usize = 64 << 10;

/// Intervals of a connection.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Time limit for establishing the connection.
    pub connect: Duration,
    /// Time without an outgoing frame after which a heartbeat is sent.
    pub heartbeat: Duration,
    /// Time without an incoming frame, or for a single write, after which the connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Timing {
    /// Returns intervals at which two heartbeats may be lost or late before a connection is closed.
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            heartbeat: Duration::from_millis(400),
            idle_timeout: Duration::from_millis(1500),
        }
    }
}

/// Encoded message. A message to many peers is encoded once, and its bytes are shared.
#[derive(Debug, Clone)]
pub struct Frame<M> {
    bytes: Bytes,
    message: PhantomData<fn() -> M>,
}

impl<M: Serialize> Frame<M> {
    /// Encodes a message. Returns `None` if it can't be encoded or exceeds [`MAX_FRAME_BYTES`], which is logged.
    pub fn encode(message: &M) -> Option<Self> {
        match postcard::to_stdvec(message) {
            Ok(bytes) if bytes.len() <= MAX_FRAME_BYTES => Some(Self {
                bytes: Bytes::from(bytes),
                message: PhantomData,
            }),
            Ok(bytes) => {
                log::error!(step = "encode", bytes = bytes.len(); "message exceeds the largest frame size, not sending it");
                None
            }
            Err(error) => {
                log::error!(step = "encode"; "encoding a message failed, not sending it: {error}");
                None
            }
        }
    }
}

/// Sending end of a connection. Clones send on the same connection.
#[derive(Debug)]
pub struct Outbox<M> {
    frames: flume::Sender<Frame<M>>,
}

impl<M> Clone for Outbox<M> {
    fn clone(&self) -> Self {
        Self {
            frames: self.frames.clone(),
        }
    }
}

impl<M> Outbox<M> {
    /// Sends an encoded message without blocking. Returns false if the connection has ended or its queue is full.
    pub fn send_frame(&self, frame: Frame<M>) -> bool {
        self.frames.try_send(frame).is_ok()
    }
}

impl<M: Serialize> Outbox<M> {
    /// Sends a message without blocking. Returns false if the connection has ended, its queue is full, or the message
    /// can't be encoded.
    pub fn send(&self, message: &M) -> bool {
        Frame::encode(message).is_some_and(|frame| self.send_frame(frame))
    }
}

/// Open connection. Dropping it closes the connection and ends its tasks.
#[derive(Debug)]
pub struct Link<In, Out> {
    /// Received messages. It is disconnected when the connection ends.
    pub inbox: flume::Receiver<In>,
    /// Sending end.
    pub outbox: Outbox<Out>,
    /// Address of the other end.
    pub peer: SocketAddr,
    tasks: [JoinHandle<()>; 2],
}

impl<In, Out> Drop for Link<In, Out> {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl<In, Out> Link<In, Out>
where
    In: DeserializeOwned + Send + 'static,
    Out: 'static,
{
    /// Opens a connection, for at most the time of [`Timing::connect`].
    pub async fn connect(address: SocketAddr, timing: Timing) -> Result<Self, Error> {
        let stream = timeout(timing.connect, TcpStream::connect(address)).await;
        let stream = stream
            .map_err(|_| Error::Timeout { peer: address })?
            .context(ConnectSnafu { peer: address })?;
        Self::start(stream, address, timing)
    }

    /// Starts the tasks of an accepted or established connection.
    pub fn start(stream: TcpStream, peer: SocketAddr, timing: Timing) -> Result<Self, Error> {
        configure(&stream, timing).context(SocketSnafu { peer })?;
        let (read, write) = stream.into_split();
        let (received, inbox) = flume::bounded(MAX_QUEUED_FRAMES);
        let (frames, queued) = flume::bounded(MAX_QUEUED_FRAMES);
        let reader = tokio::spawn(read_frames::<In>(read, peer, received, timing));
        let writer = tokio::spawn(write_frames::<Out>(write, peer, queued, timing));
        Ok(Self {
            inbox,
            outbox: Outbox { frames },
            peer,
            tasks: [reader, writer],
        })
    }
}

/// Sets the socket options of a connection, so that the kernel also ends it if the peer does not respond.
fn configure(stream: &TcpStream, timing: Timing) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(timing.idle_timeout))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(timing.idle_timeout))
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Decodes a message. What follows it is passed over, and fields that are missing at its end are read as zeros: so a build
/// reads the messages of one that knows more or fewer fields at the end.
fn decode<In: DeserializeOwned>(frame: &[u8]) -> postcard::Result<In> {
    match postcard::from_bytes(frame) {
        Err(postcard::Error::DeserializeUnexpectedEnd) => {
            let mut padded = frame.to_vec();
            padded.resize(frame.len() + MISSING_BYTES, 0);
            postcard::from_bytes(&padded)
        }
        result => result,
    }
}

async fn read_frames<In: DeserializeOwned>(
    read: OwnedReadHalf,
    peer: SocketAddr,
    received: flume::Sender<In>,
    timing: Timing,
) {
    let mut frames = FramedRead::new(read, codec());
    loop {
        let frame = match timeout(timing.idle_timeout, frames.next()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => {
                log::debug!(step = "read", peer:% = peer; "reading from the connection between instances failed, closing it: {error}");
                return;
            }
            Ok(None) => return,
            Err(_) => {
                log::info!(step = "read", peer:% = peer; "no frame arrived in time on the connection between instances; closing it");
                return;
            }
        };
        if frame.is_empty() {
            continue;
        }
        match decode(&frame) {
            Ok(message) => {
                if received.send_async(message).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                log::warn!(step = "decode", peer:% = peer; "decoding a frame failed, closing the connection: {error}");
                return;
            }
        }
    }
}

async fn write_frames<Out>(
    mut write: OwnedWriteHalf,
    peer: SocketAddr,
    queued: flume::Receiver<Frame<Out>>,
    timing: Timing,
) {
    let mut codec = codec();
    let mut buffer = BytesMut::new();
    loop {
        let frame = match timeout(timing.heartbeat, queued.recv_async()).await {
            Ok(Ok(frame)) => frame.bytes,
            Ok(Err(_)) => return,
            // An empty frame is a heartbeat.
            Err(_) => Bytes::new(),
        };
        buffer.clear();
        let more = queued.try_iter().map(|frame| frame.bytes);
        for frame in std::iter::once(frame).chain(more) {
            if let Err(error) = codec.encode(frame, &mut buffer) {
                log::error!(step = "encode", peer:% = peer; "framing a message failed, closing the connection: {error}");
                return;
            }
            if buffer.len() >= WRITE_BATCH_BYTES {
                break;
            }
        }
        match timeout(timing.idle_timeout, write.write_all(&buffer)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                log::debug!(step = "write", peer:% = peer; "writing to the connection between instances failed, closing it: {error}");
                return;
            }
            Err(_) => {
                log::info!(step = "write", peer:% = peer; "writing to the connection between instances timed out; closing it");
                return;
            }
        }
    }
}
