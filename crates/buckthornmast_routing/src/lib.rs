//! Decisions on the request path.
//!
//! All of this crate is pure: it takes time, reports and outcomes, and returns decisions. It uses no sockets,
//! clocks or threads, so the gateway, the replay harness and the tests run the same code.
//!
//! [`admission::Gate`] admits a request. A [`choice::Choice`] picks one of the candidates of [`table::Table`]
//! within the [`limit::Adaptive`] of each target. After a failed attempt, [`attempt::decide`] returns the next
//! step, within [`budget::Retry`]. [`dispatcher::Dispatcher`] combines all of them except the gate.

pub mod admission;
pub mod affinity;
pub mod attempt;
pub mod breaker;
pub mod budget;
pub mod choice;
pub mod completion;
pub mod departure;
pub mod dispatcher;
pub mod estimate;
pub mod limit;
pub mod loading;
pub mod outlier;
pub mod table;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        admission::{self, AdmissionRequest, Gate, Priority, Verdict},
        attempt::{self, Decision, Dispatch},
        budget,
        choice::{self, Choice, LeastLoaded, PowerOfTwo, Random},
        dispatcher::{self, Dispatcher},
        limit,
        table::{self, Candidate, Need, Slot, Table},
    };
}
