//! Candidate side of the lease.

use std::{collections::BTreeSet, time::Duration};

use buckthornmast_types::prelude::*;

/// Identity and times of a candidate.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Config {
    /// This candidate.
    pub instance: id::Instance,
    /// All other candidates of the domain.
    pub others: BTreeSet<id::Instance>,
    /// Duration of a lease at the grantor.
    pub duration: Duration,
    /// Share of the duration that the holder leaves unused, in percent.
    pub drift_percent: u32,
    /// Time between two renewals.
    pub renew_interval: Duration,
    /// Time between two requests for the lease.
    pub request_interval: Duration,
    /// Time after which an unanswered request for the lease is abandoned.
    pub request_timeout: Duration,
    /// Time without a renewal by the leader after which promises are requested too.
    pub promise_after: Duration,
}

impl Config {
    /// Returns the times that keep a failover under 3 s.
    ///
    /// A dead holder's lease expires 2 s after its last renewal at the grantor, and a candidate requests it
    /// 0.2 s later at the latest.
    pub fn new(instance: id::Instance, others: impl IntoIterator<Item = id::Instance>) -> Self {
        Self {
            instance,
            others: others.into_iter().collect(),
            duration: crate::DURATION,
            drift_percent: crate::DRIFT_PERCENT,
            renew_interval: Duration::from_millis(400),
            request_interval: Duration::from_millis(200),
            request_timeout: Duration::from_millis(600),
            promise_after: Duration::from_millis(800),
        }
    }

    fn usable_duration(&self) -> Duration {
        self.duration * (100 - self.drift_percent.min(100)) / 100
    }
}

/// Message to send.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Request the lease from the leader.
    RequestLease {
        /// Number to pass back with the answer.
        number: u64,
    },
    /// Renew the lease at the leader.
    Renew {
        /// Token of the lease.
        token: id::Token,
        /// Number to pass back with the answer.
        number: u64,
    },
    /// Request a promise from another candidate.
    RequestPromise {
        /// Candidate.
        to: id::Instance,
        /// Token of the lease.
        token: id::Token,
        /// Number to pass back with the answer.
        number: u64,
    },
    /// Record in the log that the lease is released.
    Handover {
        /// Token of the lease.
        token: id::Token,
    },
}

/// Effect of a grant on the candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Acquisition {
    /// The candidate has abandoned the request that the grant answers, or knows a token as high as the granted one.
    Ignored,
    /// The lease is new; another candidate may have held it in between.
    Acquired,
    /// The lease continues under a higher token.
    Raised,
}

/// Lease that is valid now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Lease {
    /// Fencing token.
    pub token: id::Token,
    /// Time from which the lease is no longer valid, unless it is renewed.
    pub expires_at: Point,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct HeldLease {
    token: id::Token,
    expires_at: Point,
    renewed_at: Point,
    /// Number and time of the last renewal, until it is answered.
    pending_renewal: Option<(u64, Point)>,
    promise_round: Option<PromiseRound>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PromiseRound {
    number: u64,
    sent_at: Point,
    awaited: BTreeSet<id::Instance>,
}

/// Lease of one candidate.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    config: Config,
    restart_wait_until: Point,
    promised_until: Point,
    /// Highest token that was granted to this candidate or promised by it.
    highest_token: Option<id::Token>,
    /// Number and time of the request for the lease that is not answered yet.
    pending_request: Option<(u64, Point)>,
    held_lease: Option<HeldLease>,
    is_stopped: bool,
    is_raise_requested: bool,
    next_request: Point,
    next_renewal: Point,
    next_number: u64,
}

impl Holder {
    /// Returns the holder of a candidate that just started, which waits a full lease duration.
    ///
    /// The candidate may have promised or held the lease until just before it restarted.
    pub fn new(config: Config, now: Point) -> Self {
        Self {
            restart_wait_until: now + config.duration,
            promised_until: now,
            config,
            highest_token: None,
            pending_request: None,
            held_lease: None,
            is_stopped: false,
            is_raise_requested: false,
            next_request: now,
            next_renewal: now,
            next_number: 0,
        }
    }

    /// Returns the lease if it is valid.
    pub fn valid_lease(&self, now: Point) -> Option<Lease> {
        let held = self
            .held_lease
            .as_ref()
            .filter(|held| now < held.expires_at)?;
        Some(Lease {
            token: held.token,
            expires_at: held.expires_at,
        })
    }

    /// Returns the token that was granted last, even if the lease has expired but may still be renewed.
    pub fn token(&self) -> Option<id::Token> {
        self.held_lease.as_ref().map(|held| held.token)
    }

    /// Returns the messages that are due.
    pub fn tick(&mut self, now: Point) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.held_lease.is_some() {
            if now >= self.next_renewal {
                self.next_renewal = now + self.config.renew_interval;
                self.renew(now, &mut effects);
            }
            if self.is_raise_requested && self.valid_lease(now).is_some() {
                self.request(now, &mut effects);
            }
        } else {
            self.request(now, &mut effects);
        }
        effects
    }

    fn next_request_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn request(&mut self, now: Point, effects: &mut Vec<Effect>) {
        let timeout = self.config.request_timeout;
        self.pending_request = self
            .pending_request
            .filter(|(_, sent)| now.since(*sent) < timeout);
        let is_waiting = now < self.restart_wait_until.max(self.promised_until);
        if !self.is_stopped
            && !is_waiting
            && self.pending_request.is_none()
            && now >= self.next_request
        {
            let number = self.next_request_number();
            self.pending_request = Some((number, now));
            self.next_request = now + self.config.request_interval;
            effects.push(Effect::RequestLease { number });
        }
    }

    /// Makes the next tick request a higher token, so that targets refuse late attempts under the current one.
    pub fn request_raise(&mut self) {
        self.is_raise_requested = self.held_lease.is_some();
    }

    fn renew(&mut self, now: Point, effects: &mut Vec<Effect>) {
        let number = self.next_request_number();
        let Some(held) = &mut self.held_lease else {
            return;
        };
        let token = held.token;
        held.pending_renewal = Some((number, now));
        effects.push(Effect::Renew { token, number });
        if self.config.others.is_empty() {
            // No other candidate of the domain can be granted the lease.
            held.expires_at = held.expires_at.max(now + self.config.usable_duration());
            return;
        }
        // Once the lease has expired, another candidate may have acted under a higher token, so only the
        // leader can decide whether it may be resumed.
        let is_overdue = now.since(held.renewed_at) >= self.config.promise_after;
        if is_overdue && now < held.expires_at {
            let awaited = self.config.others.clone();
            for to in awaited.iter().cloned() {
                effects.push(Effect::RequestPromise { to, token, number });
            }
            held.promise_round = Some(PromiseRound {
                number,
                sent_at: now,
                awaited,
            });
        }
    }

    /// Processes a grant.
    ///
    /// A grant that answers an abandoned request is ignored, since a promise may have been granted since. So is one
    /// whose token is not above the highest one that was granted to this candidate or promised by it.
    pub fn granted(&mut self, now: Point, number: u64, token: id::Token) -> Acquisition {
        let Some((_, sent)) = self
            .pending_request
            .filter(|(requested, _)| *requested == number)
        else {
            return Acquisition::Ignored;
        };
        self.pending_request = None;
        if self.highest_token.is_some_and(|known| known >= token) {
            return Acquisition::Ignored;
        }
        let previous_expiry = self.valid_lease(now).map(|lease| lease.expires_at);
        self.highest_token = Some(token);
        self.is_raise_requested = false;
        self.next_renewal = sent + self.config.renew_interval;
        self.held_lease = Some(HeldLease {
            token,
            expires_at: previous_expiry
                .unwrap_or(sent)
                .max(sent + self.config.usable_duration()),
            renewed_at: sent,
            pending_renewal: None,
            promise_round: None,
        });
        match previous_expiry {
            Some(_) => Acquisition::Raised,
            None => Acquisition::Acquired,
        }
    }

    /// Processes the refusal of a request for the lease.
    pub fn not_granted(&mut self, number: u64) {
        self.pending_request = self
            .pending_request
            .filter(|(requested, _)| *requested != number);
    }

    /// Processes the leader's confirmation of a renewal.
    pub fn renewed(&mut self, number: u64) {
        let usable = self.config.usable_duration();
        if let Some(held) = &mut self.held_lease
            && let Some((requested, sent)) = held.pending_renewal
            && requested == number
        {
            held.renewed_at = sent;
            held.pending_renewal = None;
            held.expires_at = held.expires_at.max(sent + usable);
        }
    }

    /// Drops the lease after the leader, the log or a target refused its token.
    pub fn refused(&mut self, token: id::Token) {
        if self
            .held_lease
            .as_ref()
            .is_some_and(|held| held.token == token)
        {
            self.held_lease = None;
        }
    }

    /// Processes the promise of another candidate.
    pub fn promised(&mut self, now: Point, from: &id::Instance, number: u64) {
        let usable = self.config.usable_duration();
        let Some(held) = &mut self.held_lease else {
            return;
        };
        // A round that completes after the lease expired would hide a gap in which other candidates acted.
        if now >= held.expires_at {
            held.promise_round = None;
            return;
        }
        if let Some(round) = &mut held.promise_round
            && round.number == number
        {
            round.awaited.remove(from);
            if round.awaited.is_empty() {
                held.expires_at = held.expires_at.max(round.sent_at + usable);
                held.promise_round = None;
            }
        }
    }

    /// Decides on another candidate's request for a promise and returns whether it is granted.
    pub fn promise(&mut self, now: Point, token: id::Token) -> bool {
        let is_in_restart_wait = now < self.restart_wait_until;
        let is_old = self.highest_token.is_some_and(|known| token < known);
        if is_in_restart_wait || is_old || self.valid_lease(now).is_some() {
            return false;
        }
        self.highest_token = Some(token);
        self.pending_request = None;
        self.held_lease = None;
        self.promised_until = now + self.config.duration;
        true
    }

    /// Releases the lease for a planned stop and requests it no more.
    ///
    /// The caller must have stopped sending orders before.
    pub fn stop(&mut self) -> Option<Effect> {
        self.is_stopped = true;
        self.pending_request = None;
        let token = self.held_lease.take()?.token;
        Some(Effect::Handover { token })
    }
}
