//! Routing on this instance: the pure decisions of the routing crate over the reports that arrive.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    thread::{self, JoinHandle},
    time::Duration,
};

use buckthornmast_gateway::router::{self, Ask, Need, Pick, Refused, Report, Retry, Tried};
use buckthornmast_routing::{
    affinity::{Affinity, prefix_of},
    attempt::{self, Decision, Known},
    budget,
    choice::{Choice, PowerOfTwo},
    estimate::Estimate,
    limit::{self, Adaptive},
    table::{self, Candidates, Outcome, Slot, Table},
};
use buckthornmast_target::{engine::Endpoint, error::Cause};
use buckthornmast_types::{
    id,
    report::{Copy, Phase},
    time::{Clock, Point, System},
};
use flume::{Receiver, RecvError, Selector, Sender, select::SelectError};
use metrics::counter;
use rand::{SeedableRng, rngs::SmallRng};
use smallvec::SmallVec;

use crate::{
    admit::{Admission, Permit},
    cache::Arrived,
    current::{Current, Snapshot},
    demand::Demand,
    targets::{Seen, Targets},
    witness::Witness,
};

mod find;

/// Time between two updates of capacities.
const PERIOD: Duration = Duration::from_millis(200);

/// Age of a report beyond which a target counts as dead to the requests that wait there.
const FRESH: Duration = Duration::from_millis(2500);

/// Updates between two looks for slow targets.
const SLOW_ROUNDS: u32 = 5;

/// Age of a report beyond which a target costs no time per choice.
const PRUNE_AFTER: Duration = Duration::from_secs(60);

/// Dispatches of one request at the most.
const MAX_DISPATCHES: u32 = 4;

/// Assumed time of a dispatch before the first sample.
const ASSUMED: Duration = Duration::from_millis(200);

/// Reports that wait to be taken into the table.
const MAX_REPORTS: usize = 4096;

struct State {
    table: Table,
    /// Revision of the settings that the drains of the table come from.
    drains_of: id::Revision,
    /// When these settings were last known to be the newest.
    newest: Option<Point>,
    affinity: Affinity,
    limits: BTreeMap<id::Target, Adaptive>,
    budget: budget::Retry,
    first: Estimate,
    rng: SmallRng,
}

/// Router.
pub struct Router {
    state: Mutex<State>,
    choice: PowerOfTwo,
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
        self.table.set_drains(drained.collect(), self.newest);
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
            table: Table::new(table::Config::default(), domain),
            drains_of: id::Revision(0),
            newest: None,
            affinity: Affinity::default(),
            limits: BTreeMap::new(),
            budget: budget::Retry::new(budget::Config::default(), clock.now()),
            first: Estimate::new(ASSUMED),
            rng: SmallRng::from_os_rng(),
        };
        Self {
            state: Mutex::new(state),
            choice: PowerOfTwo::default(),
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
        let before = state.table.slot(&seen.report.target);
        let old = before.and_then(|slot| state.table.report(slot));
        let incarnation = old.map(|old| old.incarnation);
        let was_loading = |copy: &&Copy| {
            let old = old.and_then(|old| old.copy(&copy.artifact));
            copy.phase == Phase::Ready && old.is_some_and(|old| old.phase == Phase::Loading)
        };
        let is_any_ready = seen.report.copies.iter().any(|copy| was_loading(&copy));
        state
            .table
            .observe(seen.report.as_ref().clone(), now.since(seen.sent), now);
        if let Some(slot) = state.table.slot(&seen.report.target) {
            state.affinity.start(slot, seen.report.incarnation);
        }
        if incarnation.is_some_and(|old| old != seen.report.incarnation) {
            // A restarted engine has another speed.
            state.limits.remove(&seen.report.target);
        }
        is_any_ready
    }

    fn take_events(&self, arrived: &Arrived) {
        let batch = &arrived.batch;
        let mut state = self.lock();
        // Events of a target without a report are a gap in the numbers for later.
        if let Some(slot) = state.table.slot(&batch.target) {
            for event in &batch.events {
                let affinity = &mut state.affinity;
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
            state.table.eject_slow(now);
            state.table.prune(PRUNE_AFTER, now);
        }
        let rooms = find::rooms(&state, &snapshot, now);
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

impl State {
    fn limit(&self, slot: Slot) -> u32 {
        let Some(report) = self.table.report(slot) else {
            return 0;
        };
        let limit = self.limits.get(&report.target);
        limit.map_or_else(|| start_limit(report.load.slots), Adaptive::get)
    }
}

/// Limit of a target before the first sample: its slots, half of them over again for the queue.
fn start_limit(slots: u32) -> u32 {
    slots.max(2).saturating_mul(3) / 2
}

impl router::Router for Router {
    type Permit = Permit;

    fn admit(&self, ask: &Ask<'_>) -> Result<Permit, Refused> {
        if ask.team.is_some() {
            self.demand.count(ask.name, ask.tokens);
        }
        let permit = self.admission.admit(ask)?;
        self.lock().budget.request();
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
            .filter_map(|target| state.table.slot(target))
            .collect();
        let (artifact, candidates, prefix) = match need {
            Need::Artifact {
                artifact,
                exact,
                prefix,
            } => {
                let (artifact, found) = find::find(state, artifact, *exact, &tried, now);
                let prefix = prefix_of(*prefix, &artifact);
                (Some(artifact), found, Some(prefix))
            }
            Need::Service { service, .. } => (
                None,
                state
                    .table
                    .candidates(table::Need::Service(service), &tried, now),
                None,
            ),
        };
        let below: Candidates = candidates
            .iter()
            .filter(|c| c.own < state.limit(c.slot))
            .copied()
            .collect();
        // Admission has let the request in, so a target beyond its limit is better than none.
        let candidates = if below.is_empty() { candidates } else { below };
        let slot = self.choice.choose(
            &candidates,
            prefix,
            &mut state.affinity,
            now,
            &mut state.rng,
        )?;
        let report = state.table.report(slot)?.clone();
        let table_need = match (&artifact, need) {
            (Some(artifact), _) => table::Need::Artifact(artifact),
            (None, Need::Service { service, .. }) => table::Need::Service(service),
            (None, Need::Artifact { artifact, .. }) => table::Need::Artifact(artifact),
        };
        state.table.started(slot, table_need, now);
        drop(guard);
        Some(Pick {
            endpoint: self.endpoint(&report),
            artifact,
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
        let (_, found) = find::find(&state, artifact, *exact, &[], now);
        if found.is_empty() {
            let Some(coming) = find::coming(&state, artifact, now) else {
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
        let target = &pick.endpoint.target;
        let Some(slot) = state.table.slot(target) else {
            return;
        };
        let Some(known) = state.table.report(slot) else {
            return;
        };
        let (service, slots) = (known.service.clone(), known.load.slots);
        let limit = state.limits.entry(target.clone()).or_insert_with(|| {
            let start = start_limit(slots);
            Adaptive::new(limit::Config {
                start,
                most: start.max(16) * 2,
                ..limit::Config::default()
            })
        });
        let outcome = match report {
            Report::Answered { first, .. } => {
                limit.answered(*first, state.table.own(slot));
                state.first.add(*first);
                Outcome::Answered(*first)
            }
            Report::Failed { error } => match error.cause {
                // An own lack of resources says nothing about the target.
                Cause::Local { .. } => Outcome::Abandoned,
                Cause::NotSent { .. } => Outcome::Unreachable,
                Cause::Refused { .. } => {
                    limit.dropped();
                    Outcome::Failed
                }
                _ => Outcome::Failed,
            },
            Report::Abandoned => Outcome::Abandoned,
        };
        let need = match &pick.artifact {
            Some(artifact) => table::Need::Artifact(artifact),
            None => table::Need::Service(&service),
        };
        state.table.finished(slot, need, outcome, now);
    }

    fn decide(&self, retry: &Retry<'_>) -> Decision {
        let now = self.clock.now();
        let mut state = self.lock();
        let known = Known {
            repeatable: retry.repeatable,
            resumable: true,
            // Whether one is left is seen when the next one is picked.
            target_left: true,
            most: MAX_DISPATCHES,
            expected: state.first.mean(),
            deadline: retry.deadline,
        };
        attempt::decide(retry.history, &known, now, || state.budget.take(now))
    }
}
