//! Virtual time: demand, faults, orders, loads and reports in steps of a quarter of a second.

use std::{cmp::Reverse, collections::BinaryHeap};

use buckthornmast_placement::named::Named;
use buckthornmast_types::report::Phase;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    calls::{Call, Dispatched, Event, What},
    controller::{Controller, MAX_REPORT_AGE, Order, Report},
    deployment::{Deployment, Spec, artifact},
    engine::{Copy, Engine},
    path::{Path, Simple},
    routing::Rule,
    score::Score,
    store::Store,
    trace::{Fault, Trace},
};

/// Length of a step in seconds.
const STEP: f64 = 0.25;
/// Steps between reports and between decisions.
const PERIOD: u64 = 4;
/// Entry instances; each knows only its own requests and the reports.
pub const INSTANCES: usize = 6;
/// Time until the memory of an unloaded copy is free, in seconds.
const UNLOAD: f64 = 1.0;
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
    pub(crate) order: u64,
    pub(crate) calls: Vec<Call>,
    pub(crate) dispatches: Vec<Dispatched>,
    orders: Vec<(f64, Order)>,
    reports: Vec<(usize, Report)>,
    pub(crate) arrived: Vec<(f64, f64)>,
    demand: Vec<(f64, f64)>,
    store_rate: f64,
    pub(crate) score: Score,
    occupied: (f64, f64),
}

/// Plays a trace under a simple routing rule; `policies` has one entry for each team.
pub fn run<R: Rule>(
    deployment: &Deployment,
    specs: &[Spec],
    trace: &Trace,
    policies: &[Named],
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
    policies: &[Named],
    path: impl FnMut(usize) -> P,
    seed: u64,
) -> Score {
    let paths = (0..INSTANCES).map(path).collect();
    let mut world = World::new(deployment, specs, trace, policies, paths, seed);
    let steps = (trace.seconds / STEP) as u64;
    let mut faults = trace.faults.iter().peekable();
    for step in 0..steps {
        let now = step as f64 * STEP;
        while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= now) {
            world.fault(now, *fault);
        }
        world.deliver(now);
        let reading = world.store.advance(&mut world.engines, now, STEP);
        if reading > world.store.concurrent {
            world
                .score
                .faults
                .push(format!("{reading} loads at once at {now} s"));
        }
        match step % PERIOD {
            0 => world.sample(now),
            1 => world.report(now),
            2 => world.decide(now),
            _ => {}
        }
        world.requests(now);
    }
    world.finish()
}

impl<'a, P: Path> World<'a, P> {
    fn new(
        deployment: &Deployment,
        specs: &[Spec],
        trace: &'a Trace,
        policies: &[Named],
        mut paths: Vec<P>,
        seed: u64,
    ) -> Self {
        let mut controller = Controller::new(deployment, policies);
        let engine = || Engine::new(deployment.memory, deployment.slots);
        let mut engines: Vec<_> = (0..deployment.engines).map(|_| engine()).collect();
        for (item, targets) in deployment.declared(specs).iter().enumerate() {
            controller.declare(&specs[item], targets, trace.day(item));
            for path in &mut paths {
                path.declare(&specs[item], None);
            }
            for target in targets {
                engines[*target].copies.push(Copy {
                    item,
                    phase: Phase::Ready,
                    bytes: specs[item].bytes,
                    left: 0.0,
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
                factor: 1.0,
            },
            controller,
            events: BinaryHeap::new(),
            order: 0,
            calls: Vec::new(),
            dispatches: Vec::new(),
            orders: Vec::new(),
            reports: Vec::new(),
            arrived: vec![(0.0, 0.0); specs.len()],
            demand: vec![(0.0, 0.0); specs.len()],
            store_rate: deployment.store_rate,
            score: Score {
                owned: engines.len() as f64,
                ..Score::default()
            },
            occupied: (0.0, 0.0),
            engines,
        };
        for instance in 0..INSTANCES {
            world.at(0.0, What::Refresh { instance });
        }
        world
    }

    fn fault(&mut self, now: f64, fault: Fault) {
        match fault {
            Fault::Die(engine) => {
                self.engines[engine].die(now);
                self.lose(now, engine);
            }
            Fault::Slow(engine, factor) => self.engines[engine].factor = factor,
            Fault::Restart(engine) => self.engines[engine].restart(),
            Fault::Cut(domain) | Fault::Heal(domain) => {
                let cut = matches!(fault, Fault::Cut(_));
                let engines = self.engines.iter_mut().enumerate();
                for (_, engine) in engines.filter(|(at, _)| at % self.domains == domain) {
                    engine.cut = cut;
                    if cut {
                        engine.note_loss(now);
                    }
                }
            }
            Fault::Speed(factor) => self.store.factor = factor,
            Fault::Rollout => self.rollout(),
        }
    }

    /// Declares version 2 of the models and pins their adapters to it.
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
                self.controller.declare(&spec, &[], self.trace.day(old));
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

    fn deliver(&mut self, now: f64) {
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
        if order.load {
            let based = spec.base.is_none_or(|base| engine.is_ready(base));
            if engine.used().saturating_add(spec.bytes) > engine.memory || !based {
                self.score
                    .faults
                    .push(format!("load refused at {now} s: {order:?}"));
                return;
            }
            engine.copies.push(Copy {
                item: order.item,
                phase: Phase::Loading,
                bytes: spec.bytes,
                left: spec.bytes.0 as f64,
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
            copy.until = now + UNLOAD;
        }
        self.check_last_copy(now, order);
    }

    /// Records a fault if an unload took the last copy although no engine that held another one was
    /// lost too late for the decision to know.
    fn check_last_copy(&mut self, now: f64, order: Order) {
        let new = self.controller.replacement(order.item);
        let counts = |item: usize| item == order.item || Some(item) == new;
        let since = order.decided - MAX_REPORT_AGE - 1.0;
        let kept = self.engines.iter().any(|engine| {
            let mut items = engine
                .copies
                .iter()
                .filter(|copy| copy.phase == Phase::Ready);
            let ready = engine.is_up() && items.any(|copy| counts(copy.item));
            let lost = engine.lost.as_ref().filter(|(at, _)| *at >= since);
            ready || lost.is_some_and(|(_, items)| items.iter().any(|item| counts(*item)))
        });
        if !kept {
            let fault = format!("last copy unloaded at {now} s: {order:?}");
            self.score.faults.push(fault);
        }
    }

    fn sample(&mut self, now: f64) {
        let up = self
            .engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.is_up());
        self.reports
            .extend(up.map(|(at, engine)| (at, Report::sample(engine, now))));
        let full = self
            .engines
            .iter()
            .filter(|engine| !engine.copies.is_empty());
        self.occupied.0 += full.count() as f64;
        self.occupied.1 += 1.0;
        // A new version counts as reachable while the version that it replaces is.
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
        let lost = (0..ready.len())
            .filter(|item| !ready[*item] && self.controller.replacement(*item).is_none());
        self.score.unreachable += lost.count() as f64;
    }

    fn report(&mut self, now: f64) {
        let lag = self.trace.lag;
        let due = self
            .reports
            .extract_if(.., |(_, report)| report.at + lag <= now);
        for (target, mut report) in due.collect::<Vec<_>>() {
            // The content lags; the report itself is as fresh as ever.
            report.at += lag;
            for path in &mut self.paths {
                path.observe(target, &report, now);
            }
            self.controller.observe(target, report);
        }
    }

    fn decide(&mut self, now: f64) {
        for (seen, new) in self.demand.iter_mut().zip(&mut self.arrived) {
            // Three seconds smooth the noise of single requests in what routing measures.
            seen.0 += (new.0 - seen.0) / 3.0;
            seen.1 += (new.1 - seen.1) / 3.0;
            *new = (0.0, 0.0);
        }
        let time_of_day = (self.trace.start + now) % 86_400.0;
        for order in self.controller.decide(now, time_of_day, &self.demand) {
            if self.trace.lost > 0.0 && self.random.random_bool(self.trace.lost) {
                continue;
            }
            let late = self.trace.late > 0.0 && self.random.random_bool(self.trace.late);
            let most = if late { 8.0 } else { 0.2 };
            let delay = self.random.random_range(0.02..most);
            self.orders.push((now + delay, order));
        }
        let most = self.store_rate * (now + 2.0) + 1.0;
        if self.controller.granted.1 as f64 > most {
            self.score
                .faults
                .push(format!("store budget exceeded at {now} s"));
        }
    }

    fn requests(&mut self, now: f64) {
        let declared = self.trace.artifacts();
        let mut arrivals: Vec<(f64, usize)> = Vec::new();
        for item in 0..declared {
            let mean = self.trace.rate(item, now) * STEP;
            let mut at = -(1.0 - self.random.random::<f64>()).ln();
            while at < mean {
                arrivals.push((now + at / mean * STEP, item));
                at -= (1.0 - self.random.random::<f64>()).ln();
            }
        }
        arrivals.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (at, item) in arrivals {
            self.advance(at);
            self.arrive(at, item);
        }
        self.advance(now + STEP);
    }

    /// Returns the newest version of an artifact that a target has ready.
    pub(crate) fn newest(&self, now: f64, item: usize) -> usize {
        let Some(new) = self.controller.replacement(item) else {
            return item;
        };
        let has = |copy: &Copy| copy.item == new && copy.phase == Phase::Ready;
        let mut fresh = (0..self.engines.len()).filter_map(|own| self.controller.fresh(own, now));
        match fresh.any(|report| report.copies.iter().any(has)) {
            true => new,
            false => item,
        }
    }

    fn finish(mut self) -> Score {
        // Requests that are still running count as they will end.
        self.advance(f64::INFINITY);
        self.score.occupied = self.occupied.0 / f64::max(self.occupied.1, 1.0);
        (self.score.moves, self.score.loads) = self.controller.granted;
        let copies = self.engines.iter().flat_map(|engine| &engine.copies);
        let replaced = copies.filter(|copy| self.controller.replacement(copy.item).is_some());
        self.score.replaced = replaced.count();
        self.score.log = self.controller.log;
        self.score
    }
}
