//! Routing on this instance: the pure decisions of the routing crate over the reports that arrive.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    thread::{self, JoinHandle},
    time::Duration,
};

use buckthornmast_gateway::router::{self, Ask, Need, Pick, Refused, Report, Retry, Tried};
use buckthornmast_routing::{
    attempt::Decision,
    choice::Prefix,
    dispatcher::{self, Dispatcher, Ended, Wanted},
    table::{self, Slot},
};
use buckthornmast_target::{engine::Endpoint, error::Cause};
use buckthornmast_types::{
    id,
    time::{Clock, System},
};
use flume::{Receiver, RecvTimeoutError, Sender};
use rand::{SeedableRng, rngs::SmallRng};
use smallvec::SmallVec;

use crate::{
    admit::{Admission, Permit},
    current::{Current, Snapshot},
    demand::Demand,
    targets::{Seen, Targets},
};

/// Time between two updates of capacities.
const PERIOD: Duration = Duration::from_millis(200);

/// Age of a report beyond which a target counts as dead to the requests that wait there.
const FRESH: Duration = Duration::from_millis(2500);

/// Updates between two looks for slow targets.
const SLOW_ROUNDS: u32 = 5;

/// Age of a report beyond which a target costs no time per choice.
const PRUNE_AFTER: Duration = Duration::from_secs(60);

/// Reports that wait to be taken into the table.
const MAX_REPORTS: usize = 4096;

struct State {
    dispatcher: Dispatcher,
    /// Revision of the settings that the drains of the table come from.
    drains_of: id::Revision,
    rng: SmallRng,
}

/// Router.
pub struct Router {
    state: Mutex<State>,
    admission: Admission,
    targets: Targets,
    current: Current,
    demand: Demand,
    clock: System,
    token: String,
}

/// Thread that keeps the table up to date.
pub struct Updates {
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Updates {
    /// Joins the thread.
    pub fn stop(&mut self) {
        self.stop = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Starts to take reports and settings into the router.
pub fn update(router: std::sync::Arc<Router>) -> std::io::Result<Updates> {
    let (listener, seen) = flume::bounded(MAX_REPORTS);
    router.targets.listen(listener);
    let (stop, stopped) = flume::bounded(1);
    let run = move || router.run(&seen, &stopped);
    let thread = thread::Builder::new()
        .name("router".to_owned())
        .spawn(run)?;
    Ok(Updates {
        stop: Some(stop),
        thread: Some(thread),
    })
}

impl State {
    /// Takes the drains of newer settings.
    ///
    /// Each choice does this, so that no choice is made by settings that are no longer in force.
    fn take_drains(&mut self, snapshot: &Snapshot) {
        if snapshot.revision <= self.drains_of {
            return;
        }
        let drained = snapshot.declarations.platform.drained.iter().cloned();
        self.dispatcher.table.set_drains(drained.collect());
        self.drains_of = snapshot.revision;
    }
}

impl Router {
    /// Returns a router without targets.
    pub fn new(
        domain: id::Domain,
        token: String,
        targets: Targets,
        current: Current,
        demand: Demand,
        clock: System,
    ) -> Self {
        let state = State {
            dispatcher: Dispatcher::new(dispatcher::Config::default(), domain, clock.now()),
            drains_of: id::Revision(0),
            rng: SmallRng::from_os_rng(),
        };
        Self {
            state: Mutex::new(state),
            admission: Admission::new(clock),
            targets,
            current,
            demand,
            clock,
            token,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self, seen: &Receiver<Seen>, stopped: &Receiver<()>) {
        let mut round = 0_u32;
        loop {
            let next = self.clock.now() + PERIOD;
            loop {
                let left = next.since(self.clock.now());
                match seen.recv_timeout(left) {
                    Ok(seen) => self.observe(&seen),
                    Err(RecvTimeoutError::Timeout) => break,
                    Err(RecvTimeoutError::Disconnected) => return,
                }
            }
            match stopped.try_recv() {
                Err(flume::TryRecvError::Empty) => {}
                _ => return,
            }
            self.refresh(round.is_multiple_of(SLOW_ROUNDS));
            round = round.wrapping_add(1);
        }
    }

    fn observe(&self, seen: &Seen) {
        let now = self.clock.now();
        let mut state = self.lock();
        let report = seen.report.as_ref().clone();
        state.dispatcher.observe(report, now.since(seen.sent), now);
    }

    /// Takes drains and capacities from the settings and the reports.
    fn refresh(&self, look_for_slow: bool) {
        let now = self.clock.now();
        let snapshot = self.current.get();
        let mut state = self.lock();
        state.take_drains(&snapshot);
        if look_for_slow {
            state.dispatcher.table.eject_slow(now);
            state.dispatcher.table.prune(PRUNE_AFTER, now);
        }
        let capacities = capacities(&state, &snapshot, now);
        drop(state);
        let teams = snapshot.declarations.platform.teams.iter();
        let weights = teams.map(|(team, member)| (team.clone(), member.share.unwrap_or(1.0)));
        self.admission.update(&capacities, weights.collect());
    }

    fn endpoint(&self, seen: &buckthornmast_types::report::Report) -> Endpoint {
        let snapshot = self.current.get();
        let kind = snapshot.declarations.platform.kinds.get(&seen.kind);
        let token = kind
            .is_none_or(|kind| kind.access)
            .then(|| self.token.clone());
        Endpoint {
            target: seen.target.clone(),
            address: seen.address,
            token,
        }
    }
}

/// Returns how many requests of each model and service may be in progress.
fn capacities(
    state: &State,
    snapshot: &Snapshot,
    now: buckthornmast_types::time::Point,
) -> BTreeMap<id::Model, u32> {
    let mut capacities = BTreeMap::new();
    for (name, model) in &snapshot.catalog.models {
        let sum = state.dispatcher.capacity(&model.artifact, now);
        capacities.extend(name.parse().ok().map(|name| (name, sum)));
    }
    for (name, plain) in &snapshot.catalog.services {
        let need = table::Need::Service(&plain.service);
        let count = state.dispatcher.table.candidates(need, &[], now).len();
        let sum = u32::try_from(count)
            .unwrap_or(u32::MAX)
            .saturating_mul(plain.concurrency);
        capacities.extend(name.parse().ok().map(|name| (name, sum)));
    }
    capacities
}

impl router::Router for Router {
    type Permit = Permit;

    fn admit(&self, ask: &Ask<'_>) -> Result<Permit, Refused> {
        if ask.team.is_some() {
            self.demand.count(ask.name, ask.tokens);
        }
        let permit = self.admission.admit(ask)?;
        self.lock().dispatcher.request();
        Ok(permit)
    }

    fn pick(&self, need: &Need<'_>, tried: &Tried) -> Option<Pick> {
        let now = self.clock.now();
        let snapshot = self.current.get();
        let mut guard = self.lock();
        let state = &mut *guard;
        state.take_drains(&snapshot);
        let tried: SmallVec<[Slot; 4]> = tried
            .iter()
            .filter_map(|target| state.dispatcher.table.slot(target))
            .collect();
        let wanted = match need {
            Need::Artifact {
                artifact,
                exact,
                prefix,
            } => Wanted::Artifact {
                artifact,
                exact: *exact,
                prefix: Some(Prefix(*prefix)),
            },
            Need::Service { service, .. } => Wanted::Service(service),
        };
        let pick = state.dispatcher.pick(wanted, &tried, now, &mut state.rng)?;
        let report = state.dispatcher.table.report(pick.slot)?.clone();
        drop(guard);
        Some(Pick {
            endpoint: self.endpoint(&report),
            artifact: pick.artifact,
        })
    }

    fn is_alive(&self, pick: &Pick) -> bool {
        let seen = self.targets.get(&pick.endpoint.target);
        seen.is_some_and(|seen| self.clock.now().since(seen.sent) < FRESH)
    }

    fn done(&self, pick: &Pick, report: &Report<'_>) {
        let now = self.clock.now();
        let mut guard = self.lock();
        let state = &mut *guard;
        let Some(slot) = state.dispatcher.table.slot(&pick.endpoint.target) else {
            return;
        };
        let ended = match report {
            Report::Answered { first, .. } => Ended::Answered(*first),
            Report::Failed { error } => match error.cause {
                Cause::NotSent { .. } => Ended::Unreachable,
                Cause::Refused { .. } => Ended::Refused,
                _ => Ended::Failed,
            },
            Report::Abandoned => Ended::Abandoned,
        };
        let artifact = pick.artifact.clone();
        let pick = dispatcher::Pick { slot, artifact };
        state.dispatcher.done(&pick, ended, now);
    }

    fn decide(&self, retry: &Retry<'_>) -> Decision {
        let now = self.clock.now();
        let mut state = self.lock();
        let (repeatable, deadline) = (retry.repeatable, retry.deadline);
        state
            .dispatcher
            .decide(retry.history, repeatable, deadline, now)
    }
}
