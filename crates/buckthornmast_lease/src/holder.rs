//! Candidate side of the lease.

use std::{collections::BTreeSet, time::Duration};

use buckthornmast_types::prelude::*;

/// Identity and times of a candidate.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Config {
    /// This candidate.
    pub me: id::Instance,
    /// All other candidates of the domain.
    pub others: BTreeSet<id::Instance>,
    /// Duration of a lease at the grantor.
    pub duration: Duration,
    /// Part of the duration that the holder gives away, in percent.
    pub drift_percent: u32,
    /// Time between two renewals.
    pub renew_every: Duration,
    /// Time between two requests for the lease.
    pub ask_every: Duration,
    /// Time after which an unanswered request for the lease is given up.
    pub ask_timeout: Duration,
    /// Time without a renewal by the leader after which promises are requested too.
    pub promise_after: Duration,
}

impl Config {
    /// Returns the times that keep a failover under 3 s.
    ///
    /// A dead holder's lease ends 2 s after its last renewal at the grantor, and a candidate asks 0.2 s
    /// later at the latest.
    pub fn new(me: id::Instance, others: impl IntoIterator<Item = id::Instance>) -> Self {
        Self {
            me,
            others: others.into_iter().collect(),
            duration: crate::DURATION,
            drift_percent: crate::DRIFT_PERCENT,
            renew_every: Duration::from_millis(400),
            ask_every: Duration::from_millis(200),
            ask_timeout: Duration::from_millis(600),
            promise_after: Duration::from_millis(800),
        }
    }

    fn usable(&self) -> Duration {
        self.duration * (100 - self.drift_percent.min(100)) / 100
    }
}

/// Message to send.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Ask the leader for the lease.
    Ask {
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
    /// Ask another candidate for a promise.
    RequestPromise {
        /// Candidate.
        to: id::Instance,
        /// Token of the lease.
        token: id::Token,
        /// Number to pass back with the answer.
        number: u64,
    },
    /// Record in the log that the lease is given up.
    Handover {
        /// Token of the lease.
        token: id::Token,
    },
}

/// What a grant means to the candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Granted {
    /// The candidate gave up the request that this answers.
    Ignored,
    /// The lease is new; another candidate may have held it in between.
    Taken,
    /// The lease goes on under a higher token.
    Raised,
}

/// Lease that is valid now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Valid {
    /// Fencing token.
    pub token: id::Token,
    /// Time from which it is no longer valid, unless it is renewed.
    pub until: Point,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Held {
    token: id::Token,
    until: Point,
    renewed: Point,
    renewal: Option<(u64, Point)>,
    round: Option<Round>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Round {
    number: u64,
    sent: Point,
    missing: BTreeSet<id::Instance>,
}

/// Lease of one candidate.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    config: Config,
    restart_until: Point,
    promised_until: Point,
    known: Option<id::Token>,
    asking: Option<(u64, Point)>,
    held: Option<Held>,
    stopped: bool,
    wants_raise: bool,
    next_ask: Point,
    next_renewal: Point,
    next_number: u64,
}

impl Holder {
    /// Returns the holder of a candidate that just started, which waits a full lease duration.
    ///
    /// The candidate may have promised, or held the lease, until just before it restarted.
    pub fn new(config: Config, now: Point) -> Self {
        Self {
            restart_until: now + config.duration,
            promised_until: now,
            config,
            known: None,
            asking: None,
            held: None,
            stopped: false,
            wants_raise: false,
            next_ask: now,
            next_renewal: now,
            next_number: 0,
        }
    }

    /// Returns the lease if it is valid.
    pub fn valid(&self, now: Point) -> Option<Valid> {
        let held = self.held.as_ref().filter(|held| now < held.until)?;
        Some(Valid {
            token: held.token,
            until: held.until,
        })
    }

    /// Returns the token that was granted last, also while the lease has run out and may be renewed.
    pub fn token(&self) -> Option<id::Token> {
        self.held.as_ref().map(|held| held.token)
    }

    /// Returns the messages that are due.
    pub fn tick(&mut self, now: Point) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.held.is_some() {
            if now >= self.next_renewal {
                self.next_renewal = now + self.config.renew_every;
                self.renew(now, &mut effects);
            }
            if self.wants_raise && self.valid(now).is_some() {
                self.ask(now, &mut effects);
            }
        } else {
            self.ask(now, &mut effects);
        }
        effects
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn ask(&mut self, now: Point, effects: &mut Vec<Effect>) {
        let timeout = self.config.ask_timeout;
        self.asking = self.asking.filter(|(_, sent)| now.since(*sent) < timeout);
        let is_quiet = now < self.restart_until.max(self.promised_until);
        if !self.stopped && !is_quiet && self.asking.is_none() && now >= self.next_ask {
            let number = self.number();
            self.asking = Some((number, now));
            self.next_ask = now + self.config.ask_every;
            effects.push(Effect::Ask { number });
        }
    }

    /// Has the next tick ask for a higher token, so that targets refuse late attempts under the token
    /// so far.
    pub fn want_raise(&mut self) {
        self.wants_raise = self.held.is_some();
    }

    fn renew(&mut self, now: Point, effects: &mut Vec<Effect>) {
        let number = self.number();
        let Some(held) = &mut self.held else {
            return;
        };
        let token = held.token;
        held.renewal = Some((number, now));
        effects.push(Effect::Renew { token, number });
        if self.config.others.is_empty() {
            // Nobody else of the domain can be granted the lease.
            held.until = held.until.max(now + self.config.usable());
            return;
        }
        // Once the lease has run out, another candidate may have acted under a higher token, so only
        // the log can tell whether it may be taken up again.
        let is_late = now.since(held.renewed) >= self.config.promise_after;
        if is_late && now < held.until {
            let missing = self.config.others.clone();
            for to in missing.iter().cloned() {
                effects.push(Effect::RequestPromise { to, token, number });
            }
            held.round = Some(Round {
                number,
                sent: now,
                missing,
            });
        }
    }

    /// Takes in a grant.
    ///
    /// A grant that answers an abandoned request is ignored, since a promise may have been given since.
    pub fn granted(&mut self, now: Point, number: u64, token: id::Token) -> Granted {
        let Some((_, sent)) = self.asking.filter(|(asked, _)| *asked == number) else {
            return Granted::Ignored;
        };
        self.asking = None;
        if self.known.is_some_and(|known| known >= token) {
            return Granted::Ignored;
        }
        let before = self.valid(now).map(|valid| valid.until);
        self.known = Some(token);
        self.wants_raise = false;
        self.next_renewal = sent + self.config.renew_every;
        self.held = Some(Held {
            token,
            until: before.unwrap_or(sent).max(sent + self.config.usable()),
            renewed: sent,
            renewal: None,
            round: None,
        });
        match before {
            Some(_) => Granted::Raised,
            None => Granted::Taken,
        }
    }

    /// Takes in that a request for the lease was not granted.
    pub fn not_granted(&mut self, number: u64) {
        self.asking = self.asking.filter(|(asked, _)| *asked != number);
    }

    /// Takes in the leader's confirmation of a renewal.
    pub fn renewed(&mut self, number: u64) {
        let usable = self.config.usable();
        if let Some(held) = &mut self.held
            && let Some((asked, sent)) = held.renewal
            && asked == number
        {
            held.renewed = sent;
            held.renewal = None;
            held.until = held.until.max(sent + usable);
        }
    }

    /// Takes in that the leader refused to renew this token, and gives the lease up.
    pub fn refused(&mut self, token: id::Token) {
        if self.held.as_ref().is_some_and(|held| held.token == token) {
            self.held = None;
        }
    }

    /// Takes in the promise of another candidate.
    pub fn promised(&mut self, now: Point, from: &id::Instance, number: u64) {
        let usable = self.config.usable();
        let Some(held) = &mut self.held else {
            return;
        };
        // A round that completes after the lease ran out would hide a gap in which others acted.
        if now >= held.until {
            held.round = None;
            return;
        }
        if let Some(round) = &mut held.round
            && round.number == number
        {
            round.missing.remove(from);
            if round.missing.is_empty() {
                held.until = held.until.max(round.sent + usable);
                held.round = None;
            }
        }
    }

    /// Decides on another candidate's request for a promise and returns whether it is given.
    pub fn promise(&mut self, now: Point, token: id::Token) -> bool {
        let is_restarted = now < self.restart_until;
        let is_old = self.known.is_some_and(|known| token < known);
        if is_restarted || is_old || self.valid(now).is_some() {
            return false;
        }
        self.known = Some(token);
        self.asking = None;
        self.held = None;
        self.promised_until = now + self.config.duration;
        true
    }

    /// Gives the lease up for a planned stop and asks for it no more.
    ///
    /// The caller has stopped sending orders before.
    pub fn stop(&mut self) -> Option<Effect> {
        self.stopped = true;
        self.asking = None;
        let token = self.held.take()?.token;
        Some(Effect::Handover { token })
    }
}
