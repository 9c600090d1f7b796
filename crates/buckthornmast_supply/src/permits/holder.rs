//! Choice among the targets that have the model and adapter of a request, and the expected wait for them.

use std::time::Duration;

use buckthornmast_limit::statement::Key;
use buckthornmast_routing::completion::{self, Work};
use buckthornmast_share::scheduler::Ahead;
use buckthornmast_types::rate::Rate;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{BACKLOG_PREFILL_SHARE, Waiting};

/// Maximum outstanding reading time at which a target may get another prompt. Answers that pause for this long are
/// still on time.
const MAX_OUTSTANDING_PREFILL: Duration = Duration::from_millis(40);

/// Difference in expected times up to which targets count as equal, so that prompts with a common prefix can be sent to
/// the same target. Applies to requests that don't state how much of their prompts is shared.
const PREFIX_TOLERANCE: Duration = Duration::from_millis(15);

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
    /// Mean time of a request in its slot.
    pub(super) slot_time: Duration,
    /// Time that work takes there now, as a ratio of its usual time.
    pub(super) slowdown: f64,
    /// Tokens of the prompt that it probably keeps.
    pub(super) kept_tokens: f64,
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

    /// Returns whether the target may be sent a prompt now.
    pub(super) fn is_open(&self) -> bool {
        let has_room = self.running + 1.0 <= self.slots;
        let is_within_limit = self.limit.is_none_or(|(_, wait)| wait.is_zero());
        // At a slow target, the time between two events is longer, and less is left of the pause that callers accept.
        let max_outstanding = MAX_OUTSTANDING_PREFILL.div_f64(self.slowdown.max(1.0));
        self.prefill_wait <= max_outstanding && has_room && is_within_limit
    }

    /// Returns the expected time until the target has read the prompt of a request.
    fn completion(&self, one: &Waiting) -> Duration {
        let load = completion::Load {
            requests: self.running,
            slots: self.slots,
            slot_time: self.slot_time,
            reading_wait: self.prefill_wait,
            slowdown: self.slowdown,
            // The entry instance isn't known, and all targets are about as far from the others.
            distance: Duration::ZERO,
        };
        let work = Work {
            time: one.prefill_time,
            spared: part_of(one, self.kept_tokens),
        };
        completion::estimate(&load, work).total()
    }
}

/// Returns the time to read this many tokens of a prompt.
fn part_of(one: &Waiting, tokens: f64) -> Duration {
    let share = tokens / f64::from(one.request.prompt_tokens.max(1));
    one.prefill_time.mul_f64(share.clamp(0.0, 1.0))
}

/// Returns the target that a prompt may be sent to now, if there is one.
pub(super) fn pick(holders: &[Holder], one: &Waiting) -> Option<Key> {
    let is_limited = |holder: &&Holder| holder.limit.is_some();
    let open = || holders.iter().filter(|holder| holder.is_open());
    let probed = open().filter(is_limited).find(|holder| holder.is_probed);
    if let Some(probed) = probed {
        return Some(probed.key.clone());
    }
    let unlimited = open().filter(|holder| !is_limited(holder));
    let expected: SmallVec<[(Duration, &Holder); 8]> = unlimited
        .map(|holder| (holder.completion(one), holder))
        .collect();
    let Some((least, best)) = expected.iter().min_by_key(|(time, _)| *time) else {
        let limited = open().min_by(|one, other| one.running.total_cmp(&other.running));
        return limited.map(|holder| holder.key.clone());
    };
    // What is kept is part of the estimates already.
    let is_kept = expected.iter().any(|(_, holder)| holder.kept_tokens >= 1.0);
    let Some(prefix) = one.request.prefix.filter(|_| !is_kept) else {
        return Some(best.key.clone());
    };
    // A prefix that nobody keeps goes where it would go without a leader, if that costs less than it saves next time.
    let shared: u32 = one.request.prefixes.iter().map(|part| part.tokens).sum();
    let tolerance = match shared {
        0 => PREFIX_TOLERANCE,
        shared => part_of(one, f64::from(shared)).min(PREFIX_TOLERANCE),
    };
    let equivalent = expected
        .iter()
        .filter(|(time, _)| *time <= *least + tolerance);
    let chosen = equivalent
        .max_by_key(|(_, holder)| xxh3_64_with_seed(holder.key.0.as_str().as_bytes(), prefix));
    Some(chosen.map_or(best, |(_, holder)| holder).key.clone())
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
