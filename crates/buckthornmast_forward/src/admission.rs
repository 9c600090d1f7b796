//! Whether a request joins the queue of a target.
//!
//! Designed for overloads of a few seconds, in which a model receives more requests than its targets can answer within
//! the objective. A request that can meet the objective joins the queue. One that would be late joins a short queue at
//! the lowest rank, so that it takes only slots that no other request needs. Beyond that, requests are refused at once:
//! a longer queue would make all of them late and would outlast the burst.
//!
//! While organisations compete, requests of one that has had more than its share of what this instance sent join the short
//! queue only, so that the longer one is left to the others. The leader, which knows the requests of all instances, shares
//! more precisely; this answers the time without it.

/// Queue length of a target, as a ratio of its slots, above which late requests are refused.
const MAX_LATE_QUEUE_RATIO: f64 = 0.25;

/// Queue length of a target, as a ratio of its slots, above which all requests are refused.
const MAX_QUEUE_RATIO: f64 = 1.0;

/// Factor by which the queue of a plain service may be longer. Its requests take tens of milliseconds, so that even a
/// long queue drains within a second.
const PLAIN_QUEUE_FACTOR: f64 = 3.0;

/// Rank of a request that will be late. It takes only slots that no other request needs.
pub const LATE_RANK: u8 = 8;

/// Input of a decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Query {
    /// Estimated number of requests at the target.
    pub load: f64,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the answer would begin later than the objective allows.
    pub is_late: bool,
    /// Whether the caller's organisation has received more than its share.
    pub is_beyond_share: bool,
    /// Whether the target belongs to a plain service, which runs no models.
    pub is_plain: bool,
}

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request is sent, with a rank if it isn't the default.
    Send {
        /// Rank among the target's requests.
        rank: Option<u8>,
    },
    /// The request is refused.
    Refuse,
}

/// Decides whether a request is sent or refused.
pub fn decide(query: &Query) -> Verdict {
    let slots = f64::from(query.slots.max(1));
    let queue = ((query.load + 1.0 - slots) / slots).max(0.0);
    let scale = if query.is_plain {
        PLAIN_QUEUE_FACTOR
    } else {
        1.0
    };
    let limit = if query.is_late || query.is_beyond_share {
        MAX_LATE_QUEUE_RATIO
    } else {
        MAX_QUEUE_RATIO
    };
    if queue > limit * scale {
        return Verdict::Refuse;
    }
    Verdict::Send {
        rank: query.is_late.then_some(LATE_RANK),
    }
}
