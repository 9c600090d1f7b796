//! Bounded HTTP/1.1 server with blocking handlers, and a blocking client for streams.
//!
//! # Why hyper
//!
//! `tiny_http` and `minreq` are smaller, but don't meet the guarantees of this system, so `hyper` is used
//! behind an interface as narrow as theirs:
//!
//! - `tiny_http` can't close a connection while an answer is being sent. When the target of a stream fails,
//!   the client would not see the truncation at once; it would wait until the connection times out.
//! - `tiny_http` ends its accept thread on any error, including a lack of file descriptors, and a
//!   restarted server loses the requests of open connections.
//! - `tiny_http` uses one thread per connection and has no read timeout, so a client that sends single
//!   bytes at long intervals occupies a thread indefinitely.
//! - `minreq` has one timeout for a whole request, in whole seconds; a stream needs a timeout for each
//!   gap between two reads.
//!
//! # Server
//!
//! A small runtime accepts connections and parses requests, so a half-open or slow client costs a
//! descriptor and a buffer, but no thread. A request is passed to a worker thread once it has been received
//! completely. [`server::Config`] limits workers, connections, bodies and the time of each step.
//!
//! # Client
//!
//! See [`client`].

mod account;
pub mod client;
mod eviction;
pub mod exchange;
mod interceptor;
pub mod problem;
pub mod response;
mod runtime;
pub mod server;
mod workers;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        client,
        exchange::{BodyError, DisconnectError, Exchange, Stream},
        problem::Problem,
        response::Response,
        server::{self, Config, Handle},
    };
}
