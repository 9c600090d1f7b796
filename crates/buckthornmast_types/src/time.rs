//! Time for protocol logic.
//!
//! Pure logic never reads a clock: the caller passes the current [`Point`] to each call. The points of a process come
//! from one monotonic clock and are meaningless to another process, so messages carry ages and durations instead.

use std::{
    fmt,
    ops::{Add, Sub},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// Point in time, in microseconds since the start of the monotonic clock of one process.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Point(pub u64);

impl Point {
    /// Start of the clock.
    pub const ZERO: Self = Self(0);

    /// Returns the point this many milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// Returns the time since an earlier point, or zero if that point is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Point {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(
            self.0
                .saturating_add(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}

impl Sub<Duration> for Point {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(
            self.0
                .saturating_sub(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}

impl fmt::Display for Point {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

/// Source of the current time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the current point.
    fn now(&self) -> Point;
}

/// Monotonic clock of the process.
#[derive(Debug, Clone, Copy)]
pub struct System {
    start: Instant,
}

impl System {
    /// Starts a clock at [`Point::ZERO`].
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock for System {
    fn now(&self) -> Point {
        Point::ZERO + self.start.elapsed()
    }
}

/// Clock that is advanced manually, for tests.
#[derive(Debug, Clone, Default)]
pub struct Manual {
    now: Arc<AtomicU64>,
}

impl Manual {
    /// Moves the clock forward.
    pub fn advance(&self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.now.fetch_add(micros, Ordering::SeqCst);
    }
}

impl Clock for Manual {
    fn now(&self) -> Point {
        Point(self.now.load(Ordering::SeqCst))
    }
}

/// Returns the milliseconds since the Unix epoch on the wall clock, or 0 if the clock is set to an earlier time.
pub fn unix_millis() -> u64 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since_epoch.map_or(0, |span| {
        u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
    })
}
