//! Instances, an account and one target with a limit, in simulated time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use buckthornmast_limit::{
    account::{Account, Answer, GRANT_LIFETIME, Request},
    statement::{Grant, Key, Notice, Report, Statement},
    view::View,
};
use buckthornmast_types::{id, rate::Rate, time::Point};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Window of the bound on arrivals.
pub(crate) const WINDOW: Duration = Duration::from_secs(4);

/// Time after the first statement of a limit from which the bound holds.
pub(crate) const NOTICE_TIME: Duration = Duration::from_secs(3);

/// Time after which requests of an instance that was told count.
const TOLD_TIME: Duration = Duration::from_millis(500);

/// Longest time from the arrival of a request until its answer is reported.
const ANSWER_TIME: Duration = Duration::from_millis(170);

/// Time from a statement of another limit until it binds: until the answer has arrived, and requests that were granted
/// before have been sent.
const CHANGE_TIME: Duration = Duration::from_millis(500);

/// Time without an answer after which an instance counts the account as out of reach.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);

/// How instances keep a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// By the account.
    Account,
    /// Each spends an equal share.
    EqualShare,
    /// Each spends the whole limit.
    WholeLimit,
}

/// Setting of one run.
#[derive(Debug, Clone)]
pub(crate) struct Setting {
    pub(crate) policy: Policy,
    pub(crate) instances: usize,
    /// Requests a second of all callers, and the exponent by which they are uneven over instances.
    pub(crate) demand: f64,
    pub(crate) skew: f64,
    /// Limits in requests a second, with the times from which the target states them. `None` is no limit.
    pub(crate) limits: Vec<(Point, Option<f64>)>,
    pub(crate) end: Point,
    /// Times at which the account is lost, and the times until another one is opened.
    pub(crate) losses: Vec<(Point, Duration)>,
    /// Instances that can't reach the account, from a time to another.
    pub(crate) cuts: Vec<(usize, Point, Point)>,
    /// Whether requests of instances that are or have just been cut count as well, which the bound excuses.
    pub(crate) counts_cut: bool,
    /// Instances that start again, with the times.
    pub(crate) restarts: Vec<(usize, Point)>,
    pub(crate) seed: u64,
}

/// Request that arrived at the target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) at: Point,
    /// Whether the bound counts it.
    pub(crate) counts: bool,
}

#[derive(Debug, Clone)]
enum Event {
    Caller(usize),
    Lose(Duration),
    Open,
    Lead(usize, id::Term),
    Restart(usize),
    Ask(usize, u64, id::Term),
    Answered(usize, u64, Answer),
    Unanswered(usize, u64),
    Send(usize, u64, Option<Grant>),
    Arrive(usize, u64, Option<Grant>, Point),
    Reply(usize, u64, Option<Grant>, Point, Statement),
    Reported(id::Term, Report),
    Told(usize, u64, Vec<Notice>),
    Tick,
}

struct Instance {
    view: View,
    // Number of its starts.
    life: u64,
    leader: Option<id::Term>,
    told_at: Option<Point>,
    pending: HashMap<u64, ()>,
    // When the next message of this instance arrives at the account, and the other way round.
    up: Point,
    down: Point,
    // When the next request is due, with the policies that have no account.
    next_at: Point,
    weight: f64,
}

pub(crate) struct World {
    setting: Setting,
    rng: SmallRng,
    now: Point,
    sequence: u64,
    events: BinaryHeap<Reverse<(Point, u64)>>,
    bodies: HashMap<u64, Event>,
    instances: Vec<Instance>,
    account: Option<Account>,
    term: u64,
    numbers: u64,
    arrivals: Vec<Arrival>,
    pub(crate) refused: usize,
    pub(crate) advices: Vec<Duration>,
    pub(crate) messages: usize,
}

pub(crate) fn key() -> Key {
    ("t1".parse().unwrap(), id::Incarnation(1))
}

pub(crate) fn rate(value: f64) -> Rate {
    Rate::per_second(value).unwrap()
}

impl World {
    pub(crate) fn new(setting: Setting) -> Self {
        let mut rng = SmallRng::seed_from_u64(setting.seed);
        let weights: Vec<f64> = (0..setting.instances)
            .map(|index| (index as f64 + 1.0).powf(-setting.skew))
            .collect();
        let sum: f64 = weights.iter().sum();
        let instances = weights.iter().map(|weight| Instance {
            view: View::new(rng.random()),
            life: 0,
            leader: Some(id::Term(1)),
            told_at: None,
            pending: HashMap::new(),
            up: Point::ZERO,
            down: Point::ZERO,
            next_at: Point::ZERO,
            weight: weight / sum,
        });
        let mut world = Self {
            instances: instances.collect(),
            rng,
            now: Point::ZERO,
            sequence: 0,
            events: BinaryHeap::new(),
            bodies: HashMap::new(),
            account: Some(Account::open(id::Term(1), Point::ZERO)),
            term: 1,
            numbers: 0,
            arrivals: Vec::new(),
            refused: 0,
            advices: Vec::new(),
            messages: 0,
            setting,
        };
        let count = u32::try_from(world.instances.len()).unwrap();
        for index in 0..world.instances.len() {
            world.instances[index].view.set_instances(count);
            world.next_caller(index);
        }
        for (at, time) in world.setting.losses.clone() {
            world.schedule(at, Event::Lose(time));
        }
        for (index, at) in world.setting.restarts.clone() {
            world.schedule(at, Event::Restart(index));
        }
        world.schedule(Point::ZERO, Event::Tick);
        world
    }

    fn schedule(&mut self, at: Point, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence)));
        self.bodies.insert(self.sequence, event);
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_micros(self.rng.random_range(from * 1000..=to * 1000))
    }

    fn next_caller(&mut self, index: usize) {
        let rate = self.setting.demand * self.instances[index].weight;
        let gap = -self.rng.random_range(f64::EPSILON..1.0_f64).ln() / rate;
        let at = self.now + Duration::from_secs_f64(gap.min(1000.0));
        self.schedule(at, Event::Caller(index));
    }

    fn limit(&self, at: Point) -> Option<f64> {
        let past = self
            .setting
            .limits
            .iter()
            .rev()
            .find(|(from, _)| *from <= at);
        past.and_then(|(_, limit)| *limit)
    }

    fn is_cut(&self, index: usize) -> bool {
        let mut cuts = self.setting.cuts.iter();
        cuts.any(|(cut, from, to)| *cut == index && *from <= self.now && self.now < *to)
    }

    /// Returns whether an instance is cut, or was within [`NOTICE_TIME`].
    fn was_cut(&self, index: usize) -> bool {
        let mut cuts = self.setting.cuts.iter();
        cuts.any(|(cut, from, to)| {
            *cut == index && *from <= self.now && self.now < *to + NOTICE_TIME
        })
    }

    /// Schedules a message of an instance to the account, unless it is lost.
    fn send_up(&mut self, index: usize, event: Event) {
        if self.is_cut(index) {
            return;
        }
        self.messages += 1;
        let delay = self.millis(1, 20);
        let at = (self.now + delay).max(self.instances[index].up);
        self.instances[index].up = at;
        self.schedule(at, event);
    }

    fn send_down(&mut self, index: usize, event: Event) {
        if self.is_cut(index) {
            return;
        }
        self.messages += 1;
        let delay = self.millis(1, 20);
        let at = (self.now + delay).max(self.instances[index].down);
        self.instances[index].down = at;
        self.schedule(at, event);
    }

    /// Runs to the end and returns the requests that arrived.
    pub(crate) fn run(mut self) -> (Vec<Arrival>, Self) {
        while let Some(Reverse((at, sequence))) = self.events.pop() {
            if at > self.setting.end {
                break;
            }
            self.now = at;
            let event = self.bodies.remove(&sequence).unwrap();
            self.handle(event);
        }
        (std::mem::take(&mut self.arrivals), self)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Caller(index) => {
                self.next_caller(index);
                self.call(index);
            }
            Event::Tick => self.tick(),
            Event::Lose(time) => {
                self.account = None;
                let at = self.now + time;
                self.schedule(at, Event::Open);
            }
            Event::Open => self.open(),
            Event::Lead(index, term) => self.lead(index, term),
            Event::Restart(index) => self.restart(index),
            Event::Ask(index, number, term) => self.ask(index, number, term),
            Event::Answered(index, number, answer) => self.answered(index, number, answer),
            Event::Unanswered(index, number) => {
                if self.instances[index].pending.remove(&number).is_some() {
                    self.alone(index);
                }
            }
            Event::Send(index, life, grant) => self.send(index, life, grant),
            Event::Arrive(index, life, grant, sent) => self.arrive(index, life, grant, sent),
            Event::Reply(index, life, grant, sent, statement) => {
                self.reply(index, life, grant, sent, statement);
            }
            Event::Reported(term, report) => {
                if let Some(account) = self.account.as_mut().filter(|_| term.0 == self.term) {
                    account.record(&report, self.now);
                    self.publish();
                }
            }
            Event::Told(index, life, notices) => {
                let now = self.now;
                let instance = &mut self.instances[index];
                if instance.life == life {
                    instance.view.merge(&notices, now);
                }
            }
        }
    }

    /// A caller's request arrives at an instance.
    fn call(&mut self, index: usize) {
        let key = key();
        let life = self.instances[index].life;
        if !self.instances[index].view.is_limited(&key.0, key.1) {
            return self.send(index, life, None);
        }
        let stated = self.instances[index].view.rate(&key).unwrap().get();
        let now = self.now;
        match self.setting.policy {
            Policy::Account => {}
            Policy::EqualShare | Policy::WholeLimit => {
                let instances = match self.setting.policy {
                    Policy::EqualShare => self.instances.len() as f64,
                    _ => 1.0,
                };
                let instance = &mut self.instances[index];
                if instance.next_at <= now {
                    instance.next_at = now + Duration::from_secs_f64(instances / stated);
                    self.send(index, life, None);
                }
                return;
            }
        }
        let Some(term) = self.instances[index].leader else {
            return self.alone(index);
        };
        self.numbers += 1;
        let number = self.numbers;
        self.instances[index].pending.insert(number, ());
        self.send_up(index, Event::Ask(index, number, term));
        self.schedule(now + ANSWER_TIMEOUT, Event::Unanswered(index, number));
    }

    fn alone(&mut self, index: usize) {
        let now = self.now;
        let instance = &mut self.instances[index];
        instance.view.set_reachable(false, now);
        let life = instance.life;
        match instance.view.take_slot(&key(), now) {
            // A slot needs no grant.
            Ok(()) => self.dispatch(index, life, None),
            Err(_) => self.refused += 1,
        }
    }

    fn ask(&mut self, index: usize, number: u64, term: id::Term) {
        let now = self.now;
        let Some(account) = self.account.as_mut().filter(|_| term.0 == self.term) else {
            return;
        };
        let request = Request {
            candidates: [key()].into_iter().collect(),
            max_wait: Duration::from_secs(2),
            priority: 1,
            has_alternative: false,
        };
        let answer = account.request(&request, now);
        self.send_down(index, Event::Answered(index, number, answer));
    }

    fn answered(&mut self, index: usize, number: u64, answer: Answer) {
        let now = self.now;
        if self.instances[index].pending.remove(&number).is_none() {
            return;
        }
        self.instances[index].view.set_reachable(true, now);
        let life = self.instances[index].life;
        match answer {
            Answer::Granted(_, grant) => {
                self.schedule(now + grant.wait, Event::Send(index, life, Some(grant)));
            }
            Answer::Unlimited(_) => {}
            Answer::Refused(advice) => {
                self.refused += 1;
                self.advices.push(advice);
            }
        }
    }

    fn send(&mut self, index: usize, life: u64, grant: Option<Grant>) {
        if grant.is_none() && self.setting.policy == Policy::Account {
            let key = key();
            let instance = &self.instances[index];
            assert!(!instance.view.is_limited(&key.0, key.1));
        }
        self.dispatch(index, life, grant);
    }

    fn dispatch(&mut self, index: usize, life: u64, grant: Option<Grant>) {
        if self.instances[index].life != life {
            return;
        }
        // Connections are opened first, so requests of one instant arrive at different times.
        let delay = self.millis(1, 30);
        let (at, sent) = (self.now + delay, self.now);
        assert!(delay < GRANT_LIFETIME);
        self.schedule(at, Event::Arrive(index, life, grant, sent));
    }

    fn arrive(&mut self, index: usize, life: u64, grant: Option<Grant>, sent: Point) {
        let told_at = self.instances[index].told_at;
        let is_told = told_at.is_some_and(|told_at| told_at + TOLD_TIME <= sent);
        let counts = is_told && (self.setting.counts_cut || !self.was_cut(index));
        self.arrivals.push(Arrival {
            at: self.now,
            counts,
        });
        let statement = match self.limit(self.now) {
            Some(limit) => Statement::Limited(rate(limit)),
            None => Statement::Unlimited,
        };
        let delay = self.millis(5, 150);
        let event = Event::Reply(index, life, grant, sent, statement);
        self.schedule(self.now + delay, event);
    }

    fn reply(
        &mut self,
        index: usize,
        life: u64,
        grant: Option<Grant>,
        sent: Point,
        statement: Statement,
    ) {
        let now = self.now;
        let key = key();
        let instance = &mut self.instances[index];
        if instance.life != life {
            return;
        }
        if matches!(statement, Statement::Limited(_)) {
            instance.told_at.get_or_insert(now);
        }
        let differs = instance.view.record(&key, statement, sent, now);
        let Some(term) = instance.leader.filter(|_| differs || grant.is_some()) else {
            return;
        };
        let report = Report {
            key,
            statement,
            age: Duration::ZERO,
            grant,
        };
        self.send_up(index, Event::Reported(term, report));
    }

    fn publish(&mut self) {
        let now = self.now;
        let Some(account) = &mut self.account else {
            return;
        };
        let notices = account.changes(now);
        self.tell(&notices);
    }

    fn tell(&mut self, notices: &[Notice]) {
        if notices.is_empty() {
            return;
        }
        for index in 0..self.instances.len() {
            let life = self.instances[index].life;
            self.send_down(index, Event::Told(index, life, notices.to_vec()));
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        self.schedule(now + Duration::from_millis(100), Event::Tick);
        if let Some(account) = &mut self.account {
            let ended = account.prune(|_| true, now);
            self.tell(&ended);
            self.publish();
        }
    }

    fn open(&mut self) {
        self.term += 1;
        let term = id::Term(self.term);
        self.account = Some(Account::open(term, self.now));
        for index in 0..self.instances.len() {
            let delay = self.millis(1, 400);
            self.schedule(self.now + delay, Event::Lead(index, term));
        }
    }

    /// An instance learns of a new leader and tells it the limits that it knows.
    fn lead(&mut self, index: usize, term: id::Term) {
        let now = self.now;
        let instance = &mut self.instances[index];
        if instance.leader.is_some_and(|leader| leader >= term) {
            return;
        }
        instance.leader = Some(term);
        instance.pending.clear();
        let known: Vec<Report> = instance
            .view
            .limits(now)
            .map(|(key, rate, age)| Report {
                key: key.clone(),
                statement: Statement::Limited(rate),
                age,
                grant: None,
            })
            .collect();
        for report in known {
            self.send_up(index, Event::Reported(term, report));
        }
        if let Some(account) = &self.account {
            let notices = account.notices();
            let life = self.instances[index].life;
            self.send_down(index, Event::Told(index, life, notices));
        }
    }

    fn restart(&mut self, index: usize) {
        let place = self.rng.random();
        let count = u32::try_from(self.instances.len()).unwrap();
        let instance = &mut self.instances[index];
        instance.view = View::new(place);
        instance.view.set_instances(count);
        instance.life += 1;
        instance.told_at = None;
        instance.pending.clear();
        let leader = instance.leader.take();
        if let Some(leader) = leader {
            let delay = self.millis(1, 400);
            self.schedule(self.now + delay, Event::Lead(index, leader));
        }
    }
}

/// Returns an error if the bound is broken in some window in which the target states a limit.
pub(crate) fn check_windows(setting: &Setting, arrivals: &[Arrival]) -> Result<(), String> {
    let counted: Vec<Point> = arrivals
        .iter()
        .filter(|arrival| arrival.counts)
        .map(|arrival| arrival.at)
        .collect();
    let first = setting.limits.iter().find(|(_, limit)| limit.is_some());
    let Some((first, _)) = first else {
        return Ok(());
    };
    for (index, start) in counted.iter().enumerate() {
        if *start < *first + NOTICE_TIME {
            continue;
        }
        // Nobody can know of another limit before the first answer that states it. Windows that begin later count all that
        // was granted until then and sent afterwards.
        let answered = counted[..index].partition_point(|at| *at + ANSWER_TIME <= *start);
        let last_told = answered.checked_sub(1).map_or(*start, |last| counted[last]);
        let now = *start + Duration::from_micros(1);
        if highest_limit(setting, last_told, now) != highest_limit(setting, *start, now) {
            continue;
        }
        let from = *start - CHANGE_TIME;
        let Some(bound) = highest_limit(setting, from, *start + WINDOW) else {
            continue;
        };
        let allowed = 1.5 * bound * WINDOW.as_secs_f64() + 5.0;
        let end = *start + WINDOW;
        let count = counted[index..].iter().take_while(|at| **at < end).count();
        if count as f64 > allowed {
            return Err(format!(
                "{count} requests in 4 s from {start}, allowed {allowed}: {setting:?}"
            ));
        }
    }
    Ok(())
}

/// Returns the highest limit that is stated in some time, or `None` if there is a time without a limit.
fn highest_limit(setting: &Setting, from: Point, to: Point) -> Option<f64> {
    let mut highest: f64 = 0.0;
    for (index, (start, limit)) in setting.limits.iter().enumerate() {
        let next = setting.limits.get(index + 1).map(|(next, _)| *next);
        let is_past = next.is_some_and(|next| next <= from);
        if !is_past && *start < to {
            highest = highest.max((*limit)?);
        }
    }
    Some(highest)
}
