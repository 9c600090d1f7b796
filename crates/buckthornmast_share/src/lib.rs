//! Fair shares of scarce room.
//!
//! Designed for many organisations whose requests of several kinds and sizes compete for fewer places than they ask for.
//! A [`scheduler::Scheduler`] orders the waiting requests. Organisations get equal shares of the service, counted in
//! tokens by an [`account::Account`], not in requests, so that more, smaller or repeated requests gain nothing. Within an
//! organisation, urgent requests go first, and less urgent ones keep a minimum share. Requests with time to spare use
//! the room that the others leave.
//!
//! Nothing here knows of targets: the caller offers each request to whatever has room, in the order of the scheduler, so
//! that no room stays empty while a request that may use it waits.

pub mod account;
pub mod advice;
pub mod scheduler;
mod tally;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        account::{Account, Cost, Flow},
        advice::Advice,
        scheduler::{Ahead, Entry, Offer, Outlook, Policy, Scheduler},
    };
}
