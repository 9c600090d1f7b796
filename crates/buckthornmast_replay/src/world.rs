//! Virtual-time simulation of demand, faults, orders, loads and reports in steps of a quarter of a second.

use std::{cmp::Reverse, collections::BinaryHeap};

use buckthornmast_placement::named::NamedPolicy;
use buckthornmast_types::report::Phase;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    calls::{Call, Dispatched, Event, EventKind},
    controller::{Controller, MAX_REPORT_AGE_SECONDS, Order, Report},
    deployment::{Deployment, Spec, artifact},
    engine::{Copy, Engine},
    path::{Path, Simple},
    routing::Rule,
    score::Score,
    store::Store,
    trace::{Fault, Trace},
};

/// Length of a step.
const STEP_SECONDS: f64 = 0.25;
/// Steps from one report to the next and from one decision to the next, which makes one second.
const STEPS_PER_PERIOD: u64 = 4;
/// Number of entry instances; each knows only its own requests and the reports.
pub const INSTANCE_COUNT: usize = 6;
/// Time in seconds until the memory of an unloaded copy is free.
const UNLOAD_SECONDS: f64 = 1.0;

/// State of a run.
pub(crate) struct World<'a, P> {
    pub(crate) trace: &'a Trace,
    pub(crate) specs: Vec<Spec>,
    pub(crate) paths: Vec<P>,
    pub(crate) random: SmallRng,
    pub(crate) engines: Vec<Engine>,
    domains: usize,
    store: Store,
    pub(crate) controller: Controller,
    pub(crate) events: BinaryHeap<Reverse<Event>>,
    pub(crate) sequence: u64,
    pub(crate) calls: Vec<Call>,
    pub(crate) dispatches: Vec<Dispatched>,
    /// Orders that are under way, with the times of their delivery in seconds.
    orders: Vec<(f64, Order)>,
    /// Reports that are under way, with their targets.
    reports: Vec<(usize, Report)>,
    /// Requests and tokens that arrived for each artifact since the last decision.
    pub(crate) arrived: Vec<(f64, f64)>,
    /// Smoothed requests and tokens per second of each artifact.
    demand: Vec<(f64, f64)>,
    store_rate: f64,
    pub(crate) score: Score,
    /// Sum of the accelerators with a copy over all samples, and the number of samples.
    occupied: (f64, f64),
}

/// Plays a trace under a simple routing rule; `policies` has one entry for each team.
pub fn run<R: Rule>(
    deployment: &Deployment,
    specs: &[Spec],
    trace: &Trace,
    policies: &[NamedPolicy],
    rule: &R,
    seed: u64,
) -> Score {
    let path = |_| Simple::new(rule, true, deployment);
    play(deployment, specs, trace, policies, path, seed)
}

/// Plays a trace with one request path for each entry instance.
pub fn play<P: Path>(
    deployment: &Deployment,
    specs: &[Spec],
    trace: &Trace,
    policies: &[NamedPolicy],
    path: impl FnMut(usize) -> P,
    seed: u64,
) -> Score {
    let paths = (0..INSTANCE_COUNT).map(path).collect();
    let mut world = World::new(deployment, specs, trace, policies, paths, seed);
    let steps = (trace.seconds / STEP_SECONDS) as u64;
    let mut faults = trace.faults.iter().peekable();
    for step in 0..steps {
        let now = step as f64 * STEP_SECONDS;
        while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= now) {
            world.apply_fault(now, *fault);
        }
        world.deliver_orders(now);
        let reading = world.store.advance(&mut world.engines, now, STEP_SECONDS);
        if reading > world.store.concurrent {
            world.score.violations.push(format!(
                "{reading} concurrent loads exceed the weight store's limit at {now} s"
            ));
        }
        match step % STEPS_PER_PERIOD {
            0 => world.sample_engines(now),
            1 => world.deliver_reports(now),
            2 => world.decide(now),
            _ => {}
        }
        world.generate_requests(now);
    }
    world.finish()
}

impl<'a, P: Path> World<'a, P> {
    fn new(
        deployment: &Deployment,
        specs: &[Spec],
        trace: &'a Trace,
        policies: &[NamedPolicy],
        mut paths: Vec<P>,
        seed: u64,
    ) -> Self {
        let mut controller = Controller::new(deployment, policies);
        let engine = || Engine::new(deployment.memory, deployment.slots);
        let mut engines: Vec<_> = (0..deployment.engines).map(|_| engine()).collect();
        for (item, targets) in deployment.declared(specs).iter().enumerate() {
            controller.declare(&specs[item], targets, trace.daily_demand(item));
            for path in &mut paths {
                path.declare(&specs[item], None);
            }
            for target in targets {
                engines[*target].copies.push(Copy {
                    item,
                    phase: Phase::Ready,
                    bytes: specs[item].bytes,
                    bytes_left: 0.0,
                    until: 0.0,
                });
            }
        }
        let mut world = Self {
            trace,
            specs: specs.to_vec(),
            paths,
            random: SmallRng::seed_from_u64(seed ^ 0x3017),
            domains: deployment.domains,
            store: Store {
                concurrent: deployment.store_concurrent,
                speed: deployment.store_speed,
                speed_factor: 1.0,
            },
            controller,
            events: BinaryHeap::new(),
            sequence: 0,
            calls: Vec::new(),
            dispatches: Vec::new(),
            orders: Vec::new(),
            reports: Vec::new(),
            arrived: vec![(0.0, 0.0); specs.len()],
            demand: vec![(0.0, 0.0); specs.len()],
            store_rate: deployment.store_rate,
            score: Score {
                owned_accelerators: engines.len() as f64,
                ..Score::default()
            },
            occupied: (0.0, 0.0),
            engines,
        };
        for instance in 0..INSTANCE_COUNT {
            world.schedule(0.0, EventKind::Refresh { instance });
        }
        world
    }

    fn apply_fault(&mut self, now: f64, fault: Fault) {
        match fault {
            Fault::Crash(engine) => {
                self.engines[engine].crash(now);
                self.fail_dispatches(now, engine);
            }
            Fault::Slow(engine, factor) => self.engines[engine].slowdown = factor,
            Fault::Restart(engine) => self.engines[engine].restart(),
            Fault::Partition(domain) | Fault::Heal(domain) => {
                let is_partitioned = matches!(fault, Fault::Partition(_));
                let engines = self.engines.iter_mut().enumerate();
                for (_, engine) in engines.filter(|(at, _)| at % self.domains == domain) {
                    engine.is_partitioned = is_partitioned;
                    if is_partitioned {
                        engine.record_loss(now);
                    }
                }
            }
            Fault::StoreSpeed(factor) => self.store.speed_factor = factor,
            Fault::Rollout => self.rollout(),
        }
    }

    /// Declares version 2 of the models and of their adapters, which are pinned to it.
    fn rollout(&mut self) {
        for model in self.trace.rollouts.clone() {
            let new = self.specs.len();
            let olds = (0..new).filter(|i| *i == model || self.specs[*i].base == Some(model));
            for old in olds.collect::<Vec<_>>() {
                let text = self.specs[old].artifact.to_string().replacen("@1", "@2", 1);
                let spec = Spec {
                    artifact: artifact(&text),
                    base: self.specs[old].base.map(|_| new),
                    ..self.specs[old].clone()
                };
                self.controller
                    .declare(&spec, &[], self.trace.daily_demand(old));
                self.controller.replace(old, self.specs.len());
                for path in &mut self.paths {
                    path.declare(&spec, Some(old));
                }
                self.specs.push(spec);
            }
        }
        self.arrived.resize(self.specs.len(), (0.0, 0.0));
        self.demand.resize(self.specs.len(), (0.0, 0.0));
    }

    fn deliver_orders(&mut self, now: f64) {
        let due = self.orders.extract_if(.., |(at, _)| *at <= now);
        for (_, order) in due.collect::<Vec<_>>() {
            let engine = &mut self.engines[order.target];
            if engine.is_up() && engine.admit_order(order.id) {
                self.execute(now, order);
            }
        }
    }

    fn execute(&mut self, now: f64, order: Order) {
        let spec = &self.specs[order.item];
        let engine = &mut self.engines[order.target];
        if order.is_load {
            let has_base = spec.base.is_none_or(|base| engine.is_ready(base));
            if engine.used().saturating_add(spec.bytes) > engine.memory || !has_base {
                self.score.violations.push(format!(
                    "engine without memory or base model refused a load at {now} s: {order:?}"
                ));
                return;
            }
            engine.copies.push(Copy {
                item: order.item,
                phase: Phase::Loading,
                bytes: spec.bytes,
                bytes_left: spec.bytes.0 as f64,
                until: now,
            });
            return;
        }
        for copy in engine
            .copies
            .iter_mut()
            .filter(|copy| copy.item == order.item)
        {
            copy.phase = Phase::Unloading;
            copy.until = now + UNLOAD_SECONDS;
        }
        self.check_last_copy(now, order);
    }

    /// Records a violation if an unload removed the last ready copy, unless an engine with another copy was
    /// lost too late for the decision to take it into account.
    fn check_last_copy(&mut self, now: f64, order: Order) {
        let replacement = self.controller.replacement(order.item);
        let is_same = |item: usize| item == order.item || Some(item) == replacement;
        let since = order.decided_at - MAX_REPORT_AGE_SECONDS - 1.0;
        let has_copy = self.engines.iter().any(|engine| {
            let mut items = engine
                .copies
                .iter()
                .filter(|copy| copy.phase == Phase::Ready);
            let is_ready = engine.is_up() && items.any(|copy| is_same(copy.item));
            let loss = engine.last_loss.as_ref().filter(|(at, _)| *at >= since);
            is_ready || loss.is_some_and(|(_, items)| items.iter().any(|item| is_same(*item)))
        });
        if !has_copy {
            let violation = format!("last copy unloaded at {now} s: {order:?}");
            self.score.violations.push(violation);
        }
    }

    fn sample_engines(&mut self, now: f64) {
        let up = self
            .engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.is_up());
        self.reports
            .extend(up.map(|(at, engine)| (at, Report::sample(engine, now))));
        let occupied = self
            .engines
            .iter()
            .filter(|engine| !engine.copies.is_empty());
        self.occupied.0 += occupied.count() as f64;
        self.occupied.1 += 1.0;
        // A new version counts as reachable while the version that it replaces is reachable.
        let mut ready = vec![false; self.specs.len()];
        for engine in self.engines.iter().filter(|engine| engine.is_up()) {
            for copy in engine
                .copies
                .iter()
                .filter(|copy| copy.phase == Phase::Ready)
            {
                ready[copy.item] = true;
                if let Some(new) = self.controller.replacement(copy.item) {
                    ready[new] = true;
                }
            }
        }
        let unreachable = (0..ready.len())
            .filter(|item| !ready[*item] && self.controller.replacement(*item).is_none());
        self.score.unreachable_seconds += unreachable.count() as f64;
    }

    fn deliver_reports(&mut self, now: f64) {
        let lag = self.trace.report_lag;
        let due = self
            .reports
            .extract_if(.., |(_, report)| report.at + lag <= now);
        for (target, mut report) in due.collect::<Vec<_>>() {
            // The content lags, but the report counts as fresh.
            report.at += lag;
            for path in &mut self.paths {
                path.observe(target, &report, now);
            }
            self.controller.observe(target, report);
        }
    }

    fn decide(&mut self, now: f64) {
        for (smoothed, arrived) in self.demand.iter_mut().zip(&mut self.arrived) {
            // A time constant of 3 s smooths the noise of single requests in the measured demand.
            smoothed.0 += (arrived.0 - smoothed.0) / 3.0;
            smoothed.1 += (arrived.1 - smoothed.1) / 3.0;
            *arrived = (0.0, 0.0);
        }
        let time_of_day = (self.trace.start + now) % 86_400.0;
        for order in self.controller.decide(now, time_of_day, &self.demand) {
            if self.trace.lost_order_share > 0.0
                && self.random.random_bool(self.trace.lost_order_share)
            {
                continue;
            }
            let is_late = self.trace.late_order_share > 0.0
                && self.random.random_bool(self.trace.late_order_share);
            let max_delay = if is_late { 8.0 } else { 0.2 };
            let delay = self.random.random_range(0.02..max_delay);
            self.orders.push((now + delay, order));
        }
        let max_loads = self.store_rate * (now + 2.0) + 1.0;
        if self.controller.granted.1 as f64 > max_loads {
            self.score.violations.push(format!(
                "granted loads exceed the weight store's rate at {now} s"
            ));
        }
    }

    fn generate_requests(&mut self, now: f64) {
        let artifact_count = self.trace.artifact_count();
        let mut arrivals: Vec<(f64, usize)> = Vec::new();
        for item in 0..artifact_count {
            let mean = self.trace.rate(item, now) * STEP_SECONDS;
            let mut at = -(1.0 - self.random.random::<f64>()).ln();
            while at < mean {
                arrivals.push((now + at / mean * STEP_SECONDS, item));
                at -= (1.0 - self.random.random::<f64>()).ln();
            }
        }
        arrivals.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (at, item) in arrivals {
            self.advance(at);
            self.arrive(at, item);
        }
        self.advance(now + STEP_SECONDS);
    }

    /// Returns the newest version of an artifact that is ready at any target.
    pub(crate) fn newest(&self, now: f64, item: usize) -> usize {
        let Some(replacement) = self.controller.replacement(item) else {
            return item;
        };
        let is_new = |copy: &Copy| copy.item == replacement && copy.phase == Phase::Ready;
        let mut reports =
            (0..self.engines.len()).filter_map(|target| self.controller.fresh_report(target, now));
        match reports.any(|report| report.copies.iter().any(is_new)) {
            true => replacement,
            false => item,
        }
    }

    fn finish(mut self) -> Score {
        // Requests that are still running count by how they will end.
        self.advance(f64::INFINITY);
        self.score.occupied_accelerators = self.occupied.0 / f64::max(self.occupied.1, 1.0);
        (self.score.moves, self.score.loads) = self.controller.granted;
        let copies = self.engines.iter().flat_map(|engine| &engine.copies);
        let replaced = copies.filter(|copy| self.controller.replacement(copy.item).is_some());
        self.score.replaced_copies = replaced.count();
        self.score.log = self.controller.log;
        self.score
    }
}
