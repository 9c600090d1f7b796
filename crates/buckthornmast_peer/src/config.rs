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
    /// Instance.
    pub instance: id::Instance,
    /// Address of its RPC server.
    pub address: SocketAddr,
    /// Label of the counters, such as `voter` or `remote`.
    pub kind: &'static str,
}

/// Bounds on time, memory and connections.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Longest time that the server keeps an exchange open while a handler runs.
    pub hold: Duration,
    /// Longest time that a connection may owe an answer before it is replaced; more than `hold`.
    pub silence: Duration,
    /// Time since the last answer after which an idle connection is pinged.
    pub ping: Duration,
    /// Idle time after which a connection is closed.
    pub idle: Duration,
    /// Longest time to establish a connection.
    pub connect: Duration,
    /// Time without a received byte after which the server closes a connection.
    pub quiet: Duration,
    /// Largest request, response or batch of notices in bytes of JSON.
    pub body: usize,
    /// Connections that the server accepts at once.
    pub connections: usize,
    /// Connections that a client opens to one peer at once.
    pub lanes: usize,
    /// Handler calls that run at once.
    pub calls: usize,
    /// Calls that wait for a handler at once; more are refused as not run.
    pub waiting: usize,
    /// Notices that wait for one peer; the oldest is dropped for a new one.
    pub notices: usize,
    /// Notices that are sent in one batch.
    pub batch: usize,
    /// Answers that are kept for clients that lost a connection.
    pub kept: usize,
    /// Bytes of answers that are kept.
    pub kept_bytes: usize,
    /// Worker threads of the runtime.
    pub threads: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            hold: Duration::from_millis(400),
            // A silent connection is noticed after `ping`, a third of it for the timer, and `silence`,
            // which together are 2 s.
            silence: Duration::from_millis(1200),
            ping: Duration::from_millis(600),
            // Pings take about 1 KB/s per connection, so idle ones are not kept for long.
            idle: Duration::from_secs(3),
            connect: Duration::from_millis(1000),
            quiet: Duration::from_secs(15),
            body: 8 << 20,
            connections: 2048,
            lanes: 32,
            calls: 64,
            waiting: 1024,
            notices: 4096,
            batch: 256,
            kept: 4096,
            kept_bytes: 16 << 20,
            threads: 2,
        }
    }
}

/// Configuration of one instance.
#[derive(Debug)]
pub struct Config {
    /// This instance.
    pub me: id::Instance,
    /// Cluster key.
    pub key: Key,
    /// Bound socket of the server.
    pub listener: TcpListener,
    /// Instances that are believed and called.
    pub peers: Vec<Peer>,
    /// Bounds.
    pub limits: Limits,
}
