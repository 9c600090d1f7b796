//! Reports of targets: intake, relay to the other instances, and the newest report of each target.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread::{self, JoinHandle},
    time::Duration,
};

use buckthornmast_http::{exchange::Exchange, problem::Problem, response::Response};
use buckthornmast_target::cache::EVENTS_PATH;
use buckthornmast_types::{
    id,
    report::Report,
    time::{Clock, Point, System},
};
use flume::{Receiver, RecvTimeoutError, Sender};

use crate::{
    cache::Feed,
    demand::{Demand, Due},
    message::{Notice, Relayed},
    peers::Peers,
    relay::{Content, Outbox, content_of},
};

/// Largest report in bytes; one with 1,000 artifacts has about 100 KB.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Maximum number of targets; more than this means that names are forged or never retired.
const MAX_TARGETS: usize = 20_000;

/// Time without a report after which a target is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Interval between two batches of relayed reports, so that a change is known everywhere well within the
/// 3 s after which a leaving target gets no new work.
const RELAY_INTERVAL: Duration = Duration::from_millis(200);

/// Rounds of the relay between two demand notices, which make one second.
const DEMAND_ROUNDS: u32 = 5;

/// Time that the second instance with a report waits for the first one to relay it: two rounds of the relay.
const BACKUP_DELAY: Duration = Duration::from_millis(400);

/// Maximum number of reports in one notice.
const MAX_REPORTS_PER_NOTICE: usize = 64;

/// Newest report of a target.
#[derive(Debug, Clone)]
pub struct Observation {
    /// Report.
    pub report: Arc<Report>,
    /// Time at which the target sent it, on this instance's clock.
    pub sent: Point,
    /// Hash of the fields that do not change with every report.
    pub content: Content,
}

/// Source of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The target itself, with this instance as the first to relay the report.
    Target,
    /// The target itself, with another instance as the first to relay the report.
    Backup,
    /// Another instance.
    Instance,
}

/// Channel that receives each newer report.
pub type Listener = Sender<Observation>;

#[derive(Default)]
struct Table {
    latest: BTreeMap<id::Target, Observation>,
    outbox: Outbox,
    listeners: Vec<Listener>,
}

/// Newest reports of all targets.
#[derive(Clone)]
pub struct Targets {
    table: Arc<Mutex<Table>>,
    cache: Feed,
    clock: System,
}

impl Targets {
    /// Returns a table without targets.
    pub fn new(clock: System) -> Self {
        Self {
            table: Arc::default(),
            cache: Feed::new(clock),
            clock,
        }
    }

    /// Returns the intake of cache events.
    pub fn cache(&self) -> &Feed {
        &self.cache
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a listener, which receives every newer report unless its queue is full.
    pub fn subscribe(&self, listener: Listener) {
        self.lock().listeners.push(listener);
    }

    /// Accepts a report that its target sent `age` ago, and returns whether it is newer.
    pub fn accept(&self, report: Report, age: Duration, origin: Origin) -> bool {
        let content = content_of(&report);
        self.accept_known(report, content, age, origin)
    }

    fn accept_known(
        &self,
        report: Report,
        content: Content,
        age: Duration,
        origin: Origin,
    ) -> bool {
        let now = self.clock.now();
        let target = report.target.clone();
        let mut table = self.lock();
        if let Some(observation) = table.latest.get(&target)
            && !report.supersedes(&observation.report)
        {
            return false;
        }
        if table.latest.len() >= MAX_TARGETS && !table.latest.contains_key(&target) {
            log::warn!(step = "report", peer = target.as_str(); "report of a new target dropped: the maximum number of targets is reached");
            return false;
        }
        let observation = Observation {
            content,
            report: Arc::new(report),
            sent: now - age,
        };
        table.listeners.retain(|listener| {
            !matches!(
                listener.try_send(observation.clone()),
                Err(flume::TrySendError::Disconnected(_))
            )
        });
        match origin {
            Origin::Target => table.outbox.put(observation.clone(), now),
            Origin::Backup => table.outbox.put(observation.clone(), now + BACKUP_DELAY),
            Origin::Instance => table.outbox.remove_relayed(&observation.report),
        }
        table.latest.insert(target, observation);
        true
    }

    /// Accepts reports relayed by another instance, and returns the targets whose content is missing.
    pub fn accept_relayed(&self, relayed: Vec<Relayed>) -> Vec<id::Target> {
        let mut missing = Vec::new();
        for relayed in relayed {
            let (report, content, age_ms) = match relayed {
                Relayed::Full { report, age_ms } => {
                    let content = content_of(&report);
                    (*report, content, age_ms)
                }
                Relayed::Brief {
                    target,
                    incarnation,
                    sequence,
                    content,
                    leaving,
                    load,
                    age_ms,
                } => {
                    let observation = self.get(&target);
                    let previous = observation.filter(|observation| {
                        observation.report.incarnation == incarnation
                            && observation.content == content
                    });
                    let Some(previous) = previous else {
                        missing.push(target);
                        continue;
                    };
                    let mut report = Report::clone(&previous.report);
                    report.sequence = sequence;
                    report.is_leaving = leaving;
                    report.load = load;
                    (report, content, age_ms)
                }
            };
            let age = Duration::from_millis(age_ms);
            self.accept_known(report, content, age, Origin::Instance);
        }
        missing
    }

    /// Relays full reports of these targets next time.
    pub fn request_full(&self, targets: Vec<id::Target>) {
        self.lock().outbox.request_full(targets);
    }

    /// Returns the newest report of a target.
    pub fn get(&self, target: &id::Target) -> Option<Observation> {
        self.lock().latest.get(target).cloned()
    }

    /// Closes the channels of all listeners, including those of cache events.
    pub fn end_subscriptions(&self) {
        self.lock().listeners.clear();
        self.cache.end_subscriptions();
    }

    /// Returns the newest report of each target.
    pub fn all(&self) -> Vec<Observation> {
        self.lock().latest.values().cloned().collect()
    }

    fn take_relay(&self) -> Vec<Relayed> {
        let now = self.clock.now();
        self.lock().outbox.take_due(now)
    }

    fn forget_old(&self) {
        let now = self.clock.now();
        let table = &mut *self.lock();
        table
            .latest
            .retain(|_, observation| now.since(observation.sent) < FORGET_AFTER);
        let latest = &table.latest;
        table.outbox.retain(|target| latest.contains_key(target));
    }

    /// Serves the port of the targets.
    pub fn serve(&self, mut exchange: Exchange) {
        let is_backup = exchange.query() == Some("backup=yes");
        let origin = if is_backup {
            Origin::Backup
        } else {
            Origin::Target
        };
        match (exchange.method(), exchange.path()) {
            ("POST", "/v1/report") => {}
            ("POST", EVENTS_PATH) => {
                let answer = self.cache.serve(&mut exchange, origin);
                return respond(exchange, answer.unwrap_or_else(Into::into));
            }
            _ => return respond(exchange, Problem::new(404, "no such path", "route").into()),
        }
        let report = exchange
            .take_text(MAX_REPORT_BYTES)
            .map_err(Problem::from)
            .and_then(|text| {
                serde_json::from_str::<Report>(&text).map_err(|error| {
                    Problem::new(400, "bad report", "parse").detail(error.to_string())
                })
            });
        match report {
            Ok(report) => {
                self.accept(report, Duration::ZERO, origin);
                respond(exchange, Response::json(200, "{}"));
            }
            Err(problem) => respond(exchange, problem.into()),
        }
    }
}

fn respond(exchange: Exchange, response: Response) {
    if let Err(error) = exchange.respond(response) {
        log::debug!(step = "report"; "answering a target failed: {error}");
    }
}

/// Handle of the thread that relays reports, demand and cache events.
pub struct Relay {
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Relay {
    /// Stops the thread and joins it.
    pub fn stop(&mut self) {
        self.stop = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Starts the thread that relays reports and demand to all other instances, and cache events to the other
/// instances of the failure domain.
pub fn relay(
    targets: Targets,
    demand: Demand,
    peers: Peers,
    others: Vec<id::Instance>,
    domain: Vec<id::Instance>,
) -> std::io::Result<Relay> {
    let (stop, stopped) = flume::bounded(1);
    let run = move || relay_until(&stopped, &targets, &demand, &peers, &others, &domain);
    let thread = thread::Builder::new().name("relay".to_owned()).spawn(run)?;
    Ok(Relay {
        stop: Some(stop),
        thread: Some(thread),
    })
}

fn send_demand(due: Due, peers: &Peers, others: &[id::Instance]) {
    if let Some(update) = due.update {
        for other in others {
            peers.notify(other, Notice::Demand(update.clone()));
        }
    }
    if let Some((requesters, complete)) = due.replies {
        for other in requesters {
            peers.notify(&other, Notice::Demand(complete.clone()));
        }
    }
    for other in due.missing {
        peers.notify(&other, Notice::DemandRequest);
    }
}

fn relay_until(
    stopped: &Receiver<()>,
    targets: &Targets,
    demand: &Demand,
    peers: &Peers,
    others: &[id::Instance],
    domain: &[id::Instance],
) {
    let mut round = 0_u32;
    while stopped.recv_timeout(RELAY_INTERVAL) == Err(RecvTimeoutError::Timeout) {
        let relayed = targets.take_relay();
        for batch in relayed.chunks(MAX_REPORTS_PER_NOTICE) {
            for other in others {
                peers.notify(other, Notice::Reports(batch.to_vec()));
            }
        }
        let relayed_events = targets.cache.take_relay(domain.len());
        if !relayed_events.is_empty() {
            for other in domain {
                peers.notify(other, Notice::Cache(relayed_events.clone()));
            }
        }
        if round.is_multiple_of(DEMAND_ROUNDS) {
            send_demand(demand.take_due(), peers, others);
            targets.forget_old();
        }
        round = round.wrapping_add(1);
    }
}
