//! Interfaces between the driver and its environment.

use buckthornmast_lease::prelude::*;
use buckthornmast_ledger::prelude::*;
use buckthornmast_types::prelude::*;
use snafu::Snafu;

use crate::journal::Coverage;

/// Grant of the lease with the state that earlier holders left in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// Fencing token.
    pub token: id::Token,
    /// Whether the domain never had a lease before, so that no journal can hold an intent.
    pub is_first: bool,
    /// Open intents of the domain.
    pub intents: Vec<Order>,
    /// Position of the newest report per target that earlier holders acted on, from the resolved orders.
    pub positions: Vec<(id::Target, Position)>,
}

/// Reason why a write to the replicated log failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Snafu)]
pub enum LogError {
    /// The entry is not in the log and never will be.
    #[snafu(display("the entry was not recorded"))]
    NotRecorded,
    /// The entry may or may not be in the log.
    #[snafu(display("it is unknown whether the entry was recorded"))]
    Unknown,
    /// The lease was granted to another candidate.
    #[snafu(display("the lease was granted to another candidate"))]
    Superseded,
}

/// Replicated log; calls may block up to their own timeout.
///
/// Recording or resolving the same order again changes nothing.
pub trait Log: Send + 'static {
    /// Records the intents of all orders, or of none.
    fn intend(&self, token: id::Token, orders: &[Order]) -> Result<(), LogError>;
    /// Removes intents and keeps the newest position per target for a successor.
    fn resolve(&self, token: id::Token, closed: &[ClosedOrder]) -> Result<(), LogError>;
}

/// Intents read from the journals of the domain's candidates.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Intents {
    /// Intents.
    pub intents: Vec<Order>,
    /// Extent to which the journals cover the recorded intents, from [`crate::journal::coverage`].
    pub coverage: Coverage,
}

/// Journals of the domain's candidates; calls may block up to their own timeout.
pub trait Journals: Send + 'static {
    /// Returns whether the domain has no other candidate.
    fn is_single_candidate(&self) -> bool;
    /// Records intents and returns whether every candidate has recorded them.
    fn record(&self, token: id::Token, orders: &[Order]) -> bool;
    /// Reads the journals of all candidates, including this one.
    fn read(&self, token: id::Token) -> Intents;
    /// Removes intents that are in the log from the journals. Not every candidate needs to be reached.
    fn forget(&self, orders: &[id::Order]);
    /// Declares the journals clean whose incarnation was fetched by an earlier call, and fetches the current ones.
    fn declare_clean(&self);
}

/// Result of a send attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptResult {
    /// Target.
    pub target: id::Target,
    /// Order.
    pub order: id::Order,
    /// Attempt.
    pub attempt: Attempt,
    /// Outcome.
    pub outcome: Outcome,
}

/// Transport of orders to targets.
pub trait OrderTransport: Send + 'static {
    /// Sends an order without blocking and answers exactly once.
    ///
    /// No byte may be sent at `not_after` or later; the attempt then ends as [`Outcome::NotSent`]. An
    /// attempt is never repeated by the transport.
    fn send(
        &self,
        order: Order,
        attempt: Attempt,
        not_after: Point,
        answer: flume::Sender<AttemptResult>,
    );
}

/// Answer to a message of the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// The lease is granted.
    Granted {
        /// Number of the request.
        number: u64,
        /// Grant.
        grant: Grant,
    },
    /// The lease is not granted.
    NotGranted {
        /// Number of the request.
        number: u64,
    },
    /// The lease is renewed.
    Renewed {
        /// Number of the request.
        number: u64,
    },
    /// The lease was granted to another candidate.
    Refused {
        /// Token of the lease.
        token: id::Token,
    },
    /// Another candidate granted a promise.
    Promised {
        /// Candidate.
        from: id::Instance,
        /// Number of the request.
        number: u64,
    },
    /// The attempt to record the handover in the log has ended.
    HandedOver,
}

/// Transport of lease messages to the leader and to the other candidates.
pub trait LeaseTransport: Send + 'static {
    /// Sends a message without blocking. Nothing has to be answered if the message is lost.
    fn post(&self, effect: Effect, answer: flume::Sender<LeaseAnswer>);
}
