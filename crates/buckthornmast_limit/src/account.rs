//! Account of the requests that may be sent to targets with a limit, kept by the leader.
//!
//! Requests are granted at intervals, with a short wait at most, so that every window has about as many as the limit
//! allows. An account that has just been opened grants nothing until the grants of the one before it have expired.
//!
//! What instances tell a new account may be out of date. Until a request that it granted itself is answered with the
//! limit, it grants a few requests a second at most.
//!
//! Answers overtake each other on their way here. A lower limit counts as soon as it is reported. A higher one, or the
//! end of a limit, counts only if the answer is newer for certain: its request was granted after all reports of the
//! lower limit had arrived. After the end, the rate doubles in steps, so that nothing rushes at the target.

use std::{collections::HashMap, time::Duration};

use buckthornmast_types::{id, rate::Rate, time::Point};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::statement::{Grant, Key, Notice, Report, Statement};

/// Longest time that a grant lies ahead. Callers who would wait longer come back, and may find another target.
pub const HORIZON: Duration = Duration::from_secs(1);

/// Time after the wait of a grant in which it may be used.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(500);

/// Number of intervals that a grant lies ahead at most, since the limit may fall meanwhile.
const MAX_AHEAD: u32 = 4;

/// Highest rate that is granted before an answer has confirmed the limit.
const UNCONFIRMED_RATE: f64 = 2.0;

/// Lowest rate that is granted. Without any request, the end of a limit would not be noticed.
const MIN_RATE: f64 = 0.1;

/// Highest rate that is accounted for; a target that states more is never held back by it.
const MAX_RATE: f64 = 1e5;

/// Bounds on the time by which requests may come before their interval.
const MIN_TOLERANCE: Duration = Duration::from_millis(20);
const MAX_TOLERANCE: Duration = Duration::from_secs(1);

/// Time without a grant after which a target with a limit gets a request although others could take it, to learn
/// whether the limit still holds.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Time in which the rate doubles after a target has stopped to state a limit.
const DOUBLING_TIME: Duration = Duration::from_millis(500);

/// Time from the end of a limit until requests are no longer accounted for.
const LIFT_TIME: Duration = Duration::from_secs(2);

/// One of so many grants is offered to less urgent requests first.
const TURNS: u64 = 4;

/// Longest advised time after which a refused caller comes back.
const MAX_ADVICE: Duration = Duration::from_secs(10);

/// Minimum time between two notices that the limit of a target has another value.
const NOTICE_INTERVAL: Duration = Duration::from_secs(1);

/// Ratio of two limits from which instances are told of the other value.
const NOTICE_RATIO: f64 = 1.25;

/// Number of limits that are kept.
const MAX_LIMITS: usize = 10_000;

/// Request for a grant, for any one of some targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Targets with a limit that could run the request.
    pub candidates: SmallVec<[Key; 2]>,
    /// Longest time that the request may wait.
    pub max_wait: Duration,
    /// Rank of the route. 0 is the most urgent.
    pub priority: u32,
    /// Whether a target without a limit could run it now.
    pub has_alternative: bool,
}

/// Answer to a request for a grant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The request may be sent to this target.
    Granted(Key, Grant),
    /// This target has no limit any more.
    Unlimited(Key),
    /// Nothing is granted; a caller is advised to come back after this time.
    Refused(Duration),
}

#[derive(Debug, Clone)]
struct Limit {
    stated: Rate,
    // When the next request is due.
    next_at: Point,
    // When the last statement arrived that was as low as `stated`.
    stated_at: Point,
    // When the request was granted whose answer last raised or ended the limit.
    raised_by: Point,
    // Since when the target states no limit.
    lifted_at: Option<Point>,
    // Whether a request that this account granted was answered with a limit.
    is_confirmed: bool,
    granted_at: Point,
    grants: u64,
    // Until when refused callers are expected back.
    advised_until: Point,
    published: Option<(Rate, Point)>,
}

impl Limit {
    fn new(stated: Rate, now: Point) -> Self {
        let mut limit = Self {
            stated,
            next_at: now,
            stated_at: now,
            raised_by: Point::ZERO,
            lifted_at: None,
            is_confirmed: false,
            granted_at: now,
            grants: 0,
            advised_until: now,
            published: None,
        };
        // Requests that are on their way were sent without a grant.
        limit.next_at = now + limit.interval(now) + limit.tolerance(now);
        limit
    }

    fn interval(&self, now: Point) -> Duration {
        let doublings = self.lifted_at.map_or(0, |lifted_at| {
            now.since(lifted_at).as_millis() / DOUBLING_TIME.as_millis()
        });
        let factor = f64::from(1_u32 << u32::try_from(doublings.min(16)).unwrap_or(16));
        let max_rate = if self.is_confirmed {
            MAX_RATE
        } else {
            UNCONFIRMED_RATE
        };
        let rate = self.stated.get().clamp(MIN_RATE, max_rate) * factor;
        Duration::from_secs_f64(1.0 / rate)
    }

    fn tolerance(&self, now: Point) -> Duration {
        self.interval(now).clamp(MIN_TOLERANCE, MAX_TOLERANCE)
    }

    /// Returns the time until a request could be sent.
    fn wait(&self, settles_at: Point, now: Point) -> Duration {
        (self.next_at - self.tolerance(now))
            .max(settles_at)
            .since(now)
    }

    fn is_due(&self, settles_at: Point, now: Point) -> bool {
        self.wait(settles_at, now).is_zero() && now.since(self.granted_at) >= PROBE_INTERVAL
    }

    /// Returns the longest time that a grant may lie ahead for a request of this priority.
    fn horizon(&self, priority: u32, now: Point) -> Duration {
        let horizon = (self.interval(now) * MAX_AHEAD).min(HORIZON);
        let is_turn_of_others = self.grants % TURNS == TURNS - 1;
        if (priority == 0) == is_turn_of_others {
            horizon / 2
        } else {
            horizon
        }
    }

    fn take(&mut self, term: id::Term, settles_at: Point, now: Point) -> Grant {
        let wait = self.wait(settles_at, now);
        self.next_at = self.next_at.max(now).max(settles_at) + self.interval(now);
        self.granted_at = now;
        self.grants += 1;
        Grant {
            term,
            at: now,
            wait,
        }
    }

    /// Returns the time after which a refused caller should come back. Those that are refused one after the other are
    /// told different times, as many as the limit will allow.
    fn advise(&mut self, settles_at: Point, now: Point) -> Duration {
        let earliest = now + self.wait(settles_at, now);
        let latest = now + MAX_ADVICE;
        self.advised_until =
            (self.advised_until.max(earliest) + self.interval(now)).min(latest.max(earliest));
        self.advised_until.since(now)
    }

    /// Takes a statement of a limit into account.
    fn restate(&mut self, rate: Rate, received: Point, granted: Option<Point>, now: Point) {
        if rate <= self.stated || self.lifted_at.is_some() {
            if received > self.raised_by {
                self.stated = rate;
                self.lifted_at = None;
                self.stated_at = self.stated_at.max(received);
            }
        } else if let Some(granted) = granted.filter(|granted| *granted >= self.stated_at) {
            self.stated = rate;
            self.stated_at = received;
            self.raised_by = granted;
            // The next request was due after an interval of the lower limit.
            let next_at = now + self.interval(now) + self.tolerance(now);
            self.next_at = self.next_at.min(next_at);
        }
    }
}

/// Account of all limits, for one term of a leader.
#[derive(Debug, Clone, Default)]
pub struct Account {
    term: id::Term,
    settles_at: Point,
    limits: HashMap<Key, Limit>,
    // When the requests were granted whose answers ended limits.
    ended: HashMap<Key, Point>,
}

impl Account {
    /// Opens the account of a leader at the start of its term.
    pub fn open(term: id::Term, now: Point) -> Self {
        Self {
            term,
            settles_at: now + HORIZON + GRANT_LIFETIME,
            ..Self::default()
        }
    }

    /// Returns the number of limits.
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Returns whether no target has a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Returns the rate that a target takes, if it has a limit.
    pub fn limit(&self, key: &Key) -> Option<Rate> {
        self.limits.get(key).map(|limit| limit.stated)
    }

    /// Adds what an instance reports. Returns whether it began a limit or changed one.
    pub fn record(&mut self, report: &Report, now: Point) -> bool {
        let received = now - report.age;
        let grant = report.grant.filter(|grant| grant.term == self.term);
        let granted = grant.map(|grant| grant.at);
        match report.statement {
            Statement::Unreadable => false,
            Statement::Limited(rate) => match self.limits.get_mut(&report.key) {
                Some(limit) => {
                    limit.is_confirmed |= granted.is_some();
                    let before = (limit.stated, limit.lifted_at);
                    limit.restate(rate, received, granted, now);
                    before != (limit.stated, limit.lifted_at)
                }
                None => self.begin(report.key.clone(), rate, received, now),
            },
            Statement::Unlimited => {
                let Some(limit) = self.limits.get_mut(&report.key) else {
                    return false;
                };
                let is_newer = granted.is_some_and(|granted| granted >= limit.stated_at);
                if let Some(granted) = granted.filter(|_| is_newer && limit.lifted_at.is_none()) {
                    limit.lifted_at = Some(now);
                    limit.raised_by = granted;
                    return true;
                }
                false
            }
        }
    }

    fn begin(&mut self, key: Key, rate: Rate, received: Point, now: Point) -> bool {
        let is_older = self.ended.get(&key).is_some_and(|ended| received <= *ended);
        if is_older || self.limits.len() >= MAX_LIMITS {
            return false;
        }
        self.limits.insert(key, Limit::new(rate, now));
        true
    }

    /// Returns the time until a target with a limit may be sent a request, or `None` if it has no limit.
    pub fn wait(&self, key: &Key, now: Point) -> Option<Duration> {
        let limit = self.limits.get(key)?;
        Some(limit.wait(self.settles_at, now))
    }

    /// Returns whether a target with a limit should get a request although others could take it.
    pub fn is_due(&self, key: &Key, now: Point) -> bool {
        let limit = self.limits.get(key);
        limit.is_some_and(|limit| limit.is_due(self.settles_at, now))
    }

    /// Grants a request that is sent at once. Returns `None` if the target has no limit.
    pub fn take(&mut self, key: &Key, now: Point) -> Option<Grant> {
        let limit = self.limits.get_mut(key)?;
        Some(limit.take(self.term, self.settles_at, now))
    }

    /// Answers a request for a grant.
    pub fn request(&mut self, request: &Request, now: Point) -> Answer {
        let mut best: Option<(Duration, &Key)> = None;
        for key in &request.candidates {
            let Some(limit) = self.limits.get(key) else {
                return Answer::Unlimited(key.clone());
            };
            let wait = limit.wait(self.settles_at, now);
            let max_wait = request.max_wait.min(limit.horizon(request.priority, now));
            let is_offered = !request.has_alternative || limit.is_due(self.settles_at, now);
            if is_offered && wait <= max_wait && best.is_none_or(|(least, _)| wait < least) {
                best = Some((wait, key));
            }
        }
        if let Some((_, key)) = best
            && let Some(limit) = self.limits.get_mut(key)
        {
            return Answer::Granted(key.clone(), limit.take(self.term, self.settles_at, now));
        }
        if request.has_alternative {
            return Answer::Refused(Duration::ZERO);
        }
        Answer::Refused(self.advise(&request.candidates, now))
    }

    /// Returns the time after which a caller should come back that was refused at all of these targets. Callers are told
    /// different times, as many as the limits will allow.
    pub fn advise(&mut self, keys: &[Key], now: Point) -> Duration {
        let soonest = keys.iter().min_by_key(|key| self.wait(key, now));
        let limit = soonest.and_then(|key| self.limits.get_mut(key));
        limit.map_or(Duration::ZERO, |limit| limit.advise(self.settles_at, now))
    }

    /// Removes the limits of targets that have stopped to state one, and of incarnations that are gone.
    pub fn prune(&mut self, is_known: impl Fn(&Key) -> bool, now: Point) -> Vec<Notice> {
        let mut notices = Vec::new();
        let ended = &mut self.ended;
        ended.retain(|key, _| is_known(key));
        self.limits.retain(|key, limit| {
            let is_lifted = limit
                .lifted_at
                .is_some_and(|lifted_at| now.since(lifted_at) >= LIFT_TIME);
            let is_kept = is_known(key) && !is_lifted;
            if !is_kept {
                if is_known(key) {
                    ended.insert(key.clone(), limit.raised_by);
                }
                notices.push(Notice {
                    key: key.clone(),
                    limit: None,
                });
            }
            is_kept
        });
        notices
    }

    /// Returns the limits that all instances have to be told: new ones at once, and other values now and then.
    pub fn changes(&mut self, now: Point) -> Vec<Notice> {
        let mut notices = Vec::new();
        for (key, limit) in &mut self.limits {
            let is_told = limit.published.is_some_and(|(rate, at)| {
                let (low, high) = (
                    rate.get().min(limit.stated.get()),
                    rate.get().max(limit.stated.get()),
                );
                high <= low * NOTICE_RATIO || now.since(at) < NOTICE_INTERVAL
            });
            if !is_told {
                limit.published = Some((limit.stated, now));
                notices.push(Notice {
                    key: key.clone(),
                    limit: Some(limit.stated),
                });
            }
        }
        notices
    }

    /// Returns all limits, for an instance that connects.
    pub fn notices(&self) -> Vec<Notice> {
        let limits = self.limits.iter();
        let notices = limits.map(|(key, limit)| Notice {
            key: key.clone(),
            limit: Some(limit.stated),
        });
        notices.collect()
    }
}
