//! Small HTTP servers: readiness, metrics, and calls of targets and operators.

use std::{convert::Infallible, future::Future, rc::Rc, time::Duration};

use buckthornmast_forward::memory::{Held, Memory};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpListener, task::JoinHandle, time::sleep};

/// Time limit for the arrival of the head of a request, including the idle time since the previous one. Targets announce
/// themselves every second or two, and thousands of connections that they no longer use would fill the memory.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Time limit for the arrival of the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest body in bytes, enough for a document of a few thousand routes.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// Memory for the bodies of all requests of a server that are being received, in bytes.
const BODIES_BYTES: usize = 32 << 20;

/// Size of the buffer of a connection in bytes. The head of a request must fit into it.
const BUFFER_BYTES: usize = 32 << 10;

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Handler of requests whose body has been read.
pub trait Handler: 'static {
    /// Answers a request.
    fn answer(&self, request: Request<Bytes>) -> impl Future<Output = Response<Bytes>>;
}

/// Running server. Dropping it stops accepting connections.
#[derive(Debug)]
pub struct Server(JoinHandle<()>);

impl Drop for Server {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Returns a response without a body.
pub fn empty_response(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}

/// Serves the connections of a listener until the returned server is dropped.
pub fn start<H: Handler>(listener: TcpListener, handler: Rc<H>) -> Server {
    let memory = Memory::new(BODIES_BYTES);
    Server(tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    let (handler, memory) = (Rc::clone(&handler), memory.clone());
                    tokio::task::spawn_local(serve(TokioIo::new(stream), handler, memory));
                }
                Err(error) => {
                    log::warn!(step = "accept"; "accepting an HTTP connection failed, retrying: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }))
}

async fn serve<H: Handler>(stream: TokioIo<tokio::net::TcpStream>, handler: Rc<H>, memory: Memory) {
    let service = service_fn(|request: Request<Incoming>| {
        let handler = Rc::clone(&handler);
        let memory = memory.clone();
        async move {
            let response = match collect(request, &memory).await {
                Ok(request) => handler.answer(request).await,
                Err(status) => empty_response(status),
            };
            Ok::<_, Infallible>(response.map(Full::new))
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(stream, service)
        .await;
    if let Err(error) = served {
        log::debug!(step = "serve"; "HTTP connection ended with an error: {error}");
    }
}

async fn collect(
    request: Request<Incoming>,
    memory: &Memory,
) -> Result<Request<Bytes>, StatusCode> {
    let (parts, body) = request.into_parts();
    let received = tokio::time::timeout(BODY_TIMEOUT, receive(body, memory)).await;
    let body = received.unwrap_or(Err(StatusCode::REQUEST_TIMEOUT));
    let body = body.inspect_err(|status| {
        log::info!(step = "receive", path:% = parts.uri.path(), status = status.as_u16(); "receiving the body of a call failed, refusing the call");
    })?;
    Ok(Request::from_parts(parts, body))
}

async fn receive(mut body: Incoming, memory: &Memory) -> Result<Bytes, StatusCode> {
    let mut held = Held::new(memory);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| StatusCode::BAD_REQUEST)?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if held.len() + bytes.len() > MAX_BODY_BYTES {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        // Another instance may have room.
        if !held.push(&bytes) {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
    }
    Ok(held.into_bytes())
}
