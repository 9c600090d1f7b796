//! Fake controller: builds the view from reports and open orders, and turns moves into orders.

use std::time::Duration;

use buckthornmast_placement::{
    arbiter,
    named::{self, NamedPolicy},
    plan::Move,
    view::{self, ArtifactView, Demand, Health, Target, View},
};
use buckthornmast_types::{
    rate::Rate,
    report::{Load, Phase},
    size::Bytes,
    time::Point,
};
use smallvec::SmallVec;

use crate::{
    deployment::{Deployment, Spec, label},
    engine::{self, Copy, Engine},
};

/// Age in seconds from which a report is stale.
pub const MAX_REPORT_AGE_SECONDS: f64 = 2.5;
/// Time in seconds after which an unconfirmed order is resent.
const RESEND_SECONDS: f64 = 2.0;
/// Time in seconds for which a load on an unresponsive target is assumed to read from the store.
const UNRESPONSIVE_LOAD_SECONDS: f64 = 60.0;
/// Moves that a policy may propose per decision.
const MAX_PROPOSALS_PER_DECISION: usize = 16;

/// Report of an engine.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Time of the sample in seconds.
    pub at: f64,
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Copies.
    pub copies: Vec<Copy>,
    /// Load.
    pub load: Load,
}

impl Report {
    /// Samples an engine.
    pub fn sample(engine: &Engine, now: f64) -> Self {
        Self {
            at: now,
            incarnation: engine.incarnation,
            copies: engine.copies.clone(),
            load: Load {
                running: engine.running,
                waiting: u32::try_from(engine.waiting.len()).unwrap_or(u32::MAX),
                slots: engine.slots,
            },
        }
    }
}

/// Order to an engine.
#[derive(Debug, Clone, Copy)]
pub struct Order {
    /// Identity.
    pub id: u64,
    /// Artifact.
    pub item: usize,
    /// Target.
    pub target: usize,
    /// Whether the order is a load; an unload otherwise.
    pub is_load: bool,
    /// Time of the decision in seconds.
    pub decided_at: f64,
}

#[derive(Debug, Clone, Copy)]
struct OpenOrder {
    order: Order,
    opened_at: f64,
    sent_at: f64,
    incarnation: u64,
}

/// Fake controller.
#[derive(Debug)]
pub struct Controller {
    view: View,
    teams: Vec<named::TeamPolicy>,
    reports: Vec<Report>,
    open: Vec<OpenOrder>,
    last_order: u64,
    /// Tokens of the bucket that limits granted loads; each load takes one.
    load_tokens: f64,
    /// Loads per second, and the size of the bucket.
    load_rate: f64,
    /// Moves granted so far, and how many of them were loads.
    pub granted: (u64, u64),
    /// Granted moves with their times, one a line.
    pub log: Vec<String>,
}

impl Controller {
    /// Returns a controller for the engines, domains and teams of a deployment, without artifacts.
    pub fn new(deployment: &Deployment, policies: &[NamedPolicy]) -> Self {
        let targets = (0..deployment.engines).map(|engine| Target {
            service: 0,
            id: label(&format!("e{engine:03}")),
            domain: engine % deployment.domains,
            memory: deployment.memory,
            free: deployment.memory,
            health: Health::Ready,
            is_controlled: true,
            load: Load::default(),
            capacity: rate(engine::capacity(deployment.slots)),
        });
        let domains = (0..deployment.domains).map(|domain| label(&format!("d{domain}")));
        Self {
            view: View {
                teams: deployment.teams(),
                domains: domains.collect(),
                targets: targets.collect(),
                store: view::Store {
                    available_loads: 0,
                    max_concurrent_loads: deployment.store_concurrent,
                    bytes_per_second: deployment.store_speed,
                },
                ..View::default()
            },
            teams: policies
                .iter()
                .copied()
                .map(named::TeamPolicy::new)
                .collect(),
            reports: vec![Report::default(); deployment.engines],
            open: Vec::new(),
            last_order: 0,
            load_tokens: 0.0,
            load_rate: deployment.store_rate,
            granted: (0, 0),
            log: Vec::new(),
        }
    }

    /// Declares an artifact with its targets; `hourly_rates` is the hourly demand of earlier days.
    pub fn declare(&mut self, spec: &Spec, targets: &[usize], hourly_rates: [f32; 24]) {
        self.view.artifacts.push(ArtifactView {
            service: 0,
            artifact: spec.artifact.clone(),
            team: spec.team,
            bytes: spec.bytes,
            base: spec.base,
            replaced_by: None,
            demand: Demand {
                hourly_rates: Some(hourly_rates),
                ..Demand::default()
            },
            copies: SmallVec::new(),
            declared_targets: targets.iter().copied().collect(),
            deadline: spec.deadline,
            weight: 1.0,
        });
    }

    /// Declares that a version replaces another.
    pub fn replace(&mut self, old: usize, new: usize) {
        self.view.artifacts[old].replaced_by = Some(new);
    }

    /// Returns the version that replaces an artifact.
    pub fn replacement(&self, item: usize) -> Option<usize> {
        self.view.artifacts[item].replaced_by
    }

    /// Returns the latest report of a target if it is fresh.
    pub fn fresh_report(&self, target: usize, now: f64) -> Option<&Report> {
        let report = &self.reports[target];
        (now - report.at < MAX_REPORT_AGE_SECONDS).then_some(report)
    }

    /// Stores a report and closes the orders that it confirms.
    pub fn observe(&mut self, target: usize, report: Report) {
        self.open.retain(|open| {
            let order = open.order;
            if order.target != target {
                return true;
            }
            let is_present = report.copies.iter().any(|copy| copy.item == order.item);
            open.incarnation == report.incarnation && is_present != order.is_load
        });
        self.reports[target] = report;
    }

    /// Decides on moves and returns the orders to send now, including resent ones.
    pub fn decide(&mut self, now: f64, time_of_day: f64, demand: &[(f64, f64)]) -> Vec<Order> {
        self.load_tokens = (self.load_tokens + self.load_rate).min(self.load_rate.max(1.0));
        self.update(now, time_of_day, demand);
        let budget = self.view.store.available_loads;
        let proposals: Vec<_> = self
            .teams
            .iter_mut()
            .enumerate()
            .map(|(team, policy)| policy.decide(&self.view, team, MAX_PROPOSALS_PER_DECISION))
            .collect();
        let moves = arbiter::arbitrate(&self.view, &proposals, budget);
        let mut orders = self.resend(now);
        orders.extend(moves.iter().map(|proposal| self.order(now, proposal)));
        orders
    }

    fn order(&mut self, now: f64, proposal: &Move) -> Order {
        let (target, is_load) = (proposal.action.target(), proposal.action.is_load());
        self.last_order += 1;
        let order = Order {
            id: self.last_order,
            item: proposal.action.artifact(),
            target,
            is_load,
            decided_at: now,
        };
        self.open.push(OpenOrder {
            order,
            opened_at: now,
            sent_at: now,
            incarnation: self.reports[target].incarnation,
        });
        let artifact = &self.view.artifacts[order.item].artifact;
        let Move {
            action,
            reason,
            value,
        } = proposal;
        self.log.push(format!(
            "{now:.2} {artifact} {action:?} {reason:?} {value:.3}"
        ));
        self.granted.0 += 1;
        if is_load {
            self.granted.1 += 1;
            self.load_tokens -= 1.0;
        }
        order
    }

    fn resend(&mut self, now: f64) -> Vec<Order> {
        let is_due = |open: &&mut OpenOrder| now - open.sent_at >= RESEND_SECONDS;
        let due = self.open.iter_mut().filter(is_due);
        let orders = due.map(|open| {
            open.sent_at = now;
            open.order
        });
        orders.collect()
    }

    fn update(&mut self, now: f64, time_of_day: f64, demand: &[(f64, f64)]) {
        let view = &mut self.view;
        view.now = Point::ZERO + Duration::from_secs_f64(now);
        view.time_of_day = Duration::from_secs_f64(time_of_day);
        for (entry, (requests, tokens)) in view.artifacts.iter_mut().zip(demand) {
            entry.demand.rate = rate(*requests);
            entry.demand.tokens = rate(*tokens);
            entry.copies.clear();
        }
        let mut loading = 0;
        for (target, report) in self.reports.iter().enumerate() {
            let entry = &mut view.targets[target];
            let is_fresh = now - report.at < MAX_REPORT_AGE_SECONDS;
            entry.health = if is_fresh {
                Health::Ready
            } else {
                Health::Unresponsive
            };
            entry.load = report.load;
            let mut used = Bytes::ZERO;
            for copy in &report.copies {
                used = used.saturating_add(copy.bytes);
                let phase = copy.phase;
                view.artifacts[copy.item]
                    .copies
                    .push(view::Copy { target, phase });
                let is_reading = is_fresh || now - report.at < UNRESPONSIVE_LOAD_SECONDS;
                loading += usize::from(phase == Phase::Loading && is_reading);
            }
            entry.free = entry.memory.saturating_sub(used);
        }
        for open in &self.open {
            let Order {
                item,
                target,
                is_load,
                ..
            } = open.order;
            if is_load {
                let phase = Phase::Loading;
                let bytes = view.artifacts[item].bytes;
                view.artifacts[item]
                    .copies
                    .push(view::Copy { target, phase });
                view.targets[target].free = view.targets[target].free.saturating_sub(bytes);
                let is_unresponsive = view.targets[target].health == Health::Unresponsive;
                loading += usize::from(
                    !is_unresponsive || now - open.opened_at < UNRESPONSIVE_LOAD_SECONDS,
                );
                continue;
            }
            let copies = &mut view.artifacts[item].copies;
            if let Some(copy) = copies.iter_mut().find(|copy| copy.target == target) {
                copy.phase = Phase::Unloading;
            }
        }
        let free = view.store.max_concurrent_loads.saturating_sub(loading);
        view.store.available_loads = free.min(self.load_tokens.max(0.0) as usize);
    }
}

fn rate(value: f64) -> Rate {
    Rate::per_second(value).unwrap_or_default()
}
