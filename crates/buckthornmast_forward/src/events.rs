//! Events of a stream, cut out of its bytes.
//!
//! Bytes are passed on in whole events only, so that a stream that breaks in the middle of one can go on elsewhere
//! without a trace. Events are numbered; one that was passed on already is dropped, and a missing one ends the
//! attempt.

use bytes::{Bytes, BytesMut};

/// Largest event in bytes; a target that sends more without an end of the event is broken.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Reason why the bytes make up no stream that can be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An event is too large.
    Size,
    /// An event is missing.
    Gap {
        /// Number of the last event that was passed on.
        last: u64,
        /// Number that came instead of the next one.
        found: u64,
    },
}

/// Cuts bytes into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    // Bytes of the buffer that are known to hold no end of an event.
    searched: usize,
    last: Option<u64>,
}

impl Splitter {
    /// Starts behind an event, or with whatever number comes first.
    pub fn new(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Returns the number of the last event that was passed on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether the bytes so far end in the middle of an event.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Forgets the beginning of an event, before the stream goes on elsewhere.
    pub fn forget_partial(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }

    /// Takes bytes and returns the whole events that they complete, if any.
    pub fn push(&mut self, bytes: Bytes) -> Result<Option<Bytes>, Fault> {
        self.buffer.extend_from_slice(&bytes);
        let mut passed: Option<BytesMut> = None;
        while let Some(end) = self.find_end() {
            let event = self.buffer.split_to(end);
            self.searched = 0;
            if !self.accept(&event)? {
                continue;
            }
            match &mut passed {
                Some(passed) => passed.unsplit(event),
                None => passed = Some(event),
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(Fault::Size);
        }
        Ok(passed.map(BytesMut::freeze))
    }

    /// Returns the length of the first whole event, which ends with an empty line.
    fn find_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        let tail = &self.buffer[from..];
        let plain = tail.windows(2).position(|pair| pair == b"\n\n");
        let carriage = tail.windows(4).position(|four| four == b"\r\n\r\n");
        self.searched = self.buffer.len();
        match (
            plain.map(|at| from + at + 2),
            carriage.map(|at| from + at + 4),
        ) {
            (Some(plain), Some(carriage)) => Some(plain.min(carriage)),
            (plain, carriage) => plain.or(carriage),
        }
    }

    /// Returns whether an event is to be passed on.
    fn accept(&mut self, event: &[u8]) -> Result<bool, Fault> {
        let Some(number) = number_of(event) else {
            return Ok(true);
        };
        match self.last {
            Some(last) if number <= last => return Ok(false),
            Some(last) if number > last + 1 => {
                return Err(Fault::Gap {
                    last,
                    found: number,
                });
            }
            _ => {}
        }
        self.last = Some(number);
        Ok(true)
    }
}

/// Returns the number of an event.
fn number_of(event: &[u8]) -> Option<u64> {
    let mut lines = event.rsplit(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
