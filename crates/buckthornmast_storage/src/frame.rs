//! Frames of the log file.
//!
//! A frame is `length: u32`, `header CRC-32: u32`, `payload CRC-32: u32` in little endian, then the
//! payload. The header CRC covers a salt, which is the disk identity, so that bytes inside a payload
//! can't pass for a header.
//!
//! A frame is appended only after the one before it was synced. An incomplete frame at the end is
//! therefore a torn write of the last batch, and a valid header anywhere after an invalid frame shows that
//! synced data was damaged.

/// Bytes of a frame header.
pub const HEADER_BYTES: usize = 12;

/// Largest payload of a frame. A header with a greater length is treated as invalid.
pub const MAX_PAYLOAD_BYTES: usize = 64 << 20;

/// State of the end of a log file.
#[derive(Debug, PartialEq, Eq)]
pub enum End {
    /// All bytes belong to valid frames.
    Clean,
    /// The last frame is incomplete or its checksum is wrong; the valid frames end at this offset.
    Torn(usize),
    /// The frame at this offset is invalid, and a valid header follows it.
    Damaged(usize),
}

fn header_crc(salt: &[u8], length: [u8; 4]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(salt);
    hasher.update(&length);
    hasher.finalize()
}

fn four_bytes(bytes: &[u8], at: usize) -> Option<[u8; 4]> {
    bytes.get(at..at.checked_add(4)?)?.try_into().ok()
}

/// Returns the payload length and payload CRC-32 of a valid header.
fn parse_header(bytes: &[u8], salt: &[u8]) -> Option<(usize, u32)> {
    let length = four_bytes(bytes, 0)?;
    let stored_header_crc = u32::from_le_bytes(four_bytes(bytes, 4)?);
    let payload_crc = u32::from_le_bytes(four_bytes(bytes, 8)?);
    let len = usize::try_from(u32::from_le_bytes(length)).ok()?;
    (len <= MAX_PAYLOAD_BYTES && stored_header_crc == header_crc(salt, length))
        .then_some((len, payload_crc))
}

/// Appends a frame to a buffer; returns false if the payload is larger than [`MAX_PAYLOAD_BYTES`].
#[must_use]
pub fn encode(buffer: &mut Vec<u8>, salt: &[u8], payload: &[u8]) -> bool {
    let Some(len) = u32::try_from(payload.len())
        .ok()
        .filter(|_| payload.len() <= MAX_PAYLOAD_BYTES)
    else {
        return false;
    };
    let length = len.to_le_bytes();
    buffer.extend_from_slice(&length);
    buffer.extend_from_slice(&header_crc(salt, length).to_le_bytes());
    buffer.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    buffer.extend_from_slice(payload);
    true
}

/// Calls `frame` with the payload of each valid frame from the start and returns how the file ends.
pub fn scan<'a>(bytes: &'a [u8], salt: &[u8], mut frame: impl FnMut(&'a [u8])) -> End {
    let mut at = 0;
    while at < bytes.len() {
        let rest = &bytes[at..];
        let payload = parse_header(rest, salt)
            .and_then(|(len, crc)| Some((rest.get(HEADER_BYTES..HEADER_BYTES + len)?, crc)))
            .filter(|(payload, crc)| crc32fast::hash(payload) == *crc);
        let Some((payload, _)) = payload else {
            return classify_invalid(bytes, at, salt);
        };
        frame(payload);
        at += HEADER_BYTES + payload.len();
    }
    End::Clean
}

fn classify_invalid(bytes: &[u8], at: usize, salt: &[u8]) -> End {
    let later = &bytes[at + 1..];
    let follows = (0..later.len()).any(|offset| parse_header(&later[offset..], salt).is_some());
    if follows {
        End::Damaged(at)
    } else {
        End::Torn(at)
    }
}
