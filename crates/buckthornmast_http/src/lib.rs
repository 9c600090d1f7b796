//! Bounded HTTP/1.1 server and streaming client.
//!
//! # Server
//!
//! One thread accepts connections and reads requests without blocking, so a client that sends half a
//! request costs a descriptor and a buffer, never a thread. A request that has arrived whole is handed
//! to a worker thread, and [`server::Config`] bounds the workers, the connections, the bytes that wait
//! and the life of every connection in each of its states.
//!
//! Running out of file descriptors does not end the server: it keeps a spare one, accepts the next
//! client with it and closes the connection that has waited longest.
//!
//! # Why not `tiny_http`
//!
//! `tiny_http` 0.12 reads each connection on a thread of its own without a read timeout, and does not
//! lend the socket before a request is complete. In a trial, 200 half-open clients held 202 threads and
//! 400 held 403, unchanged 20 s later. A receive timeout on the listening socket, the only socket within
//! reach, makes accept fail, and any error of accept (a lack of descriptors among them) ends its accept
//! thread for good. None of this can be bounded from outside, so the server is built on the parts that
//! remain: `httparse` for heads, `mio` for readiness, and threads for handlers.
//!
//! # Client
//!
//! See [`client`].

mod chunk;
pub mod client;
pub mod exchange;
mod head;
mod intake;
mod link;
mod pool;
pub mod problem;
mod reactor;
pub mod response;
pub mod server;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        client,
        exchange::{BodyError, Exchange, Gone, Stream},
        problem::Problem,
        response::Response,
        server::{self, Config, Handle},
    };
}
