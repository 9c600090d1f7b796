//! Plans of the controller: settings, demand and reports go to the policies and the arbiter.

pub mod declared;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use buckthornmast_config::declaration::{self, Store};
use buckthornmast_controller::{
    core::Config,
    plan::{Move, Need, Plan, Planned, TargetView, View},
};
use buckthornmast_placement::{
    arbiter::arbitrate,
    named::{Named, Team},
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
    targets::{Seen, Targets},
};

/// Moves that a policy may wish for in one round.
const MAX_MOVES: usize = 64;

/// Age of a report beyond which a target of another domain counts as lost.
const FRESH: Duration = Duration::from_millis(2500);

/// Time for which a copy must have been ready before another one is unloaded for it: the age up to which
/// a report is routed by, and some time for requests that have chosen already.
const READY_FOR: Duration = Duration::from_millis(2700);

/// Tokens a second of one slot, until targets report their speed.
const SLOT_TOKENS: f64 = 20.0;

/// Deadline of a model whose objective is not known.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Store budget where the platform declares none.
const DEFAULT_STORE: (f64, u32) = (1.0, 1);

/// Source of plans.
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
    /// Policies with their memory.
    pub teams: BTreeMap<id::Team, Team>,
    /// Shadow policies.
    pub shadows: Shadows,
}

/// Returns this domain's part of the store's budget.
///
/// Controllers of different domains don't talk to each other, so that each may spend only a fixed
/// part. Loads at once that can't be divided go to the domains that come first by name.
fn store_share(snapshot: &Snapshot, domain: &id::Domain) -> (Rate, usize) {
    let platform = &snapshot.declarations.platform;
    let default = Rate::per_second(DEFAULT_STORE.0).unwrap_or_default();
    let Store { rate, at_once } = platform.store.unwrap_or(Store {
        rate: default,
        at_once: DEFAULT_STORE.1,
    });
    let domains: BTreeSet<&id::Domain> = platform.domains.iter().collect();
    let count = domains.len().max(1);
    let position = domains
        .iter()
        .position(|known| *known == domain)
        .unwrap_or(count);
    let at_once = at_once as usize;
    let share = at_once / count + usize::from(position < at_once % count);
    (
        Rate::per_second(rate.get() / count as f64).unwrap_or_default(),
        share,
    )
}

/// Artifacts in the order of the view, each with its position.
#[derive(Default)]
struct Items {
    list: Vec<view::Item>,
    index: BTreeMap<Artifact, usize>,
    services: Vec<id::Service>,
}

impl Planner {
    /// Returns the configuration of the controller.
    pub fn config(&self) -> Config {
        let (rate, at_once) = store_share(&self.current.get(), &self.domain);
        Config {
            ready_for: READY_FOR,
            ..Config::new(rate, at_once)
        }
    }

    fn hosts(&self, now: Point, own: &View, snapshot: &Snapshot) -> (Vec<view::Host>, Vec<Seen>) {
        let drained = &snapshot.declarations.platform.drained;
        let mut hosts = Vec::new();
        let mut seen_hosts = Vec::new();
        let controlled_by_name = by_name(own);
        for seen in self.targets.all() {
            let report = &seen.report;
            if report.accelerators == 0 {
                continue;
            }
            let controlled = controlled_by_name.get(&report.target).copied();
            let is_fresh = now.since(seen.sent) < FRESH;
            let is_leaving = report.leaving || drained.contains(&report.target);
            let used: Bytes = report.copies.iter().map(|copy| copy.bytes).sum();
            hosts.push(view::Host {
                id: report.target.clone(),
                domain: domain_index(snapshot, &report.domain),
                service: service_index(snapshot, &report.service),
                memory: report.memory,
                free: controlled
                    .map_or_else(|| report.memory.saturating_sub(used), |target| target.free),
                health: match (is_fresh, is_leaving) {
                    (false, _) => view::Health::Lost,
                    (true, true) => view::Health::Leaving,
                    (true, false) => view::Health::Ready,
                },
                controlled: controlled.is_some_and(|target| target.is_current),
                load: report.load,
                capacity: Rate::per_second(f64::from(report.load.slots) * SLOT_TOKENS)
                    .unwrap_or_default(),
            });
            seen_hosts.push(seen);
        }
        (hosts, seen_hosts)
    }

    /// Returns the policy of a team, exchanged if the settings name another one.
    fn team(&mut self, name: &id::Team, wanted: Named) -> &mut Team {
        let team = self
            .teams
            .entry(name.clone())
            .or_insert_with(|| Team::new(wanted));
        if team.policy() != wanted {
            log::info!(step = "policy"; "policy of team {name} is now {wanted}");
            team.exchange(wanted);
        }
        team
    }
}

/// Returns the targets of the own failure domain by name.
fn by_name(own: &View) -> HashMap<&id::Target, &TargetView> {
    let targets = own.targets.iter();
    targets.map(|target| (&target.target, target)).collect()
}

fn domain_index(snapshot: &Snapshot, domain: &id::Domain) -> usize {
    let domains = &snapshot.declarations.platform.domains;
    domains
        .iter()
        .position(|known| known == domain)
        .unwrap_or(domains.len())
}

/// Returns the position of a service, or one past the end for a service that is not declared.
fn service_index(snapshot: &Snapshot, service: &id::Service) -> usize {
    let services = &snapshot.declarations.platform.services;
    services
        .keys()
        .position(|known| known == service)
        .unwrap_or(services.len())
}

/// Returns the declared artifacts, models before their adapters.
fn declared_items(snapshot: &Snapshot, demand: &BTreeMap<String, (f64, f64)>) -> Items {
    let mut items = Items::default();
    for (index, team) in snapshot.declarations.teams.values().enumerate() {
        let entry = |name: &str, model: &declaration::Model, bytes: Bytes| Entry {
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
            items.push(
                artifact,
                entry(name.as_str(), model, model.memory),
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
            items.push(
                artifact,
                entry(name.as_str(), model, adapter.memory),
                &model.service,
            );
        }
    }
    items
}

struct Entry {
    team: usize,
    service: usize,
    bytes: Bytes,
    demand: (f64, f64),
    deadline: Duration,
    weight: f64,
}

impl Items {
    fn push(&mut self, artifact: Artifact, entry: Entry, service: &id::Service) {
        let base = artifact.adapter.is_some().then(|| artifact.base());
        let base = base.and_then(|base| self.index.get(&base).copied());
        self.index.insert(artifact.clone(), self.list.len());
        let rate = |value: f64| Rate::per_second(value).unwrap_or_default();
        self.services.push(service.clone());
        self.list.push(view::Item {
            service: entry.service,
            artifact,
            team: entry.team,
            bytes: entry.bytes,
            base,
            replaced_by: None,
            demand: view::Demand {
                rate: rate(entry.demand.0),
                tokens: rate(entry.demand.1),
                day: None,
            },
            copies: SmallVec::new(),
            declared: SmallVec::new(),
            deadline: entry.deadline,
            weight: entry.weight,
        });
    }

    /// Adds a version that is still on a target while the settings declare another one.
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
            .position(|item| name(&item.artifact) == name(artifact))?;
        if artifact.adapter.is_some() && !self.index.contains_key(&artifact.base()) {
            // The adapter of an old version goes with its base.
            let base = self.list[new].base?;
            self.push_old(&artifact.base(), self.list[base].bytes)?;
        }
        let entry = Entry {
            team: self.list[new].team,
            service: self.list[new].service,
            bytes,
            demand: (0.0, 0.0),
            deadline: self.list[new].deadline,
            weight: self.list[new].weight,
        };
        let service = self.services[new].clone();
        self.push(artifact.clone(), entry, &service);
        let old = self.list.len() - 1;
        self.list[old].replaced_by = Some(new);
        Some(old)
    }
}

/// Returns the copies of a target, open orders of this controller included.
fn copies_of(seen: &Seen, own: Option<&TargetView>) -> Vec<(Artifact, Phase, Bytes)> {
    let reported = seen.report.copies.iter();
    let mut copies: Vec<_> = reported
        .map(|copy| (copy.artifact.clone(), copy.phase, copy.bytes))
        .collect();
    let Some(own) = own else { return copies };
    for loading in &own.loading {
        if !copies.iter().any(|(artifact, ..)| artifact == loading) {
            copies.push((loading.clone(), Phase::Loading, Bytes::ZERO));
        }
    }
    for copy in &mut copies {
        if own.unloading.contains(&copy.0) {
            copy.1 = Phase::Unloading;
        }
    }
    copies
}

/// Puts the copies of all targets into the items and returns those that nobody declares.
fn place_copies(items: &mut Items, seen: &[Seen], own: &View) -> Vec<(id::Target, Artifact)> {
    let mut strays = Vec::new();
    let controlled_by_name = by_name(own);
    for (target, seen) in seen.iter().enumerate() {
        let controlled = controlled_by_name.get(&seen.report.target).copied();
        for (artifact, phase, bytes) in copies_of(seen, controlled) {
            let known = items.index.get(&artifact).copied();
            match known.or_else(|| items.push_old(&artifact, bytes)) {
                Some(item) => items.list[item].copies.push(view::Copy { target, phase }),
                None if phase == Phase::Ready && controlled.is_some() => {
                    strays.push((seen.report.target.clone(), artifact));
                }
                None => {}
            }
        }
    }
    strays
}

/// Returns what must stay reachable through this domain's targets.
///
/// A copy in a domain that comes earlier by name frees this domain from keeping one. The first domain
/// with a copy therefore always keeps its own, and two domains can't each give up the last copies
/// while they rely on the other's.
fn needs(items: &Items, view: &view::View, snapshot: &Snapshot, own: usize) -> Vec<Need> {
    let teams: Vec<&id::Team> = snapshot.declarations.teams.keys().collect();
    let domains = &view.domains;
    let is_kept_elsewhere = |item: &view::Item| {
        item.copies.iter().any(|copy| {
            let domain = view.targets[copy.target].domain;
            let earlier = domains
                .get(domain)
                .zip(domains.get(own))
                .is_some_and(|(a, b)| a < b);
            earlier && view.is_reachable(*copy)
        })
    };
    let declared = items
        .list
        .iter()
        .enumerate()
        .filter(|(_, item)| item.replaced_by.is_none());
    let mut old_by_new: HashMap<usize, Vec<&view::Item>> = HashMap::new();
    for old in &items.list {
        if let Some(new) = old.replaced_by {
            old_by_new.entry(new).or_default().push(old);
        }
    }
    let need = |(index, item): (usize, &view::Item)| {
        if is_kept_elsewhere(item) {
            return None;
        }
        let old = old_by_new.get(&index).into_iter().flatten();
        Some(Need {
            team: (*teams.get(item.team)?).clone(),
            service: items.services[index].clone(),
            artifact: item.artifact.clone(),
            bytes: item.bytes,
            old: old.map(|old| old.artifact.clone()).collect(),
        })
    };
    declared.filter_map(need).collect()
}

fn to_move(wish: Action, view: &view::View, snapshot: &Snapshot) -> Option<Move> {
    let item = &view.artifacts[wish.artifact()];
    let team = snapshot.declarations.teams.keys().nth(item.team)?.clone();
    let (artifact, bytes) = (item.artifact.clone(), item.bytes);
    let target = |index: usize| view.targets[index].id.clone();
    Some(match wish {
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
        // The policy decides on the unload once the new copy is ready.
        Action::Shift { to, .. } => Move::Load {
            team,
            target: target(to),
            artifact,
            bytes,
        },
    })
}

impl Plan for Planner {
    fn plan(&mut self, own: &View) -> Planned {
        let now = self.clock.now();
        let snapshot: Arc<Snapshot> = self.current.get();
        let (rate, at_once) = store_share(&snapshot, &self.domain);
        let (hosts, seen) = self.hosts(now, own, &snapshot);
        let mut items = declared_items(&snapshot, &self.demand.total());
        let strays = place_copies(&mut items, &seen, own);
        declare(&mut items, &seen, &declared_copies(&snapshot));
        let view = view::View {
            now,
            time_of_day: Duration::from_millis(unix_millis() % (24 * 3600 * 1000)),
            teams: team_views(&snapshot),
            domains: snapshot.declarations.platform.domains.clone(),
            artifacts: items.list.clone(),
            targets: hosts,
            store: view::Store {
                available: at_once,
                concurrent: at_once,
                speed: 0.0,
            },
        };
        let mut wishes: Vec<Moves> = Vec::new();
        // Without the rows of the others a busy model looks idle, so that policies wait after a start.
        let teams = self
            .demand
            .is_settled()
            .then_some(&snapshot.declarations.teams);
        for (index, (name, team)) in teams.into_iter().flatten().enumerate() {
            let wanted = policy::named(&team.policy);
            wishes.push(self.team(name, wanted).decide(&view, index, MAX_MOVES));
        }
        let granted = arbitrate(&view, &wishes, MAX_MOVES);
        self.shadows.evaluate(&snapshot, &view, &wishes, MAX_MOVES);
        let moves = granted
            .iter()
            .filter_map(|wish| to_move(wish.action, &view, &snapshot));
        let mut moves: Vec<Move> = moves.collect();
        moves.extend(strays.into_iter().filter_map(|(target, artifact)| {
            let team = artifact.model.as_str().parse().ok()?;
            Some(Move::Unload {
                team,
                target,
                artifact,
            })
        }));
        let own_domain = domain_index(&snapshot, &self.domain);
        Planned {
            needs: needs(&items, &view, &snapshot, own_domain),
            drains: snapshot
                .declarations
                .platform
                .drained
                .iter()
                .cloned()
                .collect(),
            moves,
            store: Some((rate, at_once)),
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
        moves: team.policy.moves_weight,
    };
    teams.map(team).collect()
}
