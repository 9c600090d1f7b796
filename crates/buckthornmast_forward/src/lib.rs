//! Forwarding of requests through an entry instance.
//!
//! One thread runs everything: each connection is a task, and state is shared by reference counting. This instance
//! owns a request from its first byte to its last, and no other process stores anything about it. The route decides
//! whether a request may be repeated; which bytes were sent to which target decides whether it may have run.
//!
//! When a caller disconnects, the task of its request is dropped. This closes the connection to the target, which
//! cancels the request there.

pub mod access;
pub mod admission;
pub mod advisory;
pub mod body;
pub mod brittle;
pub mod budget;
pub mod choice;
pub mod connection;
pub mod context;
pub mod continuation;
pub mod events;
pub mod exchange;
pub mod explain;
pub mod forwarder;
pub mod identity;
mod limit;
pub mod mapping;
pub mod memory;
mod origin;
pub mod places;
pub mod pool;
pub mod quarantine;
pub mod quota;
pub mod receive;
pub mod refusal;
pub mod refused;
pub mod selection;
pub mod server;
pub mod state;
pub mod stats;
pub mod stop;
pub mod stream;
pub mod supply;
pub mod transfer;
pub mod tunnel;
pub mod verdict;
pub mod wait_limit;
mod way;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        forwarder::Forwarder,
        mapping::{Answer, Generation, Head, Mapping, PromptPart, TargetHeaders},
        server::{Bounds, Server},
        state::State,
        supply::{Availability, Item, Supply},
    };
}
