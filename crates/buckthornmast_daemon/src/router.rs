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
    dispatcher::{self, Dispatcher, Ended, Wanted},
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
    admit::{Admission, Permit, Room},
    cache::Arrived,
    current::{Current, Snapshot},
    demand::Demand,
    targets::{Seen, Targets},
    witness::Witness,
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
    /// When these settings were last known to be the newest.
    newest: Option<Point>,
    rng: SmallRng,
}

/// Router.
pub struct Router {
    state: Mutex<State>,
    admission: Admission,
    targets: Targets,
    current: Current,
    demand: Demand,
    witness: Witness,
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
    let events = router.targets.cache().listen();
    let (stop, stopped) = flume::bounded(1);
    let run = move || router.run(&seen, &events, &stopped);
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
        let newest = self.newest;
        self.dispatcher.table.set_drains(drained.collect(), newest);
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
        witness: Witness,
        clock: System,
    ) -> Self {
        let state = State {
            dispatcher: Dispatcher::new(dispatcher::Config::default(), domain, clock.now()),
            drains_of: id::Revision(0),
            newest: None,
            rng: SmallRng::from_os_rng(),
        };
        Self {
            state: Mutex::new(state),
            admission: Admission::new(clock),
            targets,
            current,
            demand,
            witness,
            clock,
            token,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self, seen: &Receiver<Seen>, events: &Receiver<Arrived>, stopped: &Receiver<()>) {
        let mut round = 0_u32;
        loop {
            let next = self.clock.now() + PERIOD;
            loop {
                let left = next.since(self.clock.now());
                let taken = Selector::new()
                    .recv(seen, |seen| seen.map(|seen| self.take_report(&seen)))
                    .recv(events, |arrived| {
                        arrived.map(|arrived| self.take_events(&arrived))
                    })
                    .wait_timeout(left);
                match taken {
                    Ok(Ok(())) => {}
                    Ok(Err(RecvError::Disconnected)) => return,
                    Err(SelectError::Timeout) => break,
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

    fn take_report(&self, seen: &Seen) {
        if self.observe(seen) {
            // Requests may be waiting for the copy.
            self.refresh(false);
        }
    }

    /// Takes a report, and returns whether a copy that was being loaded is ready.
    fn observe(&self, seen: &Seen) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        let report = seen.report.as_ref().clone();
        let age = now.since(seen.sent);
        state.dispatcher.observe(report, age, now).has_new_copy
    }

    fn take_events(&self, arrived: &Arrived) {
        let batch = &arrived.batch;
        let mut state = self.lock();
        let dispatcher = &mut state.dispatcher;
        // Events of a target without a report are a gap in the numbers for later.
        if let Some(slot) = dispatcher.table.slot(&batch.target) {
            for event in &batch.events {
                let affinity = &mut dispatcher.affinity;
                if affinity.apply(slot, batch.incarnation, event, arrived.at) {
                    counter!("buckthornmast_cache_events_total").increment(1);
                }
            }
        }
    }

    /// Takes drains and capacities from the settings and the reports.
    fn refresh(&self, look_for_slow: bool) {
        let now = self.clock.now();
        let snapshot = self.current.get();
        let mut state = self.lock();
        state.take_drains(&snapshot);
        if let Some(newest) = self.witness.newest(snapshot.revision, now) {
            state.newest = state.newest.max(Some(newest));
        }
        if look_for_slow {
            state.dispatcher.table.eject_slow(now);
            state.dispatcher.table.prune(PRUNE_AFTER, now);
        }
        let rooms = rooms(&state.dispatcher, &snapshot, now);
        drop(state);
        let teams = snapshot.declarations.platform.teams.iter();
        let weights = teams.map(|(team, member)| (team.clone(), member.share.unwrap_or(1.0)));
        self.admission.update(&rooms, weights.collect());
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

/// Returns the room for requests of each model and service.
fn rooms(dispatcher: &Dispatcher, snapshot: &Snapshot, now: Point) -> BTreeMap<id::Model, Room> {
    let mut rooms = BTreeMap::new();
    for (name, model) in &snapshot.catalog.models {
        let capacity = dispatcher.capacity(&model.artifact, now);
        let coming = match capacity {
            0 => dispatcher.coming(&model.artifact, now),
            _ => None,
        };
        let room = Room { capacity, coming };
        rooms.extend(name.parse().ok().map(|name| (name, room)));
    }
    for (name, plain) in &snapshot.catalog.services {
        let need = table::Need::Service(&plain.service);
        let count = dispatcher.table.candidates(need, &[], now).len();
        let capacity = u32::try_from(count)
            .unwrap_or(u32::MAX)
            .saturating_mul(plain.concurrency);
        let room = Room {
            capacity,
            coming: None,
        };
        rooms.extend(name.parse().ok().map(|name| (name, room)));
    }
    rooms
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
                first_message: Some(*prefix),
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

    fn wait(&self, permit: Permit, ask: &Ask<'_>, need: &Need<'_>) -> Result<Permit, Refused> {
        let Need::Artifact {
            artifact, exact, ..
        } = need
        else {
            return Err(Refused::no_target());
        };
        permit.give_back();
        let now = self.clock.now();
        let state = self.lock();
        let (_, found) = state.dispatcher.find(artifact, *exact, &[], now);
        if found.is_empty() {
            let Some(coming) = state.dispatcher.coming(artifact, now) else {
                return Err(Refused::no_target());
            };
            // The capacity is from before the last target went.
            self.admission.close(ask.name, coming);
        }
        drop(state);
        self.admission.admit(ask)
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
                // An own lack of resources says nothing about the target.
                Cause::Local { .. } => Ended::Abandoned,
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
