//! Path of a request through an entry instance.
//!
//! One thread runs everything: each connection is a task, and state is shared by reference counting. A request is
//! owned by this instance from its first byte to its last, and nothing about it is kept elsewhere: what may be
//! repeated follows from its route, and whether it may have run from what was sent where.
//!
//! A caller that leaves drops the task of its request. This drops the connection to the target, which ends the
//! work there.

pub mod admission;
pub mod board;
pub mod body;
pub mod caller;
pub mod choice;
pub mod events;
pub mod exchange;
pub mod mapping;
pub mod patience;
pub mod place;
pub mod pool;
pub mod refusal;
pub mod server;
pub mod state;
pub mod stream;
pub mod supply;
pub mod work;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        caller::Forwarder,
        mapping::{Answer, Generation, Head, Mapping, Part, Sending},
        server::{Bounds, Server},
        state::State,
        supply::{Supply, Want, Wanted},
    };
}
