//! Threads that run the controller of one failure domain.
//!
//! One thread keeps the lease, so that renewals never wait for the log or for a plan. The other one runs
//! rounds: reports and answers in, then plan, record, send and resolve.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread::{self, JoinHandle},
    time::Duration,
};

use buckthornmast_lease::prelude::{Config as Candidate, Effect, Granted, Holder, Valid};
use buckthornmast_types::prelude::*;
use flume::{Receiver, RecvTimeoutError, Sender};
use log::{info, warn};

use crate::{
    core::{Config, Core, Place},
    counter::Counters,
    plan::Plan,
    port::{Answered, Grant, Journal, LeaseAnswer, Log, LogError, Orders, Peers},
};

/// Time between two looks at the lease.
const LEASE_TICK: Duration = Duration::from_millis(20);
/// Time for which the log is left alone after it failed, since each call may block for its timeout.
const LOG_PAUSE: Duration = Duration::from_secs(1);
/// Time between two declarations that the journals are clean.
const CLEAN_EVERY: Duration = Duration::from_secs(1);
/// Time that a planned stop waits for the handover to be recorded.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);
/// Reports that wait for the next round at most.
const MAX_REPORTS: usize = 16_384;

/// Report as it reached this instance.
#[derive(Debug, Clone)]
pub struct Heard {
    /// Report.
    pub report: Report,
    /// Time of arrival less the age of the report.
    pub sampled: Point,
    /// Whether the kind of target refuses orders with an old token.
    pub honours: bool,
}

/// What the controller is assembled from.
#[derive(Debug)]
pub struct Parts<L, J, O, E, P, C> {
    /// Identity and times of this candidate.
    pub candidate: Candidate,
    /// Limits and times of the controller.
    pub config: Config,
    /// Time between two rounds.
    pub round_every: Duration,
    /// Replicated log.
    pub log: L,
    /// Journals of the other candidates.
    pub journal: J,
    /// Way of orders to targets.
    pub orders: O,
    /// Way of the lease's messages.
    pub peers: E,
    /// Source of plans.
    pub plan: P,
    /// Clock.
    pub clock: C,
}

#[derive(Debug)]
struct Shared {
    holder: Mutex<Holder>,
    grant: Mutex<Option<(Grant, Granted)>>,
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
    reports: Sender<Heard>,
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
    J: Journal,
    O: Orders,
    E: Peers,
    P: Plan,
    C: Clock,
{
    let clock = parts.clock;
    let shared = Arc::new(Shared {
        holder: Mutex::new(Holder::new(parts.candidate, clock.now())),
        grant: Mutex::new(None),
        counters: Mutex::new(Counters::default()),
    });
    let (reports, heard) = flume::bounded(MAX_REPORTS);
    let (lease_stop, lease_stopped) = flume::bounded(0);
    let (rounds_stop, rounds_stopped) = flume::bounded(0);
    let (answer, answered) = flume::unbounded();
    let keeper = Keeper {
        shared: shared.clone(),
        clock: clock.clone(),
        peers: parts.peers,
        answers: flume::unbounded(),
    };
    let rounds = Rounds {
        shared: shared.clone(),
        core: Core::new(parts.config),
        log: parts.log,
        journal: parts.journal,
        orders: parts.orders,
        plan: parts.plan,
        clock: clock.clone(),
        heard,
        answer,
        answered,
        log_again: Point::ZERO,
        clean_again: Point::ZERO,
    };
    let every = parts.round_every;
    let lease = spawn("lease", move || keeper.run(&lease_stopped))?;
    let rounds = match spawn("controller", move || rounds.run(every, &rounds_stopped)) {
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
        reports,
        rounds: (rounds_stop, rounds),
        lease: (lease_stop, lease),
    })
}

impl<C: Clock> Handle<C> {
    /// Passes a report on without blocking; one that finds the queue full is dropped.
    pub fn report(&self, heard: Heard) {
        let _ = self.reports.try_send(heard);
    }

    /// Decides on another candidate's request for a promise.
    pub fn promise(&self, token: id::Token) -> bool {
        lock(&self.shared.holder).promise(self.clock.now(), token)
    }

    /// Returns the lease if it is valid.
    pub fn valid(&self) -> Option<Valid> {
        lock(&self.shared.holder).valid(self.clock.now())
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

struct Keeper<E, C> {
    shared: Arc<Shared>,
    clock: C,
    peers: E,
    answers: (Sender<LeaseAnswer>, Receiver<LeaseAnswer>),
}

impl<E: Peers, C: Clock> Keeper<E, C> {
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
            self.await_handover();
        }
    }

    fn post(&self, effects: Vec<Effect>) {
        for effect in effects {
            self.peers.post(effect, self.answers.0.clone());
        }
    }

    fn await_handover(&self) {
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
                let granted = holder.granted(now, number, token);
                if granted != Granted::Ignored {
                    info!(step = "lease", term = token.0; "lease granted");
                    let mut waiting = lock(&self.shared.grant);
                    // A lease that is new to the core stays so when it is raised before the next round.
                    let is_new = waiting.as_ref().is_some_and(|(_, g)| *g == Granted::Taken);
                    let granted = if is_new { Granted::Taken } else { granted };
                    *waiting = Some((grant, granted));
                }
            }
            LeaseAnswer::NotGranted { number } => holder.not_granted(number),
            LeaseAnswer::Renewed { number } => holder.renewed(number),
            LeaseAnswer::Refused { token } => {
                holder.refused(token);
                info!(step = "lease", term = token.0; "lease lost");
            }
            LeaseAnswer::Promised { from, number } => holder.promised(now, &from, number),
            LeaseAnswer::HandedOver => {}
        }
    }
}

struct Rounds<L, J, O, P, C> {
    shared: Arc<Shared>,
    core: Core,
    log: L,
    journal: J,
    orders: O,
    plan: P,
    clock: C,
    heard: Receiver<Heard>,
    answer: Sender<Answered>,
    answered: Receiver<Answered>,
    log_again: Point,
    clean_again: Point,
}

impl<L: Log, J: Journal, O: Orders, P: Plan, C: Clock> Rounds<L, J, O, P, C> {
    fn run(mut self, every: Duration, stop: &Receiver<()>) {
        while let Err(RecvTimeoutError::Timeout) = stop.recv_timeout(every) {
            self.round();
        }
    }

    fn valid(&self) -> Option<Valid> {
        lock(&self.shared.holder).valid(self.clock.now())
    }

    fn round(&mut self) {
        self.follow_lease();
        for heard in self.heard.try_iter() {
            self.core.report(heard.report, heard.sampled, heard.honours);
        }
        for answered in self.answered.try_iter() {
            self.core.answered(&answered);
        }
        let Some(token) = self.core.token() else {
            return;
        };
        if self.core.is_fenced() {
            warn!(step = "order", term = token.0; "a target has seen a higher token");
            lock(&self.shared.holder).refused(token);
            return;
        }
        // Placements freeze while the lease has run out.
        if self.valid().is_none() {
            return;
        }
        if self.core.wants_notes() {
            let notes = self.journal.read(token);
            self.core.notes(self.clock.now(), &notes);
        }
        let now = self.clock.now();
        let view = self.core.view(now);
        let planned = self.plan.plan(&view);
        self.core.round(now, &view, planned);
        self.record(token);
        self.send();
        self.resolve(token);
        self.declare_clean();
        self.raise();
        *lock(&self.shared.counters) = self.core.counters().clone();
    }

    /// Brings the core in line with the lease: a new one, a raised one, or none.
    fn follow_lease(&mut self) {
        let holder = lock(&self.shared.holder);
        let grant = lock(&self.shared.grant).take();
        let held = holder.token();
        drop(holder);
        match grant {
            Some((grant, Granted::Raised)) if self.core.token().is_some() => {
                self.core.raised(grant.token);
            }
            Some((grant, _)) => self.core.elected(self.clock.now(), &grant),
            None => {}
        }
        if self.core.token().is_some() && self.core.token() != held {
            self.core.deposed();
        }
    }

    fn log_failed(&mut self, token: id::Token, error: LogError) {
        warn!(step = "record", term = token.0; "{error}");
        self.log_again = self.clock.now() + LOG_PAUSE;
        if error == LogError::Superseded {
            lock(&self.shared.holder).refused(token);
        }
    }

    fn record(&mut self, token: id::Token) {
        let orders = self.core.to_record();
        if orders.is_empty() {
            return;
        }
        if self.clock.now() >= self.log_again {
            match self.log.intend(token, &orders) {
                Ok(()) => {
                    self.core.recorded(&orders, Place::Log);
                    let ids: Vec<id::Order> = orders.iter().map(|order| order.id).collect();
                    self.journal.forget(&ids);
                    return;
                }
                Err(error) => self.log_failed(token, error),
            }
        }
        // A lone candidate loses its journal with its memory. A successor then needs no intents of targets that
        // it can fence.
        let orders = match self.journal.is_alone() {
            true => self.core.honoured(orders),
            false => orders,
        };
        if orders.is_empty() || self.valid().is_none() {
            return;
        }
        if self.journal.record(token, &orders) {
            self.core.recorded(&orders, Place::Journals);
        }
    }

    fn send(&mut self) {
        // The lease is read before the clock, so the answer is never too late.
        loop {
            let holder = lock(&self.shared.holder);
            let now = self.clock.now();
            let dispatch = self.core.send(now, holder.valid(now));
            drop(holder);
            let Some(dispatch) = dispatch else {
                return;
            };
            let answer = self.answer.clone();
            let (attempt, not_after) = (dispatch.attempt, dispatch.not_after);
            self.orders.send(dispatch.order, attempt, not_after, answer);
        }
    }

    fn resolve(&mut self, token: id::Token) {
        if self.clock.now() < self.log_again {
            return;
        }
        let closed = self.core.take_closed();
        if closed.is_empty() {
            return;
        }
        match self.log.resolve(token, &closed) {
            Ok(()) => {
                let ids: Vec<id::Order> = closed.iter().map(|closed| closed.order.id).collect();
                self.journal.forget(&ids);
            }
            Err(error) => {
                self.core.put_back(closed);
                self.log_failed(token, error);
            }
        }
    }

    fn declare_clean(&mut self) {
        let now = self.clock.now();
        if now >= self.clean_again && self.core.is_clean() {
            self.clean_again = now + CLEAN_EVERY;
            self.journal.declare_clean();
        }
    }

    fn raise(&self) {
        if self.core.wants_raise(self.clock.now()) {
            lock(&self.shared.holder).want_raise();
        }
    }
}
