//! Estimated attainment as a function of placement.
//!
//! The demand for an artifact is split over its copies in proportion to the headroom that other artifacts
//! leave on their targets, which approximates routing by load. The share of requests answered in time
//! falls once the utilisation of a target exceeds a knee.

use buckthornmast_types::report::Phase;
use smallvec::SmallVec;

use crate::view::{Health, View};

/// Demand that the estimate plans for.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PlannedDemand {
    /// Requests per second times their weight.
    pub(crate) value: f64,
    /// Tokens per second.
    pub(crate) tokens: f64,
}

/// Share of the demand for an artifact that its copy on a target serves.
#[derive(Debug, Clone, Copy)]
struct Allocation {
    target: usize,
    share: f64,
}

/// Split of the demand over targets, and the resulting load of each target.
#[derive(Debug)]
pub(crate) struct Estimate {
    knee: f64,
    capacity: Vec<f64>,
    /// Tokens per second, by target.
    tokens: Vec<f64>,
    /// Requests per second times their weight, by target.
    value: Vec<f64>,
    demand: Vec<PlannedDemand>,
    allocations: Vec<SmallVec<[Allocation; 4]>>,
}

/// Minimum headroom of a target in the split, as a share of its capacity.
///
/// Routing still sends some requests to a full target, so its headroom never becomes zero.
const MIN_HEADROOM: f64 = 0.05;

impl Estimate {
    /// Splits the demand over the copies that are reachable or loading.
    pub(crate) fn new(view: &View, demand: Vec<PlannedDemand>, knee: f64) -> Self {
        let target_count = view.targets.len();
        let capacity = view
            .targets
            .iter()
            .map(|target| target.capacity.get().max(1.0));
        let mut estimate = Self {
            knee,
            capacity: capacity.collect(),
            tokens: vec![0.0; target_count],
            value: vec![0.0; target_count],
            allocations: vec![SmallVec::new(); demand.len()],
            demand,
        };
        for (item, entry) in view.artifacts.iter().enumerate() {
            let usable = entry.copies.iter().filter(|copy| {
                copy.phase != Phase::Unloading && view.targets[copy.target].health == Health::Ready
            });
            let targets: SmallVec<[usize; 4]> = usable.map(|copy| copy.target).collect();
            let share = 1.0 / targets.len().max(1) as f64;
            let allocations = targets.iter().map(|target| Allocation {
                target: *target,
                share,
            });
            estimate.allocations[item] = allocations.collect();
            estimate.add_load(item, 1.0);
        }
        // Two rounds come close to the fixed point; the remaining error is small compared with that of the demand.
        for _ in 0..2 {
            for item in 0..estimate.allocations.len() {
                if estimate.allocations[item].len() > 1 {
                    let targets = estimate.targets(item);
                    estimate.set_targets(item, &targets);
                }
            }
        }
        estimate
    }

    fn targets(&self, item: usize) -> SmallVec<[usize; 4]> {
        self.allocations[item]
            .iter()
            .map(|allocation| allocation.target)
            .collect()
    }

    fn add_load(&mut self, item: usize, factor: f64) {
        let demand = self.demand[item];
        for allocation in &self.allocations[item] {
            self.tokens[allocation.target] += factor * allocation.share * demand.tokens;
            self.value[allocation.target] += factor * allocation.share * demand.value;
        }
    }

    fn headroom(&self, target: usize, tokens: f64) -> f64 {
        (self.capacity[target] - tokens).max(MIN_HEADROOM * self.capacity[target])
    }

    /// Sets the targets of an artifact and splits its demand over them.
    pub(crate) fn set_targets(&mut self, item: usize, targets: &[usize]) {
        self.add_load(item, -1.0);
        let headrooms = targets.iter().map(|t| self.headroom(*t, self.tokens[*t]));
        let headrooms: SmallVec<[f64; 8]> = headrooms.collect();
        let total: f64 = headrooms.iter().sum();
        let allocations = targets
            .iter()
            .zip(&headrooms)
            .map(|(target, headroom)| Allocation {
                target: *target,
                share: headroom / total.max(f64::MIN_POSITIVE),
            });
        self.allocations[item] = allocations.collect();
        self.add_load(item, 1.0);
    }

    /// Adds a copy.
    pub(crate) fn add_copy(&mut self, item: usize, target: usize) {
        let mut targets = self.targets(item);
        targets.push(target);
        self.set_targets(item, &targets);
    }

    /// Removes a copy.
    pub(crate) fn remove_copy(&mut self, item: usize, target: usize) {
        let mut targets = self.targets(item);
        targets.retain(|other| *other != target);
        self.set_targets(item, &targets);
    }

    /// Returns the share of requests answered in time at a utilisation.
    fn attainment(&self, utilisation: f64) -> f64 {
        let ratio = self.knee / utilisation.max(f64::MIN_POSITIVE);
        (ratio * ratio).min(1.0)
    }

    fn goodput(&self, target: usize, tokens: f64, value: f64) -> f64 {
        value * self.attainment(tokens / self.capacity[target])
    }

    /// Returns the highest utilisation among the targets of an artifact.
    pub(crate) fn pressure(&self, item: usize) -> f64 {
        let allocations = self.allocations[item].iter();
        allocations.fold(0.0, |max: f64, allocation| {
            max.max(self.tokens[allocation.target] / self.capacity[allocation.target])
        })
    }

    /// Returns the utilisation of a target.
    pub(crate) fn utilisation(&self, target: usize) -> f64 {
        self.tokens[target] / self.capacity[target]
    }

    /// Returns the change in requests answered in time per second if an artifact gains a copy on `added`,
    /// loses the one on `removed`, or both.
    ///
    /// `joint` is demand that is split in the same way as that for the artifact, such as that for a model's
    /// adapters.
    pub(crate) fn gain(
        &self,
        item: usize,
        joint: PlannedDemand,
        added: Option<usize>,
        removed: Option<usize>,
    ) -> f64 {
        let split_demand = PlannedDemand {
            value: self.demand[item].value + joint.value,
            tokens: self.demand[item].tokens + joint.tokens,
        };
        let mut before = 0.0;
        let mut background: SmallVec<[(usize, f64, f64); 8]> = SmallVec::new();
        for allocation in &self.allocations[item] {
            let (tokens, value) = (
                self.tokens[allocation.target],
                self.value[allocation.target],
            );
            before += self.goodput(allocation.target, tokens, value);
            let other_value = (value - allocation.share * split_demand.value).max(0.0);
            background.push((
                allocation.target,
                (tokens - allocation.share * split_demand.tokens).max(0.0),
                other_value,
            ));
        }
        if let Some(target) = added {
            let (tokens, value) = (self.tokens[target], self.value[target]);
            before += self.goodput(target, tokens, value);
            background.push((target, tokens, value));
        }
        let headroom = |entry: &(usize, f64, f64)| match removed {
            Some(target) if target == entry.0 => 0.0,
            _ => self.headroom(entry.0, entry.1),
        };
        let total: f64 = background.iter().map(headroom).sum();
        let after = background.iter().map(|entry| {
            let share = headroom(entry) / total.max(f64::MIN_POSITIVE);
            let tokens = entry.1 + share * split_demand.tokens;
            self.goodput(entry.0, tokens, entry.2 + share * split_demand.value)
        });
        after.sum::<f64>() - before
    }
}
