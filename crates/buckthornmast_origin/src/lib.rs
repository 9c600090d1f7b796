//! Versions of targets' software that began streams.
//!
//! What two versions write doesn't fit together, so a stream goes on only at targets of the version that began it. Callers
//! go on at any instance, and name only the request that brought their first event. The instance that served it tells two
//! instances of the core which version began the stream, before the first event leaves. Another instance that is asked to
//! resume it asks all instances of the core that it reaches. What nobody knows is refused, unless there has been one version
//! only for longer than any stream lives. [`attestation`] keeps that knowledge over restarts, and [`lease`] over the loss of a
//! disk.

pub mod attestation;
pub mod history;
pub mod inquiry;
pub mod lease;
pub mod origin;
pub mod record;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        attestation::{Register, Variant},
        history::{History, Sole},
        inquiry::{Answer, Finding, Inquiry, Question},
        lease::{Content, Edition, grantor::Grantor, keeper::Keeper},
        origin::Origin,
        record::{Entry, Key, Mark, Memory, Record, Service},
    };
}
