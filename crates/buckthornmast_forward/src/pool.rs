//! Pool of connections to targets.
//!
//! A connection carries one exchange at a time. The connection that has been idle for longest is used first: bytes
//! that a target sends after its answer then arrive while the connection is idle, which shows that they belong to no
//! request.

use std::{
    collections::{HashMap, VecDeque},
    io,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use buckthornmast_types::{id, time::Point};
use buckthornmast_way::way::Way;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rustix::io::Errno;
use snafu::Snafu;
use socket2::SockRef;
use tokio::{
    net::{TcpSocket, TcpStream},
    task::JoinHandle,
    time::timeout,
};

/// Maximum time to establish a connection. One lost packet delays it by a second, so another target is tried first.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which unacknowledged bytes end a connection, so that an unresponsive target is detected.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle timeout of a connection whose target announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Share of the idle timeout after which a connection is no longer used, in percent, since the target may be closing
/// it.
const USABLE_IDLE_PERCENT: u32 = 60;

/// Size of the read buffer of a connection in bytes. The head of an answer must fit into it.
const BUFFER_BYTES: usize = 32 << 10;

/// Connection to a target.
#[derive(Debug)]
pub struct Connection {
    /// Sender of requests.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether the connection has carried an exchange before.
    pub is_used: bool,
    /// Way through which the connection leads, if it isn't direct.
    pub way: Option<Rc<Way>>,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Error when opening a connection.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The target can't be reached.
    #[snafu(display("connecting to {peer}: {source}"))]
    Connect {
        /// Address.
        peer: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The target didn't answer in time.
    #[snafu(display("connecting to {peer}: no answer in time"))]
    Timeout {
        /// Address.
        peer: SocketAddr,
    },
    /// The connection can't be set up.
    #[snafu(display("setting up the connection to {peer}: {source}"))]
    Setup {
        /// Address.
        peer: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
}

impl Error {
    /// Returns whether nothing listens at the address, which means that the target is down.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source, .. } if source.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Returns whether this instance lacks descriptors, ports or memory, which says nothing about the target.
    pub fn is_local(&self) -> bool {
        let Self::Connect { source, .. } = self else {
            return false;
        };
        let errno = Errno::from_io_error(source);
        matches!(
            errno,
            Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::ADDRNOTAVAIL)
        )
    }
}

/// Opens a connection.
pub async fn connect(peer: SocketAddr) -> Result<Connection, Error> {
    let stream = open(peer, None, CONNECT_TIMEOUT).await?;
    start(stream, peer, None).await
}

/// Opens a stream to a target within a time limit. `source` is the address that it comes from, if it is set.
pub(crate) async fn open(
    peer: SocketAddr,
    source: Option<IpAddr>,
    limit: Duration,
) -> Result<TcpStream, Error> {
    let socket = if peer.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    };
    let socket = socket.map_err(|source| Error::Connect { peer, source })?;
    if let Some(source) = source {
        let bound = socket.bind(SocketAddr::new(source, 0));
        bound.map_err(|source| Error::Connect { peer, source })?;
    }
    let stream = timeout(limit, socket.connect(peer)).await;
    let stream = stream
        .map_err(|_| Error::Timeout { peer })?
        .map_err(|source| Error::Connect { peer, source })?;
    let options = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT)));
    if let Err(error) = options {
        log::warn!(step = "connect", peer:% = peer; "setting the options of a connection to a target failed, using it anyway: {error}");
    }
    Ok(stream)
}

/// Starts to use a stream to a target, which may lead through a way.
pub(crate) async fn start(
    stream: TcpStream,
    peer: SocketAddr,
    way: Option<Rc<Way>>,
) -> Result<Connection, Error> {
    let handshake = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, connection) = handshake.map_err(|source| Error::Setup { peer, source })?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!(step = "exchange", peer:% = peer; "connection to a target failed: {error}");
        }
    });
    metrics::counter!("buckthornmast_target_connections_total").increment(1);
    Ok(Connection {
        sender,
        is_used: false,
        way,
        task,
    })
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires: Point,
}

/// Idle connections of all targets.
#[derive(Debug, Default)]
pub struct Pool {
    idle: HashMap<(id::Target, id::Incarnation), VecDeque<Idle>>,
}

impl Pool {
    /// Removes and returns the connection that has been idle for longest.
    pub fn take(
        &mut self,
        target: &id::Target,
        incarnation: id::Incarnation,
        now: Point,
    ) -> Option<Connection> {
        let idle = self.idle.get_mut(&(target.clone(), incarnation))?;
        while let Some(first) = idle.pop_front() {
            if now < first.expires && first.connection.sender.is_ready() {
                return Some(first.connection);
            }
        }
        None
    }

    /// Adds a connection after a complete exchange, unless it leads through a way.
    pub fn put(
        &mut self,
        target: &id::Target,
        incarnation: id::Incarnation,
        mut connection: Connection,
        idle: Option<Duration>,
        now: Point,
    ) {
        // The statements of a target on a kept tunnel would come too late for the way, which can't read them.
        if connection.way.is_some() {
            return;
        }
        connection.is_used = true;
        let expires = now + idle.unwrap_or(DEFAULT_IDLE_TIMEOUT) * USABLE_IDLE_PERCENT / 100;
        let connections = self.idle.entry((target.clone(), incarnation)).or_default();
        connections.push_back(Idle {
            connection,
            expires,
        });
    }

    /// Closes connections that have been idle for too long.
    pub fn prune(&mut self, now: Point) {
        for idle in self.idle.values_mut() {
            idle.retain(|idle| now < idle.expires && !idle.connection.sender.is_closed());
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }
}
