//! Plans of the controller, computed by the policies and the arbiter from settings, demand and reports.

pub mod declared;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use buckthornmast_config::declaration::{self, Store};
use buckthornmast_controller::{
    core::Config,
    plan::{Move, Need, Plan, PlanSource, TargetView, View},
};
use buckthornmast_placement::{
    arbiter::arbitrate,
    named::{NamedPolicy, TeamPolicy},
    plan::{Action, Moves},
    view,
};
use buckthornmast_types::{
    artifact::Artifact,
    id,
    rate::Rate,
    report::Phase,
    size::Bytes,
    time::{Clock, Point, System, unix_millis},
};
use smallvec::SmallVec;

use crate::{
    current::{Current, Snapshot},
    demand::Demand,
    plan::declared::{declare, declared_copies},
    policy,
    shadow::Shadows,
    targets::{Observation, Targets},
};

/// Maximum number of moves that a policy may propose in one round.
const MAX_MOVES_PER_ROUND: usize = 64;

/// Report age beyond which a target counts as unresponsive.
const MAX_REPORT_AGE: Duration = Duration::from_millis(2500);

/// Time for which a copy must have been ready before another one is unloaded in its favour: the report age
/// up to which requests are routed, plus a margin for requests that have already chosen a target.
const MIN_READY_TIME: Duration = Duration::from_millis(2700);

/// Assumed tokens per second of one slot, since targets do not report their speed.
const DEFAULT_SLOT_TOKENS_PER_SECOND: f64 = 20.0;

/// Deadline of a model whose objective is unknown.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Load quota of the weight store where the platform declares none: loads per second, and concurrent loads.
const DEFAULT_LOAD_QUOTA: (f64, u32) = (1.0, 1);

/// Computes the plans of a controller.
pub struct Planner {
    /// Failure domain.
    pub domain: id::Domain,
    /// Settings in force.
    pub current: Current,
    /// Reports of targets.
    pub targets: Targets,
    /// Demand of all instances.
    pub demand: Demand,
    /// Clock.
    pub clock: System,
    /// Policies with their state, per team.
    pub teams: BTreeMap<id::Team, TeamPolicy>,
    /// Shadow policies.
    pub shadows: Shadows,
}

/// Returns this domain's share of the load quota of the weight store.
///
/// Controllers of different domains exchange no messages, so each may use only a fixed share. Concurrent
/// loads that cannot be divided evenly go to the domains that come first by name.
fn store_share(snapshot: &Snapshot, domain: &id::Domain) -> (Rate, usize) {
    let platform = &snapshot.declarations.platform;
    let default = Rate::per_second(DEFAULT_LOAD_QUOTA.0).unwrap_or_default();
    let Store {
        rate,
        max_concurrent,
    } = platform.store.unwrap_or(Store {
        rate: default,
        max_concurrent: DEFAULT_LOAD_QUOTA.1,
    });
    let domains: BTreeSet<&id::Domain> = platform.domains.iter().collect();
    let count = domains.len().max(1);
    let position = domains
        .iter()
        .position(|declared| *declared == domain)
        .unwrap_or(count);
    let max_concurrent = max_concurrent as usize;
    let share = max_concurrent / count + usize::from(position < max_concurrent % count);
    (
        Rate::per_second(rate.get() / count as f64).unwrap_or_default(),
        share,
    )
}

/// Artifacts in the order of the view, with the position of each.
#[derive(Default)]
struct Artifacts {
    list: Vec<view::ArtifactView>,
    index: BTreeMap<Artifact, usize>,
    services: Vec<id::Service>,
}

impl Planner {
    /// Returns the configuration of the controller.
    pub fn config(&self) -> Config {
        let (rate, max_concurrent) = store_share(&self.current.get(), &self.domain);
        Config {
            min_ready_time: MIN_READY_TIME,
            ..Config::new(rate, max_concurrent)
        }
    }

    fn targets(
        &self,
        now: Point,
        controlled: &View,
        snapshot: &Snapshot,
    ) -> (Vec<view::Target>, Vec<Observation>) {
        let drained = &snapshot.declarations.platform.drained;
        let mut targets = Vec::new();
        let mut observed_targets = Vec::new();
        let controlled_by_name = by_name(controlled);
        for observed in self.targets.all() {
            let report = &observed.report;
            if report.accelerators == 0 {
                continue;
            }
            let controlled_target = controlled_by_name.get(&report.target).copied();
            let is_fresh = now.since(observed.sent) < MAX_REPORT_AGE;
            let is_leaving = report.is_leaving || drained.contains(&report.target);
            let used: Bytes = report.copies.iter().map(|copy| copy.bytes).sum();
            targets.push(view::Target {
                id: report.target.clone(),
                domain: domain_index(snapshot, &report.domain),
                service: service_index(snapshot, &report.service),
                memory: report.memory,
                free: controlled_target
                    .map_or_else(|| report.memory.saturating_sub(used), |target| target.free),
                health: match (is_fresh, is_leaving) {
                    (false, _) => view::Health::Unresponsive,
                    (true, true) => view::Health::Departing,
                    (true, false) => view::Health::Ready,
                },
                is_controlled: controlled_target.is_some_and(|target| target.is_current),
                load: report.load,
                capacity: Rate::per_second(
                    f64::from(report.load.slots) * DEFAULT_SLOT_TOKENS_PER_SECOND,
                )
                .unwrap_or_default(),
            });
            observed_targets.push(observed);
        }
        (targets, observed_targets)
    }

    /// Returns the policy of a team, replaced if the settings name another one.
    fn team(&mut self, name: &id::Team, declared: NamedPolicy) -> &mut TeamPolicy {
        let team = self
            .teams
            .entry(name.clone())
            .or_insert_with(|| TeamPolicy::new(declared));
        if team.policy() != declared {
            log::info!(step = "policy"; "policy of team {name} is now {declared}");
            team.set_policy(declared);
        }
        team
    }
}

/// Returns the targets of this failure domain by name.
fn by_name(controlled: &View) -> HashMap<&id::Target, &TargetView> {
    let targets = controlled.targets.iter();
    targets.map(|target| (&target.target, target)).collect()
}

fn domain_index(snapshot: &Snapshot, domain: &id::Domain) -> usize {
    let domains = &snapshot.declarations.platform.domains;
    domains
        .iter()
        .position(|declared| declared == domain)
        .unwrap_or(domains.len())
}

/// Returns the position of a service, or one past the end for a service that is not declared.
fn service_index(snapshot: &Snapshot, service: &id::Service) -> usize {
    let services = &snapshot.declarations.platform.services;
    services
        .keys()
        .position(|declared| declared == service)
        .unwrap_or(services.len())
}

/// Returns the declared artifacts, models before their adapters.
fn declared_artifacts(snapshot: &Snapshot, demand: &BTreeMap<String, (f64, f64)>) -> Artifacts {
    let mut artifacts = Artifacts::default();
    for (index, team) in snapshot.declarations.teams.values().enumerate() {
        let attributes = |name: &str, model: &declaration::Model, bytes: Bytes| Attributes {
            team: index,
            service: service_index(snapshot, &model.service),
            bytes,
            demand: demand.get(name).copied().unwrap_or_default(),
            deadline: team
                .objectives
                .get(&model.objective)
                .map_or(DEFAULT_DEADLINE, |objective| objective.deadline),
            weight: f64::from(model.priority.max(1)) / 5.0,
        };
        for (name, model) in &team.models {
            let Some(artifact) = team.model_artifact(name) else {
                continue;
            };
            artifacts.push(
                artifact,
                attributes(name.as_str(), model, model.memory),
                &model.service,
            );
        }
        for (name, adapter) in &team.adapters {
            let Some(artifact) = team.adapter_artifact(name) else {
                continue;
            };
            let Some(model) = team.models.get(&adapter.model) else {
                continue;
            };
            artifacts.push(
                artifact,
                attributes(name.as_str(), model, adapter.memory),
                &model.service,
            );
        }
    }
    artifacts
}

struct Attributes {
    team: usize,
    service: usize,
    bytes: Bytes,
    demand: (f64, f64),
    deadline: Duration,
    weight: f64,
}

impl Artifacts {
    fn push(&mut self, artifact: Artifact, attributes: Attributes, service: &id::Service) {
        let base = artifact.adapter.is_some().then(|| artifact.base());
        let base = base.and_then(|base| self.index.get(&base).copied());
        self.index.insert(artifact.clone(), self.list.len());
        let rate = |value: f64| Rate::per_second(value).unwrap_or_default();
        self.services.push(service.clone());
        self.list.push(view::ArtifactView {
            service: attributes.service,
            artifact,
            team: attributes.team,
            bytes: attributes.bytes,
            base,
            replaced_by: None,
            demand: view::Demand {
                rate: rate(attributes.demand.0),
                tokens: rate(attributes.demand.1),
                hourly_rates: None,
            },
            copies: SmallVec::new(),
            declared_targets: SmallVec::new(),
            deadline: attributes.deadline,
            weight: attributes.weight,
        });
    }

    /// Adds a version that is still resident on a target while the settings declare another one, and returns its
    /// position; `None` if no version of the model or adapter is declared.
    fn push_old(&mut self, artifact: &Artifact, bytes: Bytes) -> Option<usize> {
        let name = |a: &Artifact| {
            (
                a.model.clone(),
                a.adapter.as_ref().map(|p| p.adapter.clone()),
            )
        };
        let new = self
            .list
            .iter()
            .position(|entry| name(&entry.artifact) == name(artifact))?;
        if artifact.adapter.is_some() && !self.index.contains_key(&artifact.base()) {
            // The adapter of an old version needs its base in the list.
            let base = self.list[new].base?;
            self.push_old(&artifact.base(), self.list[base].bytes)?;
        }
        let attributes = Attributes {
            team: self.list[new].team,
            service: self.list[new].service,
            bytes,
            demand: (0.0, 0.0),
            deadline: self.list[new].deadline,
            weight: self.list[new].weight,
        };
        let service = self.services[new].clone();
        self.push(artifact.clone(), attributes, &service);
        let old = self.list.len() - 1;
        self.list[old].replaced_by = Some(new);
        Some(old)
    }
}

/// Returns the copies of a target, including the effect of this controller's open orders.
fn copies_of(
    observed: &Observation,
    controlled: Option<&TargetView>,
) -> Vec<(Artifact, Phase, Bytes)> {
    let reported = observed.report.copies.iter();
    let mut copies: Vec<_> = reported
        .map(|copy| (copy.artifact.clone(), copy.phase, copy.bytes))
        .collect();
    let Some(controlled) = controlled else {
        return copies;
    };
    for loading in &controlled.loading {
        if !copies.iter().any(|(artifact, ..)| artifact == loading) {
            copies.push((loading.clone(), Phase::Loading, Bytes::ZERO));
        }
    }
    for copy in &mut copies {
        if controlled.unloading.contains(&copy.0) {
            copy.1 = Phase::Unloading;
        }
    }
    copies
}

/// Adds the copies of all targets to the artifacts. Returns the ready copies on this domain's targets that no team
/// declares.
fn place_copies(
    artifacts: &mut Artifacts,
    observed: &[Observation],
    controlled: &View,
) -> Vec<(id::Target, Artifact)> {
    let mut undeclared = Vec::new();
    let controlled_by_name = by_name(controlled);
    for (target, observed) in observed.iter().enumerate() {
        let controlled_target = controlled_by_name.get(&observed.report.target).copied();
        for (artifact, phase, bytes) in copies_of(observed, controlled_target) {
            let index = artifacts.index.get(&artifact).copied();
            match index.or_else(|| artifacts.push_old(&artifact, bytes)) {
                Some(index) => artifacts.list[index]
                    .copies
                    .push(view::Copy { target, phase }),
                None if phase == Phase::Ready && controlled_target.is_some() => {
                    undeclared.push((observed.report.target.clone(), artifact));
                }
                None => {}
            }
        }
    }
    undeclared
}

/// Returns the artifacts that must stay reachable through this domain's targets.
///
/// A reachable copy in a domain that comes earlier by name relieves this domain of the need for one. The first
/// domain with a copy therefore always retains it, and two domains cannot both unload their last copies
/// while each relies on the other's.
fn needs(
    artifacts: &Artifacts,
    view: &view::View,
    snapshot: &Snapshot,
    own_domain: usize,
) -> Vec<Need> {
    let teams: Vec<&id::Team> = snapshot.declarations.teams.keys().collect();
    let domains = &view.domains;
    let is_kept_elsewhere = |entry: &view::ArtifactView| {
        entry.copies.iter().any(|copy| {
            let domain = view.targets[copy.target].domain;
            let is_earlier = domains
                .get(domain)
                .zip(domains.get(own_domain))
                .is_some_and(|(a, b)| a < b);
            is_earlier && view.is_reachable(*copy)
        })
    };
    let declared = artifacts
        .list
        .iter()
        .enumerate()
        .filter(|(_, entry)| entry.replaced_by.is_none());
    let mut old_by_new: HashMap<usize, Vec<&view::ArtifactView>> = HashMap::new();
    for old in &artifacts.list {
        if let Some(new) = old.replaced_by {
            old_by_new.entry(new).or_default().push(old);
        }
    }
    let need = |(index, entry): (usize, &view::ArtifactView)| {
        if is_kept_elsewhere(entry) {
            return None;
        }
        let old = old_by_new.get(&index).into_iter().flatten();
        Some(Need {
            team: (*teams.get(entry.team)?).clone(),
            service: artifacts.services[index].clone(),
            artifact: entry.artifact.clone(),
            bytes: entry.bytes,
            old_versions: old.map(|old| old.artifact.clone()).collect(),
        })
    };
    declared.filter_map(need).collect()
}

fn to_move(proposal: Action, view: &view::View, snapshot: &Snapshot) -> Option<Move> {
    let entry = &view.artifacts[proposal.artifact()];
    let team = snapshot.declarations.teams.keys().nth(entry.team)?.clone();
    let (artifact, bytes) = (entry.artifact.clone(), entry.bytes);
    let target = |index: usize| view.targets[index].id.clone();
    Some(match proposal {
        Action::Load { target: to, .. } => Move::Load {
            team,
            target: target(to),
            artifact,
            bytes,
        },
        Action::Unload { target: from, .. } => Move::Unload {
            team,
            target: target(from),
            artifact,
        },
        // The policy decides on the unload after the new copy is ready.
        Action::Shift { to, .. } => Move::Load {
            team,
            target: target(to),
            artifact,
            bytes,
        },
    })
}

impl PlanSource for Planner {
    fn plan(&mut self, controlled: &View) -> Plan {
        let now = self.clock.now();
        let snapshot: Arc<Snapshot> = self.current.get();
        let (rate, max_concurrent) = store_share(&snapshot, &self.domain);
        let (targets, observed) = self.targets(now, controlled, &snapshot);
        let mut artifacts = declared_artifacts(&snapshot, &self.demand.total());
        let undeclared = place_copies(&mut artifacts, &observed, controlled);
        declare(&mut artifacts, &observed, &declared_copies(&snapshot));
        let view = view::View {
            now,
            time_of_day: Duration::from_millis(unix_millis() % (24 * 3600 * 1000)),
            teams: team_views(&snapshot),
            domains: snapshot.declarations.platform.domains.clone(),
            artifacts: artifacts.list.clone(),
            targets,
            store: view::Store {
                available_loads: max_concurrent,
                max_concurrent_loads: max_concurrent,
                bytes_per_second: 0.0,
            },
        };
        let mut proposals: Vec<Moves> = Vec::new();
        // Without the rows of the other instances a busy model looks idle, so policies wait after a start.
        let teams = self
            .demand
            .is_settled()
            .then_some(&snapshot.declarations.teams);
        for (index, (name, team)) in teams.into_iter().flatten().enumerate() {
            let declared = policy::named(&team.policy);
            proposals.push(
                self.team(name, declared)
                    .decide(&view, index, MAX_MOVES_PER_ROUND),
            );
        }
        let grants = arbitrate(&view, &proposals, MAX_MOVES_PER_ROUND);
        self.shadows
            .evaluate(&snapshot, &view, &proposals, MAX_MOVES_PER_ROUND);
        let moves = grants
            .iter()
            .filter_map(|proposal| to_move(proposal.action, &view, &snapshot));
        let mut moves: Vec<Move> = moves.collect();
        moves.extend(undeclared.into_iter().filter_map(|(target, artifact)| {
            let team = artifact.model.as_str().parse().ok()?;
            Some(Move::Unload {
                team,
                target,
                artifact,
            })
        }));
        let own_domain = domain_index(&snapshot, &self.domain);
        Plan {
            needs: needs(&artifacts, &view, &snapshot, own_domain),
            drains: snapshot
                .declarations
                .platform
                .drained
                .iter()
                .cloned()
                .collect(),
            moves,
            load_quota: Some((rate, max_concurrent)),
        }
    }
}

fn team_views(snapshot: &Snapshot) -> Vec<view::Team> {
    let member = |name: &id::Team| snapshot.declarations.platform.teams.get(name);
    let teams = snapshot.declarations.teams.iter();
    let team = |(name, team): (&id::Team, &buckthornmast_config::declaration::Team)| view::Team {
        id: name.clone(),
        weight: member(name)
            .and_then(|member| member.share)
            .unwrap_or(1.0)
            .max(0.01),
        moves_weight: team.policy.moves_weight,
    };
    teams.map(team).collect()
}
