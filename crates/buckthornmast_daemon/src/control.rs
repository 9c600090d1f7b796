//! Controller of this instance's failure domain.
//!
//! Implements the ports of the controller crate: the log over the proposer, the journals over peer calls,
//! orders over the target protocol, and the messages of the lease. Blocking work runs on a few dedicated
//! threads.

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
    driver::{self, Parts},
    journal::Journal,
};
use buckthornmast_lease::holder::Config as Candidate;
use buckthornmast_types::{id, time::System};
use flume::Receiver;

use crate::{
    control::{
        calls::{Calls, Journals, Log},
        lease::Lease,
        orders::Orders,
        pool::Pool,
    },
    current::Current,
    leader::Leader,
    peers::Peers,
    plan::Planner,
    propose::Proposer,
    targets::{Observation, Targets},
};

/// Interval between two planning rounds of the controller.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Threads that send orders; a target that does not answer occupies one for two seconds.
const ORDER_THREADS: usize = 8;

/// Threads that send the messages of the lease.
const LEASE_THREADS: usize = 3;

/// Maximum number of reports queued for the controller. Further ones are not delivered to it; later reports of the same
/// targets replace them.
const MAX_QUEUED_REPORTS: usize = 4096;

/// Components that the controller depends on.
pub struct Dependencies {
    /// This instance.
    pub me: id::Instance,
    /// Failure domain.
    pub domain: id::Domain,
    /// Other candidates of the failure domain.
    pub others: Vec<id::Instance>,
    /// Proposer of commands to the replicated log.
    pub proposer: Proposer,
    /// Local grantor of leases, if this instance has a replica.
    pub leader: Option<Arc<Leader>>,
    /// Client to the other instances.
    pub peers: Peers,
    /// Journal of this candidate.
    pub journal: Arc<Mutex<Journal>>,
    /// Reports of targets.
    pub targets: Targets,
    /// Settings in force.
    pub current: Current,
    /// Planner.
    pub planner: Planner,
    /// Access token for targets that check it.
    pub token: String,
    /// Clock.
    pub clock: System,
}

struct Running {
    handle: driver::Handle<System>,
    pools: [Pool; 2],
    forwarder: JoinHandle<()>,
}

/// Handle of the controller; without effect until the controller is started.
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

    /// Returns the fencing token of the controller lease, if this instance holds it.
    pub fn token(&self) -> Option<id::Token> {
        Some(self.lock().as_ref()?.handle.valid_lease()?.token)
    }

    /// Returns the moves per team since the controller started.
    pub fn counters(&self) -> Counters {
        let running = self.lock();
        running
            .as_ref()
            .map(|running| running.handle.counters())
            .unwrap_or_default()
    }

    /// Starts the controller.
    pub fn start(&self, dependencies: Dependencies) -> std::io::Result<()> {
        let orders = Pool::start("orders", ORDER_THREADS)?;
        let lease = Pool::start("lease-calls", LEASE_THREADS)?;
        let (listener, observed) = flume::bounded(MAX_QUEUED_REPORTS);
        dependencies.targets.subscribe(listener);
        let calls = Arc::new(Calls {
            me: dependencies.me.clone(),
            domain: dependencies.domain.clone(),
            others: dependencies.others.clone(),
            proposer: dependencies.proposer,
            leader: dependencies.leader,
            peers: dependencies.peers,
            journal: dependencies.journal,
        });
        let handle = driver::start(Parts {
            candidate: Candidate::new(dependencies.me, dependencies.others),
            config: dependencies.planner.config(),
            round_interval: ROUND_INTERVAL,
            log: Log(Arc::clone(&calls)),
            journals: Journals::new(Arc::clone(&calls)),
            orders: Orders {
                jobs: orders.jobs.clone(),
                targets: dependencies.targets,
                current: dependencies.current.clone(),
                token: dependencies.token,
                clock: dependencies.clock,
            },
            peers: Lease {
                jobs: lease.jobs.clone(),
                calls,
            },
            plan: dependencies.planner,
            clock: dependencies.clock,
        })?;
        let forwarder =
            self.forward_reports(observed, dependencies.domain, dependencies.current)?;
        *self.lock() = Some(Running {
            handle,
            pools: [orders, lease],
            forwarder,
        });
        Ok(())
    }

    /// Starts the thread that forwards reports of this domain's engines to the controller.
    fn forward_reports(
        &self,
        observed: Receiver<Observation>,
        domain: id::Domain,
        current: Current,
    ) -> std::io::Result<JoinHandle<()>> {
        let running = Arc::downgrade(&self.running);
        thread::Builder::new()
            .name("reports".to_owned())
            .spawn(move || {
                for observed in observed {
                    if observed.report.domain != domain || observed.report.accelerators == 0 {
                        continue;
                    }
                    let Some(running) = running.upgrade() else {
                        return;
                    };
                    let running = running.lock().unwrap_or_else(PoisonError::into_inner);
                    let kinds = &current.get().declarations.platform.kinds;
                    // An unknown kind is treated as one that ignores fencing tokens, which is the safe assumption.
                    let honours_tokens = kinds
                        .get(&observed.report.kind)
                        .is_some_and(|kind| kind.honours_tokens);
                    if let Some(running) = &*running {
                        let report = observed.report.as_ref().clone();
                        running.handle.report(driver::Observation {
                            report,
                            sampled_at: observed.sent,
                            honours_tokens,
                        });
                    }
                }
            })
    }

    /// Hands the lease over and joins all threads. The subscriptions of `targets` must have been ended before.
    pub fn stop(&self) {
        let Some(running) = self.lock().take() else {
            return;
        };
        running.handle.stop();
        running.pools.into_iter().for_each(Pool::stop);
        let _ = running.forwarder.join();
    }
}
