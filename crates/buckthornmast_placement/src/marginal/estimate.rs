//! Estimated attainment as a function of placement.
//!
//! The demand for an artifact is split over its copies in proportion to the head room that other
//! artifacts leave on their targets, which is what routing by load approaches. The share of requests
//! answered in time falls once a target's utilisation passes a knee.

use buckthornmast_types::report::Phase;
use smallvec::SmallVec;

use crate::view::{Health, View};

/// Demand that the estimate plans for.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Need {
    /// Requests a second times their weight.
    pub(crate) value: f64,
    /// Tokens a second.
    pub(crate) tokens: f64,
}

#[derive(Debug, Clone, Copy)]
struct Part {
    target: usize,
    share: f64,
}

/// Demand split over targets.
#[derive(Debug)]
pub(crate) struct Estimate {
    knee: f64,
    capacity: Vec<f64>,
    tokens: Vec<f64>,
    value: Vec<f64>,
    needs: Vec<Need>,
    parts: Vec<SmallVec<[Part; 4]>>,
}

/// Least share of a target's capacity that the split treats as head room.
///
/// Routing still sends some work to a full target, so the share never reaches zero.
const MIN_HEADROOM: f64 = 0.05;

impl Estimate {
    /// Splits the demand over the copies that are reachable or will be.
    pub(crate) fn new(view: &View, needs: Vec<Need>, knee: f64) -> Self {
        let hosts = view.targets.len();
        let capacity = view.targets.iter().map(|h| h.capacity.get().max(1.0));
        let mut estimate = Self {
            knee,
            capacity: capacity.collect(),
            tokens: vec![0.0; hosts],
            value: vec![0.0; hosts],
            parts: vec![SmallVec::new(); needs.len()],
            needs,
        };
        for (item, entry) in view.artifacts.iter().enumerate() {
            let usable = entry.copies.iter().filter(|copy| {
                copy.phase != Phase::Unloading && view.targets[copy.target].health == Health::Ready
            });
            let targets: SmallVec<[usize; 4]> = usable.map(|copy| copy.target).collect();
            let share = 1.0 / targets.len().max(1) as f64;
            let parts = targets.iter().map(|target| Part {
                target: *target,
                share,
            });
            estimate.parts[item] = parts.collect();
            estimate.shift(item, 1.0);
        }
        // Two rounds come close to the fixed point; the remaining error is small against the demand's.
        for _ in 0..2 {
            for item in 0..estimate.parts.len() {
                if estimate.parts[item].len() > 1 {
                    let targets = estimate.targets(item);
                    estimate.set(item, &targets);
                }
            }
        }
        estimate
    }

    fn targets(&self, item: usize) -> SmallVec<[usize; 4]> {
        self.parts[item].iter().map(|part| part.target).collect()
    }

    fn shift(&mut self, item: usize, sign: f64) {
        let need = self.needs[item];
        for part in &self.parts[item] {
            self.tokens[part.target] += sign * part.share * need.tokens;
            self.value[part.target] += sign * part.share * need.value;
        }
    }

    fn headroom(&self, target: usize, tokens: f64) -> f64 {
        (self.capacity[target] - tokens).max(MIN_HEADROOM * self.capacity[target])
    }

    /// Places an artifact on exactly these targets.
    pub(crate) fn set(&mut self, item: usize, targets: &[usize]) {
        self.shift(item, -1.0);
        let rooms = targets.iter().map(|t| self.headroom(*t, self.tokens[*t]));
        let rooms: SmallVec<[f64; 8]> = rooms.collect();
        let total: f64 = rooms.iter().sum();
        let parts = targets.iter().zip(&rooms).map(|(target, room)| Part {
            target: *target,
            share: room / total.max(f64::MIN_POSITIVE),
        });
        self.parts[item] = parts.collect();
        self.shift(item, 1.0);
    }

    /// Adds a copy.
    pub(crate) fn add(&mut self, item: usize, target: usize) {
        let mut targets = self.targets(item);
        targets.push(target);
        self.set(item, &targets);
    }

    /// Removes a copy.
    pub(crate) fn remove(&mut self, item: usize, target: usize) {
        let mut targets = self.targets(item);
        targets.retain(|other| *other != target);
        self.set(item, &targets);
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
        let parts = self.parts[item].iter();
        parts.fold(0.0, |max: f64, part| {
            max.max(self.tokens[part.target] / self.capacity[part.target])
        })
    }

    /// Returns the utilisation of a target.
    pub(crate) fn utilisation(&self, target: usize) -> f64 {
        self.tokens[target] / self.capacity[target]
    }

    /// Returns the change in requests answered in time per second if an artifact gains a copy on
    /// `with`, loses the one on `without`, or both.
    ///
    /// `joint` is demand that moves along with the artifact's own, such as that of a model's adapters.
    pub(crate) fn gain(
        &self,
        item: usize,
        joint: Need,
        with: Option<usize>,
        without: Option<usize>,
    ) -> f64 {
        let own = Need {
            value: self.needs[item].value + joint.value,
            tokens: self.needs[item].tokens + joint.tokens,
        };
        let mut before = 0.0;
        let mut rest: SmallVec<[(usize, f64, f64); 8]> = SmallVec::new();
        for part in &self.parts[item] {
            let (tokens, value) = (self.tokens[part.target], self.value[part.target]);
            before += self.goodput(part.target, tokens, value);
            let left = (value - part.share * own.value).max(0.0);
            rest.push((
                part.target,
                (tokens - part.share * own.tokens).max(0.0),
                left,
            ));
        }
        if let Some(target) = with {
            let (tokens, value) = (self.tokens[target], self.value[target]);
            before += self.goodput(target, tokens, value);
            rest.push((target, tokens, value));
        }
        let room = |entry: &(usize, f64, f64)| match without {
            Some(target) if target == entry.0 => 0.0,
            _ => self.headroom(entry.0, entry.1),
        };
        let total: f64 = rest.iter().map(room).sum();
        let after = rest.iter().map(|entry| {
            let share = room(entry) / total.max(f64::MIN_POSITIVE);
            let tokens = entry.1 + share * own.tokens;
            self.goodput(entry.0, tokens, entry.2 + share * own.value)
        });
        after.sum::<f64>() - before
    }
}
