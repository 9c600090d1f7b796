//! Liveness and progress of the instances in the peer list.
//!
//! Every instance sends a heartbeat to each member of its own failure domain every 200 ms. For each
//! ordered pair of domains the live member with the highest hash rank sends a digest of its domain
//! to one member of the other domain, a different one each time, which relays it with its next
//! heartbeat. Each remote domain therefore costs an instance little more than one copy of its digests.
//!
//! A digest contains a four-bit age per member, and full rows only for members whose revision,
//! readiness or incarnation changed and for one more member in rotation.
//!
//! Wall clocks are never compared. Messages carry ages, and a heartbeat's sequence number is the time
//! since its sender started, so a receiver can tell by how much a datagram's delay exceeds the usual one.
//!
//! [`core::Table`] does no I/O; [`start`] runs it on a thread with a UDP socket.

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
