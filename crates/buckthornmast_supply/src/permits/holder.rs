//! Choice among the targets that have the model and adapter of a request, and the expected wait for them.

use std::time::Duration;

use buckthornmast_limit::statement::Key;
use buckthornmast_share::scheduler::Ahead;
use buckthornmast_types::rate::Rate;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{BACKLOG_PREFILL_SHARE, Request, Waiting};

/// Maximum outstanding reading time at which a target may get another prompt. Answers that pause for this long are
/// still on time.
const MAX_OUTSTANDING_PREFILL: Duration = Duration::from_millis(40);

/// Difference in expected waits up to which targets count as equal, so that prompts with a common prefix can be sent
/// to the same target.
const WAIT_TOLERANCE: Duration = Duration::from_millis(15);

/// Difference in running requests up to which targets count as equal.
const RUNNING_REQUESTS_TOLERANCE: f64 = 3.0;

/// Longest expected wait, in seconds. A longer one says no more.
const MAX_WAIT_SECONDS: f64 = 3600.0;

/// Target that has the model and adapter of a request, with its current load.
pub(super) struct Holder {
    /// Target.
    pub(super) key: Key,
    /// Time until the prompts that were sent to it are read.
    pub(super) prefill_wait: Duration,
    /// Expected number of running requests.
    pub(super) running: f64,
    /// Share of the reading time that was granted in the last second.
    pub(super) utilisation: f64,
    /// Number of requests that it may run concurrently.
    pub(super) slots: f64,
    /// Requests a second that it takes, and the time until the next one, if it has a limit.
    pub(super) limit: Option<(Rate, Duration)>,
    /// Whether it should get a request although others could take it.
    pub(super) is_probed: bool,
}

impl Holder {
    /// Returns the time until the target takes another prompt.
    fn wait(&self) -> Duration {
        let limit_wait = self.limit.map_or(Duration::ZERO, |(_, wait)| wait);
        self.prefill_wait.max(limit_wait)
    }

    fn is_open(&self) -> bool {
        let has_room = self.running + 1.0 <= self.slots;
        let is_within_limit = self.limit.is_none_or(|(_, wait)| wait.is_zero());
        self.prefill_wait <= MAX_OUTSTANDING_PREFILL && has_room && is_within_limit
    }
}

/// Returns the target that a prompt may be sent to now, if there is one.
pub(super) fn pick(holders: &[Holder], request: &Request) -> Option<Key> {
    let is_limited = |holder: &&Holder| holder.limit.is_some();
    let open = || holders.iter().filter(|holder| holder.is_open());
    let probed = open().filter(is_limited).find(|holder| holder.is_probed);
    let unlimited = || open().filter(|holder| !is_limited(holder));
    if let Some(probed) = probed {
        return Some(probed.key.clone());
    }
    let Some(best) = unlimited().min_by(|one, other| {
        let by_wait = one.prefill_wait.cmp(&other.prefill_wait);
        by_wait.then(one.running.total_cmp(&other.running))
    }) else {
        let limited = open().min_by(|one, other| one.running.total_cmp(&other.running));
        return limited.map(|holder| holder.key.clone());
    };
    let min_running = unlimited()
        .map(|holder| holder.running)
        .fold(f64::INFINITY, f64::min);
    let equivalent = unlimited().filter(|holder| {
        holder.prefill_wait <= best.prefill_wait + WAIT_TOLERANCE
            && holder.running <= min_running + RUNNING_REQUESTS_TOLERANCE
    });
    let chosen = match request.prefix {
        Some(prefix) => equivalent
            .max_by_key(|holder| xxh3_64_with_seed(holder.key.0.as_str().as_bytes(), prefix)),
        None => equivalent.min_by(|one, other| one.running.total_cmp(&other.running)),
    };
    Some(chosen.unwrap_or(best).key.clone())
}

/// Returns the time for which a request takes the room of all targets together.
pub(super) fn work_share(holders: &[Holder], one: &Waiting) -> Duration {
    let targets = holders.len().max(1) as f64;
    let slots: f64 = holders.iter().map(|holder| holder.slots).sum();
    let reading = one.prefill_time.div_f64(BACKLOG_PREFILL_SHARE * targets);
    let running = Duration::from_secs_f64((one.running_seconds / slots.max(1.0)).min(1.0));
    reading.max(running)
}

/// Returns the expected wait of a request behind others.
pub(super) fn expected_wait(holders: &[Holder], ahead: Ahead, one: &Waiting) -> Duration {
    let Ahead {
        requests: count,
        work: ahead,
    } = ahead;
    let unlimited = || holders.iter().filter(|holder| holder.limit.is_none());
    if unlimited().count() == 0 {
        let wait = holders.iter().map(Holder::wait).min();
        let rates = holders.iter().filter_map(|holder| holder.limit);
        let rate: f64 = rates.map(|(rate, _)| rate.get()).sum();
        let behind =
            Duration::from_secs_f64((count / rate.max(f64::EPSILON)).min(MAX_WAIT_SECONDS));
        return wait.unwrap_or_default() + behind;
    }
    let targets = unlimited().count() as f64;
    let wait = unlimited().map(|holder| holder.prefill_wait).min();
    let prefill_wait = wait.unwrap_or_default() + ahead.div_f64(BACKLOG_PREFILL_SHARE * targets);
    let slots: f64 = unlimited().map(|holder| holder.slots).sum();
    let running: f64 = unlimited().map(|holder| holder.running).sum();
    let excess = (running + count + 1.0 - slots).max(0.0);
    let slot_wait =
        Duration::from_secs_f64((one.running_seconds * excess / slots).min(MAX_WAIT_SECONDS));
    prefill_wait.max(slot_wait)
}
