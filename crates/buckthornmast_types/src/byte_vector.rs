//! Encoding of a byte vector in one step, for `#[serde(with = "byte_vector")]`.
//!
//! The result equals that of a list of bytes, in postcard as well as in JSON, but a list takes one step per byte.

use std::fmt;

use serde::{
    Deserializer, Serializer,
    de::{Error, SeqAccess, Visitor},
};

/// Encodes bytes.
pub fn serialize<T: AsRef<[u8]>, S: Serializer>(
    bytes: &T,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes.as_ref())
}

/// Decodes bytes.
pub fn deserialize<'de, T: From<Vec<u8>>, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<T, D::Error> {
    deserializer.deserialize_byte_buf(Bytes).map(T::from)
}

struct Bytes;

impl<'de> Visitor<'de> for Bytes {
    type Value = Vec<u8>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
        Ok(bytes.to_vec())
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
        Ok(bytes)
    }

    // JSON has no bytes, only lists of numbers.
    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Vec<u8>, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = list.next_element()? {
            bytes.push(byte);
        }
        Ok(bytes)
    }
}
