//! Replicated state: settings, idempotency claims, domain leases and order intents.
//!
//! [`machine::State`] is the one machine that the voters replicate. Its decisions use the index and the log
//! time of an entry only. Instances without a disk hold a [`settings::Tree`] and follow it by
//! [`settings::Tree::changes_since`] and [`settings::Tree::follow`].

pub mod claims;
pub mod leases;
pub mod machine;
pub mod settings;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        claims::{self, Fingerprint, Outcome},
        leases,
        machine::{Answer, Command, State},
        settings::{self, Change, Scope, Tree, Update, Write},
    };
}
