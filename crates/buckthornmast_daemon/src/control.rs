//! Controller of this instance's failure domain.
//!
//! Implements the surroundings that the controller crate asks for: the log behind the proposer, the
//! journals behind peer calls, orders over the target protocol, and the lease's messages. Work that
//! blocks runs on a few threads of its own.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread::{self, JoinHandle},
    time::Duration,
};

use buckthornmast_controller::{
    counter::Counters,
    driver::{self, Heard, Parts},
    notebook::{Notebook, coverage},
    port::{self, Answered, Grant, LeaseAnswer, LogError, Notes},
};
use buckthornmast_lease::holder::{Config as Candidate, Effect};
use buckthornmast_ledger::entry::{Attempt, Closed, Outcome};
use buckthornmast_state::{
    leases::{Granted, Handover, Intend, Recorded, Resolve},
    machine::{Answer, Command},
};
use buckthornmast_target::{
    engine::{Endpoint, Engine},
    error::Cause,
    mapping::Http,
};
use buckthornmast_types::{
    id,
    order::Order,
    time::{Clock, Point, System},
};
use flume::{Receiver, Sender};

use crate::{
    current::Current,
    leader::Leader,
    message::{JournalAsk, JournalReply, LeaseAsk, LeaseReply, Notice, Request, Response},
    peers::Peers,
    plan::Planner,
    propose::{ProposeError, Proposer},
    targets::{Seen, Targets},
};

/// Time between two rounds of the controller.
const ROUND: Duration = Duration::from_millis(100);

/// Time for the log to record or resolve.
const LOG_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for a message of the lease; less than half of a lease, so that a lost one can be repeated.
const LEASE_TIMEOUT: Duration = Duration::from_millis(600);

/// Time for the journal of another candidate.
const JOURNAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Threads that send orders; a target that does not answer holds one for two seconds.
const ORDER_THREADS: usize = 8;

/// Threads that send messages of the lease.
const LEASE_THREADS: usize = 3;

/// Reports that wait for the controller.
const MAX_REPORTS: usize = 4096;

type Job = Box<dyn FnOnce() + Send>;

/// Threads that run blocking work; they end when the sender is dropped.
struct Pool {
    jobs: Sender<Job>,
    threads: Vec<JoinHandle<()>>,
}

impl Pool {
    fn start(name: &str, count: usize) -> std::io::Result<Self> {
        let (jobs, queue): (Sender<Job>, Receiver<Job>) = flume::unbounded();
        let spawn = |_| {
            let queue = queue.clone();
            let run = move || queue.into_iter().for_each(|job| job());
            thread::Builder::new().name(name.to_owned()).spawn(run)
        };
        let threads = (0..count).map(spawn).collect::<std::io::Result<_>>()?;
        Ok(Self { jobs, threads })
    }

    fn stop(self) {
        drop(self.jobs);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// What the controller is started with.
pub struct Surroundings {
    /// This instance.
    pub me: id::Instance,
    /// Failure domain.
    pub domain: id::Domain,
    /// All other candidates of the domain.
    pub others: Vec<id::Instance>,
    /// Way to the log.
    pub proposer: Proposer,
    /// Local grantor, if there is a replica.
    pub leader: Option<Arc<Leader>>,
    /// Client to the other instances.
    pub peers: Peers,
    /// Journal of this candidate.
    pub notebook: Arc<Mutex<Notebook>>,
    /// Reports of targets.
    pub targets: Targets,
    /// Settings in force.
    pub current: Current,
    /// Source of plans.
    pub planner: Planner,
    /// Token to show to targets that check it.
    pub token: String,
    /// Clock.
    pub clock: System,
}

struct Running {
    handle: driver::Handle<System>,
    pools: [Pool; 2],
    feed: JoinHandle<()>,
}

/// Controller, once it is started.
#[derive(Clone, Default)]
pub struct Control {
    running: Arc<Mutex<Option<Running>>>,
}

impl Control {
    fn lock(&self) -> MutexGuard<'_, Option<Running>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides on another candidate's request for a promise.
    pub fn promise(&self, token: id::Token) -> bool {
        self.lock()
            .as_ref()
            .is_some_and(|running| running.handle.promise(token))
    }

    /// Returns the token of the lease, if it is held.
    pub fn token(&self) -> Option<id::Token> {
        Some(self.lock().as_ref()?.handle.valid()?.token)
    }

    /// Returns the moves per team.
    pub fn counters(&self) -> Counters {
        let running = self.lock();
        running
            .as_ref()
            .map(|running| running.handle.counters())
            .unwrap_or_default()
    }

    /// Starts the controller.
    pub fn start(&self, around: Surroundings) -> std::io::Result<()> {
        let orders = Pool::start("orders", ORDER_THREADS)?;
        let lease = Pool::start("lease-calls", LEASE_THREADS)?;
        let (listener, seen) = flume::bounded(MAX_REPORTS);
        around.targets.listen(listener);
        let calls = Arc::new(Calls {
            me: around.me.clone(),
            domain: around.domain.clone(),
            others: around.others.clone(),
            proposer: around.proposer,
            leader: around.leader,
            peers: around.peers,
            notebook: around.notebook,
        });
        let handle = driver::start(Parts {
            candidate: Candidate::new(around.me, around.others),
            config: around.planner.config(),
            round_every: ROUND,
            log: Log(Arc::clone(&calls)),
            journal: Journal::new(Arc::clone(&calls)),
            orders: Orders {
                jobs: orders.jobs.clone(),
                targets: around.targets,
                current: around.current.clone(),
                token: around.token,
                clock: around.clock,
            },
            peers: Lease {
                jobs: lease.jobs.clone(),
                calls,
            },
            plan: around.planner,
            clock: around.clock,
        })?;
        let feed = self.feed(seen, around.domain, around.current)?;
        *self.lock() = Some(Running {
            handle,
            pools: [orders, lease],
            feed,
        });
        Ok(())
    }

    /// Starts the thread that passes reports of the domain's engines to the controller.
    fn feed(
        &self,
        seen: Receiver<Seen>,
        domain: id::Domain,
        current: Current,
    ) -> std::io::Result<JoinHandle<()>> {
        let running = Arc::downgrade(&self.running);
        thread::Builder::new()
            .name("reports".to_owned())
            .spawn(move || {
                for seen in seen {
                    if seen.report.domain != domain || seen.report.accelerators == 0 {
                        continue;
                    }
                    let Some(running) = running.upgrade() else {
                        return;
                    };
                    let running = running.lock().unwrap_or_else(PoisonError::into_inner);
                    let kinds = &current.get().declarations.platform.kinds;
                    // An unknown kind counts as one that ignores tokens, which is the safe case.
                    let honours = kinds
                        .get(&seen.report.kind)
                        .is_some_and(|kind| kind.fencing);
                    if let Some(running) = &*running {
                        let report = seen.report.as_ref().clone();
                        running.handle.report(Heard {
                            report,
                            sampled: seen.sent,
                            honours,
                        });
                    }
                }
            })
    }

    /// Hands the lease over and joins all threads; `targets` must not listen any more.
    pub fn stop(&self) {
        let Some(running) = self.lock().take() else {
            return;
        };
        running.handle.stop();
        running.pools.into_iter().for_each(Pool::stop);
        let _ = running.feed.join();
    }
}

/// Calls that the surroundings share.
struct Calls {
    me: id::Instance,
    domain: id::Domain,
    others: Vec<id::Instance>,
    proposer: Proposer,
    leader: Option<Arc<Leader>>,
    peers: Peers,
    notebook: Arc<Mutex<Notebook>>,
}

impl Calls {
    fn notebook(&self) -> MutexGuard<'_, Notebook> {
        self.notebook.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn recorded(&self, command: &Command) -> Result<(), LogError> {
        match self.proposer.propose(command, LOG_TIMEOUT) {
            Ok(Answer::Recorded(Recorded::Recorded)) => Ok(()),
            Ok(Answer::Recorded(Recorded::Fenced { .. })) => Err(LogError::Superseded),
            Ok(_) => Err(LogError::NotRecorded),
            Err(ProposeError::NotProposed) => Err(LogError::NotRecorded),
            Err(ProposeError::Unknown) => Err(LogError::Unknown),
        }
    }

    /// Asks the leader of the log, wherever it is.
    fn ask_leader(&self, ask: &LeaseAsk) -> Option<LeaseReply> {
        let mut voter = self.proposer.voters().into_iter().next()?;
        // A voter that does not lead names the leader, which is asked next.
        for _ in 0..2 {
            let reply = if voter == self.me {
                self.leader.as_ref()?.answer(&self.me, ask)
            } else {
                match self
                    .peers
                    .call(&voter, Request::Lease(ask.clone()), LEASE_TIMEOUT)
                {
                    Ok(Response::Lease(reply)) => reply,
                    _ => {
                        self.proposer.forget_leader();
                        return None;
                    }
                }
            };
            match reply {
                LeaseReply::NotNow { hint: Some(hint) } if hint != voter => {
                    self.proposer.set_leader(Some(hint.clone()));
                    voter = hint;
                }
                LeaseReply::NotNow { .. } => {
                    self.proposer.forget_leader();
                    return None;
                }
                reply => return Some(reply),
            }
        }
        None
    }

    fn ask_journal(&self, of: &id::Instance, ask: JournalAsk) -> Option<JournalReply> {
        match self.peers.call(of, Request::Journal(ask), JOURNAL_TIMEOUT) {
            Ok(Response::Journal(reply)) => Some(reply),
            _ => None,
        }
    }
}

struct Log(Arc<Calls>);

impl port::Log for Log {
    fn intend(&self, token: id::Token, orders: &[Order]) -> Result<(), LogError> {
        let domain = self.0.domain.clone();
        self.0.recorded(&Command::Intend(Intend {
            domain,
            token,
            orders: orders.to_vec(),
        }))
    }

    fn resolve(&self, token: id::Token, closed: &[Closed]) -> Result<(), LogError> {
        let domain = self.0.domain.clone();
        let orders = closed.iter().map(|closed| closed.order.id).collect();
        let marks = closed
            .iter()
            .map(|closed| (closed.order.target.clone(), closed.mark));
        let marks = marks.collect();
        self.0.recorded(&Command::Resolve(Resolve {
            domain,
            token,
            orders,
            marks,
        }))
    }
}

struct Journal {
    calls: Arc<Calls>,
    /// Lives of the other journals, as fetched by the last declaration.
    lives: Mutex<Vec<(id::Instance, buckthornmast_controller::notebook::Life)>>,
}

impl Journal {
    fn new(calls: Arc<Calls>) -> Self {
        Self {
            calls,
            lives: Mutex::default(),
        }
    }
}

impl port::Journal for Journal {
    fn record(&self, token: id::Token, orders: &[Order]) -> bool {
        let calls = &self.calls;
        let record = |other: &id::Instance| {
            let ask = JournalAsk::Record {
                token,
                orders: orders.to_vec(),
            };
            matches!(
                calls.ask_journal(other, ask),
                Some(JournalReply::Done(true))
            )
        };
        let is_everywhere = !calls.others.is_empty() && calls.others.iter().all(record);
        is_everywhere && calls.notebook().record(token, orders)
    }

    fn read(&self, token: id::Token) -> Notes {
        let calls = &self.calls;
        let mut pages = vec![Some(calls.notebook().read(token))];
        for other in &calls.others {
            pages.push(match calls.ask_journal(other, JournalAsk::Read { token }) {
                Some(JournalReply::Page(page)) => Some(page),
                _ => None,
            });
        }
        let coverage = coverage(&pages);
        let intents = pages
            .into_iter()
            .flatten()
            .flat_map(|page| page.intents)
            .collect();
        Notes { intents, coverage }
    }

    fn forget(&self, orders: &[id::Order]) {
        self.calls.notebook().forget(orders);
        for other in &self.calls.others {
            self.calls
                .peers
                .notify(other, Notice::Forget(orders.to_vec()));
        }
    }

    fn declare_clean(&self) {
        let calls = &self.calls;
        let mut lives = self.lives.lock().unwrap_or_else(PoisonError::into_inner);
        for (other, life) in lives.drain(..) {
            calls.ask_journal(&other, JournalAsk::DeclareClean { life });
        }
        let own = calls.notebook().life();
        calls.notebook().declare_clean(own);
        for other in &calls.others {
            if let Some(JournalReply::Life(life)) = calls.ask_journal(other, JournalAsk::Life) {
                lives.push((other.clone(), life));
            }
        }
    }
}

struct Orders {
    jobs: Sender<Job>,
    targets: Targets,
    current: Current,
    token: String,
    clock: System,
}

impl Orders {
    /// Returns where a target is reached.
    fn endpoint(&self, target: &id::Target) -> Option<Endpoint> {
        let seen = self.targets.get(target)?;
        let snapshot = self.current.get();
        let kind = snapshot.declarations.platform.kinds.get(&seen.report.kind);
        let token = kind
            .is_none_or(|kind| kind.access)
            .then(|| self.token.clone());
        Some(Endpoint {
            target: target.clone(),
            address: seen.report.address,
            token,
        })
    }
}

/// Sends one order and returns how the attempt ended.
fn send_order(endpoint: &Endpoint, order: &Order, left: Duration) -> Outcome {
    match Http.order(endpoint, order, left) {
        Ok(reply) => reply.into(),
        Err(error) => {
            log::info!(step = "order", peer = order.target.as_str(); "{error}");
            match error.cause {
                Cause::NotSent { .. } => Outcome::NotSent,
                _ => Outcome::Unknown,
            }
        }
    }
}

impl port::Orders for Orders {
    fn send(&self, order: Order, attempt: Attempt, not_after: Point, answer: Sender<Answered>) {
        let endpoint = self.endpoint(&order.target);
        let clock = self.clock;
        let job = Box::new(move || {
            let left = not_after.since(clock.now());
            let outcome = match &endpoint {
                Some(endpoint) if !left.is_zero() => send_order(endpoint, &order, left),
                _ => Outcome::NotSent,
            };
            let answered = Answered {
                target: order.target.clone(),
                order: order.id,
                attempt,
                outcome,
            };
            let _ = answer.send(answered);
        });
        // The pool ends after the controller, so the job is always taken.
        let _ = self.jobs.send(job);
    }
}

struct Lease {
    jobs: Sender<Job>,
    calls: Arc<Calls>,
}

/// Carries out one effect of the lease and returns the answer, if there is one.
fn carry_out(calls: &Calls, effect: Effect) -> Option<LeaseAnswer> {
    let domain = calls.domain.clone();
    match effect {
        Effect::Ask { number } => match calls.ask_leader(&LeaseAsk::Grant { domain }) {
            Some(LeaseReply::Granted(Granted::Granted {
                token,
                is_first,
                intents,
                marks,
            })) => {
                let grant = Grant {
                    token,
                    is_first,
                    intents,
                    marks,
                };
                Some(LeaseAnswer::Granted { number, grant })
            }
            Some(_) => Some(LeaseAnswer::NotGranted { number }),
            None => None,
        },
        Effect::Renew { token, number } => {
            match calls.ask_leader(&LeaseAsk::Renew { domain, token })? {
                LeaseReply::Renewed => Some(LeaseAnswer::Renewed { number }),
                LeaseReply::Superseded => Some(LeaseAnswer::Refused { token }),
                _ => None,
            }
        }
        Effect::RequestPromise { to, token, number } => {
            match calls.ask_journal(&to, JournalAsk::Promise { token })? {
                JournalReply::Done(true) => Some(LeaseAnswer::Promised { from: to, number }),
                _ => None,
            }
        }
        Effect::Handover { token } => {
            let command = Command::Handover(Handover {
                domain,
                token,
                to: None,
            });
            let _ = calls.proposer.propose(&command, LOG_TIMEOUT);
            Some(LeaseAnswer::HandedOver)
        }
    }
}

impl port::Peers for Lease {
    fn post(&self, effect: Effect, answer: Sender<LeaseAnswer>) {
        let calls = Arc::clone(&self.calls);
        let job = Box::new(move || {
            if let Some(reply) = carry_out(&calls, effect) {
                let _ = answer.send(reply);
            }
        });
        let _ = self.jobs.send(job);
    }
}
