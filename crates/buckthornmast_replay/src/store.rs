//! Fake weight store that serves a limited number of loads at full speed.

use buckthornmast_types::report::Phase;

use crate::engine::Engine;

/// Time in seconds from the last byte until a copy is ready.
const WARM_UP_SECONDS: f64 = 2.0;

/// Fake weight store.
#[derive(Debug, Clone, Copy)]
pub struct Store {
    /// Concurrent loads at full speed.
    pub concurrent: usize,
    /// Bytes per second of a load at full speed.
    pub speed: f64,
    /// Current share of the full speed.
    pub speed_factor: f64,
}

impl Store {
    /// Advances all loads by a step and returns how many were reading. Above the limit, all loads share
    /// the combined speed at the limit.
    pub fn advance(&self, engines: &mut [Engine], now: f64, seconds: f64) -> usize {
        let copies = || engines.iter().flat_map(|engine| &engine.copies);
        let reading = copies().filter(|copy| copy.phase == Phase::Loading && copy.bytes_left > 0.0);
        let count = reading.count();
        let share = (self.concurrent as f64 / count.max(1) as f64).min(1.0);
        let bytes = self.speed * self.speed_factor * share * seconds;
        for engine in engines {
            for copy in &mut engine.copies {
                if copy.phase == Phase::Loading && copy.bytes_left > 0.0 {
                    copy.bytes_left -= bytes;
                    copy.until = now + WARM_UP_SECONDS;
                } else if copy.phase == Phase::Loading && copy.until <= now {
                    copy.phase = Phase::Ready;
                }
            }
            engine
                .copies
                .retain(|copy| copy.phase != Phase::Unloading || copy.until > now);
        }
        count
    }
}
