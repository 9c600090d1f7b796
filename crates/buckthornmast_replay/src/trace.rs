//! Traces: demand and faults over time.

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use crate::{
    deployment::{Deployment, Spec},
    engine::PREFILL_SECONDS,
};

/// Kind of trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The morning peak, early for some models and late for others.
    Morning,
    /// Tenfold demand for three models, each for a quarter of the run.
    Burst,
    /// Sudden demand for a model that had next to none.
    Cold,
    /// An engine crashes, and another one after the first has restarted.
    Dead,
    /// A failure domain is partitioned from the rest.
    Partition,
    /// Bursts with lost and late orders.
    Orders,
    /// Bursts with a slow weight store.
    Store,
    /// New versions of three models and their adapters.
    Rollout,
}

/// All kinds, in the order of the printed table.
pub const KINDS: [Kind; 8] = [
    Kind::Morning,
    Kind::Burst,
    Kind::Cold,
    Kind::Dead,
    Kind::Partition,
    Kind::Orders,
    Kind::Store,
    Kind::Rollout,
];

impl Kind {
    /// Returns the name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Morning => "morning",
            Self::Burst => "burst",
            Self::Cold => "cold",
            Self::Dead => "dead",
            Self::Partition => "partition",
            Self::Orders => "orders",
            Self::Store => "store",
            Self::Rollout => "rollout",
        }
    }
}

/// Fault or change at a point in time.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// An engine crashes.
    Crash(usize),
    /// An engine restarts without copies.
    Restart(usize),
    /// A failure domain becomes unreachable.
    Partition(usize),
    /// A failure domain becomes reachable again.
    Heal(usize),
    /// The weight store runs at this share of its speed.
    StoreSpeed(f64),
    /// New versions are declared.
    Rollout,
    /// An engine takes this multiple of its usual time for each step.
    Slow(usize, f64),
}

/// Fault under which the request path is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Demand of 3 times the capacity for 30 s, from callers with up to three tries.
    Overload,
    /// The same overload, with long answers as batch work, which engines serve last.
    Classes,
    /// An engine becomes 10 times slower.
    Slow,
    /// An engine crashes and restarts without copies.
    Dead,
    /// Reports are 2 s late.
    Lag,
    /// Prompts take 1 to 5 ms, with a jitter of half that time in either direction.
    Jitter,
    /// The weight store is slow while demand shifts.
    Store,
}

/// All scenarios, in the order of the printed table.
pub const SCENARIOS: [Scenario; 7] = [
    Scenario::Overload,
    Scenario::Classes,
    Scenario::Slow,
    Scenario::Dead,
    Scenario::Lag,
    Scenario::Jitter,
    Scenario::Store,
];

/// Time in seconds at which the fault of a scenario begins.
pub const FAULT_START_SECONDS: f64 = 80.0;
/// Time in seconds at which an overload ends.
pub const OVERLOAD_END_SECONDS: f64 = 110.0;
/// Length of a scenario in seconds.
const SCENARIO_SECONDS: f64 = 200.0;
/// Demand in an overload, as a multiple of the capacity.
const OVERLOAD_FACTOR: f64 = 3.0;

impl Scenario {
    /// Returns the name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::Classes => "classes",
            Self::Slow => "slow",
            Self::Dead => "dead",
            Self::Lag => "lag",
            Self::Jitter => "jitter",
            Self::Store => "store",
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Burst {
    item: usize,
    /// Start in seconds.
    start: f64,
    /// Time in seconds from the start until demand has grown by the whole factor.
    rise: f64,
    /// End in seconds.
    end: f64,
    /// Factor by which demand grows.
    factor: f64,
}

/// Demand and faults of one run.
#[derive(Debug, Clone)]
pub struct Trace {
    /// Length in seconds.
    pub seconds: f64,
    /// Time of day at the start in seconds.
    pub start: f64,
    /// Faults with their times in seconds, in order.
    pub faults: Vec<(f64, Fault)>,
    /// Share of orders that are lost.
    pub lost_order_share: f64,
    /// Share of orders that are delayed by up to 8 s.
    pub late_order_share: f64,
    /// Models that get a new version.
    pub rollouts: Vec<usize>,
    /// Shortest and longest time in seconds that a prompt takes in an idle engine.
    pub prompt_seconds: (f64, f64),
    /// Age in seconds of the content of a report on its delivery.
    pub report_lag: f64,
    /// Maximum number of tries of a caller per request.
    pub max_tries: u32,
    /// Whether long answers are batch work, which engines serve after interactive work.
    pub has_classes: bool,
    /// Start and end of an overload in seconds, and the factor by which it multiplies all demand.
    surge: Option<(f64, f64, f64)>,
    /// Usual daytime requests per second of each artifact.
    base: Vec<f64>,
    /// Factor between the demand of this day and the usual demand of each artifact.
    drift: Vec<f64>,
    /// Whether the morning peak of each artifact is the early one.
    early: Vec<bool>,
    bursts: Vec<Burst>,
}

/// Returns demand at an hour of the day, relative to the usual daytime demand.
fn daily_shape(hour: f64, is_early: bool) -> f64 {
    let peak = if is_early { 6.0 } else { 7.25 };
    let bell = (-((hour - peak) / 0.45).powi(2)).exp();
    let day = 1.0 / (1.0 + (-(hour - 6.5) * 3.0).exp()) / (1.0 + ((hour - 18.0) * 2.0).exp());
    0.2 + 0.8 * day + 1.6 * bell
}

impl Trace {
    /// Generates a trace.
    pub fn new(
        deployment: &Deployment,
        specs: &[Spec],
        kind: Kind,
        seed: u64,
        seconds: f64,
    ) -> Self {
        let mut random = SmallRng::seed_from_u64(seed ^ 0x07ac_e000);
        let capacity = deployment.engines as f64 * crate::engine::capacity(deployment.slots);
        let tokens: f64 = specs.iter().map(|spec| spec.share * spec.tokens).sum();
        let total = deployment.utilisation * capacity / tokens;
        let base: Vec<f64> = specs.iter().map(|spec| spec.share * total).collect();
        // Demand differs by a factor of up to 2.5 from the mean on which the declared placement is based.
        let drift = base
            .iter()
            .map(|_| 2.5f64.powf(random.random_range(-1.0..1.0)));
        let mut trace = Self {
            seconds,
            start: if kind == Kind::Morning {
                5.5 * 3600.0
            } else {
                10.0 * 3600.0
            },
            faults: Vec::new(),
            lost_order_share: 0.0,
            late_order_share: 0.0,
            rollouts: Vec::new(),
            prompt_seconds: (PREFILL_SECONDS, PREFILL_SECONDS),
            report_lag: 0.0,
            max_tries: 1,
            has_classes: false,
            surge: None,
            drift: drift.collect(),
            early: base.iter().map(|_| random.random_bool(0.5)).collect(),
            bursts: Vec::new(),
            base,
        };
        trace.add_kind(deployment, specs, kind, &mut random);
        trace
    }

    /// Generates the trace of a scenario.
    pub fn scenario(
        deployment: &Deployment,
        specs: &[Spec],
        scenario: Scenario,
        seed: u64,
    ) -> Self {
        if scenario == Scenario::Store {
            return Self::new(deployment, specs, Kind::Store, seed, 3.0 * SCENARIO_SECONDS);
        }
        let mut random = SmallRng::seed_from_u64(seed ^ 0x5ce0);
        let mut trace = Self::new(deployment, specs, Kind::Morning, seed, SCENARIO_SECONDS);
        // Demand matches the declared placement, so that rules differ only by their response to the fault.
        trace.start = 10.0 * 3600.0;
        trace.drift.fill(1.0);
        let engine = random.random_range(0..deployment.engines);
        match scenario {
            Scenario::Overload | Scenario::Classes => {
                trace.has_classes = scenario == Scenario::Classes;
                let factor = OVERLOAD_FACTOR / deployment.utilisation;
                trace.surge = Some((FAULT_START_SECONDS, OVERLOAD_END_SECONDS, factor));
                trace.max_tries = 3;
            }
            Scenario::Slow => trace.faults = vec![(FAULT_START_SECONDS, Fault::Slow(engine, 10.0))],
            Scenario::Dead => {
                trace.faults = vec![
                    (FAULT_START_SECONDS, Fault::Crash(engine)),
                    (FAULT_START_SECONDS + 60.0, Fault::Restart(engine)),
                ];
            }
            Scenario::Lag => trace.report_lag = 2.0,
            Scenario::Jitter => {
                let (shortest, longest) = (0.001, 0.005);
                trace.prompt_seconds = (shortest * 0.5, longest * 1.5);
            }
            Scenario::Store => {}
        }
        trace
    }

    fn add_kind(
        &mut self,
        deployment: &Deployment,
        specs: &[Spec],
        kind: Kind,
        random: &mut SmallRng,
    ) {
        let end = self.seconds;
        let engine = random.random_range(0..deployment.engines);
        let other =
            (engine + 1 + random.random_range(0..deployment.engines - 1)) % deployment.engines;
        let domain = random.random_range(0..deployment.domains);
        match kind {
            Kind::Morning => {}
            Kind::Burst => self.add_bursts(specs, random),
            Kind::Cold => self.add_cold(specs, random),
            Kind::Dead => {
                self.faults = vec![
                    (end * 0.15, Fault::Crash(engine)),
                    (end * 0.5, Fault::Restart(engine)),
                    (end * 0.55, Fault::Crash(other)),
                ];
            }
            Kind::Partition => {
                self.faults = vec![
                    (end * 0.25, Fault::Partition(domain)),
                    (end * 0.5, Fault::Heal(domain)),
                ];
            }
            Kind::Orders => {
                self.add_bursts(specs, random);
                (self.lost_order_share, self.late_order_share) = (0.3, 0.2);
            }
            Kind::Store => {
                self.add_bursts(specs, random);
                self.faults = vec![
                    (end * 0.1, Fault::StoreSpeed(0.15)),
                    (end * 0.8, Fault::StoreSpeed(1.0)),
                ];
            }
            Kind::Rollout => {
                let models: Vec<_> = (0..deployment.models).collect();
                self.rollouts = models.choose_multiple(random, 3).copied().collect();
                self.faults = vec![(end * 0.2, Fault::Rollout)];
            }
        }
    }

    fn add_bursts(&mut self, specs: &[Spec], random: &mut SmallRng) {
        let total: f64 = self.base.iter().sum();
        let models: Vec<_> = (0..specs.len())
            .filter(|item| {
                let share = self.base[*item] / total;
                specs[*item].base.is_none() && (0.008..0.04).contains(&share)
            })
            .collect();
        for (index, item) in models.choose_multiple(random, 3).enumerate() {
            let start = self.seconds * (0.1 + 0.3 * index as f64);
            self.bursts.push(Burst {
                item: *item,
                start,
                rise: random.random_range(30.0..300.0),
                end: start + self.seconds * 0.25,
                factor: 10.0,
            });
        }
    }

    fn add_cold(&mut self, specs: &[Spec], random: &mut SmallRng) {
        let mut models: Vec<_> = (0..specs.len())
            .filter(|i| specs[*i].base.is_none())
            .collect();
        models.sort_by(|a, b| self.base[*a].total_cmp(&self.base[*b]));
        let item = models[random.random_range(0..models.len().min(4))];
        let total: f64 = self.base.iter().sum();
        // The model jumps from next to nothing to 15 % of the usual total demand.
        let factor = 0.15 * total * specs[0].tokens / specs[item].tokens / (self.base[item] * 0.02);
        self.base[item] *= 0.02;
        self.bursts.push(Burst {
            item,
            start: self.seconds * 0.3,
            rise: 1.0,
            end: self.seconds * 0.8,
            factor,
        });
    }

    /// Returns the number of artifacts that have demand.
    pub fn artifact_count(&self) -> usize {
        self.base.len()
    }

    /// Returns the requests per second for an artifact at a time in seconds.
    pub fn rate(&self, item: usize, time: f64) -> f64 {
        let hour = (self.start + time) / 3600.0 % 24.0;
        let mut rate = self.base[item] * self.drift[item] * daily_shape(hour, self.early[item]);
        if let Some((from, to, factor)) = self.surge
            && (from..to).contains(&time)
        {
            rate *= factor;
        }
        for burst in self.bursts.iter().filter(|burst| burst.item == item) {
            if time >= burst.start && time < burst.end {
                let part = ((time - burst.start) / burst.rise).min(1.0);
                rate *= burst.factor.powf(part);
            }
        }
        rate
    }

    /// Returns the demand of earlier days in requests per second by hour of the day, without bursts and the
    /// drift of the current day.
    pub fn daily_demand(&self, item: usize) -> [f32; 24] {
        std::array::from_fn(|hour| {
            (self.base[item] * daily_shape(hour as f64 + 0.5, self.early[item])) as f32
        })
    }
}
