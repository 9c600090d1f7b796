//! Explanation of where a request would be sent now, for operators.
//!
//! An explained request is described by a [`Query`] and takes the decisions that requests take, but it isn't sent: it
//! gets no permit, and changes no counter, charge or place of a prompt prefix.

use std::time::Duration;

use buckthornmast_types::id;
use serde::Serialize;
use snafu::{OptionExt, Snafu};

use crate::{context::millis, refusal::Refusal};

/// Most targets of each list in an explanation, which bounds the size of an answer to about 200 KB.
pub const MAX_ROWS: usize = 256;

/// Longest query in bytes. It has room for each parameter with names of the maximum length.
pub const MAX_QUERY_BYTES: usize = 2048;

/// Longest objective of an explained request. Larger numbers are mistakes.
const MAX_OBJECTIVE: Duration = Duration::from_secs(3600);

/// Reason why a request can't be explained.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Fault {
    /// The query is too long.
    #[snafu(display("the query is longer than {MAX_QUERY_BYTES} bytes"))]
    TooLong,
    /// A parameter is not known, or is given twice.
    #[snafu(display("parameter {name:?} is unknown or given twice"))]
    Parameter {
        /// Its name.
        name: String,
    },
    /// The value of a parameter can't be read.
    #[snafu(display("parameter {name:?} has a value that can't be read"))]
    Value {
        /// Its name.
        name: &'static str,
    },
    /// The query names no service.
    #[snafu(display("parameter \"service\" is missing"))]
    NoService,
    /// An adapter or a prefix is given without a model.
    #[snafu(display("an adapter or prefix needs parameter \"model\""))]
    NoModel,
    /// The routes in force have no such service, or no such route to it.
    #[snafu(display("the routes in force have no such route to service {service}"))]
    NoRoute {
        /// Service.
        service: id::Service,
    },
    /// The routes in force don't name the organisation.
    #[snafu(display("the routes in force don't name organisation {organisation}"))]
    UnknownOrganisation {
        /// Organisation.
        organisation: id::Organisation,
    },
}

/// Description of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// Service.
    pub service: id::Service,
    /// Name of the route; the first one to the service without it.
    pub route: Option<String>,
    /// Model.
    pub model: Option<id::Model>,
    /// Adapter of the model.
    pub adapter: Option<id::Adapter>,
    /// Id of the part of the prompt that other requests share.
    pub prefix: Option<u64>,
    /// Length of the prompt in tokens.
    pub tokens: u32,
    /// Objective in place of that of the route.
    pub objective: Option<Duration>,
    /// Organisation of the caller.
    pub organisation: Option<id::Organisation>,
    /// Priority in place of that of the organisation or route, of which 0 is the most urgent.
    pub priority: Option<u32>,
    /// Id of the request, which breaks ties between targets.
    pub request: String,
}

impl Query {
    /// Parses the query of a URL, `name=value` with `&` between them. Values aren't percent-encoded.
    pub fn parse(text: &str) -> Result<Self, Fault> {
        if text.len() > MAX_QUERY_BYTES {
            return Err(Fault::TooLong);
        }
        let mut pairs: Vec<(&str, &str)> = Vec::new();
        for pair in text.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let is_known = PARAMETERS.contains(&name);
            if !is_known || pairs.iter().any(|(other, _)| *other == name) {
                let name = name.to_owned();
                return Err(Fault::Parameter { name });
            }
            pairs.push((name, value));
        }
        let objective: Option<u64> = parameter(&pairs, "objective_ms")?;
        let objective = objective.map(Duration::from_millis);
        if objective.is_some_and(|objective| objective > MAX_OBJECTIVE) {
            let name = "objective_ms";
            return Err(Fault::Value { name });
        }
        let prefix: Option<String> = parameter(&pairs, "prefix")?;
        let prefix = prefix.map(|prefix| u64::from_str_radix(&prefix, 16));
        let query = Self {
            service: parameter(&pairs, "service")?.context(NoServiceSnafu)?,
            route: parameter(&pairs, "route")?,
            model: parameter(&pairs, "model")?,
            adapter: parameter(&pairs, "adapter")?,
            prefix: prefix
                .transpose()
                .map_err(|_| Fault::Value { name: "prefix" })?,
            tokens: parameter(&pairs, "tokens")?.unwrap_or(0),
            objective,
            organisation: parameter(&pairs, "organisation")?,
            priority: parameter(&pairs, "priority")?,
            request: parameter(&pairs, "request")?.unwrap_or_default(),
        };
        let needs_model = query.adapter.is_some() || query.prefix.is_some();
        if needs_model && query.model.is_none() {
            return Err(Fault::NoModel);
        }
        Ok(query)
    }
}

/// Names of the parameters of a query.
const PARAMETERS: [&str; 10] = [
    "service",
    "route",
    "model",
    "adapter",
    "prefix",
    "tokens",
    "objective_ms",
    "organisation",
    "priority",
    "request",
];

fn parameter<T: std::str::FromStr>(
    pairs: &[(&str, &str)],
    name: &'static str,
) -> Result<Option<T>, Fault> {
    let pair = pairs.iter().find(|(other, _)| *other == name);
    let value = pair.map(|(_, value)| value.parse());
    value.transpose().map_err(|_| Fault::Value { name })
}

/// Target that may be chosen, with the terms of its estimate.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Candidate {
    /// Target.
    pub target: id::Target,
    /// Failure domain.
    pub domain: id::Domain,
    /// Whether it is chosen.
    pub is_chosen: bool,
    /// Whether the leader is asked not to choose it, since it fails.
    pub is_avoided: bool,
    /// Sum of the following four terms, in service times.
    pub score: f64,
    /// Expected time until the answer, in service times.
    pub completion: f64,
    /// Cost of failures, in service times.
    pub failure_cost: f64,
    /// Cost of another failure domain, in service times.
    pub distance: f64,
    /// Noise that keeps instances from choosing the same target, in service times.
    pub noise: f64,
    /// Estimated number of requests at the target.
    pub requests: f64,
    /// Number of this instance's requests among them.
    pub own_requests: u32,
    /// Number of requests that it runs concurrently.
    pub slots: f64,
    /// Slowdown, as a ratio of the usual time.
    pub slowdown: f64,
    /// Failure rate, from 0 to 1.
    pub failure_rate: f64,
    /// Expected wait for a slot in milliseconds.
    pub wait_ms: u64,
    /// Age of the load that the target reported last in milliseconds, if it reported one.
    pub load_age_ms: Option<u64>,
    /// Time since the target was last heard of in milliseconds.
    pub heard_age_ms: Option<u64>,
}

/// Reason why a target is not considered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(tag = "reason", rename_all = "kebab-case")]
pub enum Reason {
    /// It has withdrawn.
    Withdrawn,
    /// It has announced that it takes no new work.
    NotReady,
    /// It has stated in an answer that it leaves.
    Leaving,
    /// A target that started later has its address.
    Replaced,
    /// The model isn't resident.
    LacksModel,
    /// The adapter isn't resident.
    LacksAdapter,
    /// It has another version than the target that began the stream.
    OtherVersion,
    /// It wants no request for some time.
    Paused {
        /// Time that is left in milliseconds.
        remaining_ms: u64,
    },
    /// It takes requests at a limited rate, and only with a grant of the leader.
    Limited,
    /// It has failed repeatedly and is excluded for some time.
    Ejected,
    /// The request has been sent there already.
    Tried,
}

/// Target that is not considered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Excluded {
    /// Target.
    pub target: id::Target,
    /// Failure domain.
    pub domain: id::Domain,
    /// Reason.
    #[serde(flatten)]
    pub reason: Reason,
}

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The end of the pause of a target.
    Pause,
    /// A grant of the leader for a target with a limit.
    Grant,
    /// A copy of the model or adapter, which the leader is asked for.
    Copy,
    /// A target of the service.
    Target,
}

/// What would become of the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Outcome {
    /// It is sent to a target.
    Target {
        /// Target.
        target: id::Target,
        /// Expected wait for a slot there in milliseconds.
        wait_ms: u64,
        /// Rank among the requests of the target, if it isn't the default.
        rank: Option<u8>,
    },
    /// It waits, and is refused if that is in vain.
    Wait {
        /// What it waits for.
        cause: Cause,
        /// Longest wait in milliseconds.
        at_most_ms: u64,
    },
    /// It is refused.
    Refusal {
        /// Reason.
        cause: &'static str,
        /// Status of the response.
        status: u16,
        /// `Retry-After` of the response in milliseconds.
        retry_after_ms: u64,
    },
}

impl From<Refusal> for Outcome {
    fn from(refusal: Refusal) -> Self {
        Self::Refusal {
            cause: refusal.as_str(),
            status: refusal.status().as_u16(),
            retry_after_ms: millis(refusal.retry_after()),
        }
    }
}

/// Where a request would be sent now, and why.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Explanation {
    /// Instance that decides.
    pub instance: id::Instance,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Service.
    pub service: id::Service,
    /// Route.
    pub route: Option<String>,
    /// Objective in milliseconds.
    pub objective_ms: Option<u64>,
    /// Priority, of which 0 is the most urgent.
    pub priority: Option<u32>,
    /// Whether the leader, if one answers, is asked first for a permit. The outcome is the decision without one.
    pub asks_leader: bool,
    /// Targets that may be chosen, by their scores.
    pub candidates: Vec<Candidate>,
    /// Other targets of the service, by name.
    pub excluded: Vec<Excluded>,
    /// Number of targets that both lists leave out.
    pub omitted: usize,
    /// Outcome.
    #[serde(flatten)]
    pub outcome: Outcome,
}
