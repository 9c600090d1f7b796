//! Account of the memory that the bodies of all requests of a server take, from their first byte to the end of their
//! exchange.
//!
//! Large bodies leave a part of the account to small ones. While more than half of it is in use, bodies that make no
//! progress give way, so that clients which stop before the end of a body can't hold it.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

/// Size in bytes up to which a body is small. Bodies of usual requests have less than 10 KB.
const SMALL_BYTES: usize = 16 << 10;

/// The account divided by this is left to small bodies.
const RESERVE_DIVISOR: usize = 4;

/// The account divided by this is in use when bodies without progress give way.
const CROWDED_DIVISOR: usize = 2;

/// Rate in bytes per second below which a body makes no progress. A small body then takes a quarter of a second.
const MIN_RATE: usize = 64 << 10;

/// Time without progress after which a body may be refused. It covers a lost packet, which is sent again within a second.
pub(crate) const GRACE: Duration = Duration::from_secs(1);

/// Returns whether a body that has had a number of bytes after a time makes no progress.
pub(crate) fn is_slow(bytes: usize, elapsed: Duration) -> bool {
    elapsed > GRACE && (bytes as f64) < MIN_RATE as f64 * elapsed.as_secs_f64()
}

/// Account of a server.
#[derive(Debug)]
pub(crate) struct Account {
    total: usize,
    used: Arc<AtomicUsize>,
}

impl Account {
    /// Returns an unused account of this size in bytes.
    pub(crate) fn new(total: usize) -> Self {
        Self {
            total,
            used: Arc::default(),
        }
    }

    /// Returns whether bodies without progress have to give way.
    pub(crate) fn is_crowded(&self) -> bool {
        self.used.load(Ordering::Relaxed) > self.total / CROWDED_DIVISOR
    }

    /// Returns an empty part of the account.
    pub(crate) fn hold(&self) -> Held {
        Held {
            total: self.total,
            used: Arc::clone(&self.used),
            bytes: 0,
        }
    }
}

/// Part of an account that one body uses, returned when it is dropped.
#[derive(Debug)]
pub(crate) struct Held {
    total: usize,
    used: Arc<AtomicUsize>,
    bytes: usize,
}

impl Held {
    /// Grows to a size if there is room for it.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let added = bytes.saturating_sub(self.bytes);
        let reserve = if bytes > SMALL_BYTES {
            self.total / RESERVE_DIVISOR
        } else {
            0
        };
        let used = self.used.fetch_add(added, Ordering::Relaxed) + added;
        if used + reserve > self.total {
            self.used.fetch_sub(added, Ordering::Relaxed);
            return false;
        }
        self.bytes += added;
        true
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
