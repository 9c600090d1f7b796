//! How much longer than usual a datagram took.

use std::time::Duration;

use buckthornmast_types::time::Point;

/// Microseconds per unit of a heartbeat's number.
pub(crate) const BEAT_MICROS: u64 = 10_000;

/// Time over which the shortest delay counts as usual. Clocks that differ by 100 ppm drift apart by
/// 6 ms in it.
const WINDOW: Duration = Duration::from_secs(60);

/// Delay that may stand for a change of the sender's clock or of the route.
const EXCESS: Duration = Duration::from_millis(500);

/// Time over which an excess must last, on both clocks, to become usual. A queue that is emptied at
/// once passes on the local clock in less.
const SETTLE: Duration = Duration::from_secs(1);

/// Difference between the clocks of a sender and of this instance, and the shortest delay.
#[derive(Debug, Clone, Default)]
pub(crate) struct Delay {
    /// Shortest offset in microseconds in this window and in the one before.
    shortest: Option<[i64; 2]>,
    window: Point,
    /// Time and number of the first of the latest datagrams, which were all late.
    excess: Option<(Point, u32)>,
}

impl Delay {
    /// Returns how much longer than usual the datagram with this number took.
    pub(crate) fn observe(&mut self, now: Point, beat: u32) -> Duration {
        let micros = u64::from(beat) * BEAT_MICROS;
        let offset = now.0.cast_signed() - micros.cast_signed();
        let [mut current, mut previous] = self.shortest.unwrap_or([offset; 2]);
        if now.since(self.window) >= WINDOW {
            self.window = now;
            previous = current;
            current = offset;
        }
        current = current.min(offset);
        let excess = offset - current.min(previous);
        let delay = Duration::from_micros(excess.unsigned_abs());
        if self.is_usual(now, beat, delay) {
            self.shortest = Some([offset; 2]);
            return Duration::ZERO;
        }
        self.shortest = Some([current, previous]);
        delay
    }

    /// Returns whether a long delay has lasted, so that it is the usual one from now on.
    fn is_usual(&mut self, now: Point, beat: u32, delay: Duration) -> bool {
        if delay < EXCESS {
            self.excess = None;
            return false;
        }
        let (since, first) = *self.excess.get_or_insert((now, beat));
        let sent = Duration::from_micros(u64::from(beat.saturating_sub(first)) * BEAT_MICROS);
        let settled = now.since(since) >= SETTLE && sent >= SETTLE;
        if settled {
            self.excess = None;
        }
        settled
    }
}
