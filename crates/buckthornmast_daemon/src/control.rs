//! Controller of this instance's failure domain.
//!
//! Implements the surroundings that the controller crate asks for: the log behind the proposer, the
//! journals behind peer calls, orders over the target protocol, and the lease's messages. Work that
//! blocks runs on a few threads of its own.

mod calls;
mod lease;
mod orders;
mod pool;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread::{self, JoinHandle},
    time::Duration,
};

use buckthornmast_controller::{
    counter::Counters,
    driver::{self, Heard, Parts},
    notebook::Notebook,
};
use buckthornmast_lease::holder::Config as Candidate;
use buckthornmast_types::{id, time::System};
use flume::Receiver;

use crate::{
    control::{
        calls::{Calls, Journal, Log},
        lease::Lease,
        orders::Orders,
        pool::Pool,
    },
    current::Current,
    leader::Leader,
    peers::Peers,
    plan::Planner,
    propose::Proposer,
    targets::{Seen, Targets},
};

/// Time between two rounds of the controller.
const ROUND: Duration = Duration::from_millis(100);

/// Threads that send orders; a target that does not answer holds one for two seconds.
const ORDER_THREADS: usize = 8;

/// Threads that send messages of the lease.
const LEASE_THREADS: usize = 3;

/// Reports that wait for the controller.
const MAX_REPORTS: usize = 4096;

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
