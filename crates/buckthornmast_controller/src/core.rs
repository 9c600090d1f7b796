//! Pure state machine of the controller.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use buckthornmast_lease::prelude::Valid;
use buckthornmast_ledger::{entry::Entry, prelude::*};
use buckthornmast_types::{order::Action, prelude::*};

use crate::{
    counter::{Counters, Kind},
    notebook::Coverage,
    plan::{Move, Planned, TargetView, View},
    port::{Answered, Grant, Notes},
    settled::Settled,
    store::Budget,
};

/// Limits and times of the controller.
#[derive(Debug, Clone)]
pub struct Config {
    /// Loads a second that the weight store allows.
    pub rate: Rate,
    /// Loads at once that the weight store allows.
    pub at_once: usize,
    /// Time after which an unresolved order is sent again.
    pub resend_after: Duration,
    /// Time after which a lost answer makes the controller ask for a higher token.
    pub raise_after: Duration,
    /// Time after which targets that ignore tokens are given orders although every candidate may
    /// have lost its journal. Orders of an earlier holder that no journal names are assumed to have
    /// been executed, and reported, by then.
    pub settle_for: Duration,
    /// Age of the newest report from which a target counts as silent.
    pub live_for: Duration,
    /// Time for which a copy must have been ready before another one is unloaded for it. The longest
    /// age of a report that is routed by: no instance then still lacks the new copy.
    pub ready_for: Duration,
    /// Part of the lease that is left unused, so that no order leaves after its end.
    pub margin: Duration,
    /// Time for which a move that does not fit yet is kept.
    pub keep_for: Duration,
    /// Moves that are kept at most.
    pub keep_at_most: usize,
}

impl Config {
    /// Returns the usual times for a weight store.
    pub fn new(rate: Rate, at_once: usize) -> Self {
        Self {
            rate,
            at_once,
            resend_after: Duration::from_secs(2),
            raise_after: Duration::from_secs(10),
            settle_for: Duration::from_secs(30),
            live_for: Duration::from_millis(2_500),
            ready_for: Duration::ZERO,
            margin: Duration::from_millis(200),
            keep_for: Duration::from_secs(10),
            keep_at_most: 4096,
        }
    }
}

/// Order to send now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// Order.
    pub order: Order,
    /// Attempt; number 0 for a fence, which nothing is accounted for.
    pub attempt: Attempt,
    /// Time from which no byte may leave.
    pub not_after: Point,
}

/// Where the intent of an open order is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// Nowhere yet.
    Nowhere,
    /// At all other candidates, but not in the log.
    Journals,
    /// In the log.
    Log,
}

#[derive(Debug, Clone)]
pub(crate) struct Meta {
    pub(crate) target: id::Target,
    pub(crate) team: Option<id::Team>,
    pub(crate) kind: Kind,
    pub(crate) place: Place,
    pub(crate) last_sent: Option<Point>,
}

#[derive(Debug, Clone)]
struct Known {
    report: Report,
    sampled: Point,
    honours: bool,
}

#[derive(Debug, Clone)]
pub(crate) struct Shift {
    pub(crate) team: id::Team,
    pub(crate) artifact: Artifact,
    pub(crate) from: id::Target,
    pub(crate) to: id::Target,
}

#[derive(Debug, Clone)]
enum Queued {
    Fence(id::Target, id::Incarnation),
    Order(id::Target, id::Order),
}

/// Controller of one failure domain.
#[derive(Debug, Clone)]
pub struct Core {
    pub(crate) config: Config,
    known: BTreeMap<id::Target, Known>,
    pub(crate) settled: Settled,
    pub(crate) book: Option<Book>,
    pub(crate) store: Budget,
    pub(crate) meta: BTreeMap<id::Order, Meta>,
    pub(crate) guard: Option<Guard>,
    pub(crate) waiting: Vec<(Point, Move)>,
    pub(crate) shifts: Vec<Shift>,
    fences: BTreeMap<id::Target, Point>,
    queue: VecDeque<Queued>,
    closed: Vec<Closed>,
    is_fenced: bool,
    elected: Point,
    counters: Counters,
}

impl Core {
    /// Returns a controller without a lease.
    pub fn new(config: Config) -> Self {
        Self {
            store: Budget::empty(config.rate, config.at_once, Point::ZERO),
            config,
            known: BTreeMap::new(),
            settled: Settled::default(),
            book: None,
            meta: BTreeMap::new(),
            guard: None,
            waiting: Vec::new(),
            shifts: Vec::new(),
            fences: BTreeMap::new(),
            queue: VecDeque::new(),
            closed: Vec::new(),
            is_fenced: false,
            elected: Point::ZERO,
            counters: Counters::default(),
        }
    }

    /// Begins to control under a new lease.
    pub fn elected(&mut self, now: Point, grant: &Grant) {
        self.deposed();
        let mut book = Book::new(grant.token);
        for (target, mark) in &grant.marks {
            book.require(target, *mark);
        }
        if grant.is_first {
            book.set_journals_read();
        }
        self.store = Budget::empty(self.config.rate, self.config.at_once, now);
        self.elected = now;
        self.book = Some(book);
        for order in &grant.intents {
            self.inherit(order, Place::Log);
        }
        for known in self.known.values() {
            if let Some(book) = &mut self.book {
                let closed = book.observe(&known.report, known.honours);
                self.closed.extend(closed);
            }
        }
        self.forget_closed(0);
    }

    fn inherit(&mut self, order: &Order, place: Place) {
        let Some(book) = &mut self.book else {
            return;
        };
        if self.meta.contains_key(&order.id) {
            return;
        }
        book.inherit(order.clone());
        let meta = Meta {
            target: order.target.clone(),
            team: None,
            kind: Kind::Load,
            place,
            last_sent: None,
        };
        self.meta.insert(order.id, meta);
    }

    /// Takes over the intents of the candidates' journals.
    ///
    /// Until they are complete, targets that ignore tokens are given no orders.
    pub fn notes(&mut self, now: Point, notes: &Notes) {
        for order in &notes.intents {
            self.inherit(order, Place::Journals);
        }
        let is_settled = now.since(self.elected) >= self.config.settle_for;
        let Some(book) = &mut self.book else {
            return;
        };
        match notes.coverage {
            Coverage::Complete => book.set_journals_read(),
            Coverage::Answered if is_settled => book.set_journals_read(),
            Coverage::Ignoring => book.set_ignoring_read(),
            Coverage::Answered | Coverage::Partial => {}
        }
    }

    /// Goes on under a higher token of the same lease.
    pub fn raised(&mut self, token: id::Token) {
        self.fences.clear();
        if let Some(book) = &mut self.book {
            book.raise(token);
        }
    }

    /// Ends control. Open orders stay recorded for the successor.
    pub fn deposed(&mut self) {
        self.book = None;
        self.guard = None;
        self.is_fenced = false;
        self.meta.clear();
        self.waiting.clear();
        self.shifts.clear();
        self.fences.clear();
        self.queue.clear();
        self.closed.clear();
    }

    /// Returns the token while this instance controls the domain.
    pub fn token(&self) -> Option<id::Token> {
        self.book.as_ref().map(Book::token)
    }

    /// Returns the ledger while this instance controls the domain.
    pub fn book(&self) -> Option<&Book> {
        self.book.as_ref()
    }

    /// Returns whether a target has seen a higher token, so that the lease is lost.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Returns whether the journals are still to be read.
    pub fn wants_notes(&self) -> bool {
        let book = self.book.as_ref();
        book.is_some_and(|book| !book.are_journals_read())
    }

    /// Returns whether every open intent, and every mark of a closed one, is in the log.
    pub fn is_clean(&self) -> bool {
        let book = self.book.as_ref();
        book.is_some_and(Book::are_journals_read)
            && self.closed.is_empty()
            && self.meta.values().all(|meta| meta.place == Place::Log)
    }

    /// Returns whether a higher token would end attempts that are kept open by a lost answer.
    pub fn wants_raise(&self, now: Point) -> bool {
        let mut stuck = self.book.iter().flat_map(Book::stuck);
        stuck.any(|entry| {
            let meta = self.meta.get(&entry.order().id);
            let last = meta.and_then(|meta| meta.last_sent);
            last.is_some_and(|last| now.since(last) >= self.config.raise_after)
        })
    }

    /// Returns the moves per team.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Takes in a report that was made at about this time, in any order.
    pub fn report(&mut self, report: Report, sampled: Point, honours: bool) {
        let target = &report.target;
        let known = self.known.get(target);
        if known.is_some_and(|known| !report.supersedes(&known.report)) {
            return;
        }
        if let Some(book) = &mut self.book {
            let before = self.closed.len();
            self.closed.extend(book.observe(&report, honours));
            self.forget_closed(before);
        }
        self.settled.observe(&report, sampled);
        let known = Known {
            sampled,
            honours,
            report,
        };
        self.known.insert(known.report.target.clone(), known);
    }

    /// Takes in how a send attempt ended.
    pub fn answered(&mut self, answered: &Answered) {
        let Some(book) = &mut self.book else {
            return;
        };
        // Attempts of an earlier lease are expected to be fenced.
        let is_own = answered.attempt.token == book.token();
        self.is_fenced |= is_own && answered.outcome == Outcome::Fenced;
        let Answered {
            target,
            order,
            attempt,
            outcome,
        } = answered;
        let before = self.closed.len();
        self.closed
            .extend(book.answered(target, *order, *attempt, *outcome));
        self.forget_closed(before);
    }

    fn forget_closed(&mut self, from: usize) {
        for closed in &self.closed[from..] {
            self.meta.remove(&closed.order.id);
        }
    }

    /// Returns the domain as a plan is made from it.
    pub fn view(&self, now: Point) -> View {
        let targets = self.known.values().map(|known| {
            let report = &known.report;
            let target = &report.target;
            let book = self.book.as_ref();
            let open = |is_wanted: fn(&Entry) -> bool| -> Vec<Artifact> {
                let entries = book.into_iter().flat_map(|book| book.open_on(target));
                let entries = entries.filter(|entry| is_wanted(entry));
                entries.filter_map(Entry::artifact).cloned().collect()
            };
            TargetView {
                kind: report.kind.clone(),
                service: report.service.clone(),
                is_leaving: report.leaving,
                is_live: !report.leaving && now.since(known.sampled) < self.config.live_for,
                is_current: book.is_some_and(|book| book.is_current(target)),
                accelerators: report.accelerators,
                memory: report.memory,
                free: book.map_or(Bytes::ZERO, |book| book.free(target)),
                copies: report.copies.clone(),
                loading: open(Entry::is_load),
                unloading: open(Entry::is_unload),
                load: report.load,
                target: target.clone(),
            }
        });
        View {
            targets: targets.collect(),
            waiting: self.waiting.iter().map(|(_, m)| m.clone()).collect(),
        }
    }

    /// Reserves what the plan asks for, as far as it fits, and queues the orders that are to be sent.
    pub fn round(&mut self, now: Point, view: &View, planned: Planned) {
        if self.book.is_none() {
            return;
        }
        if let Some((rate, at_once)) = planned.store {
            self.config.rate = rate;
            self.config.at_once = at_once;
            self.store.set_limits(rate, at_once);
        }
        self.admit(now, view, planned);
        self.queue_sends(now);
    }

    fn queue_sends(&mut self, now: Point) {
        self.queue.clear();
        let Some(book) = &self.book else {
            return;
        };
        let resend_after = self.config.resend_after;
        for (target, incarnation) in book.unfenced() {
            let last = self.fences.get(target);
            if last.is_none_or(|last| now.since(*last) >= resend_after) {
                self.queue
                    .push_back(Queued::Fence(target.clone(), incarnation));
            }
        }
        let unfenced: BTreeSet<&id::Target> = book.unfenced().map(|(target, _)| target).collect();
        for entry in book.due() {
            let order = entry.order();
            let meta = self.meta.get(&order.id);
            // A fence shows what became of an inherited order, which may no longer be wanted.
            let is_inherited = meta.is_some_and(|meta| meta.team.is_none());
            if is_inherited && unfenced.contains(&order.target) {
                continue;
            }
            let last = meta.and_then(|meta| meta.last_sent);
            if last.is_none_or(|last| now.since(last) >= resend_after) {
                let queued = Queued::Order(order.target.clone(), order.id);
                self.queue.push_back(queued);
            }
        }
    }

    /// Returns the open orders whose intents are not in the log.
    pub fn to_record(&self) -> Vec<Order> {
        let Some(book) = &self.book else {
            return Vec::new();
        };
        let missing = self.meta.iter().filter(|(_, m)| m.place != Place::Log);
        let entries = missing.filter_map(|(id, meta)| book.entry(&meta.target, *id));
        entries.map(|entry| entry.order().clone()).collect()
    }

    /// Keeps the orders to targets that honour tokens.
    pub fn honoured(&self, mut orders: Vec<Order>) -> Vec<Order> {
        orders.retain(|order| {
            let known = self.known.get(&order.target);
            known.is_some_and(|known| known.honours)
        });
        orders
    }

    /// Notes where the intents of orders are recorded.
    pub fn recorded(&mut self, orders: &[Order], place: Place) {
        for order in orders {
            if let Some(meta) = self.meta.get_mut(&order.id) {
                meta.place = meta.place.max(place);
            }
        }
    }

    /// Returns the next order to send, or nothing if there is none or the lease does not allow it.
    ///
    /// The lease is the one that is valid at `now`.
    pub fn send(&mut self, now: Point, valid: Option<Valid>) -> Option<Dispatch> {
        let book = self.book.as_mut()?;
        let valid = valid.filter(|valid| valid.token == book.token())?;
        let not_after = valid.until - self.config.margin;
        if now >= not_after {
            return None;
        }
        while let Some(queued) = self.queue.pop_front() {
            let (target, id) = match queued {
                Queued::Fence(target, incarnation) => {
                    self.fences.insert(target.clone(), now);
                    let order = Order {
                        id: id::Order::generate(),
                        target,
                        incarnation,
                        token: book.token(),
                        action: Action::Fence,
                    };
                    return Some(Dispatch {
                        order,
                        attempt: Attempt {
                            number: 0,
                            token: book.token(),
                        },
                        not_after,
                    });
                }
                Queued::Order(target, id) => (target, id),
            };
            let Some((entry, meta)) = book.entry(&target, id).zip(self.meta.get_mut(&id)) else {
                continue;
            };
            let is_guarded = self.guard.as_ref().is_some_and(|g| book.may_send(entry, g));
            if meta.place == Place::Nowhere || !is_guarded || !book.is_current(&target) {
                continue;
            }
            let token = book.token();
            let order = entry.order().clone();
            let Some(attempt) = book.sent(&target, id) else {
                continue;
            };
            if let Some(team) = meta.team.as_ref().filter(|_| meta.last_sent.is_none()) {
                self.counters.count(team, meta.kind);
            }
            meta.last_sent = Some(now);
            return Some(Dispatch {
                order: Order { token, ..order },
                attempt,
                not_after,
            });
        }
        None
    }

    /// Takes the closed orders, whose intents are to be removed from the log.
    pub fn take_closed(&mut self) -> Vec<Closed> {
        std::mem::take(&mut self.closed)
    }

    /// Puts closed orders back whose intents could not be removed.
    pub fn put_back(&mut self, closed: Vec<Closed>) {
        if self.book.is_some() {
            self.closed.extend(closed);
        }
    }
}
