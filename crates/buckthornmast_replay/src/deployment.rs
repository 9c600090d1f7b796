//! Deployments for which traces are generated.

use std::time::Duration;

use buckthornmast_placement::view::Team;
use buckthornmast_types::{artifact::Artifact, id, size::Bytes};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};

/// Parameters of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    /// Name.
    pub name: &'static str,
    /// Number of models.
    pub models: usize,
    /// Number of adapters.
    pub adapters: usize,
    /// Number of engines; each has one accelerator.
    pub engines: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Memory of an engine for artifacts.
    pub memory: Bytes,
    /// Requests that an engine processes concurrently.
    pub slots: u32,
    /// Loads per second that the weight store starts.
    pub store_rate: f64,
    /// Concurrent loads that the weight store serves at full speed.
    pub store_concurrent: usize,
    /// Bytes per second of one load at full speed.
    pub store_speed: f64,
    /// Share of the capacity of all engines that the usual daytime demand uses.
    pub utilisation: f64,
    /// Cost weight of a move for both teams.
    pub move_weight: f64,
}

const GIB: f64 = (1u64 << 30) as f64;

/// Deployment of Kühlwerk Software GmbH.
pub const KUEHLWERK: Deployment = Deployment {
    name: "kuehlwerk",
    models: 30,
    adapters: 100,
    engines: 20,
    domains: 4,
    memory: Bytes::gib(80),
    slots: 32,
    store_rate: 3.0,
    store_concurrent: 10,
    store_speed: 4.0 * GIB,
    utilisation: 0.6,
    move_weight: 1.0,
};

/// Deployment of the Peach Groove Pressing Franchise Office.
pub const PEACH_GROOVE: Deployment = Deployment {
    name: "peach-groove",
    models: 13,
    adapters: 60,
    engines: 10,
    domains: 4,
    memory: Bytes::gib(80),
    slots: 32,
    store_rate: 1.5,
    store_concurrent: 7,
    store_speed: 3.0 * GIB,
    utilisation: 0.6,
    move_weight: 1.5,
};

/// Artifact of a deployment.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Identity.
    pub artifact: Artifact,
    /// Index of the team.
    pub team: usize,
    /// Memory.
    pub bytes: Bytes,
    /// Index of the base model, for an adapter.
    pub base: Option<usize>,
    /// Share of all requests.
    pub share: f64,
    /// Mean number of tokens in an answer.
    pub tokens: f64,
    /// Deadline of an answer, from its arrival.
    pub deadline: Duration,
}

/// Share of requests that name an adapter.
const ADAPTER_SHARE: f64 = 0.4;

/// Demand per copy of an artifact up to which no further copy is declared, in tokens per request of the
/// whole deployment.
const MIN_TOKENS_PER_COPY: f64 = 0.2;

impl Deployment {
    /// Returns the artifacts, models first. Popularity follows Zipf's law in an order that the seed fixes.
    pub fn specs(&self, seed: u64) -> Vec<Spec> {
        let mut random = SmallRng::seed_from_u64(seed ^ 0x5bec);
        let mut specs: Vec<Spec> = Vec::new();
        let ranks = |count: usize, random: &mut SmallRng| {
            let mut shares: Vec<f64> = (1..=count).map(|rank| 1.0 / rank as f64).collect();
            let total: f64 = shares.iter().sum();
            shares.iter_mut().for_each(|share| *share /= total);
            shares.shuffle(random);
            shares
        };
        for (i, share) in ranks(self.models, &mut random).into_iter().enumerate() {
            // One model in five writes long summaries with a longer deadline.
            let is_long = i % 5 == 4;
            specs.push(Spec {
                artifact: artifact(&format!("m{i:02}@1")),
                team: i % 2,
                bytes: Bytes::gib(random.random_range(16..=40)),
                base: None,
                share: share * (1.0 - ADAPTER_SHARE),
                tokens: if is_long { 400.0 } else { 120.0 },
                deadline: Duration::from_secs(if is_long { 60 } else { 8 }),
            });
        }
        for (i, share) in ranks(self.adapters, &mut random).into_iter().enumerate() {
            let base = random.random_range(0..self.models);
            let name = format!("{}+a{i:03}@1", specs[base].artifact);
            specs.push(Spec {
                artifact: artifact(&name),
                base: Some(base),
                bytes: Bytes::mib(random.random_range(100..=600)),
                share: share * ADAPTER_SHARE,
                ..specs[base].clone()
            });
        }
        specs
    }

    /// Returns the teams.
    pub fn teams(&self) -> Vec<Team> {
        let team = |name| Team {
            id: label(name),
            weight: 1.0,
            moves_weight: self.move_weight,
        };
        vec![team("counter"), team("backoffice")]
    }

    /// Returns the placement that an operator would declare from the mean demand: one copy of each
    /// artifact, then copies where the demand per copy is highest until memory is nearly full.
    pub fn declared(&self, specs: &[Spec]) -> Vec<Vec<usize>> {
        let mut free = vec![self.memory; self.engines];
        let mut placed: Vec<Vec<usize>> = vec![Vec::new(); specs.len()];
        let mut load = vec![0.0; self.engines];
        let mut order: Vec<_> = (0..specs.len()).collect();
        // Large models come first because they are hardest to fit; models come before their adapters.
        order.sort_by_key(|i| (specs[*i].base.is_some(), std::cmp::Reverse(specs[*i].bytes)));
        for item in order.iter().copied() {
            self.place(specs, item, &mut placed, &mut free, &mut load);
        }
        loop {
            let demand: Vec<f64> = (0..specs.len())
                .map(|item| {
                    let own = specs[item].share * specs[item].tokens;
                    let adapters = specs.iter().filter(|spec| spec.base == Some(item));
                    let adapters: f64 = adapters.map(|spec| spec.share * spec.tokens).sum();
                    (own + adapters) / placed[item].len() as f64
                })
                .collect();
            order.sort_by(|a, b| demand[*b].total_cmp(&demand[*a]));
            let next = order.iter().copied().find(|item| {
                demand[*item] > MIN_TOKENS_PER_COPY
                    && self.place(specs, *item, &mut placed, &mut free, &mut load)
            });
            if next.is_none() {
                return placed;
            }
        }
    }

    /// Places one more copy of an artifact in the failure domain with the fewest copies, on the least loaded
    /// engine there, and returns whether an engine had room. An adapter needs an engine with its base model.
    fn place(
        &self,
        specs: &[Spec],
        item: usize,
        placed: &mut [Vec<usize>],
        free: &mut [Bytes],
        load: &mut [f64],
    ) -> bool {
        let spec = &specs[item];
        let best = (0..self.engines)
            .filter(|engine| {
                free[*engine] >= spec.bytes
                    && !placed[item].contains(engine)
                    && spec.base.is_none_or(|base| placed[base].contains(engine))
            })
            .min_by(|a, b| {
                let shared = |engine: &usize| {
                    let same = |other: &&usize| *other % self.domains == engine % self.domains;
                    placed[item].iter().filter(same).count()
                };
                shared(a)
                    .cmp(&shared(b))
                    .then(load[*a].total_cmp(&load[*b]))
            });
        let Some(engine) = best else {
            return false;
        };
        free[engine] = free[engine].saturating_sub(spec.bytes);
        load[engine] += spec.share * spec.tokens / (placed[item].len() + 1) as f64;
        placed[item].push(engine);
        true
    }
}

/// Parses an artifact whose text form is known to be valid.
#[expect(clippy::expect_used, reason = "the text is generated by this crate")]
pub(crate) fn artifact(text: &str) -> Artifact {
    text.parse().expect("generated artifact")
}

/// Parses an id whose text form is known to be valid.
pub(crate) fn label<T: std::str::FromStr<Err = id::LabelError>>(text: &str) -> T {
    #[expect(clippy::expect_used, reason = "the text is generated by this crate")]
    text.parse().expect("generated label")
}
