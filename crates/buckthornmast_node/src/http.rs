//! Small HTTP servers: readiness, metrics, and calls of targets and operators.

use std::{
    future::{Future, pending},
    rc::Rc,
    time::Duration,
};

use buckthornmast_forward::{
    connection::{self, Limits},
    places::{Place, Places},
    receive::{Fault, Intake},
};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::sleep,
};

/// Time limit for the arrival of the head of a request, including the idle time since the previous one. Targets announce
/// themselves every second or two, and thousands of connections that they no longer use would fill the memory.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Time limit for the arrival of the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest body in bytes, enough for a document of a few thousand routes.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// Largest memory for the bodies of all requests of a server that are being received, in bytes.
const MAX_BODIES_BYTES: usize = 32 << 20;

/// The memory of an instance of the core divided by this is for bodies of requests. Most of it is for its connections to
/// entry instances and what it knows of targets.
const BODIES_DIVISOR: usize = 8;

/// Size of the buffer of a connection in bytes. The head of a request must fit into it.
const BUFFER_BYTES: usize = 32 << 10;

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Returns the memory for the bodies of requests to an instance with this memory, in bytes.
pub fn bodies_bytes(memory: usize) -> usize {
    (memory / BODIES_DIVISOR).min(MAX_BODIES_BYTES)
}

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

/// Serves the connections of a listener until the returned server is dropped. At most so many are open at a time, and
/// their bodies share the memory of an intake.
pub fn start<H: Handler>(
    listener: TcpListener,
    handler: Rc<H>,
    connections: usize,
    intake: Rc<Intake>,
) -> Server {
    let places = Places::new(connections);
    Server(tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    let Some(place) = places.take(|| intake.evict_slowest()) else {
                        log::warn!(step = "accept", peer:% = peer, connections = places.open(); "connection closed: too many connections are open");
                        continue;
                    };
                    let _ = stream.set_nodelay(true);
                    let (handler, intake) = (Rc::clone(&handler), Rc::clone(&intake));
                    tokio::task::spawn_local(serve(stream, place, handler, intake));
                }
                Err(error) => {
                    log::warn!(step = "accept"; "accepting an HTTP connection failed, retrying: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }))
}

async fn serve<H: Handler>(stream: TcpStream, place: Place, handler: Rc<H>, intake: Rc<Intake>) {
    let answer = |request: Request<Incoming>| {
        let (handler, intake) = (Rc::clone(&handler), Rc::clone(&intake));
        async move {
            let response = match collect(request, &intake).await {
                Ok(request) => handler.answer(request).await,
                Err(fault) => fault.response(),
            };
            response.map(Full::new)
        }
    };
    let limits = Limits {
        head_time: IDLE_TIMEOUT,
        buffer: BUFFER_BYTES,
    };
    let served = connection::serve(stream, place, limits, pending(), answer).await;
    if let Err(error) = served {
        log::debug!(step = "serve"; "HTTP connection ended with an error: {error}");
    }
}

async fn collect(request: Request<Incoming>, intake: &Intake) -> Result<Request<Bytes>, Fault> {
    let (parts, body) = request.into_parts();
    let body = intake.receive(body, MAX_BODY_BYTES, BODY_TIMEOUT).await;
    let body = body.inspect_err(|fault| {
        log::info!(step = "receive", path:% = parts.uri.path(), status = fault.status().as_u16(); "receiving the body of a call failed, refusing the call: {}", fault.as_str());
    })?;
    Ok(Request::from_parts(parts, body))
}
