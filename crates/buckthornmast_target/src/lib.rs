//! Client side of the protocol between instances and targets.
//!
//! The request path and the controller use [`engine::Engine`] and [`engine::Plain`]. [`mapping::Http`]
//! implements both over HTTP with JSON and server-sent events; a deployment whose engines use another
//! protocol replaces only that module, and [`cache`] for cache events. Every error names the step and the
//! target, and [`error::Error::execution`] returns whether the request may have been run.

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
