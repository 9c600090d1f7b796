//! Places of a server for open connections.
//!
//! If all are taken, the connection that has waited longest for a request gives way to a new one, first among those that
//! have never brought a request. A connection with a request in progress doesn't give way.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use tokio::sync::Notify;

/// Number of connections beyond the maximum while evicted ones close.
const MAX_EVICTED: usize = 32;

/// Time in which an evicted connection may send the rest of an answer.
pub const EVICTION_TIME: Duration = Duration::from_secs(1);

/// Places of a server.
#[derive(Debug)]
pub struct Places {
    most: usize,
    open: Cell<usize>,
    next: Cell<u64>,
    // Connections without a request in progress, in the order in which they began to wait.
    fresh: RefCell<BTreeMap<u64, Rc<Notify>>>,
    kept: RefCell<BTreeMap<u64, Rc<Notify>>>,
}

impl Places {
    /// Returns a number of free places.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Self {
            most,
            open: Cell::new(0),
            next: Cell::new(0),
            fresh: RefCell::default(),
            kept: RefCell::default(),
        })
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Takes a place for a new connection. If all are taken, another connection gives way, or `evict` ends something
    /// that keeps one open. Returns `None` if there is no place.
    pub fn take(self: &Rc<Self>, evict: impl FnOnce() -> bool) -> Option<Place> {
        if self.open() >= self.most {
            let has_evicted = self.open() < self.most + MAX_EVICTED && (self.evict() || evict());
            if !has_evicted {
                metrics::counter!("buckthornmast_connections_refused_total").increment(1);
                return None;
            }
            metrics::counter!("buckthornmast_connections_evicted_total").increment(1);
        }
        self.open.set(self.open() + 1);
        let place = Place {
            places: Rc::clone(self),
            number: Cell::new(0),
            requests: Cell::new(0),
            evicted: Rc::default(),
        };
        place.wait();
        Some(place)
    }

    fn evict(&self) -> bool {
        let oldest = self.fresh.borrow_mut().pop_first();
        let oldest = oldest.or_else(|| self.kept.borrow_mut().pop_first());
        if let Some((_, evicted)) = &oldest {
            evicted.notify_one();
        }
        oldest.is_some()
    }
}

/// Place of one connection, free again when it is dropped.
#[derive(Debug)]
pub struct Place {
    places: Rc<Places>,
    // Number in the order of those that wait.
    number: Cell<u64>,
    requests: Cell<u64>,
    evicted: Rc<Notify>,
}

impl Place {
    fn wait(&self) {
        let number = self.places.next.get();
        self.places.next.set(number + 1);
        self.number.set(number);
        let waiting = if self.is_fresh() {
            &self.places.fresh
        } else {
            &self.places.kept
        };
        let evicted = Rc::clone(&self.evicted);
        waiting.borrow_mut().insert(number, evicted);
    }

    fn end_wait(&self) {
        let number = self.number.get();
        self.places.fresh.borrow_mut().remove(&number);
        self.places.kept.borrow_mut().remove(&number);
    }

    /// Returns whether the connection has not brought a request yet.
    pub fn is_fresh(&self) -> bool {
        self.requests.get() == 0
    }

    /// Begins a request, which lasts until the returned guard is dropped.
    pub fn begin(self: &Rc<Self>) -> Busy {
        self.end_wait();
        self.requests.set(self.requests.get() + 1);
        Busy(Rc::clone(self))
    }

    /// Waits until the connection has to give way.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.end_wait();
        self.places.open.set(self.places.open() - 1);
    }
}

/// Request in progress on a connection.
#[derive(Debug)]
pub struct Busy(Rc<Place>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.wait();
    }
}
