//! Real processes on loopback for failure tests and measurements.
//!
//! [`cluster::Cluster`] writes the settings of each instance, starts the daemons and kills, freezes or
//! restarts them. Instances reach each other through [`relay::Relay`]s, one per direction, which can
//! drop all traffic or that of their open connections. [`caller`] sends requests as a client would. Every
//! process and relay is stopped when its owner is dropped.

pub mod caller;
pub mod cluster;
pub mod fit;
pub mod process;
pub mod relay;
pub mod stream;
pub mod wait;

/// Names that most users of this crate import.
pub mod prelude {
    pub use crate::{
        caller,
        cluster::{Cluster, Instance, InstanceConfig, Target},
        fit::Fit,
        process::Process,
        relay::{Mode, Relay},
        stream,
        wait::wait_for,
    };
}
