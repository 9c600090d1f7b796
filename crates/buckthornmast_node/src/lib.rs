//! Programs for a platform that provides seed addresses and on which targets announce themselves.
//!
//! [`entry`] forwards the requests of callers. [`core`] keeps the routes in force, the known targets, and the models
//! that are loaded there. An entry instance connects to every instance of the core and receives updates; instances of
//! the core connect to one another in the same way. The translation of a platform implements
//! [`platform::Platform`].
//!
//! Each program runs on one thread. Only the replicated log, logging and signal handling have threads of their own.

pub mod attestation;
pub mod control;
pub mod controller;
pub mod core;
pub mod departure;
pub mod dial;
pub mod durable;
pub mod entry;
pub mod explain;
pub mod http;
pub mod lease;
pub mod memory;
pub mod message;
pub mod observe;
pub mod orders;
pub mod platform;
pub mod process;
pub mod relay;
pub mod replica;
pub mod settings;
pub mod space;
pub mod subscribers;
pub mod supplier;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        platform::{Call, Platform},
        process::run,
        settings::Settings,
    };
}
