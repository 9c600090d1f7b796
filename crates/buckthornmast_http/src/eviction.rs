//! Eviction of connections that wait for a request.
//!
//! When connections or descriptors run out, the connection that has waited longest is evicted, so that half-open
//! and idle clients can't exclude others. A connection with a request in progress is never evicted. If a request
//! turns out to have arrived before the eviction, its connection stays open and the next one is evicted instead.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU8, AtomicU64, Ordering},
    },
};

use tokio::sync::Notify;

/// All connections that wait for a request, in the order in which they began to wait.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    next_number: AtomicU64,
    connections: Mutex<BTreeMap<u64, Arc<Notify>>>,
}

/// Slot of one connection in the queue.
#[derive(Debug)]
pub(crate) struct Slot {
    queue: Arc<Queue>,
    close: Arc<Notify>,
    number: AtomicU64,
    phase: AtomicU8,
}

/// The connection stays open.
const OPEN: u8 = 0;

/// The connection is closing; a request on it must not be run.
const CLOSING: u8 = 1;

/// The connection was chosen for eviction, but has a request.
const RETAINED: u8 = 2;

impl Queue {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<Notify>>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Evicts the connection that has waited longest and returns whether there was one.
    pub(crate) fn evict_oldest(&self) -> bool {
        let oldest = self.lock().pop_first();
        oldest.map(|(_, close)| close.notify_one()).is_some()
    }

    /// Adds a connection, which waits for its first request.
    pub(crate) fn register(self: &Arc<Self>) -> Slot {
        let slot = Slot {
            queue: Arc::clone(self),
            close: Arc::default(),
            number: AtomicU64::new(0),
            phase: AtomicU8::new(OPEN),
        };
        slot.enqueue();
        slot
    }
}

impl Slot {
    /// Adds the connection to the end of the queue, because it waits for a request.
    pub(crate) fn enqueue(&self) {
        let number = self.queue.next_number.fetch_add(1, Ordering::Relaxed);
        self.number.store(number, Ordering::Relaxed);
        self.queue.lock().insert(number, Arc::clone(&self.close));
    }

    fn remove(&self) -> bool {
        let number = self.number.load(Ordering::Relaxed);
        self.queue.lock().remove(&number).is_some()
    }

    fn transition(&self, from: u8, to: u8) -> bool {
        let result = self
            .phase
            .compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire);
        result.is_ok()
    }

    /// Removes the connection from the queue, because a complete request has arrived. Returns false if the connection
    /// is being evicted: the request must then not be run, as its answer would be truncated.
    pub(crate) fn dequeue_for_request(&self) -> bool {
        if self.remove() {
            return true;
        }
        let is_retained = self.transition(OPEN, RETAINED);
        if is_retained {
            self.queue.evict_oldest();
        }
        is_retained
    }

    /// Begins to close an evicted connection; returns false if a request keeps it open.
    pub(crate) fn begin_close(&self) -> bool {
        if self.transition(OPEN, CLOSING) {
            return true;
        }
        self.transition(RETAINED, OPEN);
        false
    }

    /// Returns a handle that evicts the connection.
    pub(crate) fn close_handle(&self) -> Arc<Notify> {
        Arc::clone(&self.close)
    }

    /// Returns once the connection has been chosen for eviction.
    pub(crate) async fn evicted(&self) {
        self.close.notified().await;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.remove();
    }
}
