//! Messages that open a tunnel. Each is a length of two bytes followed by a message in postcard.
//!
//! Messages are encoded by position and exchanged between processes of different builds, so the order of variants and
//! fields is part of the format. An unknown message ends the connection.

use std::time::Duration;

use buckthornmast_types::id;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::way::Key;

/// Largest message in bytes.
pub const MAX_BYTES: usize = 512;

/// What the instance that opens the connection wants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Wish {
    /// A tunnel to an incarnation of a target. All further bytes are passed on.
    Open {
        /// Target.
        target: id::Target,
        /// Incarnation.
        incarnation: id::Incarnation,
    },
    /// Nothing: it passes on what a target has stated in an answer through a tunnel, which the way can't read. The statement
    /// holds for the way as well, since it is the way that the target sees.
    Note {
        /// Target.
        target: id::Target,
        /// Incarnation.
        incarnation: id::Incarnation,
        /// Whether the target leaves.
        is_leaving: bool,
        /// Time for which the target wants no request.
        pause: Option<Duration>,
    },
}

/// First message of a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Key of the way.
    pub key: Key,
    /// Instance that opens the connection.
    pub from: id::Instance,
    /// What it wants.
    pub wish: Wish,
}

/// Answer to a wish.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The tunnel is open, or the note was taken.
    Done,
    /// The key is wrong.
    Denied,
    /// There is no room for another tunnel.
    Full,
    /// The instance stops.
    Stopping,
    /// The target can't be reached from there.
    Unreached,
    /// The target is not known there, leaves, or wants no request.
    Unwanted,
}

/// Encodes a message with its length. Returns `None` if it is too large.
pub fn encode<M: Serialize>(message: &M) -> Option<Vec<u8>> {
    let body = postcard::to_stdvec(message).ok()?;
    if body.len() > MAX_BYTES {
        return None;
    }
    let mut bytes = u16::try_from(body.len()).ok()?.to_be_bytes().to_vec();
    bytes.extend(body);
    Some(bytes)
}

/// Decodes a message without its length.
pub fn decode<M: DeserializeOwned>(body: &[u8]) -> Option<M> {
    postcard::from_bytes(body).ok()
}
