//! Progress of a body that is being received.

use std::time::Duration;

use tokio::time::Instant;

/// Rate in bytes per second below which a body makes no progress. A body of 16 KiB then takes a quarter of a second.
pub const MIN_RATE: u32 = 64 << 10;

/// Time without progress after which a body may be ended. It covers a lost packet, which is sent again within a second.
pub const GRACE: Duration = Duration::from_secs(1);

/// Progress of a body. Each byte extends the time until it is due, up to [`GRACE`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    due: Instant,
}

impl Pace {
    /// Returns the pace of a body whose reception starts.
    pub fn start(now: Instant) -> Self {
        Self { due: now + GRACE }
    }

    /// Adds received bytes.
    #[must_use]
    pub fn advance(self, bytes: usize, now: Instant) -> Self {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        let time = Duration::from_secs(1).saturating_mul(bytes) / MIN_RATE;
        let extended = self.due.max(now) + time.min(GRACE);
        Self {
            due: extended.min(now + GRACE),
        }
    }

    /// Returns when the body counts as one without progress, unless bytes arrive before.
    pub fn due(self) -> Instant {
        self.due
    }
}
