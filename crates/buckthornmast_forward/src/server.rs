//! HTTP server for callers.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    connection::{self, Limits},
    forwarder::Forwarder,
    mapping::Mapping,
    places::{Place, Places},
    supply::Supply,
};

/// Pause after a failed accept, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time after which unacknowledged bytes end a caller's connection.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after the close for which a connection without a request in progress stays open, so that a request that is on its
/// way, or has arrived but not been read, is answered.
const LAST_REQUEST_TIME: Duration = Duration::from_millis(300);

/// Smallest and largest size of the read buffer of a connection in bytes. The largest one is in force until the limits of
/// the routes document are known.
const BUFFER_BYTES: (usize, usize) = (16 << 10, 64 << 10);

/// Size of the read buffer in bytes beyond the limit on heads, since a head that fills the buffer is refused.
const BUFFER_RESERVE: usize = 4 << 10;

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Maximum number of open connections. Beyond it, one that waits for a request gives way, or the new one is closed
    /// unread.
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
    places: Rc<Places>,
}

impl Server {
    /// Starts to accept connections.
    pub fn start<M: Mapping, S: Supply>(
        listener: TcpListener,
        bounds: Bounds,
        forwarder: Rc<Forwarder<M, S>>,
    ) -> Self {
        let (phase, watched) = watch::channel(Phase::Open);
        let places = Places::new(bounds.connections);
        tokio::task::spawn_local(accept(
            listener,
            bounds,
            forwarder,
            watched,
            Rc::clone(&places),
        ));
        Self { phase, places }
    }

    /// Changes the phase.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.places.open()
    }
}

async fn accept<M: Mapping, S: Supply>(
    listener: TcpListener,
    bounds: Bounds,
    forwarder: Rc<Forwarder<M, S>>,
    mut phase: watch::Receiver<Phase>,
    places: Rc<Places>,
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
            Ok((stream, peer)) => start(stream, peer, bounds, &forwarder, &phase, &places),
            Err(error) => {
                log::warn!(step = "accept"; "accepting a connection of a caller failed, retrying: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // Callers whose connections wait to be accepted may have sent requests on them.
    while let Ok(Ok((stream, peer))) = timeout(Duration::ZERO, listener.accept()).await {
        start(stream, peer, bounds, &forwarder, &phase, &places);
    }
}

/// Starts to serve an accepted connection, unless too many are open and none of them gives way.
fn start<M: Mapping, S: Supply>(
    stream: TcpStream,
    peer: SocketAddr,
    bounds: Bounds,
    forwarder: &Rc<Forwarder<M, S>>,
    phase: &watch::Receiver<Phase>,
    places: &Rc<Places>,
) {
    let intake = Rc::clone(&forwarder.state.borrow().intake);
    let Some(place) = places.take(|| intake.evict_slowest()) else {
        log::warn!(step = "accept", peer:% = peer, connections = places.open(); "connection of a caller closed: too many connections are open");
        return;
    };
    let forwarder = Rc::clone(forwarder);
    tokio::task::spawn_local(serve(stream, peer, place, bounds, forwarder, phase.clone()));
}

async fn serve<M: Mapping, S: Supply>(
    stream: TcpStream,
    peer: SocketAddr,
    place: Place,
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
    let limits = limits.map(|routes| routes.document.limits);
    let (min_buffer, max_buffer) = BUFFER_BYTES;
    let limits = Limits {
        // Callers may use a connection again up to this time, and then take the time of a head to do it.
        head_time: limits.map_or(bounds.idle, |limits| limits.idle + limits.head_time),
        buffer: limits.map_or(max_buffer, |limits| {
            let buffer = limits.head.saturating_add(BUFFER_RESERVE);
            buffer.clamp(min_buffer, max_buffer)
        }),
    };
    let answer = |request| {
        let forwarder = Rc::clone(&forwarder);
        let watched = watched.clone();
        async move {
            let mut response = forwarder.serve(request).await;
            if *watched.borrow() != Phase::Open {
                let close = http::HeaderValue::from_static("close");
                response
                    .headers_mut()
                    .insert(http::header::CONNECTION, close);
            }
            response
        }
    };
    let stop = async {
        // An error means that the server was dropped.
        let _ = phase.wait_for(|phase| *phase == Phase::Closed).await;
        sleep(LAST_REQUEST_TIME).await;
    };
    let result = connection::serve(stream, place, limits, stop, answer).await;
    if let Err(error) = result {
        log::debug!(step = "serve", peer:% = peer; "connection of a caller failed: {error}");
    }
}
