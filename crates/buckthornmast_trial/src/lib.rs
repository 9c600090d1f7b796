//! Real processes on loopback for tests of failures and for measurements.
//!
//! [`cluster::Cluster`] writes the settings of each instance, starts the daemons and kills, freezes or
//! restarts them. Instances reach each other through [`relay::Relay`]s, one per direction, which can
//! be cut or made silent. [`caller`] sends requests as a client would. Everything that was started is
//! ended when its owner is dropped.

pub mod caller;
pub mod cluster;
pub mod fit;
pub mod process;
pub mod relay;
pub mod wait;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        caller,
        cluster::{Cluster, Instance, Plan, Target},
        fit::Fit,
        process::Process,
        relay::{Mode, Relay},
        wait::wait_for,
    };
}
