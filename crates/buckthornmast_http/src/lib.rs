//! Bounded HTTP/1.1 server with blocking handlers, and a blocking client for streams.
//!
//! # Why hyper
//!
//! The house style names `tiny_http` and `minreq`. Both were tried and do not meet what this system
//! promises, so their nearest kin `hyper` stands behind the same narrow interface:
//!
//! - `tiny_http` can't close a connection under an answer. A stream whose target died would end
//!   without its terminating chunk only in theory: the client would wait for more until the
//!   connection times out, instead of seeing at once that the answer was cut.
//! - `tiny_http` ends its accept thread on any error, running out of descriptors among them, and a
//!   restarted server loses the requests of open connections.
//! - `tiny_http` gives each connection a thread and has no read timeout, so a client that sends one
//!   byte now and then holds a thread for ever.
//! - `minreq` bounds a whole request in whole seconds; a stream needs a bound on each gap.
//!
//! # Server
//!
//! A small runtime accepts connections and parses requests, so a half-open or slow client costs a
//! descriptor and a buffer, never a thread. A request that has arrived whole is handed to a worker
//! thread. [`server::Config`] bounds workers, connections, bodies and the time of each step.
//!
//! # Client
//!
//! See [`client`].

pub mod client;
pub mod exchange;
pub mod problem;
pub mod response;
mod runtime;
mod screen;
pub mod server;
mod waiting;
mod workers;

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
