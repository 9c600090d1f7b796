//! Connections that keep the server waiting for a request.
//!
//! When connections or descriptors run out, the one that has waited longest gives way, so half-open
//! and idle clients can't shut others out. A connection with a request in progress is never chosen, and one whose
//! request turns out to have arrived before it has given way keeps its place: the next one goes instead.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU8, AtomicU64, Ordering},
    },
};

use tokio::sync::Notify;

/// All connections that wait.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    next: AtomicU64,
    connections: Mutex<BTreeMap<u64, Arc<Notify>>>,
}

/// One connection.
#[derive(Debug)]
pub(crate) struct Place {
    waiting: Arc<Waiting>,
    close: Arc<Notify>,
    number: AtomicU64,
    phase: AtomicU8,
}

/// The connection stays open.
const OPEN: u8 = 0;

/// The connection is closing; a request on it must not be run.
const CLOSING: u8 = 1;

/// The connection was told to give way, but has a request.
const KEPT: u8 = 2;

impl Waiting {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<Notify>>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes the connection that has waited longest and returns whether there was one.
    pub(crate) fn close_oldest(&self) -> bool {
        let oldest = self.lock().pop_first();
        oldest.map(|(_, close)| close.notify_one()).is_some()
    }

    /// Adds a connection that waits for its first request.
    pub(crate) fn join(self: &Arc<Self>) -> Place {
        let place = Place {
            waiting: Arc::clone(self),
            close: Arc::default(),
            number: AtomicU64::new(0),
            phase: AtomicU8::new(OPEN),
        };
        place.wait();
        place
    }
}

impl Place {
    /// Begins to wait for a request.
    pub(crate) fn wait(&self) {
        let number = self.waiting.next.fetch_add(1, Ordering::Relaxed);
        self.number.store(number, Ordering::Relaxed);
        self.waiting.lock().insert(number, Arc::clone(&self.close));
    }

    fn remove(&self) -> bool {
        let number = self.number.load(Ordering::Relaxed);
        self.waiting.lock().remove(&number).is_some()
    }

    fn change(&self, from: u8, to: u8) -> bool {
        let changed = self
            .phase
            .compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire);
        changed.is_ok()
    }

    /// Ends the wait, because a whole request has arrived. Returns false if the connection is giving way: the request
    /// must then not be run, as its answer would be cut.
    pub(crate) fn arrived(&self) -> bool {
        if self.remove() {
            return true;
        }
        let is_kept = self.change(OPEN, KEPT);
        if is_kept {
            self.waiting.close_oldest();
        }
        is_kept
    }

    /// Begins to close, after it was told to; returns false if a request has kept the connection open.
    pub(crate) fn gives_way(&self) -> bool {
        if self.change(OPEN, CLOSING) {
            return true;
        }
        self.change(KEPT, OPEN);
        false
    }

    /// Returns a handle that closes the connection.
    pub(crate) fn handle(&self) -> Arc<Notify> {
        Arc::clone(&self.close)
    }

    /// Returns once the connection has to give way.
    pub(crate) async fn closed(&self) {
        self.close.notified().await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.remove();
    }
}
