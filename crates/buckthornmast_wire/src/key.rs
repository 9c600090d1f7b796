//! Cluster key, and the MAC computed with it.

use std::{fmt, str::FromStr};

use hmac::{Hmac, Mac as _};
use sha2::Sha256;
use snafu::Snafu;

/// Length of a key in bytes.
pub const KEY_LEN: usize = 32;

/// Length of a MAC in bytes.
pub const MAC_LEN: usize = 32;

/// Secret that all instances of a cluster share.
///
/// The text form is 64 hexadecimal digits.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

/// Reason why a key is refused; the message never contains the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("cluster key is not {} hexadecimal digits", 2 * KEY_LEN))]
pub struct KeyError;

impl Key {
    /// Returns the key with these bytes.
    pub fn new(bytes: [u8; KEY_LEN]) -> Self {
        // A 32-byte key fits the block size of SHA-256, so the key is never hashed or refused.
        let block = hmac::digest::Key::<Hmac<Sha256>>::from_iter(
            bytes
                .into_iter()
                .chain(std::iter::repeat_n(0, 64 - KEY_LEN)),
        );
        Self(Hmac::new(&block))
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        for part in parts {
            mac.update(part);
        }
        mac
    }

    /// Signs the concatenation of the parts.
    pub(crate) fn sign(&self, parts: &[&[u8]]) -> [u8; MAC_LEN] {
        self.mac(parts).finalize().into_bytes().into()
    }

    /// Verifies a MAC in constant time. `mac` may be truncated to the left part, down to half of the length.
    pub(crate) fn verify(&self, parts: &[&[u8]], mac: &[u8]) -> bool {
        mac.len() >= MAC_LEN / 2 && self.mac(parts).verify_truncated_left(mac).is_ok()
    }
}

impl FromStr for Key {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        decode_hex(text.trim()).map(Self::new).ok_or(KeyError)
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

pub(crate) fn encode_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let digit = |nibble: u8| char::from(DIGITS[usize::from(nibble)]);
    bytes
        .iter()
        .flat_map(|byte| [digit(byte >> 4), digit(byte & 15)])
        .collect()
}

pub(crate) fn decode_hex<const N: usize>(text: &str) -> Option<[u8; N]> {
    let digits = text.as_bytes();
    if digits.len() != 2 * N {
        return None;
    }
    let nibble = |digit: u8| char::from(digit).to_digit(16);
    let mut bytes = [0; N];
    for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
        let value = nibble(pair[0])? * 16 + nibble(pair[1])?;
        *byte = u8::try_from(value).ok()?;
    }
    Some(bytes)
}
