//! Mapping of cache events and of KV caches in transfer between engines.
//!
//! | Call | Request | Answer |
//! | --- | --- | --- |
//! | publish, from engine to instance | `POST /v1/cache-events` with `{target, incarnation, events}` | 200, or 400 that names what was refused |
//! | export, to engine | `POST /v1/cache/export` with `{prefix}` | [`Exported`], or 404 |
//! | import, to engine | `POST /v1/cache/import` with [`Exported`] | 200, 400 for a damaged blob, 413 for one that does not fit |
//!
//! An event is `{"sequence": 7, "age_ms": 120, "stored": "00c0ffee00c0ffee"}`, or `evicted` in place of
//! `stored`. Each event is read independently: a refused event leaves a gap in the sequence numbers, which
//! the receiver handles like a lost event, and the others are accepted.

use buckthornmast_types::{
    cache::{Batch, Event, Prefix},
    id,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use snafu::Snafu;

/// Path that events are published to.
pub const EVENTS_PATH: &str = "/v1/cache-events";

/// Path that exports a KV cache.
pub const EXPORT_PATH: &str = "/v1/cache/export";

/// Path that imports a KV cache.
pub const IMPORT_PATH: &str = "/v1/cache/import";

/// Maximum number of events of one publication; an engine with more events sends several publications in turn.
pub const MAX_EVENTS: usize = 256;

/// Maximum size of a publication in bytes; an event takes about 60 bytes.
pub const MAX_PUBLICATION_BYTES: usize = 64 << 10;

/// Highest sequence number of an event; many JSON parsers round larger numbers.
pub const MAX_SEQUENCE: u64 = 1 << 53;

/// Maximum number of refused events that an error describes; the others are only counted.
const MAX_DESCRIBED_EVENTS: usize = 4;

/// KV cache of a prefix in transfer between engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exported {
    /// Prefix that the cache belongs to.
    pub prefix: Prefix,
    /// Bytes that it occupies in the cache of an engine.
    pub bytes: u64,
    /// Content, which only engines can interpret.
    pub blob: String,
}

/// Request to export a KV cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// Prefix whose cache is requested.
    pub prefix: Prefix,
}

/// Reason why a publication or some of its events are refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum EventError {
    /// The publication does not follow the protocol.
    #[snafu(display("bad cache events: {reason}"))]
    Publication {
        /// Reason in words.
        reason: String,
    },
    /// Some events don't follow the protocol.
    #[snafu(display("{refused} of {total} cache events refused: {reasons}"))]
    Events {
        /// Number of refused events.
        refused: usize,
        /// Number of events of the publication.
        total: usize,
        /// Reasons in words for the first of them.
        reasons: String,
    },
}

#[derive(Serialize, Deserialize)]
struct Publication {
    target: id::Target,
    incarnation: id::Incarnation,
    events: Vec<Value>,
}

fn read_event(value: &Value) -> Result<Event, String> {
    // A flattened enum would accept the first of two changes and ignore the other.
    if value.get("stored").is_some() && value.get("evicted").is_some() {
        return Err("both stored and evicted".to_owned());
    }
    let event = Event::deserialize(value).map_err(|error| error.to_string())?;
    if !(1..=MAX_SEQUENCE).contains(&event.sequence) {
        return Err(format!("sequence {}, not 1 to 2^53", event.sequence));
    }
    Ok(event)
}

/// Reads a publication. Returns the events that follow the protocol, sorted by sequence number, and an error if
/// others were refused.
pub fn read(text: &str) -> Result<(Batch, Option<EventError>), EventError> {
    let publication: Publication =
        serde_json::from_str(text).map_err(|error| EventError::Publication {
            reason: error.to_string(),
        })?;
    let total = publication.events.len();
    if total > MAX_EVENTS {
        return Err(EventError::Publication {
            reason: format!("{total} events, at most {MAX_EVENTS} at once"),
        });
    }
    let mut events = Vec::with_capacity(total);
    let mut reasons = Vec::new();
    for (index, value) in publication.events.iter().enumerate() {
        match read_event(value) {
            Ok(event) => events.push(event),
            Err(reason) => reasons.push(format!("event {index}: {reason}")),
        }
    }
    events.sort_by_key(|event| event.sequence);
    let refused = reasons.len();
    reasons.truncate(MAX_DESCRIBED_EVENTS);
    let error = (refused > 0).then(|| EventError::Events {
        refused,
        total,
        reasons: reasons.join("; "),
    });
    let batch = Batch {
        target: publication.target,
        incarnation: publication.incarnation,
        events,
    };
    Ok((batch, error))
}

/// Returns a publication as JSON.
pub fn write(batch: &Batch) -> String {
    // Serialising a batch into memory can't fail.
    serde_json::to_string(batch).unwrap_or_default()
}
