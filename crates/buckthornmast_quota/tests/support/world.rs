//! One account, the purses of all instances and their callers, with messages that take time. Costs count when they are
//! charged, which is no later than they arrive at a target.
#![allow(dead_code, reason = "each test uses a part")]

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_quota::prelude::*;
use buckthornmast_routes::{
    document::{Document, Limits, Organisation, Quota, Unit},
    register::Revision,
};
use buckthornmast_types::{id, rate::Rate, time::Point};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Step of the clock, and the resolution of all times.
const STEP: Duration = Duration::from_millis(5);

/// Interval at which instances return expired credit.
const TICK_MS: u128 = 400;

/// Start of the play.
const START_MS: u64 = 100_000;

/// Time after the start at which callers or targets change their behaviour.
const CHANGE_AT: Point = Point::from_millis(12_000);

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Trouble {
    /// An instance is out of the leader's reach.
    Cut(usize),
    /// An instance is suspended.
    Freeze(usize),
    /// An instance loses its state.
    Restart(usize),
    /// The leader ends, and another one follows when the trouble is over.
    Leader,
    /// The leader is suspended.
    FreezeLeader,
}

/// Mechanism that is switched off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// Credit doesn't expire.
    Lifetime,
    /// A new leader isn't told what was spent.
    FullStart,
    /// Claims are counted again when they arrive twice.
    Duplicates,
    /// Each instance spends the reserve of all without the leader.
    Reserve,
    /// A request that was refused is given back without regard to when it was lent.
    OldReturns,
}

/// Where callers send their requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Spread {
    One,
    All,
    /// One instance at a time, for 700 ms.
    Moving,
    /// The same below the quota, until all demand comes at once at second 12, at all instances.
    Gathering,
}

#[derive(Debug, Clone)]
pub(crate) struct Setting {
    pub(crate) instances: usize,
    pub(crate) quota: Quota,
    /// Changes of the quota.
    pub(crate) changes: Vec<(Point, Quota)>,
    /// Cost that callers ask for, as a multiple of the rate.
    pub(crate) demand: f64,
    pub(crate) spread: Spread,
    pub(crate) cost: u64,
    pub(crate) slack: f64,
    /// Part of the requests that are refused by targets as not run, after a wait, until second 12.
    pub(crate) refused: f64,
    pub(crate) troubles: Vec<(Point, Duration, Trouble)>,
    pub(crate) fault: Fault,
    pub(crate) end: Point,
    pub(crate) seed: u64,
}

/// What callers got.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// When requests were charged that ran, and their cost.
    pub(crate) runs: Vec<(Point, u64)>,
    pub(crate) asked: u64,
    pub(crate) refused: u64,
    pub(crate) messages: u64,
    pub(crate) longest_wait: Duration,
}

struct Waiting {
    since: Point,
    retry_at: Point,
}

struct Instance {
    purse: Purse,
    waiting: Vec<Waiting>,
    connection: u64,
    is_connected: bool,
    frozen_until: Point,
    cut_until: Point,
    /// When each side notices a cut.
    notices_at: Option<Point>,
    leader_notices_at: Option<Point>,
}

enum Event {
    Claim(usize, u64, Claim),
    Grant(usize, u64, Grant),
    Return(usize, Charge),
}

pub(crate) fn name() -> id::Organisation {
    "o1".parse().unwrap()
}

pub(crate) fn quota(rate: f64, burst: f64) -> Quota {
    Quota {
        unit: Unit::Tokens { plain: 200 },
        rate: Rate::per_second(rate).unwrap(),
        burst,
    }
}

fn lender(term: u64, connection: u64) -> Lender {
    Lender::Present(Session {
        term: id::Term(term),
        connection,
    })
}

pub(crate) fn document(quota: Option<Quota>) -> Document {
    let organisation = Organisation {
        name: name(),
        keys: Vec::new(),
        priority: None,
        quota,
    };
    Document {
        version: Revision(1),
        routes: Vec::new(),
        services: BTreeMap::new(),
        limits: Limits {
            head: 0,
            body: 0,
            head_time: STEP,
            idle: STEP,
        },
        organisations: vec![organisation],
    }
}

pub(crate) struct World {
    setting: Setting,
    terms: Terms,
    account: Option<Account>,
    term: u64,
    census: Census,
    leader_frozen_until: Point,
    instances: Vec<Instance>,
    events: BTreeMap<(Point, u64), Event>,
    next: u64,
    rng: SmallRng,
    now: Point,
    quota: Quota,
    /// Credit that was given back without its loan.
    spare: u64,
    outcome: Outcome,
}

impl World {
    pub(crate) fn new(setting: Setting) -> Self {
        let terms = Terms {
            slack: setting.slack,
            ..Terms::default()
        };
        // The leader has led for some time, so its buckets are full.
        let now = Point::from_millis(START_MS);
        let mut account = Account::open(id::Term(1), terms, Census::default(), Point::ZERO);
        account.set_document(&document(Some(setting.quota)), now);
        let count = u32::try_from(setting.instances).unwrap();
        account.tick(count, now);
        let instances = (0..setting.instances).map(|index| {
            let mut purse = Purse::new(terms, Point::ZERO);
            purse.retain(true, |_| true);
            purse.set_instances(if setting.fault == Fault::Reserve {
                1
            } else {
                count
            });
            purse.set_lender(lender(1, index as u64));
            Instance {
                purse,
                waiting: Vec::new(),
                connection: index as u64,
                is_connected: true,
                frozen_until: Point::ZERO,
                cut_until: Point::ZERO,
                notices_at: None,
                leader_notices_at: None,
            }
        });
        Self {
            terms,
            account: Some(account),
            term: 1,
            census: Census::default(),
            leader_frozen_until: Point::ZERO,
            instances: instances.collect(),
            events: BTreeMap::new(),
            next: setting.instances as u64,
            rng: SmallRng::seed_from_u64(setting.seed),
            now,
            quota: setting.quota,
            spare: 0,
            outcome: Outcome::default(),
            setting,
        }
    }

    fn count(&self) -> u32 {
        let connected = self
            .instances
            .iter()
            .filter(|instance| instance.is_connected && instance.cut_until <= self.now);
        u32::try_from(connected.count()).unwrap()
    }

    fn push(&mut self, delay: Duration, event: Event) {
        self.next += 1;
        self.events.insert((self.now + delay, self.next), event);
    }

    fn latency(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(1..6))
    }

    pub(crate) fn run(mut self) -> Outcome {
        let start = self.now;
        let end = start + self.setting.end.since(Point::ZERO);
        self.setting.troubles.sort_by_key(|(at, ..)| *at);
        let mut troubles = std::mem::take(&mut self.setting.troubles)
            .into_iter()
            .peekable();
        let mut changes = std::mem::take(&mut self.setting.changes)
            .into_iter()
            .peekable();
        let mut due = 0.0;
        while self.now < end {
            let passed = Point::ZERO + self.now.since(start);
            while let Some((_, time, trouble)) = troubles.next_if(|(at, ..)| *at <= passed) {
                self.begin(trouble, time);
            }
            if let Some((_, quota)) = changes.next_if(|(at, _)| *at <= passed) {
                self.quota = quota;
                if let Some(account) = &mut self.account {
                    account.set_document(&document(Some(quota)), self.now);
                }
            }
            self.connect();
            self.deliver();
            let is_late = passed >= CHANGE_AT;
            let is_gathering = self.setting.spread == Spread::Gathering && !is_late;
            let demand = if is_gathering {
                0.7
            } else {
                self.setting.demand
            };
            let rate = demand * self.setting.quota.rate.get();
            due += rate * STEP.as_secs_f64() / self.setting.cost as f64;
            while due >= 1.0 {
                due -= 1.0;
                self.arrive(passed);
            }
            for index in 0..self.instances.len() {
                self.serve_waiting(index, false);
            }
            self.now = self.now + STEP;
        }
        self.outcome
    }

    fn begin(&mut self, trouble: Trouble, time: Duration) {
        let until = self.now + time;
        match trouble {
            Trouble::Cut(index) => {
                let (mine, other) = (
                    self.rng.random_range(300..1000),
                    self.rng.random_range(300..1000),
                );
                let instance = &mut self.instances[index];
                instance.cut_until = until;
                instance.notices_at = Some(self.now + Duration::from_millis(mine));
                instance.leader_notices_at = Some(self.now + Duration::from_millis(other));
            }
            Trouble::Freeze(index) => self.instances[index].frozen_until = until,
            Trouble::Restart(index) => {
                let connection = self.instances[index].connection;
                if let Some(account) = &mut self.account {
                    account.lose(connection, self.now);
                }
                let mut purse = Purse::new(self.terms, self.now);
                purse.retain(true, |_| true);
                purse.set_instances(self.setting.instances as u32);
                purse.set_lender(lender(self.term, self.next + 1));
                self.next += 1;
                self.instances[index].connection = self.next;
                self.instances[index].purse = purse;
                self.instances[index].waiting.clear();
            }
            Trouble::FreezeLeader => self.leader_frozen_until = until,
            Trouble::Leader => {
                self.account = None;
                // At least one election.
                self.leader_frozen_until = self.now + time.max(Duration::from_millis(500));
                for instance in &mut self.instances {
                    instance.purse.set_lender(Lender::Absent);
                }
            }
        }
    }

    /// Changes connections and the leader as cuts and elections go.
    fn connect(&mut self) {
        let term = self.term;
        let count = self.count();
        if self.account.is_none() && self.now >= self.leader_frozen_until {
            self.term += 1;
            let is_full = self.setting.fault == Fault::FullStart;
            let from = if is_full { Point::ZERO } else { self.now };
            let mut account = Account::open(id::Term(self.term), self.terms, self.census, from);
            account.set_document(&document(Some(self.quota)), self.now);
            account.tick(count, self.now);
            self.account = Some(account);
            for instance in self
                .instances
                .iter_mut()
                .filter(|instance| instance.is_connected)
            {
                self.next += 1;
                instance.connection = self.next;
                instance.purse.set_lender(lender(self.term, self.next));
            }
        }
        let leader_runs = self.now >= self.leader_frozen_until;
        self.census.record(count, self.now);
        for instance in &mut self.instances {
            if instance.notices_at.is_some_and(|at| at <= self.now) {
                instance.notices_at = None;
                instance.is_connected = false;
                instance.purse.set_lender(Lender::Absent);
            }
            if let Some(account) = self.account.as_mut().filter(|_| leader_runs)
                && instance.leader_notices_at.is_some_and(|at| at <= self.now)
            {
                instance.leader_notices_at = None;
                account.lose(instance.connection, self.now);
            }
            let is_back = !instance.is_connected
                && instance.notices_at.is_none()
                && instance.cut_until <= self.now;
            if is_back {
                self.next += 1;
                instance.connection = self.next;
                instance.is_connected = true;
                if self.account.is_some() {
                    instance.purse.set_lender(lender(self.term, self.next));
                }
            }
        }
        if let Some(account) = self.account.as_mut().filter(|_| leader_runs) {
            account.tick(count, self.now);
        }
        if term != self.term {
            (0..self.instances.len()).for_each(|index| self.send_claim(index));
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let event = entry.remove();
            match event {
                Event::Claim(index, term, claim) => self.deliver_claim(index, term, claim),
                Event::Grant(index, connection, mut grant) => {
                    let instance = &mut self.instances[index];
                    if instance.frozen_until > self.now {
                        let until = instance.frozen_until.since(self.now);
                        self.push(until, Event::Grant(index, connection, grant));
                        continue;
                    }
                    if instance.connection != connection || instance.cut_until > self.now {
                        continue;
                    }
                    if self.setting.fault == Fault::Lifetime {
                        grant.lifetime *= 40;
                    }
                    instance.purse.receive(&grant, self.now);
                    self.serve_waiting(index, true);
                }
                Event::Return(index, charge) => {
                    if self.setting.fault == Fault::OldReturns {
                        // As if it had been lent just now.
                        self.spare += charge.amount;
                    } else {
                        self.instances[index].purse.give_back(&charge, self.now);
                    }
                }
            }
        }
    }

    fn deliver_claim(&mut self, index: usize, connection: u64, mut claim: Claim) {
        let instance = &self.instances[index];
        if instance.cut_until > self.now || instance.connection != connection {
            return;
        }
        if self.leader_frozen_until > self.now && self.account.is_some() {
            let wait = self.leader_frozen_until.since(self.now);
            return self.push(wait, Event::Claim(index, connection, claim));
        }
        let latency = self.latency();
        let now = self.now;
        if self.setting.fault == Fault::FullStart {
            claim.history.clear();
            claim.is_young = false;
        }
        let Some(account) = &mut self.account else {
            return;
        };
        self.outcome.messages += 2;
        let grant = account.answer(connection, &claim, now);
        // The network delivers some claims twice.
        if self.setting.fault == Fault::Duplicates {
            claim.number += 1 << 32;
            let returns = Claim {
                items: Vec::new(),
                ..claim
            };
            for copy in 1..4 {
                let returns = Claim {
                    number: returns.number + copy,
                    ..returns.clone()
                };
                account.answer(connection + (copy << 40), &returns, now);
            }
        } else {
            assert_eq!(account.answer(connection, &claim, now), None);
        }
        if let Some(grant) = grant {
            self.push(latency, Event::Grant(index, connection, grant));
        }
    }

    fn arrive(&mut self, passed: Point) {
        let index = match self.setting.spread {
            Spread::One => 0,
            Spread::All => self.rng.random_range(0..self.instances.len()),
            Spread::Gathering if passed >= CHANGE_AT => {
                self.rng.random_range(0..self.instances.len())
            }
            Spread::Moving | Spread::Gathering => {
                let turn = passed.since(Point::ZERO).as_millis() / 700;
                (turn as usize * 7) % self.instances.len()
            }
        };
        self.outcome.asked += self.setting.cost;
        let waiting = Waiting {
            since: self.now,
            retry_at: self.now,
        };
        self.instances[index].waiting.push(waiting);
    }

    fn serve_waiting(&mut self, index: usize, has_credit: bool) {
        let now = self.now;
        let is_tick =
            (now.since(Point::ZERO).as_millis() + index as u128 * 5).is_multiple_of(TICK_MS);
        let is_idle = self.instances[index].waiting.is_empty() && !is_tick;
        if self.instances[index].frozen_until > now || is_idle {
            return;
        }
        let cost = self.setting.cost;
        for mut waiting in std::mem::take(&mut self.instances[index].waiting) {
            if waiting.retry_at > now && !has_credit {
                self.instances[index].waiting.push(waiting);
                continue;
            }
            if self.spare >= cost {
                self.spare -= cost;
                self.outcome.runs.push((now, cost));
                continue;
            }
            let instance = &mut self.instances[index];
            match instance.purse.charge(&name(), &self.quota, cost, now) {
                Ok(charge) => {
                    let waited = now.since(waiting.since);
                    self.outcome.longest_wait = self.outcome.longest_wait.max(waited);
                    let is_early =
                        now < Point::from_millis(START_MS) + CHANGE_AT.since(Point::ZERO);
                    if is_early && self.rng.random_bool(self.setting.refused) {
                        let delay = Duration::from_millis(self.rng.random_range(0..6000));
                        self.push(delay, Event::Return(index, charge));
                    } else {
                        self.outcome.runs.push((now, cost));
                    }
                }
                Err(Lack::Pending(wait) | Lack::Soon(wait))
                    if now.since(waiting.since) < Duration::from_millis(600) =>
                {
                    waiting.retry_at = now + wait;
                    instance.waiting.push(waiting);
                }
                Err(_) => self.outcome.refused += cost,
            }
        }
        self.send_claim(index);
    }

    fn send_claim(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if let Some(claim) = instance.purse.claim(self.now) {
            let connection = instance.connection;
            // Messages of a connection arrive in order.
            let latency = Duration::from_millis(1 + index as u64 % 5);
            self.push(latency, Event::Claim(index, connection, claim));
        }
    }
}

/// Returns an error if some window has more than the terms allow.
pub(crate) fn check_windows(
    runs: &[(Point, u64)],
    quota: &Quota,
    slack: f64,
) -> Result<f64, String> {
    let Terms {
        window, overage, ..
    } = Terms::default();
    let limit = (quota.rate.get() * window.as_secs_f64() + quota.burst) * (1.0 + overage) + slack;
    let (mut first, mut sum, mut worst) = (0, 0, 0);
    for (at, cost) in runs {
        sum += cost;
        while at.since(runs[first].0) > window {
            sum -= runs[first].1;
            first += 1;
        }
        worst = worst.max(sum);
        if sum as f64 > limit {
            return Err(format!(
                "{sum} in the window that ends at {at}, limit {limit}"
            ));
        }
    }
    Ok(worst as f64 / limit)
}
