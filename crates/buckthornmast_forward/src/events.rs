//! Splits the bytes of a stream into events.
//!
//! Only whole events are forwarded, so that a stream that fails in the middle of an event can be resumed at another
//! target without the caller noticing. Events are numbered. One that was forwarded already is dropped, and a missing
//! one ends the attempt.
//!
//! A continuation proves itself by its first number, which has to be the next one. Until then comments and events without
//! a number are dropped, since they may be those of an error. An older number shows a stream that has begun anew, whose
//! words may differ. A block of lines without any field of an event is no part of a stream, wherever it comes.

use bytes::{Bytes, BytesMut};

use crate::memory::Share;

/// Largest event in bytes. A target that sends more without ending the event is faulty.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Largest number of bytes that a continuation may bring before its first event with a number.
pub const MAX_UNPROVEN_BYTES: usize = 64 << 10;

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
    /// Bytes are no event.
    Foreign,
    /// A continuation brings too much before its first event with a number.
    Unproven,
}

impl Fault {
    /// Returns the cause for the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Size => "an event is too large",
            Self::Gap { last, found } if found <= last => "the stream was begun anew",
            Self::Gap { .. } => "an event is missing",
            Self::Foreign => "the stream has bytes that are no event",
            Self::Unproven => "the stream was not continued with the next event",
        }
    }
}

/// What the regular end of an answer ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// A stream of whole events.
    Stream,
    /// An event that is not whole, a stream with a [`Fault`], or a continuation with other events than the next ones.
    Broken,
    /// An answer without an event.
    Nothing,
}

/// Lines up to an empty one.
enum Block {
    /// Event with a number.
    Numbered(u64),
    /// Event without a number.
    Unnumbered,
    /// Comments or settings, which are no event.
    Silent,
    /// No part of a stream of events.
    Foreign,
}

/// Splits bytes into events.
#[derive(Debug)]
pub struct Splitter {
    buffer: BytesMut,
    // Number of bytes at the start of the buffer that contain no end of an event.
    searched: usize,
    share: Share,
    last: Option<u64>,
    has_event: bool,
    // Whether a continuation had an event without a number before its first one.
    has_dropped_event: bool,
    // Number of bytes that a continuation brought before its first event, or `None` once it has proven itself.
    unproven: Option<usize>,
    fault: Option<Fault>,
}

impl Splitter {
    /// Returns a splitter that expects a continuation with the event after `last`, or a stream with any first number if `last`
    /// is `None`, and that holds events in `share` until they are whole.
    pub fn new(last: Option<u64>, share: Share) -> Self {
        Self {
            buffer: BytesMut::new(),
            searched: 0,
            share,
            last,
            has_event: false,
            has_dropped_event: false,
            unproven: last.map(|_| 0),
            fault: None,
        }
    }

    /// Returns the number of the last forwarded event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether the stream can go on at another target. Events without any number before them can't be told from
    /// those of a stream that begins anew.
    pub fn is_resumable(&self) -> bool {
        self.last.is_some() || !self.has_event
    }

    /// Returns what ends if the answer ends regularly now.
    pub fn ending(&self) -> Ending {
        if self.fault.is_some() || self.is_partial() {
            Ending::Broken
        } else if self.has_event {
            Ending::Stream
        } else if self.has_dropped_event {
            Ending::Broken
        } else {
            Ending::Nothing
        }
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
            [b'\r', b'\n', ..] => Some(at + 3),
            _ => None,
        });
        end.map(|end| from + end)
    }

    /// Returns whether a block is to be forwarded.
    fn accept(&mut self, block: &[u8]) -> Result<bool, Fault> {
        let block_bytes = block.len();
        let block = Block::parse(block, self.unproven.is_some());
        if let (Block::Unnumbered | Block::Silent, Some(dropped)) = (&block, &mut self.unproven) {
            self.has_dropped_event |= matches!(block, Block::Unnumbered);
            *dropped += block_bytes;
            if *dropped > MAX_UNPROVEN_BYTES {
                return Err(Fault::Unproven);
            }
            return Ok(false);
        }
        let number = match block {
            Block::Numbered(number) => number,
            Block::Foreign => return Err(Fault::Foreign),
            Block::Unnumbered => {
                self.has_event = true;
                return Ok(true);
            }
            Block::Silent => return Ok(true),
        };
        match self.last {
            Some(last) if number <= last && self.unproven.is_none() => return Ok(false),
            Some(last) if number <= last || number > last + 1 => {
                return Err(Fault::Gap {
                    last,
                    found: number,
                });
            }
            _ => {}
        }
        self.last = Some(number);
        self.has_event = true;
        self.unproven = None;
        Ok(true)
    }
}

impl Block {
    /// Parses a block. The format ignores unknown fields and ends lines with a lone carriage return as well; an `is_strict`
    /// parser takes a line without a field, or such an end, as a sign that the block is no event.
    fn parse(block: &[u8], is_strict: bool) -> Self {
        let mut has_field = false;
        let mut has_data = false;
        let mut number = None;
        let mut is_blank = true;
        let is_lone = |pair: &[u8]| pair[0] == b'\r' && pair[1] != b'\n';
        if is_strict && block.windows(2).any(is_lone) {
            return Self::Foreign;
        }
        let lines = block.split(|byte| matches!(byte, b'\n' | b'\r'));
        for line in lines.filter(|line| !line.is_empty()) {
            is_blank = false;
            let colon = line.iter().position(|byte| *byte == b':');
            let (name, value) = colon.map_or((line, &[][..]), |at| (&line[..at], &line[at + 1..]));
            match name {
                b"id" => number = parse_number(value),
                b"data" => has_data = true,
                b"" | b"event" | b"retry" => {}
                _ if is_strict && colon.is_none() => return Self::Foreign,
                _ => continue,
            }
            has_field = true;
        }
        match number {
            Some(number) => Self::Numbered(number),
            None if has_data => Self::Unnumbered,
            None if has_field || is_blank => Self::Silent,
            None => Self::Foreign,
        }
    }
}

/// Parses the value of the field with the number of an event.
fn parse_number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
