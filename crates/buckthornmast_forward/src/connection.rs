//! Serving of one connection of a client until it closes, has to give way or was refused.

use std::{
    cell::Cell,
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body::{Body, Frame, SizeHint};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpStream, time::timeout};

use crate::places::{Busy, EVICTION_TIME, Place};

/// Longest time for which the rest of a refused request is read and discarded, so that its client reads the answer before
/// the connection is reset.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Number of bytes that are discarded at most; a client that sends more may miss its answer.
const MAX_DISCARDED: usize = 8 << 20;

/// Size of the buffer of one read that is discarded, in bytes.
const DISCARD_BUFFER_BYTES: usize = 16 << 10;

/// Limits of a connection.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum idle time before a request, with the time to receive its head.
    pub head_time: Duration,
    /// Maximum size of the read buffer in bytes. Request heads must fit into it.
    pub buffer: usize,
}

/// Body of an answer with the request that it belongs to.
#[derive(Debug)]
pub struct Answer<B> {
    body: B,
    _busy: Busy,
}

impl<B: Body<Data = Bytes> + Unpin> Body for Answer<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Serves a connection. `stop` completes when it should close, after the answer to a request in progress.
pub async fn serve<B, F, A>(
    stream: TcpStream,
    place: Place,
    limits: Limits,
    stop: impl Future<Output = ()>,
    answer: F,
) -> Result<(), hyper::Error>
where
    F: Fn(Request<Incoming>) -> A,
    A: Future<Output = Response<B>>,
    B: Body<Data = Bytes> + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let place = Rc::new(place);
    let is_unread = Rc::new(Cell::new(false));
    let service = service_fn(|request: Request<Incoming>| {
        let busy = place.begin();
        let is_unread = Rc::clone(&is_unread);
        let has_body = !request.body().is_end_stream();
        let answered = answer(request);
        async move {
            let response = answered.await;
            is_unread.set(has_body && !response.status().is_success());
            Ok::<_, std::convert::Infallible>(response.map(|body| Answer { body, _busy: busy }))
        }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_time)
        .max_buf_size(limits.buffer)
        .serve_connection(TokioIo::new(stream), service);
    let mut stop = std::pin::pin!(stop);
    let mut is_stopping = false;
    let result = loop {
        // A request may have arrived before the connection has to give way.
        tokio::select! {
            biased;
            result = &mut connection => break result,
            () = place.evicted() => {
                if place.is_fresh() {
                    return Ok(());
                }
                Pin::new(&mut connection).graceful_shutdown();
                let closed = timeout(EVICTION_TIME, &mut connection).await;
                return closed.unwrap_or(Ok(()));
            }
            () = &mut stop, if !is_stopping => {
                is_stopping = true;
                Pin::new(&mut connection).graceful_shutdown();
            }
        }
    };
    let stream = connection.into_parts().io.into_inner();
    if result.is_ok() && is_unread.get() {
        // The time limit ends a client that sends without end.
        let _ = timeout(DISCARD_TIME, discard(&stream)).await;
    }
    result
}

/// Reads and discards what a client still sends, until it closes the connection.
async fn discard(stream: &TcpStream) {
    let mut discarded = 0;
    while discarded < MAX_DISCARDED && stream.readable().await.is_ok() {
        match read_discarded(stream) {
            Ok(0) => return,
            Ok(bytes) => discarded += bytes,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

/// Reads once, with a buffer that isn't a part of the future.
fn read_discarded(stream: &TcpStream) -> std::io::Result<usize> {
    stream.try_read(&mut [0; DISCARD_BUFFER_BYTES])
}
