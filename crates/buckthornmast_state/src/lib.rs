//! Replicated state: settings, idempotency claims, domain leases and order intents.
//!
//! [`machine::State`] is the state machine that the voters replicate. Its decisions depend only on the commands,
//! their index and their log time. Instances without a disk hold only a [`settings::Tree`], which
//! [`settings::Tree::changes_since`] and [`settings::Tree::apply_update`] keep up to date.

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
