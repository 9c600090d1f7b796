//! Demand forecast from a fast and a slow moving average and the time of day.

use std::time::Duration;

use buckthornmast_types::time::Point;

use crate::view::Demand;

/// Time constant of the fast average in seconds. It smooths the noise of a few seconds of requests.
const FAST_AVERAGE_SECONDS: f64 = 8.0;
/// Time constant of the slow average in seconds. It is the base level against which a burst is detected.
const SLOW_AVERAGE_SECONDS: f64 = 240.0;
/// Maximum ratio of a forecast to an average of the demand.
///
/// A tenfold burst within an hour multiplies demand by at most 1.3 within a lead of a few minutes, and a sudden
/// burst is not predictable.
const MAX_GROWTH: f64 = 1.6;

/// Moving averages of the demand for one artifact, in requests per second.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Averages {
    at: Point,
    fast: f64,
    slow: f64,
}

/// Requests per second that a decision plans for.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Forecast {
    /// Demand that justifies loading a copy.
    pub(crate) for_loading: f64,
    /// Demand that justifies keeping a copy.
    pub(crate) for_keeping: f64,
}

impl Averages {
    /// Creates averages that start at a rate.
    pub(crate) fn new(now: Point, rate: f64) -> Self {
        Self {
            at: now,
            fast: rate,
            slow: rate,
        }
    }

    /// Updates the averages with the current rate.
    pub(crate) fn observe(&mut self, now: Point, rate: f64) {
        let seconds = now.since(self.at).as_secs_f64();
        self.at = now;
        self.fast += (rate - self.fast) * (1.0 - (-seconds / FAST_AVERAGE_SECONDS).exp());
        self.slow += (rate - self.slow) * (1.0 - (-seconds / SLOW_AVERAGE_SECONDS).exp());
    }

    /// Returns the demand expected within `lead`.
    pub(crate) fn forecast(&self, demand: &Demand, time: Duration, lead: Duration) -> Forecast {
        let growth = demand.hourly_rates.map_or(1.0, |hourly_rates| {
            let now = hour_rate(&hourly_rates, time);
            let then = hour_rate(&hourly_rates, time + lead);
            if now > 0.0 {
                (then / now).clamp(1.0, MAX_GROWTH)
            } else {
                1.0
            }
        });
        let trend = if self.fast > self.slow && self.slow > 0.0 {
            1.0 + (lead.as_secs_f64() / SLOW_AVERAGE_SECONDS) * (1.0 - self.slow / self.fast)
        } else {
            1.0
        };
        let for_loading = self.fast * growth.max(trend).min(MAX_GROWTH);
        Forecast {
            for_loading,
            for_keeping: for_loading.max(self.slow * growth),
        }
    }
}

/// Returns the rate at a time of day, interpolated between the middles of the hours.
fn hour_rate(hourly_rates: &[f32; 24], time: Duration) -> f64 {
    let hours = (time.as_secs_f64() / 3600.0 + 23.5) % 24.0;
    let index = hours as usize % 24;
    let fraction = hours.fract();
    let (from, to) = (
        f64::from(hourly_rates[index]),
        f64::from(hourly_rates[(index + 1) % 24]),
    );
    from + (to - from) * fraction
}
