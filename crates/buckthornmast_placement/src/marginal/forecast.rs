//! Demand forecast from a fast and a slow moving average and the time of day.

use std::time::Duration;

use buckthornmast_types::time::Point;

use crate::view::Demand;

/// Time constant of the fast average in seconds; it smooths the noise of a few seconds of requests.
const FAST: f64 = 8.0;
/// Time constant of the slow average in seconds; it is the level that a burst stands out from.
const SLOW: f64 = 240.0;
/// Highest factor by which a forecast exceeds the demand of the moment.
///
/// A tenfold burst within an hour multiplies demand by at most 1.3 within the usual lead of a few
/// minutes, and a sudden one is not predictable.
const MAX_GROWTH: f64 = 1.6;

/// Averages of one artifact.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Track {
    at: Point,
    fast: f64,
    slow: f64,
}

/// Requests a second that a decision plans for.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Outlook {
    /// Demand that a new copy is meant for.
    pub(crate) rising: f64,
    /// Demand that a copy is kept for.
    pub(crate) kept: f64,
}

impl Track {
    /// Starts at a rate.
    pub(crate) fn start(now: Point, rate: f64) -> Self {
        Self {
            at: now,
            fast: rate,
            slow: rate,
        }
    }

    /// Takes in the rate of this moment.
    pub(crate) fn observe(&mut self, now: Point, rate: f64) {
        let seconds = now.since(self.at).as_secs_f64();
        self.at = now;
        self.fast += (rate - self.fast) * (1.0 - (-seconds / FAST).exp());
        self.slow += (rate - self.slow) * (1.0 - (-seconds / SLOW).exp());
    }

    /// Returns the demand expected within `lead`.
    pub(crate) fn outlook(&self, demand: &Demand, time: Duration, lead: Duration) -> Outlook {
        let growth = demand.day.map_or(1.0, |day| {
            let now = hour_rate(&day, time);
            let then = hour_rate(&day, time + lead);
            if now > 0.0 {
                (then / now).clamp(1.0, MAX_GROWTH)
            } else {
                1.0
            }
        });
        let trend = if self.fast > self.slow && self.slow > 0.0 {
            1.0 + (lead.as_secs_f64() / SLOW) * (1.0 - self.slow / self.fast)
        } else {
            1.0
        };
        let rising = self.fast * growth.max(trend).min(MAX_GROWTH);
        Outlook {
            rising,
            kept: rising.max(self.slow * growth),
        }
    }
}

/// Returns the rate at a time of day, interpolated between the middles of the hours.
fn hour_rate(day: &[f32; 24], time: Duration) -> f64 {
    let hours = (time.as_secs_f64() / 3600.0 + 23.5) % 24.0;
    let index = hours as usize % 24;
    let part = hours.fract();
    let (from, to) = (f64::from(day[index]), f64::from(day[(index + 1) % 24]));
    from + (to - from) * part
}
