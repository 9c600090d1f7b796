//! Pure state machine of the controller.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use buckthornmast_lease::prelude::Lease;
use buckthornmast_ledger::{entry::Entry, prelude::*};
use buckthornmast_types::{order::Action, prelude::*};

use crate::{
    counter::{Counters, Kind},
    journal::Coverage,
    plan::{Move, Plan, TargetView, View},
    port::{AttemptResult, Grant, Intents},
    readiness::Readiness,
    store::Quota,
};

/// Limits and times of the controller.
#[derive(Debug, Clone)]
pub struct Config {
    /// Loads per second that the weight store allows.
    pub load_rate: Rate,
    /// Concurrent loads that the weight store allows.
    pub max_concurrent_loads: usize,
    /// Time after which an unresolved order is resent.
    pub resend_after: Duration,
    /// Time after which the controller requests a higher token to end an attempt whose answer was lost.
    pub raise_after: Duration,
    /// Time after which targets that ignore tokens are given orders although every candidate may
    /// have lost its journal. Orders of an earlier holder that are in no journal are assumed to have
    /// been executed and reported by then.
    pub journal_loss_wait: Duration,
    /// Age of the newest report from which a target counts as unresponsive.
    pub max_report_age: Duration,
    /// Time for which a copy must have been ready before it allows another one to be unloaded. It has to
    /// be at least the maximum age of a report that instances route by, so that each of them knows of the new copy.
    pub min_ready_time: Duration,
    /// Time before the end of the lease from which no order is sent, so that none leaves after its end.
    pub lease_margin: Duration,
    /// Maximum time for which a move that does not fit yet is kept.
    pub max_move_age: Duration,
    /// Maximum number of moves that are kept; the newest ones beyond it are dropped.
    pub max_waiting_moves: usize,
}

impl Config {
    /// Returns the default times with the given limits of a weight store.
    pub fn new(load_rate: Rate, max_concurrent_loads: usize) -> Self {
        Self {
            load_rate,
            max_concurrent_loads,
            resend_after: Duration::from_secs(2),
            raise_after: Duration::from_secs(10),
            journal_loss_wait: Duration::from_secs(30),
            max_report_age: Duration::from_millis(2_500),
            min_ready_time: Duration::ZERO,
            lease_margin: Duration::from_millis(200),
            max_move_age: Duration::from_secs(10),
            max_waiting_moves: 4096,
        }
    }
}

/// Order to send now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// Order.
    pub order: Order,
    /// Attempt. A fence has number 0, since it is not accounted for in the ledger.
    pub attempt: Attempt,
    /// Time from which no byte may be sent.
    pub not_after: Point,
}

/// Where the intent of an open order is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Durability {
    /// Not recorded yet.
    Unrecorded,
    /// In the journals of all other candidates, but not in the log.
    Journals,
    /// In the log.
    Log,
}

#[derive(Debug, Clone)]
pub(crate) struct OpenOrder {
    pub(crate) target: id::Target,
    /// Team that the order is counted for; `None` for an order inherited from an earlier holder.
    pub(crate) team: Option<id::Team>,
    pub(crate) kind: Kind,
    pub(crate) durability: Durability,
    pub(crate) last_sent: Option<Point>,
}

#[derive(Debug, Clone)]
struct LatestReport {
    report: Report,
    sampled_at: Point,
    honours_tokens: bool,
}

/// Shift whose load is reserved and whose unload is not.
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
    reports: BTreeMap<id::Target, LatestReport>,
    pub(crate) readiness: Readiness,
    pub(crate) ledger: Option<Ledger>,
    pub(crate) load_quota: Quota,
    pub(crate) open_orders: BTreeMap<id::Order, OpenOrder>,
    pub(crate) guard: Option<Guard>,
    pub(crate) waiting: Vec<(Point, Move)>,
    pub(crate) shifts: Vec<Shift>,
    /// Time of the last fence sent to each target under the current token.
    fences_sent: BTreeMap<id::Target, Point>,
    queue: VecDeque<Queued>,
    closed: Vec<ClosedOrder>,
    is_fenced: bool,
    acquired_at: Point,
    counters: Counters,
}

impl Core {
    /// Returns a controller without a lease.
    pub fn new(config: Config) -> Self {
        Self {
            load_quota: Quota::empty(config.load_rate, config.max_concurrent_loads, Point::ZERO),
            config,
            reports: BTreeMap::new(),
            readiness: Readiness::default(),
            ledger: None,
            open_orders: BTreeMap::new(),
            guard: None,
            waiting: Vec::new(),
            shifts: Vec::new(),
            fences_sent: BTreeMap::new(),
            queue: VecDeque::new(),
            closed: Vec::new(),
            is_fenced: false,
            acquired_at: Point::ZERO,
            counters: Counters::default(),
        }
    }

    /// Takes control under a new lease.
    pub fn lease_acquired(&mut self, now: Point, grant: &Grant) {
        self.lease_lost();
        let mut ledger = Ledger::new(grant.token);
        for (target, position) in &grant.positions {
            ledger.require_position(target, *position);
        }
        if grant.is_first {
            ledger.set_journals_read();
        }
        self.load_quota =
            Quota::empty(self.config.load_rate, self.config.max_concurrent_loads, now);
        self.acquired_at = now;
        self.ledger = Some(ledger);
        for order in &grant.intents {
            self.inherit(order, Durability::Log);
        }
        for latest in self.reports.values() {
            if let Some(ledger) = &mut self.ledger {
                let closed = ledger.observe(&latest.report, latest.honours_tokens);
                self.closed.extend(closed);
            }
        }
        self.forget_closed(0);
    }

    fn inherit(&mut self, order: &Order, durability: Durability) {
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        if self.open_orders.contains_key(&order.id) {
            return;
        }
        ledger.inherit(order.clone());
        let open = OpenOrder {
            target: order.target.clone(),
            team: None,
            kind: Kind::Load,
            durability,
            last_sent: None,
        };
        self.open_orders.insert(order.id, open);
    }

    /// Takes over the intents in the candidates' journals.
    ///
    /// Until the journals are complete, targets that ignore tokens are given no orders.
    pub fn journals_read(&mut self, now: Point, journaled: &Intents) {
        for order in &journaled.intents {
            self.inherit(order, Durability::Journals);
        }
        let is_wait_over = now.since(self.acquired_at) >= self.config.journal_loss_wait;
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        match journaled.coverage {
            Coverage::Complete => ledger.set_journals_read(),
            Coverage::Answered if is_wait_over => ledger.set_journals_read(),
            Coverage::SingleCandidate => ledger.set_ignoring_journals_read(),
            Coverage::Answered | Coverage::Partial => {}
        }
    }

    /// Continues under a higher token of the same lease.
    pub fn token_raised(&mut self, token: id::Token) {
        self.fences_sent.clear();
        if let Some(ledger) = &mut self.ledger {
            ledger.raise_token(token);
        }
    }

    /// Ends control. Open orders remain recorded for the successor.
    pub fn lease_lost(&mut self) {
        self.ledger = None;
        self.guard = None;
        self.is_fenced = false;
        self.open_orders.clear();
        self.waiting.clear();
        self.shifts.clear();
        self.fences_sent.clear();
        self.queue.clear();
        self.closed.clear();
    }

    /// Returns the token while this instance controls the domain.
    pub fn token(&self) -> Option<id::Token> {
        self.ledger.as_ref().map(Ledger::token)
    }

    /// Returns the ledger while this instance controls the domain.
    pub fn ledger(&self) -> Option<&Ledger> {
        self.ledger.as_ref()
    }

    /// Returns whether a target has accepted a higher token, which means that the lease is lost.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Returns whether the journals have not been read completely yet.
    pub fn is_awaiting_journals(&self) -> bool {
        let ledger = self.ledger.as_ref();
        ledger.is_some_and(|ledger| !ledger.are_journals_read())
    }

    /// Returns whether every open intent, and every position of a closed one, is in the log.
    pub fn is_clean(&self) -> bool {
        let ledger = self.ledger.as_ref();
        ledger.is_some_and(Ledger::are_journals_read)
            && self.closed.is_empty()
            && self
                .open_orders
                .values()
                .all(|open| open.durability == Durability::Log)
    }

    /// Returns whether a higher token would end attempts that are kept open by a lost answer.
    pub fn is_raise_due(&self, now: Point) -> bool {
        let mut awaiting_fence = self.ledger.iter().flat_map(Ledger::orders_awaiting_fence);
        awaiting_fence.any(|entry| {
            let open = self.open_orders.get(&entry.order().id);
            let last = open.and_then(|open| open.last_sent);
            last.is_some_and(|last| now.since(last) >= self.config.raise_after)
        })
    }

    /// Returns the number of moves per team.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Processes a report that was made at about the given time. Reports may arrive in any order.
    pub fn report(&mut self, report: Report, sampled_at: Point, honours_tokens: bool) {
        let target = &report.target;
        let latest = self.reports.get(target);
        if latest.is_some_and(|latest| !report.supersedes(&latest.report)) {
            return;
        }
        if let Some(ledger) = &mut self.ledger {
            let before = self.closed.len();
            self.closed.extend(ledger.observe(&report, honours_tokens));
            self.forget_closed(before);
        }
        self.readiness.observe(&report, sampled_at);
        let latest = LatestReport {
            sampled_at,
            honours_tokens,
            report,
        };
        self.reports.insert(latest.report.target.clone(), latest);
    }

    /// Processes the outcome of a send attempt.
    pub fn end_attempt(&mut self, result: &AttemptResult) {
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        // Attempts of an earlier lease are expected to be fenced.
        let is_own = result.attempt.token == ledger.token();
        self.is_fenced |= is_own && result.outcome == Outcome::Fenced;
        let AttemptResult {
            target,
            order,
            attempt,
            outcome,
        } = result;
        let before = self.closed.len();
        self.closed
            .extend(ledger.end_attempt(target, *order, *attempt, *outcome));
        self.forget_closed(before);
    }

    fn forget_closed(&mut self, from: usize) {
        for closed in &self.closed[from..] {
            self.open_orders.remove(&closed.order.id);
        }
    }

    /// Returns the state of the domain from which a plan is made.
    pub fn view(&self, now: Point) -> View {
        let targets = self.reports.values().map(|latest| {
            let report = &latest.report;
            let target = &report.target;
            let ledger = self.ledger.as_ref();
            let artifacts = |is_included: fn(&Entry) -> bool| -> Vec<Artifact> {
                let entries = ledger
                    .into_iter()
                    .flat_map(|ledger| ledger.open_orders_on(target));
                let entries = entries.filter(|entry| is_included(entry));
                entries.filter_map(Entry::artifact).cloned().collect()
            };
            TargetView {
                kind: report.kind.clone(),
                service: report.service.clone(),
                is_leaving: report.is_leaving,
                is_live: !report.is_leaving
                    && now.since(latest.sampled_at) < self.config.max_report_age,
                is_current: ledger.is_some_and(|ledger| ledger.is_current(target)),
                accelerators: report.accelerators,
                memory: report.memory,
                free: ledger.map_or(Bytes::ZERO, |ledger| ledger.free_memory(target)),
                copies: report.copies.clone(),
                loading: artifacts(Entry::is_load),
                unloading: artifacts(Entry::is_unload),
                load: report.load,
                target: target.clone(),
            }
        });
        View {
            targets: targets.collect(),
            waiting: self.waiting.iter().map(|(_, m)| m.clone()).collect(),
        }
    }

    /// Reserves the planned moves as far as they fit, and queues the orders to send.
    pub fn round(&mut self, now: Point, view: &View, plan: Plan) {
        if self.ledger.is_none() {
            return;
        }
        if let Some((load_rate, max_concurrent_loads)) = plan.load_quota {
            self.config.load_rate = load_rate;
            self.config.max_concurrent_loads = max_concurrent_loads;
            self.load_quota.set_limits(load_rate, max_concurrent_loads);
        }
        self.admit(now, view, plan);
        self.queue_sends(now);
    }

    fn queue_sends(&mut self, now: Point) {
        self.queue.clear();
        let Some(ledger) = &self.ledger else {
            return;
        };
        let resend_after = self.config.resend_after;
        for (target, incarnation) in ledger.unfenced_targets() {
            let last = self.fences_sent.get(target);
            if last.is_none_or(|last| now.since(*last) >= resend_after) {
                self.queue
                    .push_back(Queued::Fence(target.clone(), incarnation));
            }
        }
        let unfenced: BTreeSet<&id::Target> = ledger
            .unfenced_targets()
            .map(|(target, _)| target)
            .collect();
        for entry in ledger.orders_to_send() {
            let order = entry.order();
            let open = self.open_orders.get(&order.id);
            // The fence reveals the outcome of an inherited order, which may no longer be needed.
            let is_inherited = open.is_some_and(|open| open.team.is_none());
            if is_inherited && unfenced.contains(&order.target) {
                continue;
            }
            let last = open.and_then(|open| open.last_sent);
            if last.is_none_or(|last| now.since(last) >= resend_after) {
                let queued = Queued::Order(order.target.clone(), order.id);
                self.queue.push_back(queued);
            }
        }
    }

    /// Returns the open orders whose intents are not in the log.
    pub fn unlogged_orders(&self) -> Vec<Order> {
        let Some(ledger) = &self.ledger else {
            return Vec::new();
        };
        let unlogged = self
            .open_orders
            .iter()
            .filter(|(_, open)| open.durability != Durability::Log);
        let entries = unlogged.filter_map(|(id, open)| ledger.entry(&open.target, *id));
        entries.map(|entry| entry.order().clone()).collect()
    }

    /// Returns those of the orders whose targets honour tokens.
    pub fn honouring_tokens(&self, mut orders: Vec<Order>) -> Vec<Order> {
        orders.retain(|order| {
            let latest = self.reports.get(&order.target);
            latest.is_some_and(|latest| latest.honours_tokens)
        });
        orders
    }

    /// Marks the intents of orders as recorded.
    pub fn recorded(&mut self, orders: &[Order], durability: Durability) {
        for order in orders {
            if let Some(open) = self.open_orders.get_mut(&order.id) {
                open.durability = open.durability.max(durability);
            }
        }
    }

    /// Returns the next order to send, or `None` if there is none or the lease does not allow it.
    ///
    /// The lease must be valid at `now`.
    pub fn send(&mut self, now: Point, lease: Option<Lease>) -> Option<Dispatch> {
        let ledger = self.ledger.as_mut()?;
        let lease = lease.filter(|lease| lease.token == ledger.token())?;
        let not_after = lease.expires_at - self.config.lease_margin;
        if now >= not_after {
            return None;
        }
        while let Some(queued) = self.queue.pop_front() {
            let (target, id) = match queued {
                Queued::Fence(target, incarnation) => {
                    self.fences_sent.insert(target.clone(), now);
                    let order = Order {
                        id: id::Order::generate(),
                        target,
                        incarnation,
                        token: ledger.token(),
                        action: Action::Fence,
                    };
                    return Some(Dispatch {
                        order,
                        attempt: Attempt {
                            number: 0,
                            token: ledger.token(),
                        },
                        not_after,
                    });
                }
                Queued::Order(target, id) => (target, id),
            };
            let Some((entry, open)) = ledger.entry(&target, id).zip(self.open_orders.get_mut(&id))
            else {
                continue;
            };
            let is_guarded = self
                .guard
                .as_ref()
                .is_some_and(|g| ledger.may_send(entry, g));
            if open.durability == Durability::Unrecorded
                || !is_guarded
                || !ledger.is_current(&target)
            {
                continue;
            }
            let token = ledger.token();
            let order = entry.order().clone();
            let Some(attempt) = ledger.begin_attempt(&target, id) else {
                continue;
            };
            if let Some(team) = open.team.as_ref().filter(|_| open.last_sent.is_none()) {
                self.counters.count(team, open.kind);
            }
            open.last_sent = Some(now);
            return Some(Dispatch {
                order: Order { token, ..order },
                attempt,
                not_after,
            });
        }
        None
    }

    /// Takes the closed orders, whose intents have to be removed from the log.
    pub fn take_closed(&mut self) -> Vec<ClosedOrder> {
        std::mem::take(&mut self.closed)
    }

    /// Puts back closed orders whose intents could not be removed from the log, for another attempt.
    pub fn restore_closed(&mut self, closed: Vec<ClosedOrder>) {
        if self.ledger.is_some() {
            self.closed.extend(closed);
        }
    }
}
