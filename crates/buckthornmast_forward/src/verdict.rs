//! What the head of an answer proves about the request that was sent.
//!
//! A target echoes the id of the request that it answers. Nothing else tells its answer from one that it has written
//! before: not the order of arrival, not the connection, and not the status. So an answer without exactly this id proves
//! nothing about the request, which may have run, may be running, or may never have arrived. It neither refuses the
//! request nor answers it.
//!
//! The id tells requests apart, but not two arrivals of one request at a target. A connection ends with a refusal, so
//! a copy of an earlier refusal can only arrive on a connection that has carried other requests. On a connection of
//! its own, the second arrival meets no copy.

use http::StatusCode;

/// Id that an answer carries, compared with that of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Id {
    /// That of the request.
    Same,
    /// That of another request.
    Other,
    /// None, or several.
    Missing,
}

/// What is known when the head of an answer has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Facts {
    /// Id that it carries.
    pub id: Id,
    /// Its status.
    pub status: StatusCode,
    /// Whether it states that the request was not run.
    pub is_refusal: bool,
    /// Whether another target uses the address, or the target lacks the model or adapter.
    pub is_misdirected: bool,
    /// Whether it carries the target's mark.
    pub is_stamped: bool,
    /// Whether an intermediary transformed its body.
    pub is_transformed: bool,
    /// Whether its connection has carried another exchange before.
    pub is_kept: bool,
    /// Whether the target has refused a request with this id before.
    pub is_repeat: bool,
}

/// Reason for which an answer is not taken for the answer to the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Doubt {
    /// It carries no id, or several.
    Missing,
    /// It carries the id of another request.
    Other,
    /// It may be an earlier refusal of the same request.
    Repeat,
    /// Its status belongs to requests that were run, and it states that this one was not.
    Contradiction,
}

impl Doubt {
    /// Returns a short name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Other => "other",
            Self::Repeat => "repeat",
            Self::Contradiction => "contradiction",
        }
    }
}

/// What an answer proves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// It is the answer to the request and may be forwarded.
    Answer,
    /// The target did not run the request.
    Refused,
    /// The target did not run the request, because it is for another one or lacks its model or adapter.
    Misdirected,
    /// It is the answer to the request, but its body isn't shown to be the target's own.
    Foreign,
    /// It is the answer to the request, but the target left the protocol with it.
    Switched,
    /// It is not shown to be for the request. Whether the request has run is unknown.
    Unassigned(Doubt),
}

impl Verdict {
    /// Returns whether the answer is shown to be for the request. Any other one says nothing about the present: it may
    /// warn of its target, but it ends no warning.
    pub fn is_assigned(self) -> bool {
        !matches!(self, Self::Unassigned(_))
    }
}

/// Decides what an answer proves.
pub fn judge(facts: &Facts) -> Verdict {
    let doubt = match facts.id {
        Id::Missing => Some(Doubt::Missing),
        Id::Other => Some(Doubt::Other),
        Id::Same if !facts.is_refusal => None,
        Id::Same if !may_refuse(facts.status) => Some(Doubt::Contradiction),
        Id::Same => (facts.is_kept && facts.is_repeat).then_some(Doubt::Repeat),
    };
    match doubt {
        Some(doubt) => Verdict::Unassigned(doubt),
        None if facts.is_misdirected => Verdict::Misdirected,
        None if facts.is_refusal => Verdict::Refused,
        None if facts.status == StatusCode::SWITCHING_PROTOCOLS => Verdict::Switched,
        None if facts.status.is_success() && (!facts.is_stamped || facts.is_transformed) => {
            Verdict::Foreign
        }
        None => Verdict::Answer,
    }
}

/// Returns whether requests that were not run are answered with this status.
fn may_refuse(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}
