//! Client side of the protocol between instances and targets.
//!
//! [`engine::Engine`] and [`engine::Plain`] are what the request path and the controller see.
//! [`mapping::Http`] implements both over HTTP with JSON and server-sent events; a deployment whose
//! engines speak another dialect replaces that module only, and [`cache`] for cache events. Every error says at which step and
//! target it arose and whether the request may have been run.

pub mod cache;
pub mod engine;
pub mod error;
pub mod mapping;
pub mod work;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        engine::{Answer, Call, Engine, Plain, Tokens},
        error::{Cause, Error},
        mapping::Http,
        work::{Chunk, Event, Finish, Message, Work},
    };
}
