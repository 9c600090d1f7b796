//! Whether a request joins the queue of a target.
//!
//! The load that is answered here: more requests than the targets of a model can answer in time, for seconds. A request
//! that can be on time joins. One that will be late joins a short queue at the lowest rank, so that it takes only
//! slots that nobody else wants. Beyond that, requests are refused at once: a longer queue would make all of them late and
//! would outlive its cause.

/// Requests that wait at a target beyond which those that would be late are refused, as a share of its slots.
const LATE_QUEUE: f64 = 0.25;

/// Requests that wait at a target beyond which all are refused, as a share of its slots.
const FULL_QUEUE: f64 = 1.0;

/// How much longer the queue of a plain service may be: its requests take tens of milliseconds, so that even a long
/// queue is over within a second.
const PLAIN_QUEUE: f64 = 3.0;

/// Rank of a request that will be late: it takes slots that no other request wants.
pub const LATE_RANK: u8 = 8;

/// What a decision is based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ask {
    /// Requests that are expected to be at the target.
    pub load: f64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether the answer would begin after the objective.
    pub is_late: bool,
    /// Whether the target is a plain service.
    pub is_plain: bool,
}

/// Decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send it, with a rank if it isn't the usual one.
    Send {
        /// Rank among the target's requests.
        rank: Option<u8>,
    },
    /// Refuse it.
    Refuse,
}

/// Decides on one request.
pub fn decide(ask: &Ask) -> Verdict {
    let slots = f64::from(ask.slots.max(1));
    let queue = ((ask.load + 1.0 - slots) / slots).max(0.0);
    let scale = if ask.is_plain { PLAIN_QUEUE } else { 1.0 };
    let most = if ask.is_late { LATE_QUEUE } else { FULL_QUEUE };
    if queue > most * scale {
        return Verdict::Refuse;
    }
    Verdict::Send {
        rank: ask.is_late.then_some(LATE_RANK),
    }
}
