//! Sealed JSON for RPC.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use snafu::Snafu;

use buckthornmast_types::id;

use crate::key::{Key, MAC_LEN, decode_hex, encode_hex};

/// Prefix of the signed bytes of a request, so that the MAC of a request is never valid for an answer.
const REQUEST_CONTEXT: &[u8] = b"buckthornmast/1 request\0";

/// Prefix of the signed bytes of an answer.
const ANSWER_CONTEXT: &[u8] = b"buckthornmast/1 answer\0";

/// Identity of a request; its answer repeats it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Nonce {
    /// Session that the receiver issued, or a random number in a request that asks for a session.
    pub session: u64,
    /// Number of the request within the session.
    pub sequence: u64,
}

impl Nonce {
    /// Returns a random nonce, for a request that asks for a session.
    pub fn random() -> Self {
        Self {
            session: rand::random(),
            sequence: rand::random(),
        }
    }
}

/// Message authentication code of a frame.
#[derive(Debug, Clone, Copy)]
pub struct Mac([u8; MAC_LEN]);

impl Serialize for Mac {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&encode_hex(&self.0))
    }
}

impl<'de> Deserialize<'de> for Mac {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
        let bytes = decode_hex(&text);
        bytes
            .map(Self)
            .ok_or_else(|| serde::de::Error::custom("MAC is not 64 hexadecimal digits"))
    }
}

/// Authenticated request or answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Sealed {
    /// Sender.
    pub from: id::Instance,
    /// Identity of the request.
    pub nonce: Nonce,
    /// Exact JSON text that was signed.
    pub body: String,
    /// MAC of all other fields.
    pub mac: Mac,
}

/// Reason why a frame is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum OpenError {
    /// The MAC does not match: the key differs, or the frame was changed.
    #[snafu(display("frame from {from} has a wrong MAC"))]
    Mac {
        /// Sender that the frame names.
        from: id::Instance,
    },
    /// The answer belongs to another request or comes from another instance.
    #[snafu(display("answer from {from} does not belong to the request"))]
    Mismatch {
        /// Sender that the frame names.
        from: id::Instance,
    },
}

/// Calls `use_parts` with the signed parts. Each part of variable length is preceded by its length, so that bytes can't
/// be moved from one part to the next.
fn with_parts<T>(
    context: &[u8],
    from: &id::Instance,
    nonce: Nonce,
    body: &str,
    use_parts: impl FnOnce(&[&[u8]]) -> T,
) -> T {
    let from = from.as_str().as_bytes();
    use_parts(&[
        context,
        &(from.len() as u64).to_le_bytes(),
        from,
        &nonce.session.to_le_bytes(),
        &nonce.sequence.to_le_bytes(),
        &(body.len() as u64).to_le_bytes(),
        body.as_bytes(),
    ])
}

fn seal(context: &[u8], key: &Key, from: &id::Instance, nonce: Nonce, body: String) -> Sealed {
    let mac = with_parts(context, from, nonce, &body, |parts| key.sign(parts));
    Sealed {
        from: from.clone(),
        nonce,
        body,
        mac: Mac(mac),
    }
}

fn verify<'a>(context: &[u8], key: &Key, sealed: &'a Sealed) -> Result<&'a str, OpenError> {
    let Sealed {
        from,
        nonce,
        body,
        mac,
    } = sealed;
    if with_parts(context, from, *nonce, body, |parts| {
        key.verify(parts, &mac.0)
    }) {
        Ok(body)
    } else {
        Err(OpenError::Mac { from: from.clone() })
    }
}

/// Seals a request.
pub fn seal_request(key: &Key, from: &id::Instance, nonce: Nonce, body: String) -> Sealed {
    seal(REQUEST_CONTEXT, key, from, nonce, body)
}

/// Verifies the MAC of a request and returns its body. The window of the session checks whether the request is fresh.
pub fn open_request<'a>(key: &Key, sealed: &'a Sealed) -> Result<&'a str, OpenError> {
    verify(REQUEST_CONTEXT, key, sealed)
}

/// Seals an answer to the request with this nonce.
pub fn seal_answer(key: &Key, from: &id::Instance, nonce: Nonce, body: String) -> Sealed {
    seal(ANSWER_CONTEXT, key, from, nonce, body)
}

/// Verifies the answer of `from` to the request with this nonce and returns its body.
pub fn open_answer<'a>(
    key: &Key,
    from: &id::Instance,
    nonce: Nonce,
    sealed: &'a Sealed,
) -> Result<&'a str, OpenError> {
    let body = verify(ANSWER_CONTEXT, key, sealed)?;
    if sealed.from == *from && sealed.nonce == nonce {
        Ok(body)
    } else {
        Err(OpenError::Mismatch {
            from: sealed.from.clone(),
        })
    }
}
