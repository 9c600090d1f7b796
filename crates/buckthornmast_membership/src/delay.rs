//! Estimate of a datagram's delay beyond the usual one.

use std::time::Duration;

use buckthornmast_types::time::Point;

/// Microseconds per unit of a heartbeat's sequence number.
pub(crate) const SEQUENCE_UNIT_MICROS: u64 = 10_000;

/// Length of a window of which the shortest delay is the baseline. Clocks whose rates differ by 100 ppm drift
/// apart by 6 ms in it.
const BASELINE_WINDOW: Duration = Duration::from_secs(60);

/// Excess delay that may indicate a change of the sender's clock or of the route.
const SHIFT_THRESHOLD: Duration = Duration::from_millis(500);

/// Time for which such an excess must last, on both clocks, to become the baseline. A burst from a drained queue
/// arrives in less time on the local clock.
const MIN_SHIFT_DURATION: Duration = Duration::from_secs(1);

/// Estimator of the excess delay of one sender's datagrams.
///
/// An offset is the arrival time on the local clock minus the sending time on the sender's clock, so the smallest one
/// is the difference between the clocks plus the shortest delay.
#[derive(Debug, Clone, Default)]
pub(crate) struct Estimator {
    /// Smallest offset in microseconds in the current window and in the previous one.
    smallest_offsets: Option<[i64; 2]>,
    window_start: Point,
    /// Arrival time and sequence number of the first datagram of the current run of late ones.
    late_since: Option<(Point, u32)>,
}

impl Estimator {
    /// Returns the delay beyond the baseline of the datagram with this sequence number.
    pub(crate) fn observe(&mut self, now: Point, sequence: u32) -> Duration {
        let micros = u64::from(sequence) * SEQUENCE_UNIT_MICROS;
        let offset = now.0.cast_signed() - micros.cast_signed();
        let [mut current, mut previous] = self.smallest_offsets.unwrap_or([offset; 2]);
        if now.since(self.window_start) >= BASELINE_WINDOW {
            self.window_start = now;
            previous = current;
            current = offset;
        }
        current = current.min(offset);
        let excess = offset - current.min(previous);
        let delay = Duration::from_micros(excess.unsigned_abs());
        if self.is_new_baseline(now, sequence, delay) {
            self.smallest_offsets = Some([offset; 2]);
            return Duration::ZERO;
        }
        self.smallest_offsets = Some([current, previous]);
        delay
    }

    /// Returns whether a long delay has lasted long enough to become the new baseline.
    fn is_new_baseline(&mut self, now: Point, sequence: u32, delay: Duration) -> bool {
        if delay < SHIFT_THRESHOLD {
            self.late_since = None;
            return false;
        }
        let (since, first_sequence) = *self.late_since.get_or_insert((now, sequence));
        let sender_elapsed = Duration::from_micros(
            u64::from(sequence.saturating_sub(first_sequence)) * SEQUENCE_UNIT_MICROS,
        );
        let has_lasted =
            now.since(since) >= MIN_SHIFT_DURATION && sender_elapsed >= MIN_SHIFT_DURATION;
        if has_lasted {
            self.late_since = None;
        }
        has_lasted
    }
}
