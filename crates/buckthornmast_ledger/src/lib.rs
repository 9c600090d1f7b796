//! Accelerator memory per target, counted at the worst case over unresolved orders.
//!
//! A controller never knows exactly what runs on a target: reports lag and arrive out of order, answers
//! are lost, and a send attempt may be executed long after it was made. The [`ledger::Ledger`] counts
//! every effect that may still occur and refuses an order that could overcommit a target in any of these
//! cases.
//!
//! - Memory is used by every artifact in the newest report and by every load that may still be executed. An
//!   artifact that is in both is counted once, at the larger size.
//! - An unload by itself frees nothing; memory is free once a newer report no longer lists the artifact.
//! - A send attempt without a definite answer may be executed at any time. It ends when the incarnation
//!   of the target changes or, on a target that honours fencing tokens, when a report shows a token
//!   higher than that of the attempt.
//! - Each artifact has at most one open order per target, so a late attempt of one order never undoes another.
//! - No order is sent to a target until its account is rebuilt; see [`ledger::Ledger::inherit`].

pub mod entry;
pub mod guard;
pub mod ledger;

mod account;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        entry::{Attempt, ClosedOrder, End, Outcome, Position},
        guard::Guard,
        ledger::{Ledger, Refusal},
    };
}
