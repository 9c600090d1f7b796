//! UDP datagrams: a version byte, the message in postcard, and the left half of the MAC.

use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};

use crate::key::Key;

/// Maximum length of a datagram in bytes; it passes common tunnels without fragmentation.
pub const MAX_LEN: usize = 1200;

/// Length of the part of the MAC that is sent, in bytes.
///
/// RFC 2104 allows truncation to half of the output. With 400 members, the other half would take 3.5 KB/s of the
/// 20 KB/s that control traffic may use.
pub const MAC_LEN: usize = 16;

/// Bytes that the frame adds to the encoded message.
pub const OVERHEAD: usize = 1 + MAC_LEN;

/// Version of the format, which is the first byte of a datagram.
const VERSION: u8 = 1;

/// Prefix of the signed bytes, so that the MAC of an RPC frame is never valid for a datagram.
const MAC_CONTEXT: &[u8] = b"buckthornmast/1 datagram\0";

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
    /// The MAC does not match: the key differs, or the datagram was changed.
    #[snafu(display("datagram has a wrong MAC"))]
    Mac,
    /// The message can't be encoded, or its content is not what the receiver expects.
    #[snafu(display("datagram content can't be encoded or decoded: {source}"))]
    Content {
        /// Cause.
        source: postcard::Error,
    },
}

/// Encodes and signs a message.
pub fn encode<T: Serialize>(key: &Key, message: &T) -> Result<Vec<u8>, FrameError> {
    let mut frame = vec![VERSION];
    frame = postcard::to_extend(message, frame).context(ContentSnafu)?;
    let mac = key.sign(&[MAC_CONTEXT, &frame]);
    frame.extend_from_slice(&mac[..MAC_LEN]);
    if frame.len() > MAX_LEN {
        return LengthSnafu { len: frame.len() }.fail();
    }
    Ok(frame)
}

/// Verifies and decodes a datagram. Nothing is decoded before the MAC is verified.
pub fn decode<T: DeserializeOwned>(key: &Key, frame: &[u8]) -> Result<T, FrameError> {
    if !(OVERHEAD..=MAX_LEN).contains(&frame.len()) {
        return LengthSnafu { len: frame.len() }.fail();
    }
    let (signed, mac) = frame.split_at(frame.len() - MAC_LEN);
    if signed[0] != VERSION {
        return VersionSnafu { version: signed[0] }.fail();
    }
    if !key.verify(&[MAC_CONTEXT, signed], mac) {
        return MacSnafu.fail();
    }
    postcard::from_bytes(&signed[1..]).context(ContentSnafu)
}
