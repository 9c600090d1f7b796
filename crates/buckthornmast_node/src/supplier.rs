//! Copy requests, permit requests and demand reports of an entry instance to the leader.

mod confirmations;
mod credit;
mod origins;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use buckthornmast_forward::supply::{self, Availability, PermitRequest, Supply, Usage};
use buckthornmast_limit::{
    account::{self, Answer},
    statement::Report,
};
use buckthornmast_link::Outbox;
use buckthornmast_origin::{
    inquiry::{Finding, Question},
    record::Record,
};
use buckthornmast_quarantine::{
    ledger::{Evidence, Notice},
    part,
};
use buckthornmast_quota::credit::Claim;
use buckthornmast_supply::{
    demand::{Item, Row},
    occupancy,
    permits::{Permit, Request},
};
use buckthornmast_types::id;
use tokio::{
    sync::{Notify, oneshot},
    time::{Instant, timeout, timeout_at},
};

use self::origins::Inquiries;
use crate::message::{Grant, Upstream};

/// Time limit for the answer of the leader to a copy request.
const COPY_ANSWER_TIMEOUT: Duration = Duration::from_millis(1000);

/// Minimum time between two reports that the same target is unreachable.
const UNREACHABLE_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit for the first answer to a permit request: several round trips to the leader, and the time in which it plans
/// the placement of a large fleet.
const PERMIT_ANSWER_TIMEOUT: Duration = Duration::from_millis(80);

/// Time for which no permits are requested after the leader did not answer in time.
const PERMIT_BACKOFF: Duration = Duration::from_millis(500);

/// Time limit for the wait for a leader, if none is known.
const LEADER_TIMEOUT: Duration = Duration::from_millis(400);

struct Core {
    outbox: Outbox<Upstream>,
    leading_term: Option<id::Term>,
    // Whether it keeps the versions that began streams. Older builds don't.
    keeps_origins: bool,
    // Number of the connection.
    number: u64,
    // Whether it lends credit when it leads. Older builds don't.
    lends_credit: bool,
    // Whether it confirms versions while it leads. Older builds don't.
    confirms: bool,
}

/// Client of the leader for models and adapters, over the connections to the core.
#[derive(Default)]
pub struct Supplier {
    cores: RefCell<HashMap<SocketAddr, Core>>,
    copy_requests: RefCell<HashMap<u64, oneshot::Sender<Grant>>>,
    next_number: Cell<u64>,
    // Demand since the last report.
    demand: RefCell<HashMap<Item, Row>>,
    permit_requests: RefCell<HashMap<u64, flume::Sender<Permit>>>,
    grant_requests: RefCell<HashMap<u64, oneshot::Sender<Answer>>>,
    inquiries: Inquiries,
    // Times at which targets were last reported to be unreachable.
    unreachable: RefCell<HashMap<id::Target, Instant>>,
    // Time until which no permits are requested.
    backoff_until: Cell<Option<Instant>>,
    // Notified when the leader may have changed.
    changed: Notify,
}

/// Request for a permit. It is cancelled at the leader if it is dropped without an answer.
struct PendingPermit<'a> {
    supplier: &'a Supplier,
    leader: Outbox<Upstream>,
    number: u64,
    is_answered: bool,
}

impl Drop for PendingPermit<'_> {
    fn drop(&mut self) {
        self.supplier
            .permit_requests
            .borrow_mut()
            .remove(&self.number);
        if !self.is_answered {
            // A leader that can't be reached cancels the requests when it loses the connection.
            let _ = self.leader.send(&Upstream::CancelPermit {
                number: self.number,
            });
        }
    }
}

fn item_of(item: &supply::Item) -> Item {
    Item {
        service: item.service.clone(),
        model: item.model.clone(),
        adapter: item.adapter.clone(),
    }
}

impl Supplier {
    /// Adds a connection.
    pub fn opened(&self, peer: SocketAddr, outbox: Outbox<Upstream>) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let core = Core {
            outbox,
            leading_term: None,
            keeps_origins: false,
            number,
            lends_credit: false,
            confirms: false,
        };
        self.cores.borrow_mut().insert(peer, core);
    }

    /// Removes a connection that has ended.
    pub fn closed(&self, peer: SocketAddr) {
        if self.is_leader(peer) {
            self.cancel_permits();
        }
        self.cores.borrow_mut().remove(&peer);
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.cores.borrow().len()
    }

    /// Sets the term in which an instance of the core leads, if it does.
    pub fn set_leading_term(&self, peer: SocketAddr, leading_term: Option<id::Term>) {
        self.cancel_permits();
        if let Some(core) = self.cores.borrow_mut().get_mut(&peer) {
            core.leading_term = leading_term;
        }
        self.changed.notify_waiters();
    }

    /// Returns whether an instance of the core is the known leader with the highest term.
    pub fn is_leader(&self, peer: SocketAddr) -> bool {
        let cores = self.cores.borrow();
        let highest = cores.values().filter_map(|core| core.leading_term).max();
        let leading_term = cores.get(&peer).and_then(|core| core.leading_term);
        leading_term.is_some() && leading_term == highest
    }

    /// Returns whether a leader is known and connected.
    pub fn knows_leader(&self) -> bool {
        self.leader().is_some()
    }

    /// Passes an answer of the leader to its copy request.
    pub fn answer_copy(&self, number: u64, grant: Grant) {
        if let Some(answer) = self.copy_requests.borrow_mut().remove(&number) {
            // The request may have timed out.
            let _ = answer.send(grant);
        }
    }

    fn leader(&self) -> Option<Outbox<Upstream>> {
        self.with_leader(|leader| leader.outbox.clone())
    }

    fn with_leader<T>(&self, read: impl FnOnce(&Core) -> T) -> Option<T> {
        let cores = self.cores.borrow();
        let leaders = cores.values().filter(|core| core.leading_term.is_some());
        let leader = leaders.max_by_key(|core| core.leading_term)?;
        Some(read(leader))
    }

    /// Reports the demand since the last report to the leader. Without a known leader, it is kept for the next report.
    pub fn report(&self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let rows: Vec<Row> = self
            .demand
            .borrow_mut()
            .drain()
            .map(|(_, row)| row)
            .collect();
        if !rows.is_empty() {
            // If this report is lost, later demand shows in the next one.
            let _ = leader.send(&Upstream::Demand(rows, Vec::new()));
        }
    }

    /// Returns the term of the known leader.
    pub fn leading_term(&self) -> Option<id::Term> {
        let cores = self.cores.borrow();
        cores.values().filter_map(|core| core.leading_term).max()
    }

    /// Reports the requests of this instance at targets to the leader.
    pub fn report_occupancy(&self, rows: Vec<occupancy::Row>) {
        if let Some(leader) = self.leader().filter(|_| !rows.is_empty()) {
            // A report that is lost with the connection is made up for by the next complete one.
            let _ = leader.send(&Upstream::Demand(Vec::new(), rows));
        }
    }

    fn change_row(&self, item: Item, change: impl FnOnce(&mut Row)) {
        let mut demand = self.demand.borrow_mut();
        let row = demand.entry(item.clone()).or_insert_with(|| Row {
            item,
            requests: 0,
            ended: 0,
            slot_time: Duration::ZERO,
            events: 0,
            event_time: Duration::ZERO,
        });
        change(row);
    }

    /// Reports an unreachable target to the leader, at most once per [`UNREACHABLE_REPORT_INTERVAL`].
    fn report_unreachable(&self, target: &id::Target, incarnation: id::Incarnation) {
        let now = Instant::now();
        let mut unreachable = self.unreachable.borrow_mut();
        unreachable.retain(|_, at| now.duration_since(*at) < UNREACHABLE_REPORT_INTERVAL);
        let Some(leader) = self.leader().filter(|_| !unreachable.contains_key(target)) else {
            return;
        };
        unreachable.insert(target.clone(), now);
        let target = target.clone();
        // If the leader can't be reached, it detects the unresponsive target itself later.
        let _ = leader.send(&Upstream::Unreachable {
            target,
            incarnation,
        });
    }

    /// Sends a message to all instances of the core. Each collects the evidence of crashes by itself, so that it also meets
    /// without a leader.
    fn send_cores(&self, message: &Upstream) {
        for core in self.cores.borrow().values() {
            // An instance that can't be reached is sent the quarantines when it is connected again.
            let _ = core.outbox.send(message);
        }
    }

    /// Tells an instance of the core the quarantines that this instance knows.
    pub fn report_quarantines(&self, peer: SocketAddr, notices: Vec<Notice>) {
        if notices.is_empty() {
            return;
        }
        if let Some(core) = self.cores.borrow().get(&peer) {
            // If the connection has ended, they are sent on the next one.
            let _ = core.outbox.send(&Upstream::Quarantines(notices));
        }
    }

    /// Tells all instances of the core the quarantines that this instance knows.
    pub fn report_quarantines_everywhere(&self, notices: Vec<Notice>) {
        if !notices.is_empty() {
            self.send_cores(&Upstream::Quarantines(notices));
        }
    }

    /// Tells all instances of the core that targets answer on parts.
    pub fn report_progress(&self, parts: part::Set) {
        self.send_cores(&Upstream::Progress(parts));
    }

    /// Passes an answer of the leader to its permit request.
    pub fn answer_permit(&self, number: u64, permit: Permit) {
        if let Some(answers) = self.permit_requests.borrow().get(&number) {
            // The request may have been cancelled.
            let _ = answers.send(permit);
        }
    }

    async fn request_permit(&self, permit_request: PermitRequest) -> supply::Permit {
        let backoff_until = self.backoff_until.get();
        let is_backing_off = backoff_until.is_some_and(|until| Instant::now() < until);
        let Some(leader) = self.leader().filter(|_| !is_backing_off) else {
            return supply::Permit::Unknown;
        };
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let request = Request {
            item: item_of(&permit_request.item),
            prompt_tokens: permit_request.tokens,
            prefix: permit_request.prefix,
            objective: permit_request.objective,
            max_wait: permit_request.max_wait,
            avoid: permit_request.avoid,
            priority: permit_request.priority,
            organisation: permit_request.organisation,
            answer_tokens: permit_request.answer_tokens,
            prefixes: permit_request.prefixes,
        };
        let (sender, answers) = flume::unbounded();
        self.permit_requests.borrow_mut().insert(number, sender);
        let mut pending = PendingPermit {
            supplier: self,
            leader: leader.clone(),
            number,
            is_answered: false,
        };
        if !leader.send(&Upstream::PermitRequest { number, request }) {
            return supply::Permit::Unknown;
        }
        let mut wait = PERMIT_ANSWER_TIMEOUT;
        let mut has_answered = false;
        loop {
            match timeout(wait, answers.recv_async()).await {
                // The caller's wait limit bounds the wait, and a lost connection to the leader ends it.
                Ok(Ok(Permit::Wait(_))) => {
                    wait = permit_request.max_wait;
                    has_answered = true;
                }
                Ok(Ok(permit)) => {
                    pending.is_answered = true;
                    return match permit {
                        Permit::Go(target) => supply::Permit::Granted(target),
                        Permit::Limited(target, grant) => supply::Permit::Limited(target, grant),
                        Permit::Refuse(wait) => supply::Permit::Refuse(wait),
                        Permit::Wait(_) | Permit::Unknown => supply::Permit::Unknown,
                    };
                }
                Ok(Err(_)) => return supply::Permit::Unknown,
                // The caller's own wait is over, which says nothing about the leader.
                Err(_) if has_answered => return supply::Permit::Unknown,
                Err(_) => {
                    log::info!(step = "turn", number = number; "the leader did not answer in time; choosing targets without permits for a while");
                    self.backoff_until
                        .set(Some(Instant::now() + PERMIT_BACKOFF));
                    self.cancel_permits();
                    return supply::Permit::Unknown;
                }
            }
        }
    }

    /// Cancels all permit requests, so that their prompts are placed without permits, and all requests for grants.
    fn cancel_permits(&self) {
        self.permit_requests.borrow_mut().clear();
        self.grant_requests.borrow_mut().clear();
    }

    /// Passes an answer of the leader to its request for a grant.
    pub fn answer_grant(&self, number: u64, answer: Answer) {
        if let Some(sender) = self.grant_requests.borrow_mut().remove(&number) {
            // The request may have timed out.
            let _ = sender.send(answer);
        }
    }

    async fn request_grant(&self, request: account::Request) -> Option<Answer> {
        let leader = self.leader()?;
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let (sender, answer) = oneshot::channel();
        self.grant_requests.borrow_mut().insert(number, sender);
        let answer = if leader.send(&Upstream::GrantRequest { number, request }) {
            timeout(PERMIT_ANSWER_TIMEOUT, answer).await.ok()
        } else {
            None
        };
        self.grant_requests.borrow_mut().remove(&number);
        // The sender is dropped if the leader changes.
        answer?.ok()
    }

    /// Reports limits of targets to the leader, if one is known. A new leader is told all known limits.
    pub fn report_limits(&self, reports: impl IntoIterator<Item = Report>) {
        let Some(leader) = self.leader() else {
            return;
        };
        for report in reports {
            // If the connection has ended, another leader, or this one again, is told all limits.
            let _ = leader.send(&Upstream::Limit(report));
        }
    }

    async fn wait_for_leader(&self) -> Option<Outbox<Upstream>> {
        let until = Instant::now() + LEADER_TIMEOUT;
        loop {
            let changed = self.changed.notified();
            if let Some(leader) = self.leader() {
                return Some(leader);
            }
            timeout_at(until, changed).await.ok()?;
        }
    }

    async fn request_copy(&self, item: &supply::Item) -> Availability {
        let Some(leader) = self.wait_for_leader().await else {
            return Availability::No;
        };
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let (sender, answer) = oneshot::channel();
        self.copy_requests.borrow_mut().insert(number, sender);
        let item = item_of(item);
        let answer = if leader.send(&Upstream::CopyRequest { number, item }) {
            timeout(COPY_ANSWER_TIMEOUT, answer).await
        } else {
            Ok(Ok(Grant::No))
        };
        self.copy_requests.borrow_mut().remove(&number);
        match answer {
            Ok(Ok(Grant::Ready(target))) => Availability::Ready(target),
            Ok(Ok(Grant::Later(later))) => Availability::Later(later),
            Ok(Ok(Grant::No) | Err(_)) | Err(_) => Availability::No,
        }
    }
}

/// Handle to the supplier that is shared with the connections to the core.
#[derive(Clone, Default)]
pub struct Shared(pub Rc<Supplier>);

impl Supply for Shared {
    async fn request_copy(&self, item: supply::Item) -> Availability {
        self.0.request_copy(&item).await
    }

    fn record_demand(&self, item: &supply::Item) {
        self.0.change_row(item_of(item), |row| row.requests += 1);
    }

    fn report_down(&self, target: &id::Target, incarnation: id::Incarnation) {
        self.0.report_unreachable(target, incarnation);
    }

    async fn request_permit(&self, permit_request: PermitRequest) -> supply::Permit {
        self.0.request_permit(permit_request).await
    }

    async fn request_grant(&self, request: account::Request) -> Option<Answer> {
        self.0.request_grant(request).await
    }

    fn report_limit(&self, report: Report) {
        self.0.report_limits([report]);
    }

    fn claim_credit(&self, claim: Claim) {
        self.0.claim_credit(claim);
    }

    fn report_crash(&self, evidence: &Evidence) {
        self.0.send_cores(&Upstream::Crash(evidence.clone()));
    }

    fn report_progress(&self, parts: &part::Set) {
        self.0.report_progress(parts.clone());
    }

    fn report_origin(&self, record: Record) {
        self.0.report_origin(record);
    }

    async fn find_origin(&self, question: Question) -> Finding {
        self.0.find_origin(question).await
    }

    fn report_usage(&self, item: &supply::Item, usage: Usage) {
        self.0.change_row(item_of(item), |row| {
            row.ended += 1;
            row.slot_time += usage.total_time;
            if usage.events > 0 {
                row.events += usage.events;
                row.event_time += usage.event_time;
            }
        });
    }
}
