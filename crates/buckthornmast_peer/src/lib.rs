//! RPC between instances.
//!
//! Each instance runs one JSON-RPC server over HTTP and clients to the peers of its list. The tokio
//! runtime lives only in this crate: callers and handlers are plain threads.
//!
//! Calls and connections have separate lives. A call is identified by its nonce, and the server runs
//! each nonce once. An exchange over a connection is answered within [`config::Limits::hold`], with
//! the response or with the word that the call is still running, in which case the client polls. A
//! connection that gives no answer within [`config::Limits::silence`] is replaced, and the same frame
//! goes out again over a new one; a second copy that arrives later is refused as replayed. Idle
//! connections are pinged. So a silent connection delays only the calls on it, and never runs a call
//! twice.

mod client;
pub mod config;
mod driver;
pub mod error;
mod exchange;
pub mod handler;
mod lane;
mod message;
mod notice;
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
