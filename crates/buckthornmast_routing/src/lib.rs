//! Decisions on the request path.
//!
//! Everything here is pure: time, reports and outcomes go in, decisions come out. There are no sockets,
//! clocks or threads inside, so the gateway, the replay harness and the tests run the same code.
//!
//! A request passes [`admission::Gate`], is placed by a [`choice::Choice`] among the candidates of
//! [`table::Table`] within the [`limit::Adaptive`] of a target, and after a failed attempt
//! [`attempt::decide`] says what comes next, within [`budget::Retry`]. [`dispatcher::Dispatcher`] assembles
//! all of them but the gate.

pub mod admission;
pub mod affinity;
pub mod arrival;
pub mod attempt;
pub mod breaker;
pub mod budget;
pub mod choice;
pub mod dispatcher;
pub mod estimate;
pub mod leave;
pub mod limit;
pub mod outlier;
pub mod table;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        admission::{self, Ask, Gate, Priority, Verdict},
        attempt::{self, Decision, Dispatch},
        budget,
        choice::{self, Choice, LeastLoaded, PowerOfTwo, Random},
        dispatcher::{self, Dispatcher},
        limit,
        table::{self, Candidate, Need, Slot, Table},
    };
}
