//! Liveness and progress of the instances in the peer list.
//!
//! Every instance sends a heartbeat to each member of its own failure domain every 200 ms. For each
//! ordered pair of domains the live member that ranks highest by a hash sends a digest of its domain
//! to one member of the other domain, a different one each time, which relays it with its next
//! heartbeat. So far domains cost each instance little more than one copy of their digests.
//!
//! A digest holds one age per member in four bits, and full rows only for members whose revision,
//! readiness or incarnation changed and for one more in rotation.
//!
//! Nobody's wall clock is compared. Messages carry ages, and a heartbeat's number counts the time
//! since its sender started, so a receiver sees how much longer than usual a datagram took.
//!
//! [`core::Table`] is pure; [`start`] runs it on a thread with a UDP socket.

pub mod config;
pub mod core;
mod delay;
mod digest;
mod driver;
pub mod message;
mod roster;
pub mod view;

pub use crate::driver::{Handle, Source, start};

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        Handle, Source,
        config::{Config, Member, StartError, Timing},
        core::Table,
        message::Progress,
        start,
        view::{Change, Peer, State, View},
    };
}
