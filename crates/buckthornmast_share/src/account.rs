//! Service that organisations have received.
//!
//! The service of an organisation decays, so that it can neither save up for a flood nor pay for an old one, and a new
//! leader, which starts without an account, soon knows as much as the one before.

use std::{collections::HashMap, fmt, ops::AddAssign, time::Duration};

use buckthornmast_types::{id, time::Point};

/// Time over which the service is counted: some seconds, as long as most floods.
const SPAN: Duration = Duration::from_secs(5);

/// Cost of an answer token, in prompt tokens. A target reads a prompt in large batches and writes an answer token by
/// token; usual prices of language models differ by the same factor or less.
const ANSWER_TOKEN_COST: f64 = 3.0;

/// Cost of a request beyond its tokens: it takes a slot and a step of its own, however small it is.
const REQUEST_COST: f64 = 64.0;

/// Service below which an organisation counts as idle, in prompt tokens: that of one small request.
const NEGLIGIBLE: f64 = 64.0;

/// Interval at which idle organisations are removed.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Service that doesn't count towards a share: that of one large request. While an account is new, single requests are
/// most of what it knows.
const LARGE_REQUEST: f64 = 4096.0;

/// Service above which an organisation is beyond its share, as a ratio of the mean of all that aren't idle. Requests come
/// in lumps, so equal organisations differ by less than this.
const SHARE_MARGIN: f64 = 1.25;

/// Service that a request takes, in prompt tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct Cost(f64);

impl Cost {
    /// Returns the expected cost of a request with these numbers of tokens.
    pub fn of_tokens(prompt: u32, answer: u32) -> Self {
        Self(REQUEST_COST + f64::from(prompt) + f64::from(answer) * ANSWER_TOKEN_COST)
    }

    /// Returns the number of prompt tokens.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl AddAssign for Cost {
    fn add_assign(&mut self, other: Self) {
        self.0 += other.0;
    }
}

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.0} tokens", self.0)
    }
}

/// Requests of one organisation and priority.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Flow {
    /// Organisation. Requests without one form a common one.
    pub organisation: Option<id::Organisation>,
    /// Priority, of which 0 is the most urgent.
    pub priority: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct Decaying {
    amount: f64,
    updated_at: Point,
}

impl Decaying {
    fn get(&self, now: Point) -> f64 {
        let passed = now.since(self.updated_at).as_secs_f64();
        self.amount * (-passed / SPAN.as_secs_f64()).exp()
    }

    fn add(&mut self, cost: Cost, now: Point) {
        self.amount = self.get(now) + cost.0;
        self.updated_at = self.updated_at.max(now);
    }
}

/// Recent service of all organisations.
#[derive(Debug, Clone, Default)]
pub struct Account {
    total: Decaying,
    organisations: HashMap<Option<id::Organisation>, Decaying>,
    flows: HashMap<Flow, Decaying>,
    pruned_at: Point,
}

impl Account {
    /// Counts a request that is served now.
    pub fn charge(&mut self, flow: &Flow, cost: Cost, now: Point) {
        if now.since(self.pruned_at) >= PRUNE_INTERVAL {
            self.prune(now);
        }
        self.total.add(cost, now);
        let of_organisation = self.organisations.entry(flow.organisation.clone());
        of_organisation.or_default().add(cost, now);
        self.flows.entry(flow.clone()).or_default().add(cost, now);
    }

    /// Returns the recent service of an organisation.
    pub fn service(&self, organisation: &Option<id::Organisation>, now: Point) -> Cost {
        let of_organisation = self.organisations.get(organisation);
        Cost(of_organisation.map_or(0.0, |service| service.get(now)))
    }

    /// Returns the recent service of the requests of one organisation and priority.
    pub fn flow_service(&self, flow: &Flow, now: Point) -> Cost {
        let of_flow = self.flows.get(flow);
        Cost(of_flow.map_or(0.0, |service| service.get(now)))
    }

    /// Returns whether no organisation has had service for long.
    pub fn is_idle(&self, now: Point) -> bool {
        self.total.get(now) < NEGLIGIBLE
    }

    /// Returns whether an organisation received more than its share.
    pub fn is_beyond_share(&self, organisation: &Option<id::Organisation>, now: Point) -> bool {
        self.service(organisation, now) > self.share_limit(now)
    }

    /// Returns the service above which an organisation is beyond its share.
    pub fn share_limit(&self, now: Point) -> Cost {
        let mean = self.total.get(now) / self.organisations.len().max(1) as f64;
        Cost(mean * SHARE_MARGIN + LARGE_REQUEST)
    }

    /// Removes organisations that have had no service for long.
    fn prune(&mut self, now: Point) {
        self.pruned_at = now;
        self.organisations
            .retain(|_, service| service.get(now) >= NEGLIGIBLE);
        self.flows
            .retain(|_, service| service.get(now) >= NEGLIGIBLE);
    }
}
