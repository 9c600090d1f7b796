//! RPC between instances.
//!
//! Each instance runs one JSON-RPC server over HTTP and clients to the peers of its list. The tokio
//! runtime lives only in this crate: callers and handlers are plain threads.
//!
//! Calls do not depend on a particular connection. A call is identified by its nonce, and the server runs
//! each nonce once. An exchange over a connection is answered within [`config::Limits::long_poll_timeout`], with
//! the response or with the status that the call is still running, in which case the client polls. A
//! connection without an answer within [`config::Limits::exchange_timeout`] is replaced, and the same frame
//! is sent again over a new one; a second copy that arrives later is refused as replayed. Idle
//! connections are pinged. An unresponsive connection therefore delays only the calls on it, and never causes
//! a call to run twice.

mod client;
pub mod config;
mod driver;
pub mod error;
mod exchange;
pub mod handler;
mod message;
mod notice;
mod pool;
mod server;
mod session;
mod socket;
mod stats;

pub use crate::driver::{Client, Handle, start};

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        Client, Handle,
        config::{Config, Limits, Peer},
        error::{CallError, StartError, Step},
        handler::Handler,
        start,
    };
}
