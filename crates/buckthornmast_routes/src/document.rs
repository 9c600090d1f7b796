//! Document of routes, and the validation that it must pass before it is accepted.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    time::Duration,
};

use buckthornmast_types::{id, rate::Rate, size::Bytes};
use snafu::Snafu;

use crate::register::Revision;

/// Maximum length of a key in bytes. It leaves room for the other headers of a request.
pub const MAX_KEY_BYTES: usize = 256;

/// Conditions for repeating a request when the outcome of an attempt is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    Once,
    /// The answer is a stream of numbered events. The request may run at most once, unless the stream can be resumed.
    Stream {
        /// Whether another target may resume the stream after the last forwarded event.
        resumable: bool,
        /// Maximum time between two events that counts as on time.
        gap: Duration,
    },
}

impl Kind {
    /// Returns whether a request may run again when the outcome of an attempt is unknown.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::Once => false,
            Self::Stream { resumable, .. } => resumable,
        }
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Rule for the requests of a host below a path.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host in lower case.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub prefix: String,
    /// Conditions for repeating a request.
    pub kind: Kind,
    /// Services and their weights. Requests are split in proportion to them.
    pub services: Vec<(id::Service, u32)>,
    /// Maximum time until the end of the answer.
    pub timeout: Duration,
    /// Target time for the whole answer, or for the first event of a stream.
    pub objective: Duration,
    /// Maximum number of attempts of one request. Attempts that certainly did not run it are not counted.
    pub attempts: u32,
    /// Priority, of which 0 is the most urgent.
    pub priority: u32,
    /// Whether requests with a common prompt prefix should go to the same target.
    pub affinity: bool,
    /// Whether requests need no key, although the document names organisations.
    pub is_public: bool,
}

/// Model that the targets of a service may load.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Name.
    pub name: id::Model,
    /// Size of its weights.
    pub weights: Bytes,
    /// Time of a load from the weight store.
    pub load: Duration,
    /// Time of a load from a copy in the target's main memory.
    pub memory_load: Duration,
    /// Time of a load from a copy on the target's disk.
    pub disk_load: Duration,
    /// Size of each adapter.
    pub adapter: Bytes,
}

/// Model engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// Requests that a target runs concurrently.
    pub slots: u32,
    /// Accelerator memory of a target for weights and adapters.
    pub memory: Bytes,
    /// Maximum number of adapters at a target.
    pub adapters: u32,
    /// Maximum rate of loads from the weight store, over all targets.
    pub loads: Rate,
    /// Tokens that fit into a target's cache.
    pub cache_tokens: u64,
    /// Models.
    pub models: BTreeMap<id::Model, Model>,
}

/// Service that requests are routed to.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: id::Service,
    /// Connections that a target accepts from all instances in total.
    pub connections: u32,
    /// Model engines, if the service has them.
    pub pool: Option<Pool>,
}

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Each request counts as one.
    Requests,
    /// A request counts as the tokens of its prompt and its longest answer.
    Tokens {
        /// What a request counts as that states no number of tokens.
        plain: u64,
    },
}

/// Bound on the requests of an organisation at all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// What it counts.
    pub unit: Unit,
    /// Units a second.
    pub rate: Rate,
    /// Units beyond the rate that may be used at once.
    pub burst: f64,
}

/// Customer whose requests carry one of its keys.
#[derive(Clone, PartialEq)]
pub struct Organisation {
    /// Name.
    pub name: id::Organisation,
    /// Keys. They are secrets: neither logged nor passed on.
    pub keys: Vec<String>,
    /// Priority of its requests in place of that of their route, of which 0 is the most urgent.
    pub priority: Option<u32>,
    /// Quota, if it has one.
    pub quota: Option<Quota>,
}

impl fmt::Debug for Organisation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Organisation")
            .field("name", &self.name)
            .field("keys", &self.keys.len())
            .field("priority", &self.priority)
            .field("quota", &self.quota)
            .finish()
    }
}

/// Limits on requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head: usize,
    /// Maximum size of a request body, in bytes.
    pub body: usize,
    /// Maximum time to receive a request head.
    pub head_time: Duration,
    /// Maximum idle time of a connection.
    pub idle: Duration,
}

/// Routes, services and limits of one version.
#[derive(Debug, Clone, PartialEq)]
pub struct Document {
    /// Version.
    pub version: Revision,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: BTreeMap<id::Service, Service>,
    /// Limits.
    pub limits: Limits,
    /// Organisations that hold keys. Without any, requests need no key.
    pub organisations: Vec<Organisation>,
}

/// Reason why a document is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Fault {
    /// A route names a service that the document does not define.
    #[snafu(display("route {route:?} names the unknown service {service}"))]
    Service {
        /// Route.
        route: String,
        /// Service.
        service: id::Service,
    },
    /// Two routes match the same requests.
    #[snafu(display("two routes have the host {host:?} and the prefix {prefix:?}"))]
    Duplicate {
        /// Host.
        host: String,
        /// Prefix.
        prefix: String,
    },
    /// All weights of a route are 0, so no service can be chosen.
    #[snafu(display("the weights of route {route:?} add up to 0"))]
    Weight {
        /// Route.
        route: String,
    },
    /// The timeout of a route is 0, so every request would be late.
    #[snafu(display("the timeout of route {route:?} is 0"))]
    Timeout {
        /// Route.
        route: String,
    },
    /// A prefix lacks a slash at its start or end, so it could match unrelated paths.
    #[snafu(display("the prefix {prefix:?} of route {route:?} lacks a slash at its start or end"))]
    Prefix {
        /// Route.
        route: String,
        /// Prefix.
        prefix: String,
    },
    /// Two organisations have the same name.
    #[snafu(display("two organisations have the name {organisation}"))]
    DuplicateOrganisation {
        /// Organisation.
        organisation: id::Organisation,
    },
    /// A key is empty, too long, or can't be sent in a header.
    #[snafu(display(
        "key {number} of organisation {organisation} is not 1 to {MAX_KEY_BYTES} visible ASCII characters"
    ))]
    Key {
        /// Organisation.
        organisation: id::Organisation,
        /// Position of the key, from 1. The key itself is a secret.
        number: usize,
    },
    /// Two organisations hold the same key, so its callers can't be told apart.
    #[snafu(display("the organisations {first} and {second} share a key"))]
    SharedKey {
        /// Organisation.
        first: id::Organisation,
        /// Organisation.
        second: id::Organisation,
    },
}

impl Document {
    /// Returns the first fault.
    pub fn check(&self) -> Result<(), Fault> {
        self.check_routes()?;
        self.check_organisations()
    }

    fn check_organisations(&self) -> Result<(), Fault> {
        let mut names = BTreeSet::new();
        let mut holders = BTreeMap::new();
        for organisation in &self.organisations {
            let name = &organisation.name;
            if !names.insert(name) {
                return Err(Fault::DuplicateOrganisation {
                    organisation: name.clone(),
                });
            }
            for (index, key) in organisation.keys.iter().enumerate() {
                let is_visible = key.bytes().all(|byte| byte.is_ascii_graphic());
                if key.is_empty() || key.len() > MAX_KEY_BYTES || !is_visible {
                    return Err(Fault::Key {
                        organisation: name.clone(),
                        number: index + 1,
                    });
                }
                let holder = *holders.entry(key.as_str()).or_insert(name);
                if holder != name {
                    return Err(Fault::SharedKey {
                        first: holder.clone(),
                        second: name.clone(),
                    });
                }
            }
        }
        Ok(())
    }

    fn check_routes(&self) -> Result<(), Fault> {
        let mut seen = BTreeSet::new();
        for route in &self.routes {
            let name = || route.name.clone();
            let unknown = route
                .services
                .iter()
                .find(|(service, _)| !self.services.contains_key(service));
            if let Some((service, _)) = unknown {
                return Err(Fault::Service {
                    route: name(),
                    service: service.clone(),
                });
            }
            if route.services.iter().all(|(_, weight)| *weight == 0) {
                return Err(Fault::Weight { route: name() });
            }
            if route.timeout.is_zero() {
                return Err(Fault::Timeout { route: name() });
            }
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                return Err(Fault::Prefix {
                    route: name(),
                    prefix: route.prefix.clone(),
                });
            }
            if !seen.insert((&route.host, &route.prefix)) {
                return Err(Fault::Duplicate {
                    host: route.host.clone(),
                    prefix: route.prefix.clone(),
                });
            }
        }
        Ok(())
    }
}
