//! Routing on this instance: applies the decisions of the routing crate to the reports that arrive.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    thread::{self, JoinHandle},
    time::Duration,
};

use buckthornmast_gateway::router::{
    self, DispatchOutcome, Need, Pick, Rejection, Retry, RouteRequest, TriedTargets,
};
use buckthornmast_routing::{
    attempt::Decision,
    dispatcher::{self, Completion, Dispatcher, Resource},
    table::{self, Slot},
};
use buckthornmast_target::{engine::Endpoint, error::Cause};
use buckthornmast_types::{
    id,
    time::{Clock, Point, System},
};
use flume::{Receiver, RecvError, Selector, Sender, select::SelectError};
use metrics::counter;
use rand::{SeedableRng, rngs::SmallRng};
use smallvec::SmallVec;

use crate::{
    admit::{Admission, Availability, Permit},
    cache::Arrived,
    current::{Current, Snapshot},
    demand::Demand,
    freshness::Freshness,
    targets::{Observation, Targets},
};

/// Interval between two updates of capacities.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Report age beyond which a target counts as unresponsive for requests that wait for its answer.
const MAX_REPORT_AGE: Duration = Duration::from_millis(2500);

/// Updates between two checks for slow targets.
const SLOW_CHECK_ROUNDS: u32 = 5;

/// Report age beyond which a target is removed from the table, so that it costs no time per choice.
const PRUNE_AFTER: Duration = Duration::from_secs(60);

/// Maximum number of reports queued for the table. Further ones are not delivered to it; later reports of the same
/// targets replace them.
const MAX_QUEUED_REPORTS: usize = 4096;

struct State {
    dispatcher: Dispatcher,
    /// Settings revision of the drains in the table.
    drains_revision: id::Revision,
    /// Time at which these settings were last known to be the newest.
    newest_at: Option<Point>,
    rng: SmallRng,
}

/// Router of this instance: admits requests and chooses their targets.
pub struct Router {
    state: Mutex<State>,
    admission: Admission,
    targets: Targets,
    current: Current,
    demand: Demand,
    freshness: Freshness,
    clock: System,
    token: String,
}

/// Handle of the thread that applies reports and settings to the router.
pub struct Updater {
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Updater {
    /// Stops the thread and joins it.
    pub fn stop(&mut self) {
        self.stop = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Starts the thread that applies reports and settings to the router.
pub fn start(router: std::sync::Arc<Router>) -> std::io::Result<Updater> {
    let (listener, observed) = flume::bounded(MAX_QUEUED_REPORTS);
    router.targets.subscribe(listener);
    let events = router.targets.cache().subscribe();
    let (stop, stopped) = flume::bounded(1);
    let run = move || router.run(&observed, &events, &stopped);
    let thread = thread::Builder::new()
        .name("router".to_owned())
        .spawn(run)?;
    Ok(Updater {
        stop: Some(stop),
        thread: Some(thread),
    })
}

impl State {
    /// Applies the drains of newer settings.
    ///
    /// Called before each choice, so that no choice is based on settings that are no longer in force.
    fn apply_drains(&mut self, snapshot: &Snapshot) {
        if snapshot.revision <= self.drains_revision {
            return;
        }
        let drained = snapshot.declarations.platform.drained.iter().cloned();
        let newest = self.newest_at;
        self.dispatcher.table.set_drains(drained.collect(), newest);
        self.drains_revision = snapshot.revision;
    }

    fn slots(&self, targets: &TriedTargets) -> SmallVec<[Slot; 4]> {
        let slots = targets
            .iter()
            .filter_map(|target| self.dispatcher.table.slot(target));
        slots.collect()
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
        freshness: Freshness,
        clock: System,
    ) -> Self {
        let state = State {
            dispatcher: Dispatcher::new(dispatcher::Config::default(), domain, clock.now()),
            drains_revision: id::Revision(0),
            newest_at: None,
            rng: SmallRng::from_os_rng(),
        };
        Self {
            state: Mutex::new(state),
            admission: Admission::new(clock),
            targets,
            current,
            demand,
            freshness,
            clock,
            token,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(
        &self,
        observed: &Receiver<Observation>,
        events: &Receiver<Arrived>,
        stopped: &Receiver<()>,
    ) {
        let mut round = 0_u32;
        loop {
            let next = self.clock.now() + UPDATE_INTERVAL;
            loop {
                let left = next.since(self.clock.now());
                let event = Selector::new()
                    .recv(observed, |observed| {
                        observed.map(|observed| self.apply_report(&observed))
                    })
                    .recv(events, |arrived| {
                        arrived.map(|arrived| self.apply_events(&arrived))
                    })
                    .wait_timeout(left);
                match event {
                    Ok(Ok(())) => {}
                    Ok(Err(RecvError::Disconnected)) => return,
                    Err(SelectError::Timeout) => break,
                }
            }
            match stopped.try_recv() {
                Err(flume::TryRecvError::Empty) => {}
                _ => return,
            }
            self.refresh(round.is_multiple_of(SLOW_CHECK_ROUNDS));
            round = round.wrapping_add(1);
        }
    }

    fn apply_report(&self, observed: &Observation) {
        if self.observe(observed) {
            // Requests may be waiting for the copy.
            self.refresh(false);
        }
    }

    /// Applies a report and returns whether a copy that was being loaded is now ready.
    fn observe(&self, observed: &Observation) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        let report = observed.report.as_ref().clone();
        let age = now.since(observed.sent);
        state.dispatcher.observe(report, age, now).has_new_copy
    }

    fn apply_events(&self, arrived: &Arrived) {
        let batch = &arrived.batch;
        let mut state = self.lock();
        let dispatcher = &mut state.dispatcher;
        // Skipped events of a target without a report show up later as a gap in the sequence numbers.
        if let Some(slot) = dispatcher.table.slot(&batch.target) {
            for event in &batch.events {
                let affinity = &mut dispatcher.affinity;
                if affinity.apply(slot, batch.incarnation, event, arrived.at) {
                    counter!("buckthornmast_cache_events_total").increment(1);
                }
            }
        }
    }

    /// Updates drains and capacities from the settings and the reports; with `checks_slow`, also ejects slow targets
    /// and removes those without recent reports.
    fn refresh(&self, checks_slow: bool) {
        let now = self.clock.now();
        let snapshot = self.current.get();
        let mut state = self.lock();
        state.apply_drains(&snapshot);
        if let Some(newest) = self.freshness.newest(snapshot.revision, now) {
            state.newest_at = state.newest_at.max(Some(newest));
        }
        if checks_slow {
            state.dispatcher.table.eject_slow(now);
            state.dispatcher.table.prune(PRUNE_AFTER, now);
        }
        let availability = availability(&state.dispatcher, &snapshot, now);
        drop(state);
        let teams = snapshot.declarations.platform.teams.iter();
        let weights = teams.map(|(team, member)| (team.clone(), member.share.unwrap_or(1.0)));
        self.admission.update(&availability, weights.collect());
    }

    fn endpoint(&self, observed: &buckthornmast_types::report::Report) -> Endpoint {
        let snapshot = self.current.get();
        let kind = snapshot.declarations.platform.kinds.get(&observed.kind);
        let token = kind
            .is_none_or(|kind| kind.checks_access)
            .then(|| self.token.clone());
        Endpoint {
            target: observed.target.clone(),
            address: observed.address,
            token,
        }
    }
}

/// Returns the capacity for requests of each model and service.
fn availability(
    dispatcher: &Dispatcher,
    snapshot: &Snapshot,
    now: Point,
) -> BTreeMap<id::Model, Availability> {
    let mut availability = BTreeMap::new();
    for (name, model) in &snapshot.catalog.models {
        let capacity = dispatcher.capacity(&model.artifact, now);
        let expected_capacity = match capacity {
            0 => dispatcher.expected_capacity(&model.artifact, now),
            _ => None,
        };
        let available = Availability {
            capacity,
            loading: expected_capacity,
        };
        availability.extend(name.parse().ok().map(|name| (name, available)));
    }
    for (name, plain) in &snapshot.catalog.services {
        let need = table::Need::Service(&plain.name);
        let count = dispatcher.table.candidates(need, &[], now).len();
        let capacity = u32::try_from(count)
            .unwrap_or(u32::MAX)
            .saturating_mul(plain.concurrency);
        let available = Availability {
            capacity,
            loading: None,
        };
        availability.extend(name.parse().ok().map(|name| (name, available)));
    }
    availability
}

fn resource<'a>(need: &Need<'a>) -> Resource<'a> {
    match *need {
        Need::Artifact {
            artifact,
            is_exact,
            first_message_hash,
        } => Resource::Artifact {
            artifact,
            exact: is_exact,
            first_message: Some(first_message_hash),
        },
        Need::Service { service, .. } => Resource::Service(service),
    }
}

impl router::Router for Router {
    type Permit = Permit;

    fn admit(&self, request: &RouteRequest<'_>) -> Result<Permit, Rejection> {
        if request.team.is_some() {
            self.demand.count(request.name, request.tokens);
        }
        let permit = self.admission.admit(request)?;
        self.lock().dispatcher.record_request();
        Ok(permit)
    }

    fn pick(&self, need: &Need<'_>, tried: &TriedTargets) -> Option<Pick> {
        let now = self.clock.now();
        let snapshot = self.current.get();
        let mut guard = self.lock();
        let state = &mut *guard;
        state.apply_drains(&snapshot);
        let tried = state.slots(tried);
        let pick = state
            .dispatcher
            .pick(resource(need), &tried, now, &mut state.rng)?;
        let report = state.dispatcher.table.report(pick.slot)?.clone();
        drop(guard);
        Some(Pick {
            endpoint: self.endpoint(&report),
            artifact: pick.artifact,
        })
    }

    fn wait_for_copy(
        &self,
        permit: Permit,
        request: &RouteRequest<'_>,
        need: &Need<'_>,
    ) -> Result<Permit, Rejection> {
        let Need::Artifact {
            artifact, is_exact, ..
        } = need
        else {
            return Err(Rejection::no_target());
        };
        permit.release_unused();
        let now = self.clock.now();
        let state = self.lock();
        let (_, found) = state.dispatcher.find(artifact, *is_exact, &[], now);
        if found.is_empty() {
            let Some(expected_capacity) = state.dispatcher.expected_capacity(artifact, now) else {
                return Err(Rejection::no_target());
            };
            // The gate's capacity predates the loss of the last target.
            self.admission.close(request.name, expected_capacity);
        }
        drop(state);
        self.admission.admit(request)
    }

    fn is_alive(&self, pick: &Pick) -> bool {
        let observed = self.targets.get(&pick.endpoint.target);
        observed.is_some_and(|observed| self.clock.now().since(observed.sent) < MAX_REPORT_AGE)
    }

    fn can_move(&self, need: &Need<'_>, tried: &TriedTargets, retry: &Retry<'_>) -> bool {
        let now = self.clock.now();
        let snapshot = self.current.get();
        let mut state = self.lock();
        state.apply_drains(&snapshot);
        let tried = state.slots(tried);
        let (is_repeatable, deadline) = (retry.is_repeatable, retry.deadline);
        state.dispatcher.can_move(
            resource(need),
            &tried,
            retry.history,
            is_repeatable,
            deadline,
            now,
        )
    }

    fn finish_dispatch(&self, pick: &Pick, outcome: &DispatchOutcome<'_>) {
        let now = self.clock.now();
        let mut guard = self.lock();
        let state = &mut *guard;
        let Some(slot) = state.dispatcher.table.slot(&pick.endpoint.target) else {
            return;
        };
        let completion = match outcome {
            DispatchOutcome::Answered { first, .. } => Completion::Answered(*first),
            DispatchOutcome::Failed { error } => match error.cause {
                // A shortage of resources on this instance does not indicate a fault of the target.
                Cause::LocalResource { .. } => Completion::Abandoned,
                Cause::NotSent { .. } => Completion::Unreachable,
                Cause::Refused { .. } => Completion::Refused,
                _ => Completion::Failed,
            },
            DispatchOutcome::Abandoned => Completion::Abandoned,
        };
        let artifact = pick.artifact.clone();
        let pick = dispatcher::Pick { slot, artifact };
        state.dispatcher.complete(&pick, completion, now);
    }

    fn decide(&self, retry: &Retry<'_>) -> Decision {
        let now = self.clock.now();
        let mut state = self.lock();
        let (is_repeatable, deadline) = (retry.is_repeatable, retry.deadline);
        state
            .dispatcher
            .decide(retry.history, is_repeatable, deadline, now)
    }
}
