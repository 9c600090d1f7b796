//! Threads that run the controller of one failure domain.
//!
//! One thread maintains the lease, so that renewals never wait for the log or for planning. The other one
//! runs rounds: it processes reports and answers, then plans, records, sends and resolves orders.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread::{self, JoinHandle},
    time::Duration,
};

use buckthornmast_lease::prelude::{Acquisition, Config as Candidate, Effect, Holder, Lease};
use buckthornmast_types::prelude::*;
use flume::{Receiver, RecvTimeoutError, Sender};
use log::{info, warn};

use crate::{
    core::{Config, Core, Durability},
    counter::Counters,
    plan::PlanSource,
    port::{
        AttemptResult, Grant, Journals, LeaseAnswer, LeaseTransport, Log, LogError, OrderTransport,
    },
};

/// Interval between two ticks of the lease holder.
const LEASE_TICK: Duration = Duration::from_millis(20);
/// Delay before the log is used again after a failed call, since each call may block for its timeout.
const LOG_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time between two declarations that the journals are clean.
const CLEAN_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time that a planned stop waits for the handover to be recorded.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of reports that wait for the next round. Further ones are dropped; later reports of the same targets
/// replace them.
const MAX_QUEUED_REPORTS: usize = 16_384;

/// Report as received by this instance.
#[derive(Debug, Clone)]
pub struct Observation {
    /// Report.
    pub report: Report,
    /// Time of arrival less the age of the report.
    pub sampled_at: Point,
    /// Whether the kind of target refuses orders with an old token.
    pub honours_tokens: bool,
}

/// Components of the controller.
#[derive(Debug)]
pub struct Parts<L, J, O, E, P, C> {
    /// Identity and times of this candidate.
    pub candidate: Candidate,
    /// Limits and times of the controller.
    pub config: Config,
    /// Time between two rounds.
    pub round_interval: Duration,
    /// Replicated log.
    pub log: L,
    /// Journals of the other candidates.
    pub journals: J,
    /// Transport of orders to targets.
    pub orders: O,
    /// Transport of lease messages.
    pub peers: E,
    /// Source of plans.
    pub plan: P,
    /// Clock.
    pub clock: C,
}

#[derive(Debug)]
struct Shared {
    holder: Mutex<Holder>,
    grant: Mutex<Option<(Grant, Acquisition)>>,
    counters: Mutex<Counters>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Running controller.
#[derive(Debug)]
pub struct Handle<C> {
    shared: Arc<Shared>,
    clock: C,
    reports: Sender<Observation>,
    rounds: (Sender<()>, JoinHandle<()>),
    lease: (Sender<()>, JoinHandle<()>),
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> std::io::Result<JoinHandle<()>> {
    thread::Builder::new().name(name.to_owned()).spawn(run)
}

/// Starts the controller of a domain on a candidate.
pub fn start<L, J, O, E, P, C>(parts: Parts<L, J, O, E, P, C>) -> std::io::Result<Handle<C>>
where
    L: Log,
    J: Journals,
    O: OrderTransport,
    E: LeaseTransport,
    P: PlanSource,
    C: Clock,
{
    let clock = parts.clock;
    let shared = Arc::new(Shared {
        holder: Mutex::new(Holder::new(parts.candidate, clock.now())),
        grant: Mutex::new(None),
        counters: Mutex::new(Counters::default()),
    });
    let (report_sender, reports) = flume::bounded(MAX_QUEUED_REPORTS);
    let (lease_stop, lease_stopped) = flume::bounded(0);
    let (rounds_stop, rounds_stopped) = flume::bounded(0);
    let (answer_sender, answers) = flume::unbounded();
    let lease_loop = LeaseLoop {
        shared: shared.clone(),
        clock: clock.clone(),
        peers: parts.peers,
        answers: flume::unbounded(),
    };
    let round_loop = RoundLoop {
        shared: shared.clone(),
        core: Core::new(parts.config),
        log: parts.log,
        journals: parts.journals,
        orders: parts.orders,
        plan: parts.plan,
        clock: clock.clone(),
        reports,
        answer_sender,
        answers,
        log_retry_at: Point::ZERO,
        next_clean_at: Point::ZERO,
    };
    let round_interval = parts.round_interval;
    let lease = spawn("lease", move || lease_loop.run(&lease_stopped))?;
    let rounds = match spawn("controller", move || {
        round_loop.run(round_interval, &rounds_stopped)
    }) {
        Ok(rounds) => rounds,
        Err(error) => {
            drop(lease_stop);
            let _ = lease.join();
            return Err(error);
        }
    };
    Ok(Handle {
        shared,
        clock,
        reports: report_sender,
        rounds: (rounds_stop, rounds),
        lease: (lease_stop, lease),
    })
}

impl<C: Clock> Handle<C> {
    /// Queues a report without blocking. The report is dropped if the queue is full.
    pub fn report(&self, observation: Observation) {
        let _ = self.reports.try_send(observation);
    }

    /// Decides on another candidate's request for a promise and returns whether it is granted.
    pub fn promise(&self, token: id::Token) -> bool {
        lock(&self.shared.holder).promise(self.clock.now(), token)
    }

    /// Returns the lease if it is valid.
    pub fn valid_lease(&self) -> Option<Lease> {
        lock(&self.shared.holder).valid_lease(self.clock.now())
    }

    /// Returns the moves per team since the start.
    pub fn counters(&self) -> Counters {
        lock(&self.shared.counters).clone()
    }

    /// Stops sending orders, hands the lease over and joins both threads.
    pub fn stop(self) {
        for (stop, thread) in [self.rounds, self.lease] {
            drop(stop);
            if thread.join().is_err() {
                warn!(step = "stop"; "a controller thread panicked");
            }
        }
    }
}

struct LeaseLoop<E, C> {
    shared: Arc<Shared>,
    clock: C,
    peers: E,
    answers: (Sender<LeaseAnswer>, Receiver<LeaseAnswer>),
}

impl<E: LeaseTransport, C: Clock> LeaseLoop<E, C> {
    fn run(self, stop: &Receiver<()>) {
        while let Err(RecvTimeoutError::Timeout) = stop.recv_timeout(LEASE_TICK) {
            while let Ok(answer) = self.answers.1.try_recv() {
                self.apply(answer);
            }
            let effects = lock(&self.shared.holder).tick(self.clock.now());
            self.post(effects);
        }
        let handover = lock(&self.shared.holder).stop();
        if let Some(handover) = handover {
            self.post(vec![handover]);
            self.wait_for_handover();
        }
    }

    fn post(&self, effects: Vec<Effect>) {
        for effect in effects {
            self.peers.post(effect, self.answers.0.clone());
        }
    }

    fn wait_for_handover(&self) {
        let from = self.clock.now();
        loop {
            let left = HANDOVER_TIMEOUT.saturating_sub(self.clock.now().since(from));
            match self.answers.1.recv_timeout(left) {
                Ok(LeaseAnswer::HandedOver) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    fn apply(&self, answer: LeaseAnswer) {
        let now = self.clock.now();
        let mut holder = lock(&self.shared.holder);
        match answer {
            LeaseAnswer::Granted { number, grant } => {
                let token = grant.token;
                let acquisition = holder.granted(now, number, token);
                if acquisition != Acquisition::Ignored {
                    info!(step = "lease", term = token.0; "controller lease granted");
                    let mut pending = lock(&self.shared.grant);
                    // A lease that is new to the core stays new if its token is raised before the next round.
                    let is_new = pending
                        .as_ref()
                        .is_some_and(|(_, acquisition)| *acquisition == Acquisition::Acquired);
                    let acquisition = if is_new {
                        Acquisition::Acquired
                    } else {
                        acquisition
                    };
                    *pending = Some((grant, acquisition));
                }
            }
            LeaseAnswer::NotGranted { number } => holder.not_granted(number),
            LeaseAnswer::Renewed { number } => holder.renewed(number),
            LeaseAnswer::Refused { token } => {
                holder.refused(token);
                info!(step = "lease", term = token.0; "controller lease lost");
            }
            LeaseAnswer::Promised { from, number } => holder.promised(now, &from, number),
            LeaseAnswer::HandedOver => {}
        }
    }
}

struct RoundLoop<L, J, O, P, C> {
    shared: Arc<Shared>,
    core: Core,
    log: L,
    journals: J,
    orders: O,
    plan: P,
    clock: C,
    reports: Receiver<Observation>,
    answer_sender: Sender<AttemptResult>,
    answers: Receiver<AttemptResult>,
    log_retry_at: Point,
    next_clean_at: Point,
}

impl<L: Log, J: Journals, O: OrderTransport, P: PlanSource, C: Clock> RoundLoop<L, J, O, P, C> {
    fn run(mut self, interval: Duration, stop: &Receiver<()>) {
        while let Err(RecvTimeoutError::Timeout) = stop.recv_timeout(interval) {
            self.round();
        }
    }

    fn valid_lease(&self) -> Option<Lease> {
        lock(&self.shared.holder).valid_lease(self.clock.now())
    }

    fn round(&mut self) {
        self.follow_lease();
        for observation in self.reports.try_iter() {
            self.core.report(
                observation.report,
                observation.sampled_at,
                observation.honours_tokens,
            );
        }
        for result in self.answers.try_iter() {
            self.core.end_attempt(&result);
        }
        let Some(token) = self.core.token() else {
            return;
        };
        if self.core.is_fenced() {
            warn!(step = "order", term = token.0; "a target refused an order because it has accepted a higher token; dropping the lease");
            lock(&self.shared.holder).refused(token);
            return;
        }
        // Placements stay unchanged while the lease has expired.
        if self.valid_lease().is_none() {
            return;
        }
        if self.core.is_awaiting_journals() {
            let journaled = self.journals.read(token);
            self.core.journals_read(self.clock.now(), &journaled);
        }
        let now = self.clock.now();
        let view = self.core.view(now);
        let plan = self.plan.plan(&view);
        self.core.round(now, &view, plan);
        self.record(token);
        self.send();
        self.resolve(token);
        self.declare_clean();
        self.request_raise_if_due();
        *lock(&self.shared.counters) = self.core.counters().clone();
    }

    /// Passes changes of the lease to the core: a new lease, a raised token or the loss of the lease.
    fn follow_lease(&mut self) {
        let holder = lock(&self.shared.holder);
        let grant = lock(&self.shared.grant).take();
        let held_token = holder.token();
        drop(holder);
        match grant {
            Some((grant, Acquisition::Raised)) if self.core.token().is_some() => {
                self.core.token_raised(grant.token);
            }
            Some((grant, _)) => self.core.lease_acquired(self.clock.now(), &grant),
            None => {}
        }
        if self.core.token().is_some() && self.core.token() != held_token {
            self.core.lease_lost();
        }
    }

    fn log_failed(&mut self, token: id::Token, error: LogError) {
        warn!(step = "record", term = token.0; "writing new or closed orders to the replicated log failed: {error}");
        self.log_retry_at = self.clock.now() + LOG_RETRY_DELAY;
        if error == LogError::Superseded {
            lock(&self.shared.holder).refused(token);
        }
    }

    fn record(&mut self, token: id::Token) {
        let orders = self.core.unlogged_orders();
        if orders.is_empty() {
            return;
        }
        if self.clock.now() >= self.log_retry_at {
            match self.log.intend(token, &orders) {
                Ok(()) => {
                    self.core.recorded(&orders, Durability::Log);
                    let ids: Vec<id::Order> = orders.iter().map(|order| order.id).collect();
                    self.journals.forget(&ids);
                    return;
                }
                Err(error) => self.log_failed(token, error),
            }
        }
        // A single candidate loses its journal when it restarts, so it sends orders only to targets that honour
        // tokens: a successor can fence these and needs no intents for them.
        let orders = match self.journals.is_single_candidate() {
            true => self.core.honouring_tokens(orders),
            false => orders,
        };
        if orders.is_empty() || self.valid_lease().is_none() {
            return;
        }
        if self.journals.record(token, &orders) {
            self.core.recorded(&orders, Durability::Journals);
        }
    }

    fn send(&mut self) {
        // The clock is read once the holder is locked, so that waiting for the lock can't make the time stale.
        loop {
            let holder = lock(&self.shared.holder);
            let now = self.clock.now();
            let dispatch = self.core.send(now, holder.valid_lease(now));
            drop(holder);
            let Some(dispatch) = dispatch else {
                return;
            };
            let answer = self.answer_sender.clone();
            let (attempt, not_after) = (dispatch.attempt, dispatch.not_after);
            self.orders.send(dispatch.order, attempt, not_after, answer);
        }
    }

    fn resolve(&mut self, token: id::Token) {
        if self.clock.now() < self.log_retry_at {
            return;
        }
        let closed = self.core.take_closed();
        if closed.is_empty() {
            return;
        }
        match self.log.resolve(token, &closed) {
            Ok(()) => {
                let ids: Vec<id::Order> = closed.iter().map(|closed| closed.order.id).collect();
                self.journals.forget(&ids);
            }
            Err(error) => {
                self.core.restore_closed(closed);
                self.log_failed(token, error);
            }
        }
    }

    fn declare_clean(&mut self) {
        let now = self.clock.now();
        if now >= self.next_clean_at && self.core.is_clean() {
            self.next_clean_at = now + CLEAN_INTERVAL;
            self.journals.declare_clean();
        }
    }

    fn request_raise_if_due(&self) {
        if self.core.is_raise_due(self.clock.now()) {
            lock(&self.shared.holder).request_raise();
        }
    }
}
