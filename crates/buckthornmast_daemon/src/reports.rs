//! Reports on finished requests: the collector of this instance, its inputs, and the answers on the operators' port.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread::{self, JoinHandle},
    time::Duration,
};

use buckthornmast_gateway::observe::{self, Sample};
use buckthornmast_http::{problem::Problem, response::Response};
use buckthornmast_membership::view::View;
use buckthornmast_report::{
    burn::{Burn, Objective},
    collector::{Collector, FinishedRequest, Outcome, Windows},
    extract::{Extract, Moves, Period},
    fleet::{Fleet, Source},
    policies::Policies,
};
use buckthornmast_state::settings::Scope;
use buckthornmast_types::{
    id,
    time::{Clock, System, unix_millis},
};
use flume::{RecvTimeoutError, Sender};
use serde::Serialize;
use serde_json::{Value, json};

use crate::{
    access::Bearer,
    control::Control,
    current::{Current, Snapshot},
    summary::Gathered,
    targets::Targets,
};

/// Interval between two measurements of accelerators and moves.
const MEASURE_INTERVAL: Duration = Duration::from_secs(1);

/// Report age beyond which the accelerators of the target are not counted as used.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// Collector, with the settings revision of the policies recorded in it.
struct State {
    collector: Collector,
    policies_revision: id::Revision,
}

impl State {
    /// Records the policies of a new revision before anything is counted, so that no request is attributed to
    /// the previous policy.
    fn record_policies(&mut self, snapshot: &Snapshot, now_ms: u64) {
        if self.policies_revision >= snapshot.revision {
            return;
        }
        self.policies_revision = snapshot.revision;
        for (team, declared) in &snapshot.declarations.teams {
            let period = period(snapshot, team, &declared.policy, now_ms);
            self.collector.set_policy(period);
        }
    }
}

/// Collector of this instance.
#[derive(Clone)]
pub struct Reports {
    state: Arc<Mutex<State>>,
    current: Current,
}

impl Reports {
    /// Returns an empty collector.
    pub fn new(current: Current) -> Self {
        let state = State {
            collector: Collector::new(unix_millis()),
            policies_revision: id::Revision(0),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            current,
        }
    }

    /// Locks the collector after recording the policies of the settings in force.
    fn lock(&self, snapshot: &Snapshot, now_ms: u64) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.record_policies(snapshot, now_ms);
        state
    }

    /// Records a sample.
    pub fn record(&self, sample: &Sample<'_>) {
        let request = FinishedRequest {
            team: sample.team,
            objective: sample.objective,
            model: sample.model,
            target: sample.target,
            outcome: match sample.end {
                observe::End::Answered => Outcome::Answered,
                observe::End::Refused => Outcome::Refused,
                observe::End::Failed => Outcome::Failed,
                observe::End::Abandoned => Outcome::Abandoned,
            },
            is_in_time: sample.is_in_time,
            first_token: sample.first_token,
            total: sample.total,
        };
        let now_ms = unix_millis();
        let mut state = self.lock(&self.current.get(), now_ms);
        state.collector.record(now_ms, &request);
    }

    /// Counts moves that the shadow policy of a team would have made.
    pub fn add_shadow_moves(&self, team: &id::Team, moves: Moves) {
        let now_ms = unix_millis();
        let mut state = self.lock(&self.current.get(), now_ms);
        state.collector.add_shadow_moves(now_ms, team, moves);
    }

    /// Returns the data that other instances need for reports.
    pub fn extract(&self) -> Extract {
        let snapshot = self.current.get();
        let objectives = objectives(&snapshot, None).into_iter();
        let windows: Windows = objectives
            .map(|objective| ((objective.team, objective.name), objective.window))
            .collect();
        let now_ms = unix_millis();
        let state = self.lock(&snapshot, now_ms);
        state.collector.extract(now_ms, &windows)
    }
}

/// Returns the declared objectives of one team or of all teams.
fn objectives(snapshot: &Snapshot, only: Option<&id::Team>) -> Vec<Objective> {
    let mut objectives = Vec::new();
    for (team, declared) in &snapshot.declarations.teams {
        if only.is_some_and(|only| only != team) {
            continue;
        }
        let team_objectives = declared.objectives.iter().map(|(name, o)| Objective {
            team: team.clone(),
            name: name.clone(),
            attainment: o.attainment,
            window: o.window,
        });
        objectives.extend(team_objectives);
    }
    objectives
}

/// Components that the measurements depend on.
pub struct Dependencies {
    /// Failure domain of this instance.
    pub domain: id::Domain,
    /// Collector.
    pub reports: Reports,
    /// Controller.
    pub control: Control,
    /// Reports of targets.
    pub targets: Targets,
    /// Clock.
    pub clock: System,
}

/// Thread that measures accelerators and moves.
pub struct Handle {
    stop: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl Handle {
    /// Stops the thread and joins it.
    pub fn stop(&mut self) {
        let _ = self.stop.send(());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Starts the thread that measures.
pub fn start(dependencies: Dependencies) -> std::io::Result<Handle> {
    let (stop, stopped) = flume::bounded(1);
    let run = move || {
        let mut last = dependencies.clock.now();
        while stopped.recv_timeout(MEASURE_INTERVAL) == Err(RecvTimeoutError::Timeout) {
            let now = dependencies.clock.now();
            measure(&dependencies, now.since(last));
            last = now;
        }
    };
    let thread = thread::Builder::new()
        .name("reports".to_owned())
        .spawn(run)?;
    Ok(Handle {
        stop,
        thread: Some(thread),
    })
}

fn measure(dependencies: &Dependencies, span: Duration) {
    let snapshot = dependencies.reports.current.get();
    let now_ms = unix_millis();
    let counters = dependencies.control.counters();
    // Only the holder of the lease measures accelerators, so that a domain is not counted twice.
    let used = dependencies
        .control
        .token()
        .map(|_| accelerators(dependencies, &snapshot));
    let mut state = dependencies.reports.lock(&snapshot, now_ms);
    let collector = &mut state.collector;
    if let Some(used) = &used {
        for team in snapshot.declarations.teams.keys() {
            let used = used.get(team).copied().unwrap_or_default();
            collector.record_usage(now_ms, team, used, span);
        }
    }
    for (team, moves) in &counters.teams {
        let moves = Moves {
            loads: moves.loads,
            unloads: moves.unloads,
            shifts: moves.shifts,
        };
        collector.record_counters(now_ms, team, moves);
    }
}

fn period(
    snapshot: &Snapshot,
    team: &id::Team,
    declared: &buckthornmast_config::declaration::Policy,
    now_ms: u64,
) -> Period {
    let scope = Scope::Team(team.clone());
    Period {
        team: team.clone(),
        revision: snapshot.tree.scope_revision(&scope).0,
        since_ms: now_ms,
        policy: declared.text(),
        shadow: declared.shadow.clone(),
    }
}

/// Returns the accelerators of this domain that each team's copies use. A copy uses the fraction of a target's
/// accelerators that it occupies of the target's memory.
fn accelerators(dependencies: &Dependencies, snapshot: &Snapshot) -> BTreeMap<id::Team, f64> {
    let mut owners: BTreeMap<&id::Model, &id::Team> = BTreeMap::new();
    for (team, declared) in &snapshot.declarations.teams {
        owners.extend(declared.models.keys().map(|model| (model, team)));
    }
    let now = dependencies.clock.now();
    let mut used: BTreeMap<id::Team, f64> = BTreeMap::new();
    for observed in dependencies.targets.all() {
        let report = &observed.report;
        let is_fresh = now.since(observed.sent) < MAX_REPORT_AGE;
        if report.domain != dependencies.domain || report.memory.0 == 0 || !is_fresh {
            continue;
        }
        for copy in &report.copies {
            if let Some(team) = owners.get(&copy.artifact.model) {
                let fraction = copy.bytes.0 as f64 / report.memory.0 as f64;
                let sum = used.entry((*team).clone()).or_default();
                *sum += fraction * f64::from(report.accelerators);
            }
        }
    }
    used
}

/// Merges the answers of the instances; those without an answer are listed with the time of their last heartbeat.
fn merge(gathered: Gathered, view: &View) -> Fleet {
    let now_ms = unix_millis();
    let mut answered: BTreeMap<id::Instance, Extract> = gathered
        .summaries
        .into_iter()
        .map(|(instance, summary)| (instance, summary.extract))
        .collect();
    let sources = view.peers.iter().map(|peer| Source {
        instance: peer.instance.clone(),
        domain: peer.domain.clone(),
        heard_ms: (peer.incarnation.0 > 0)
            .then(|| now_ms.saturating_sub(crate::message::millis(peer.last_alive_age))),
        // An instance of an older version answers without an extract, which also counts as no data.
        extract: answered
            .remove(&peer.instance)
            .filter(|extract| extract.at_ms > 0),
    });
    Fleet::merge(now_ms, sources.collect::<Vec<_>>())
}

fn json_response(report: &impl Serialize, text: &str) -> Result<Response, Problem> {
    let mut body = serde_json::to_value(report).map_err(|error| internal_error(&error))?;
    if let Value::Object(fields) = &mut body {
        fields.insert("text".to_owned(), json!(text));
    }
    Ok(Response::json(200, body.to_string()))
}

fn internal_error(error: &impl ToString) -> Problem {
    Problem::new(500, "internal error", "report").detail(error.to_string())
}

fn svg_response(
    drawn: Result<String, buckthornmast_report::chart::ChartError>,
) -> Result<Response, Problem> {
    let text = drawn.map_err(|error| internal_error(&error))?;
    let response = Response::new(200).header("Content-Type", "image/svg+xml");
    Ok(response.body(text))
}

/// Answers `GET /v1/reports/NAME` and `GET /v1/reports/NAME.svg`.
///
/// A team sees only its own objectives and policies.
pub fn answer(
    snapshot: &Snapshot,
    bearer: &Bearer,
    name: &str,
    view: &View,
    gather: impl FnOnce() -> Gathered,
) -> Result<Response, Problem> {
    let only = match bearer {
        Bearer::Platform => None,
        Bearer::Team(team) => Some(team),
    };
    let (name, is_svg) = match name.strip_suffix(".svg") {
        Some(name) => (name, true),
        None => (name, false),
    };
    match name {
        "burn" => {
            let report = Burn::compute(&merge(gather(), view), &objectives(snapshot, only));
            if is_svg {
                svg_response(report.svg())
            } else {
                json_response(&report, &report.text())
            }
        }
        "policies" => {
            let teams = snapshot.declarations.teams.keys().cloned();
            let is_visible = |team: &id::Team| only.is_none_or(|only| only == team);
            let teams: BTreeSet<id::Team> = teams.filter(is_visible).collect();
            let report = Policies::compute(&merge(gather(), view), &teams);
            if is_svg {
                svg_response(report.svg())
            } else {
                json_response(&report, &report.text())
            }
        }
        _ => Err(Problem::new(404, "no such report", "route").detail("burn or policies")),
    }
}
