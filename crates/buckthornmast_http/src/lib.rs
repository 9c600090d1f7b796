//! Bounded HTTP/1.1 server and streaming client.
//!
//! # Server
//!
//! One thread accepts connections and reads requests without blocking, so a client that sends half a
//! request costs a descriptor and a buffer, never a thread. A request that has arrived whole is handed
//! to a worker thread, and [`server::Config`] bounds the workers, the connections, the bytes that wait
//! and the life of every connection in each of its states.
//!
//! # Client
//!
//! See [`client`].

pub mod client;
pub mod exchange;
pub mod problem;
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
