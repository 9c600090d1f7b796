//! Configuration of the server and the clients.

use std::{
    net::{SocketAddr, TcpListener},
    time::Duration,
};

use buckthornmast_types::id;
use buckthornmast_wire::key::Key;

/// Instance that calls are exchanged with.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Name of the instance.
    pub instance: id::Instance,
    /// Address of its RPC server.
    pub address: SocketAddr,
    /// Label of the peer in the counters, such as `voter` or `other`.
    pub counter_label: &'static str,
}

/// Bounds on time, memory and connections.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Longest time that the server keeps an exchange open while a handler runs.
    pub long_poll_timeout: Duration,
    /// Longest time to wait for an answer over a connection before the connection is replaced; more than
    /// `long_poll_timeout`.
    pub exchange_timeout: Duration,
    /// Time since the last answer after which an idle connection is pinged.
    pub ping_interval: Duration,
    /// Idle time after which a connection is closed.
    pub idle_timeout: Duration,
    /// Longest time to establish a connection.
    pub connect_timeout: Duration,
    /// Time without a received byte after which the server closes a connection.
    pub server_idle_timeout: Duration,
    /// Largest request, response or batch of notices in bytes of JSON.
    pub max_body_bytes: usize,
    /// Maximum number of connections that the server keeps open; further ones are closed when they are accepted.
    pub max_connections: usize,
    /// Maximum number of connections that a client opens to one peer, separately for notices and for everything else.
    /// Further exchanges wait for one of them.
    pub max_connections_per_peer: usize,
    /// Maximum number of handler calls that run at once; further calls wait.
    pub max_running_calls: usize,
    /// Maximum number of calls that wait for a handler; further calls are refused without being run.
    pub max_waiting_calls: usize,
    /// Maximum number of notices queued for one peer; a new one replaces the oldest of a full queue.
    pub max_queued_notices: usize,
    /// Maximum number of notices in one batch.
    pub max_batch_notices: usize,
    /// Maximum number of answers kept for clients that lost a connection; beyond it, the oldest are dropped.
    pub max_kept_answers: usize,
    /// Maximum size of the kept answers in bytes; beyond it, the oldest are dropped.
    pub max_kept_bytes: usize,
    /// Worker threads of the runtime; at least one is started.
    pub worker_threads: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            long_poll_timeout: Duration::from_millis(400),
            // An unresponsive connection is detected after `ping_interval`, a third of it for the timer, and
            // `exchange_timeout`, which together are 2 s.
            exchange_timeout: Duration::from_millis(1200),
            ping_interval: Duration::from_millis(600),
            // Pings cost about 1 KB/s per connection, so idle connections are not kept for long.
            idle_timeout: Duration::from_secs(3),
            connect_timeout: Duration::from_millis(1000),
            server_idle_timeout: Duration::from_secs(15),
            max_body_bytes: 8 << 20,
            max_connections: 2048,
            max_connections_per_peer: 32,
            max_running_calls: 64,
            max_waiting_calls: 1024,
            max_queued_notices: 4096,
            max_batch_notices: 256,
            max_kept_answers: 4096,
            max_kept_bytes: 16 << 20,
            worker_threads: 2,
        }
    }
}

/// Configuration of one instance.
#[derive(Debug)]
pub struct Config {
    /// Name of this instance.
    pub me: id::Instance,
    /// Key of the cluster, which signs requests and answers.
    pub key: Key,
    /// Bound listener of the server.
    pub listener: TcpListener,
    /// Instances whose requests are accepted and that can be called.
    pub peers: Vec<Peer>,
    /// Bounds on time, memory and connections.
    pub limits: Limits,
}
