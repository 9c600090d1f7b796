//! Ways to targets around a partition, through other entry instances.
//!
//! Designed for partitions of seconds in which some entry instances reach no target, or not all of them, while callers and
//! other instances still reach these entry instances. Such an instance opens its connection to a target through
//! another entry instance, a way, which only passes on the bytes. The request stays with the instance that received it: its
//! deadline, attempts, budget, permits and the state of its stream are counted there and nowhere else, and the end of the
//! tunnel has the meaning that the end of a connection has.
//!
//! A way connects to the target itself and never through another way, so there are no circles.

pub mod choice;
pub mod reach;
pub mod way;
pub mod ways;
pub mod wire;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        reach::{Path, Reach},
        way::{Key, Way},
        ways::{Fault, Ways},
    };
}
