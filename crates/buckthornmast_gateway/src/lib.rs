//! Request path of callers.
//!
//! A worker thread of the HTTP server handles one request from its first byte to its last. It looks
//! the model or service up in the [`catalog`], asks the [`router`] for a target, claims the
//! idempotency key of a request that must not be repeated ([`claim`]), dispatches, and assembles the
//! answer ([`assembly`]). The deadline of the request bounds every wait. When a request fails, the
//! answer names the failed step and whether the request may have been run.

pub mod assembly;
pub mod catalog;
pub mod chat;
pub mod claim;
pub mod deadline;
pub mod gateway;
pub mod generate;
pub mod observe;
pub mod router;
pub mod service;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        catalog::Catalog,
        claim::{self, Claims},
        gateway::{Gateway, Parts},
        observe::{Observer, Sample},
        router::{Pick, Router},
    };
}
