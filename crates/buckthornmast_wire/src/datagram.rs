//! UDP datagrams: a version byte, postcard, and the left half of the MAC.

use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};

use crate::key::Key;

/// Largest datagram in bytes; it passes common tunnels without fragmentation.
pub const MAX_LEN: usize = 1200;

/// Bytes of the MAC that are sent.
///
/// RFC 2104 allows half of the output. At 400 members the other half would take 3.5 KB/s of the
/// 20 KB/s that control may use.
pub const MAC_LEN: usize = 16;

/// Bytes that the frame adds to the postcard.
pub const OVERHEAD: usize = 1 + MAC_LEN;

const VERSION: u8 = 1;
const LABEL: &[u8] = b"buckthornmast/1 datagram\0";

/// Reason why a datagram cannot be sent or is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum FrameError {
    /// The datagram is longer than [`MAX_LEN`] or shorter than [`OVERHEAD`].
    #[snafu(display("datagram of {len} bytes is not within {OVERHEAD} to {MAX_LEN} bytes"))]
    Length {
        /// Length in bytes.
        len: usize,
    },
    /// The sender uses another version of the format.
    #[snafu(display("datagram has version {version}, not {VERSION}"))]
    Version {
        /// Version in the datagram.
        version: u8,
    },
    /// The MAC does not fit: another key, or a changed datagram.
    #[snafu(display("datagram has a wrong MAC"))]
    Mac,
    /// The content is not what the receiver expects.
    #[snafu(display("datagram content: {source}"))]
    Content {
        /// Cause.
        source: postcard::Error,
    },
}

/// Encodes and signs a message.
pub fn encode<T: Serialize>(key: &Key, message: &T) -> Result<Vec<u8>, FrameError> {
    let mut frame = vec![VERSION];
    frame = postcard::to_extend(message, frame).context(ContentSnafu)?;
    let mac = key.sign(&[LABEL, &frame]);
    frame.extend_from_slice(&mac[..MAC_LEN]);
    if frame.len() > MAX_LEN {
        return LengthSnafu { len: frame.len() }.fail();
    }
    Ok(frame)
}

/// Verifies and decodes a datagram; nothing is decoded before the MAC was verified.
pub fn decode<T: DeserializeOwned>(key: &Key, frame: &[u8]) -> Result<T, FrameError> {
    if !(OVERHEAD..=MAX_LEN).contains(&frame.len()) {
        return LengthSnafu { len: frame.len() }.fail();
    }
    let (signed, mac) = frame.split_at(frame.len() - MAC_LEN);
    if signed[0] != VERSION {
        return VersionSnafu { version: signed[0] }.fail();
    }
    if !key.verify(&[LABEL, signed], mac) {
        return MacSnafu.fail();
    }
    postcard::from_bytes(&signed[1..]).context(ContentSnafu)
}
