//! Programs for a platform that hands out seeds and on which targets announce themselves.
//!
//! [`entry`] forwards callers' requests, [`core`] keeps the routes in force, the targets that are known, and what they
//! hold. An entry connects to every instance of the core and is sent what changes; instances of the core connect to
//! one another in the same way. [`platform::Platform`] is what an adapter implements.
//!
//! Each program runs on one thread. Only the replicated log, the log lines and the signals have threads of their own.

pub mod control;
pub mod controller;
pub mod core;
pub mod dial;
pub mod entry;
pub mod http;
pub mod memory;
pub mod message;
pub mod observe;
pub mod orders;
pub mod platform;
pub mod process;
pub mod replica;
pub mod settings;
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
