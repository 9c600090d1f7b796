//! What an answer on a route of streams proves by its head, and by an end without an event.
//!
//! The first answer to a caller is the target's own, whatever it is. A continuation is joined to events of another target,
//! so nothing of it is passed on before it has shown what it is: here by its head, then by the number of its first event
//! in [`events`](crate::events).

use buckthornmast_types::id;
use http::{HeaderMap, StatusCode, header};

/// Media type of streams of events.
const EVENT_STREAM: &str = "text/event-stream";

/// What the head of a success announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// Events that are passed on as they arrive.
    Events,
    /// An answer that is no stream, which is passed on unchanged.
    Whole,
    /// Nothing that may be joined to the events of another target.
    Unfit,
}

impl Form {
    /// Returns what the head of a success announces on a route of streams. A stream that begins may omit its type.
    pub fn of(status: StatusCode, headers: &HeaderMap, is_continuation: bool) -> Self {
        let mut types = headers.get_all(header::CONTENT_TYPE).iter();
        let has_type = headers.contains_key(header::CONTENT_TYPE);
        let is_event_stream = types.all(|value| {
            let text = value.to_str().unwrap_or_default();
            let essence = text.split(';').next().unwrap_or_default();
            essence.trim().eq_ignore_ascii_case(EVENT_STREAM)
        });
        match (is_continuation, is_event_stream) {
            (true, true) if has_type && status == StatusCode::OK => Self::Events,
            (true, _) => Self::Unfit,
            (false, true) => Self::Events,
            (false, false) => Self::Whole,
        }
    }
}

/// Statement of a target that a stream has no event after the last one that the caller has.
///
/// A target that lost the rest of the stream states the same, so it takes two of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct End {
    /// Last event that the caller has.
    pub last: u64,
    /// Target.
    pub target: id::Target,
}

impl End {
    /// Returns whether another target has stated the same before.
    pub fn is_confirmed_by(&self, earlier: &Self) -> bool {
        self.last == earlier.last && self.target != earlier.target
    }
}
