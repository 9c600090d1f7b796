//! Splits the bytes of a stream into events.
//!
//! Only whole events are forwarded, so that a stream that fails in the middle of an event can be resumed at another
//! target without the caller noticing. Events are numbered. One that was forwarded already is dropped, and a missing
//! one ends the attempt.

use bytes::{Bytes, BytesMut};

use crate::memory::Share;

/// Largest event in bytes. A target that sends more without ending the event is faulty.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Reason why a stream can't be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An event is too large, or there is no memory for it.
    Size,
    /// An event is missing.
    Gap {
        /// Number of the last forwarded event.
        last: u64,
        /// Number that arrived instead of the next one.
        found: u64,
    },
}

/// Splits bytes into events.
#[derive(Debug)]
pub struct Splitter {
    buffer: BytesMut,
    // Number of bytes at the start of the buffer that contain no end of an event.
    searched: usize,
    share: Share,
    last: Option<u64>,
    fault: Option<Fault>,
}

impl Splitter {
    /// Returns a splitter that expects the event after `last`, or any first number if `last` is `None`, and that holds
    /// events in `share` until they are whole.
    pub fn new(last: Option<u64>, share: Share) -> Self {
        Self {
            buffer: BytesMut::new(),
            searched: 0,
            share,
            last,
            fault: None,
        }
    }

    /// Returns the number of the last forwarded event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether the bytes received so far end in the middle of an event.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards the beginning of an event, because it can't become whole or the stream is resumed at another target.
    pub fn discard_partial(&mut self) {
        self.buffer = BytesMut::new();
        self.share.resize(0);
        self.searched = 0;
    }

    /// Returns why the stream can't be forwarded further, if it can't. Events returned until then are sound.
    pub fn fault(&self) -> Option<Fault> {
        self.fault
    }

    /// Appends bytes and returns the events that they complete, if any. After a [fault](Self::fault), all further bytes
    /// are dropped.
    pub fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        if self.fault.is_some() {
            return None;
        }
        self.buffer.extend_from_slice(&bytes);
        let mut events: Option<BytesMut> = None;
        while let Some(end) = self.find_end() {
            let event = self.buffer.split_to(end);
            self.searched = 0;
            match self.accept(&event) {
                Ok(true) => match &mut events {
                    Some(events) => events.unsplit(event),
                    None => events = Some(event),
                },
                Ok(false) => {}
                Err(fault) => {
                    self.fault = Some(fault);
                    break;
                }
            }
        }
        let has_room = self.share.resize(self.buffer.len());
        if self.fault.is_none() && (!has_room || self.buffer.len() > MAX_EVENT_BYTES) {
            self.fault = Some(Fault::Size);
        }
        if self.fault.is_some() {
            self.discard_partial();
        }
        events.map(BytesMut::freeze)
    }

    /// Returns the length of the first whole event, which ends with an empty line.
    fn find_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        self.searched = self.buffer.len();
        // One pass, since a search for each kind of line end would run to the end of the buffer for each event.
        let tail = &self.buffer[from..];
        let mut line_ends = (0..tail.len()).filter(|at| tail[*at] == b'\n');
        let end = line_ends.find_map(|at| match &tail[at + 1..] {
            [b'\n', ..] => Some(at + 2),
            [b'\r', b'\n', ..] if tail[..at].ends_with(b"\r") => Some(at + 3),
            _ => None,
        });
        end.map(|end| from + end)
    }

    /// Returns whether an event is to be forwarded.
    fn accept(&mut self, event: &[u8]) -> Result<bool, Fault> {
        let Some(number) = event_number(event) else {
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
fn event_number(event: &[u8]) -> Option<u64> {
    let mut lines = event.rsplit(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
