//! Replicated log among a few voters.
//!
//! [`core::Core`] is the pure protocol, a variant of Raft: messages and time in, effects out. [`driver::start`] runs
//! it on a thread with a transport and a clock, and writes to a data folder on a second thread. The model checker in
//! `tests/` calls the same functions as the driver.

pub mod core;
pub mod driver;
pub mod limits;
pub mod log;
pub mod machine;
pub mod message;
pub mod snapshot;
pub mod status;
pub mod voters;
pub mod writes;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        core::{Core, Effect, Input, Timing, pool::Pool},
        driver::{Config, Handle, ProposeError, StartError, Transport, reads::ConfirmError, start},
        limits::Limits,
        machine::{LogTime, RestoreError, StateMachine},
        message::{Body, Member, Message},
        status::{Role, Status},
    };
}
