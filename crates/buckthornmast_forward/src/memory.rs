//! Memory for what an instance holds for its callers: bodies of requests, and answers of targets until they, or one event
//! of them, are whole.
//!
//! An answer may take as much as is left after it (a dynamic threshold). So `n` answers without end take about `1 / (n + 1)`
//! of the memory each, and at least half of such a share stays free for the others. The size of a request body is known or
//! bounded, so it draws what it needs beforehand and leaves a reserve (see [`crate::receive`]).

use std::{
    mem,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::{Buf, Bytes};
use smallvec::SmallVec;
use tokio::sync::{Notify, futures::Notified};

/// Memory of an instance whose settings don't state any, in bytes.
const DEFAULT_BYTES: usize = 32 << 20;

/// Memory that the bodies and answers of an instance share.
#[derive(Debug, Clone)]
pub struct Memory {
    total: usize,
    used: Arc<AtomicUsize>,
    freed: Arc<Notify>,
}

impl Default for Memory {
    fn default() -> Self {
        Self::new(DEFAULT_BYTES)
    }
}

impl Memory {
    /// Returns an unused memory of this size in bytes.
    pub fn new(total: usize) -> Self {
        Self {
            total,
            used: Arc::default(),
            freed: Arc::default(),
        }
    }

    /// Returns the size in bytes.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Completes when a holder has returned a part of the memory after this call.
    pub fn freed(&self) -> Notified<'_> {
        self.freed.notified()
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns an empty share.
    pub fn share(&self) -> Share {
        Share {
            memory: self.clone(),
            bytes: 0,
        }
    }
}

/// Part of the memory that one body or answer uses. Dropping it returns the part.
#[derive(Debug)]
pub struct Share {
    memory: Memory,
    bytes: usize,
}

impl Share {
    /// Changes the size. Returns whether there is room for it; a share that doesn't grow always has room.
    pub fn resize(&mut self, bytes: usize) -> bool {
        self.resize_beside(bytes, 0)
    }

    /// Changes the size like [`Self::resize`], for a holder that has this number of bytes in other shares.
    fn resize_beside(&mut self, bytes: usize, others: usize) -> bool {
        let used = self.memory.used() - self.bytes + bytes;
        let left = self.memory.total.saturating_sub(used);
        if bytes > self.bytes && others + bytes > left {
            return false;
        }
        self.set(bytes);
        true
    }

    /// Grows to a size unless less than `reserve` bytes of the memory would be left. Returns whether the share has at least
    /// that size.
    pub fn draw(&mut self, bytes: usize, reserve: usize) -> bool {
        if bytes > self.bytes {
            let used = self.memory.used() - self.bytes + bytes;
            if used + reserve > self.memory.total {
                return false;
            }
            self.set(bytes);
        }
        true
    }

    fn set(&mut self, bytes: usize) {
        // The holders of an instance run on one thread, only the last holder of sent bytes may be dropped on another.
        if bytes >= self.bytes {
            let added = bytes - self.bytes;
            self.memory.used.fetch_add(added, Ordering::Relaxed);
        } else {
            let returned = self.bytes - bytes;
            self.memory.used.fetch_sub(returned, Ordering::Relaxed);
            self.memory.freed.notify_waiters();
        }
        self.bytes = bytes;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// Bytes that are held together with their share.
#[derive(Debug)]
pub struct Held {
    bytes: Vec<u8>,
    share: Share,
}

impl Held {
    /// Returns no bytes with an empty share.
    pub fn new(memory: &Memory) -> Self {
        Self {
            bytes: Vec::new(),
            share: memory.share(),
        }
    }

    /// Appends bytes. Returns whether there is room for them; without room, nothing is changed.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.push_within(bytes, usize::MAX, 0)
    }

    /// Appends bytes, and makes room for no more than a number in total beyond them. `others` is what their holder has in other
    /// shares.
    fn push_within(&mut self, bytes: &[u8], most: usize, others: usize) -> bool {
        let length = self.bytes.len() + bytes.len();
        if length > self.bytes.capacity() {
            let amortised = length.max(most.min(self.bytes.capacity() * 2));
            let capacity = [amortised, length]
                .into_iter()
                .find(|capacity| self.share.resize_beside(*capacity, others));
            let Some(capacity) = capacity else {
                return false;
            };
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        true
    }

    /// Makes room for a number of bytes in total unless less than `reserve` bytes of the memory would be left. Returns
    /// whether there is room.
    pub fn draw(&mut self, capacity: usize, reserve: usize) -> bool {
        if capacity <= self.bytes.capacity() {
            return true;
        }
        let has_room = self.share.draw(capacity, reserve);
        if has_room {
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        has_room
    }

    /// Returns the number of bytes for which there is room.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the bytes. Their share is returned with the last reference to them.
    pub fn into_bytes(self) -> Bytes {
        if self.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Largest piece in bytes. Allocators treat large blocks apart, and one that grows leaves gaps of sizes that nothing fits in:
/// answers that were held in one block each made a process take twice what they held.
const PIECE_BYTES: usize = 64 << 10;

/// Bytes that are held in pieces of limited size together with their shares.
#[derive(Debug)]
pub struct Pieces {
    memory: Memory,
    whole: SmallVec<[Bytes; 1]>,
    // Room that they take.
    whole_bytes: usize,
    last: Held,
}

impl Pieces {
    /// Returns no bytes.
    pub fn new(memory: &Memory) -> Self {
        Self {
            memory: memory.clone(),
            whole: SmallVec::new(),
            whole_bytes: 0,
            last: Held::new(memory),
        }
    }

    /// Appends bytes, and returns those for which there is no room.
    pub fn push(&mut self, mut bytes: Bytes) -> Bytes {
        while !bytes.is_empty() {
            if self.last.len() == PIECE_BYTES {
                self.end_piece();
            }
            let length = bytes.len().min(PIECE_BYTES - self.last.len());
            let others = self.whole_bytes;
            if !self.last.push_within(&bytes[..length], PIECE_BYTES, others) {
                break;
            }
            bytes.advance(length);
        }
        bytes
    }

    fn end_piece(&mut self) {
        let next = Held::new(&self.memory);
        let last = mem::replace(&mut self.last, next);
        if !last.is_empty() {
            self.whole_bytes += last.capacity();
            self.whole.push(last.into_bytes());
        }
    }

    /// Returns the pieces. The share of each is returned with the last reference to it.
    pub fn into_pieces(mut self) -> SmallVec<[Bytes; 1]> {
        self.end_piece();
        self.whole
    }
}
