//! Quarantine of prompt parts and of whole requests on which targets crash.
//!
//! A request can be the cause of the failure of its target: one part of its prompt ends each target that begins to answer
//! it. If only targets are blamed for failures, such requests end one target after the other, and sound targets are ejected.
//!
//! When a target ends, each request that it was beginning to answer is a suspect with those parts of its prompt that no
//! target has answered yet. Parts that the suspects of several crashes have in common are quarantined: a request that has
//! all of them is refused. A target that goes on answering a request clears its parts. After some time, the leader lets one
//! instance send one such request as a trial.
//!
//! A request that comes again may end targets by itself, on any kind of route. So each suspect is also suspected as a whole,
//! as one more part that stands for its identity: after two crashes it is watched, after three quarantined, and an answer
//! clears it.

pub mod guard;
pub mod ledger;
pub mod memory;
pub mod part;
pub mod suspect;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        guard::{Guard, Verdict},
        ledger::{Crash, Evidence, Ledger, Notice},
        part::{Part, Set},
    };
}
