//! HTTP server for callers.

use std::{cell::Cell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use http::Response;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{sleep, timeout},
};

use crate::{body::Body, forwarder::Forwarder, mapping::Mapping, supply::Supply};

/// Pause after a failed accept, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time after which unacknowledged bytes end a caller's connection.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after the close for which a connection without a request in progress stays open, so that a request that is on its
/// way, or has arrived but not been read, is answered.
const LAST_REQUEST_TIME: Duration = Duration::from_millis(300);

/// Maximum size of the buffer of a connection. Request heads must fit into it.
const BUFFER_BYTES: usize = 64 << 10;

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Maximum number of open connections. Further ones are closed unread.
    pub connections: usize,
    /// Maximum idle time between two requests, with the time to receive the head of the second one, until the limits of
    /// the routes document are known.
    pub idle: Duration,
}

/// Phase of a server from start to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The server accepts connections and requests.
    Open,
    /// The server still accepts requests, but each response closes its connection.
    Closing,
    /// No connections are accepted beyond those that have been established already. Each connection is closed after its
    /// response, or if no request arrives within a short time.
    Closed,
}

/// Server that accepts the connections of callers.
pub struct Server {
    phase: watch::Sender<Phase>,
    open: Rc<Cell<usize>>,
}

impl Server {
    /// Starts to accept connections.
    pub fn start<M: Mapping, S: Supply>(
        listener: TcpListener,
        bounds: Bounds,
        forwarder: Rc<Forwarder<M, S>>,
    ) -> Self {
        let (phase, watched) = watch::channel(Phase::Open);
        let open = Rc::new(Cell::new(0));
        tokio::task::spawn_local(accept(
            listener,
            bounds,
            forwarder,
            watched,
            Rc::clone(&open),
        ));
        Self { phase, open }
    }

    /// Changes the phase.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.open.get()
    }
}

async fn accept<M: Mapping, S: Supply>(
    listener: TcpListener,
    bounds: Bounds,
    forwarder: Rc<Forwarder<M, S>>,
    mut phase: watch::Receiver<Phase>,
    open: Rc<Cell<usize>>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            closed = phase.wait_for(|phase| *phase == Phase::Closed) => {
                // An error means that the server was dropped.
                let _ = closed;
                break;
            }
        };
        match accepted {
            Ok((stream, peer)) => start(stream, peer, bounds, &forwarder, &phase, &open),
            Err(error) => {
                log::warn!(step = "accept"; "accepting a connection of a caller failed, retrying: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // Callers whose connections wait to be accepted may have sent requests on them.
    while let Ok(Ok((stream, peer))) = timeout(Duration::ZERO, listener.accept()).await {
        start(stream, peer, bounds, &forwarder, &phase, &open);
    }
}

/// Starts to serve an accepted connection, unless too many are open.
fn start<M: Mapping, S: Supply>(
    stream: TcpStream,
    peer: SocketAddr,
    bounds: Bounds,
    forwarder: &Rc<Forwarder<M, S>>,
    phase: &watch::Receiver<Phase>,
    open: &Rc<Cell<usize>>,
) {
    if open.get() >= bounds.connections {
        log::warn!(step = "accept", peer:% = peer, connections = open.get(); "connection of a caller closed: too many connections are open");
        return;
    }
    open.set(open.get() + 1);
    let connection = serve(stream, peer, bounds, Rc::clone(forwarder), phase.clone());
    let open = Rc::clone(open);
    tokio::task::spawn_local(async move {
        connection.await;
        open.set(open.get() - 1);
    });
}

async fn serve<M: Mapping, S: Supply>(
    stream: TcpStream,
    peer: SocketAddr,
    bounds: Bounds,
    forwarder: Rc<Forwarder<M, S>>,
    mut phase: watch::Receiver<Phase>,
) {
    let options = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT)));
    if let Err(error) = options {
        log::debug!(step = "accept", peer:% = peer; "setting the options of a caller's connection failed, serving it anyway: {error}");
    }
    let watched = phase.clone();
    let limits = forwarder.state.borrow().routes();
    let idle = limits.map_or(bounds.idle, |routes| {
        // Callers may use a connection again up to this time, and then take the time of a head to do it.
        routes.document.limits.idle + routes.document.limits.head_time
    });
    let service = service_fn(move |request| {
        let forwarder = Rc::clone(&forwarder);
        let watched = watched.clone();
        async move {
            let mut response: Response<Body> = forwarder.serve(request).await;
            if *watched.borrow() != Phase::Open {
                let close = http::HeaderValue::from_static("close");
                response
                    .headers_mut()
                    .insert(http::header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle)
            .max_buf_size(BUFFER_BYTES)
            .serve_connection(TokioIo::new(stream), service)
    );
    let result = tokio::select! {
        result = connection.as_mut() => result,
        closed = phase.wait_for(|phase| *phase == Phase::Closed) => {
            // An error means that the server was dropped.
            drop(closed);
            if let Ok(result) = timeout(LAST_REQUEST_TIME, connection.as_mut()).await {
                result
            } else {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    if let Err(error) = result {
        log::debug!(step = "serve", peer:% = peer; "connection of a caller failed: {error}");
    }
}
