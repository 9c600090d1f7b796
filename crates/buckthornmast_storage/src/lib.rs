//! Data folder of a replica: disk identity, hard state, log and snapshot.
//!
//! The log is a file of frames. Each frame holds one batch of records, or a part of a batch of more than 16 MiB,
//! and is durable once it is synced. The snapshot and a compacted log are written to a temporary file, which is synced
//! and renamed; then the folder is synced too.
//!
//! A write that the operating system refuses, for example because the disk is full, takes no effect: what it left in the log
//! is cut off before the next append, an unfinished file is removed, and the write may be repeated. After a failed sync the
//! store refuses all further writes, because the operating system may have dropped the dirty pages and a second sync would
//! wrongly succeed.

pub mod files;
pub mod frame;
pub mod memory;
pub mod record;
pub mod store;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        files::{Files, Folder},
        memory::Memory,
        record::{HardState, Record, Snapshot},
        store::{OpenError, Recovered, Store, WriteError},
    };
}
