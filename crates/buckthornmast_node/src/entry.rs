//! An entry instance: forwards the requests of callers to targets.

mod confirmations;
mod credit;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use buckthornmast_discovery::roster::Roster;
use buckthornmast_fleet::registry::Merge;
use buckthornmast_forward::{
    brittle,
    budget::Budget,
    context::millis,
    forwarder::Forwarder,
    memory::Memory,
    quota::Credit,
    state::{Inventory, RetryBounds, State},
    stats::Change,
    stop,
};
use buckthornmast_limit::{
    statement::{Report, Statement},
    view::View,
};
use buckthornmast_link::Outbox;
use buckthornmast_origin::{inquiry::Answer, record as origin};
use buckthornmast_quarantine::ledger::Notice;
use buckthornmast_supply::occupancy;
use buckthornmast_types::{
    id,
    time::{Clock, Point, System},
};
use buckthornmast_way::way::{Key, Way};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    dial::{Connections, Dialer},
    http::{Handler, empty_response},
    message::{
        Downstream, Liveness, UNDERSTANDS_CONFIRMATIONS, UNDERSTANDS_CREDIT, UNDERSTANDS_ORIGINS,
        Upstream, with_versions,
    },
    platform::Platform,
    settings::{Service, Settings},
    supplier::Shared,
};

/// Interval of the main loop.
const TICK_INTERVAL: Duration = Duration::from_millis(400);

/// Number of ticks between two reports of the quarantines. An instance of the core that missed the evidence permits no
/// trial, and one that missed the refutation passes the quarantine on.
const QUARANTINE_REPORT_TICKS: u64 = 25;

/// Age up to which the versions of streams are reported to an instance of the core that may have lost them. Callers go on
/// with no older streams.
const ORIGIN_AGE: Duration = Duration::from_secs(60);

/// Time before the connections of callers are closed in a stop from which all requests that still wait for a target are
/// refused, so that the response arrives before this instance ends.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(1400);

/// Entry instance.
pub struct Entry<P: Platform> {
    /// Forwarder of callers' requests.
    pub forwarder: Rc<Forwarder<P::Headers, Shared>>,
    platform: P,
    instance: id::Instance,
    settings: RefCell<Settings>,
    roster: RefCell<Roster>,
    supplier: Shared,
    connections: Connections,
    is_stopping: Cell<bool>,
    key: Key,
    budget: Budget,
    // Ways by the instance of the core that names them. One that is cut off knows fewer.
    ways: RefCell<BTreeMap<SocketAddr, Vec<Way>>>,
}

impl<P: Platform> Entry<P> {
    /// Creates an entry instance without routes or targets.
    pub fn new(platform: P, settings: Settings) -> Rc<Self> {
        let retry_bounds = RetryBounds {
            ratio: settings.bounds.extra_ratio,
            burst: settings.bounds.extra_burst,
            window: settings.bounds.extra_window,
        };
        let supplier = Shared::default();
        let mut state = State::new(retry_bounds);
        if let Service::Entry { source, .. } = &settings.service {
            state.source = *source;
        }
        state.credit = Credit::new(settings.bounds.quota_terms);
        state.lease.set_bound(settings.bounds.key_lease);
        let budget = Budget::new(
            settings.bounds.memory_bytes(),
            settings.bounds.connections(),
        );
        state.set_memory(Memory::new(budget.bytes));
        let place = xxh3_64(settings.instance.as_str().as_bytes());
        state.limits = View::new(place);
        state.brittle = brittle::Board::new(place);
        let forwarder = Forwarder {
            mapping: platform.headers(),
            supply: supplier.clone(),
            clock: System::start(),
            instance: settings.instance.clone(),
            domain: settings.domain.clone(),
            state: Rc::new(RefCell::new(state)),
        };
        Rc::new(Self {
            forwarder: Rc::new(forwarder),
            platform,
            instance: settings.instance.clone(),
            settings: RefCell::new(settings),
            roster: RefCell::default(),
            supplier,
            connections: Connections::default(),
            is_stopping: Cell::new(false),
            key: Key(rand::random()),
            budget,
            ways: RefCell::default(),
        })
    }

    /// Returns what callers may make this instance hold.
    pub fn budget(&self) -> Budget {
        self.budget
    }

    /// Returns the key that tunnels through this instance need.
    pub fn key(&self) -> Key {
        self.key
    }

    /// Sets the ways that an instance of the core names.
    fn set_ways(&self, state: &mut State, peer: SocketAddr, ways: Option<Vec<Way>>) {
        let mut by_peer = self.ways.borrow_mut();
        match ways {
            Some(ways) => by_peer.insert(peer, ways),
            None => by_peer.remove(&peer),
        };
        let mut all: Vec<Way> = Vec::new();
        for way in by_peer.values().flatten() {
            // Another key or address is that of another start; the next update leaves one of them.
            if !all.contains(way) {
                all.push(way.clone());
            }
        }
        state.ways.set(all);
    }

    /// Applies changed settings.
    pub fn set_settings(&self, settings: Settings) {
        if let Service::Entry { source, .. } = &settings.service {
            let mut state = self.forwarder.state.borrow_mut();
            state.source = *source;
            state.lease.set_bound(settings.bounds.key_lease);
        }
        self.settings.replace(settings);
    }

    /// Begins the stop: the instance is not ready any more, and requests that are not expected to end before the connections
    /// of callers are closed, after this time, are refused.
    pub fn begin_stop(&self, closed_after: Duration) {
        self.is_stopping.set(true);
        let now = self.forwarder.clock.now();
        self.forwarder.state.borrow_mut().stop = Some(stop::Plan {
            refuse_at: now + closed_after.saturating_sub(FINAL_RESPONSE_TIME),
            ends_at: now + closed_after,
        });
    }

    /// Returns whether this instance has routes and is not stopping.
    pub fn is_ready(&self) -> bool {
        let state = self.forwarder.state.borrow();
        !self.is_stopping.get() && state.version().is_some()
    }

    /// Runs this instance, and never returns.
    pub async fn run(self: Rc<Self>) {
        tokio::join!(self.run_ticks(), self.report_occupancy(), self.keep_lease());
    }

    /// Tells the leader about the requests at targets whenever they have changed.
    async fn report_occupancy(&self) {
        let changed = Rc::clone(&self.forwarder.state.borrow().stats.changed);
        // Term of the leader that was told, and the time at which it was told everything.
        let mut told: Option<(id::Term, Point)> = None;
        loop {
            // Without a change, it is time for a complete report.
            let _ = timeout(occupancy::REFRESH_INTERVAL, changed.notified()).await;
            let instances = self.forwarder.state.borrow().instances();
            sleep(occupancy::report_interval(instances)).await;
            let Some(term) = self.supplier.0.leading_term() else {
                continue;
            };
            let now = self.forwarder.clock.now();
            let is_complete = told.is_none_or(|(told_term, at)| {
                told_term != term || now.since(at) >= occupancy::REFRESH_INTERVAL
            });
            if is_complete {
                told = Some((term, now));
            }
            let changes = self
                .forwarder
                .state
                .borrow_mut()
                .take_changes(is_complete, now);
            self.supplier
                .0
                .report_occupancy(changes.into_iter().map(occupancy_row).collect());
        }
    }

    /// Runs the main loop, and never returns.
    async fn run_ticks(self: &Rc<Self>) {
        for tick in 0_u64.. {
            let now = self.forwarder.clock.now();
            let addresses = {
                let mut roster = self.roster.borrow_mut();
                roster.set_seeds(self.settings.borrow().seed_peers());
                roster.prune(now);
                roster.addresses()
            };
            self.supplier.0.set_core_size(addresses.len());
            self.connections.set(&addresses, self);
            self.supplier.0.report();
            {
                let mut state = self.forwarder.state.borrow_mut();
                state.prune(now);
                state
                    .limits
                    .set_reachable(self.supplier.0.knows_leader(), now);
            }
            self.tick_credit();
            self.forwarder.probe();
            if tick.is_multiple_of(QUARANTINE_REPORT_TICKS) {
                let notices = self.forwarder.state.borrow().guard.notices_in_force(now);
                self.supplier.0.report_quarantines_everywhere(notices);
            }
            self.observe_memory();
            sleep(TICK_INTERVAL).await;
        }
    }

    /// Publishes what callers make this instance hold.
    fn observe_memory(&self) {
        let state = self.forwarder.state.borrow();
        metrics::gauge!("buckthornmast_client_memory_bytes").set(state.memory.used() as f64);
        metrics::gauge!("buckthornmast_bodies_waiting").set(state.intake.waiting() as f64);
    }
}

/// Encodes the change of this instance's requests at a target.
fn occupancy_row(
    (target, incarnation, change): (id::Target, id::Incarnation, Change),
) -> occupancy::Row {
    let stated = change.reported.map(|(load, age)| occupancy::Statement {
        requests: load.running.saturating_add(load.waiting),
        slowdown: load.slowdown,
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    });
    occupancy::Row {
        target,
        incarnation,
        running: change.running,
        begun: change.begun,
        stated,
    }
}

impl<P: Platform> Entry<P> {
    /// Adds the quarantines of an instance of the core, and refutes those on whose parts targets have answered.
    fn merge_quarantines(&self, state: &mut State, notices: &[Notice], peer: SocketAddr) {
        for notice in notices.iter().filter(|notice| !notice.is_watch()) {
            log::info!(step = "quarantine", parts:% = notice.parts, age_ms = millis(notice.age), remaining_ms = millis(notice.remaining), peer:% = peer; "the core quarantines prompt parts");
        }
        let refuted = state.guard.merge(notices, self.forwarder.clock.now());
        if !refuted.is_empty() {
            log::info!(step = "quarantine", parts:% = refuted, peer:% = peer; "targets have answered on quarantined parts; clearing them");
            self.supplier.0.report_progress(refuted);
        }
    }
}

impl<P: Platform> Entry<P> {
    /// Tells a new leader the limits that this instance knows.
    fn report_limits(&self, state: &State) {
        let limits = state.limits.limits(self.forwarder.clock.now());
        let reports = limits.map(|(key, rate, age)| Report {
            key: key.clone(),
            statement: Statement::Limited(rate),
            age,
            grant: None,
        });
        self.supplier.0.report_limits(reports);
    }
}

impl<P: Platform> Dialer for Entry<P> {
    fn hello(&self) -> Upstream {
        let settings = self.settings.borrow();
        let way = match &settings.service {
            Service::Entry {
                tunnels: Some(address),
                ..
            } => Some(Way {
                instance: self.instance.clone(),
                domain: settings.domain.clone(),
                address: *address,
                key: self.key,
            }),
            _ => None,
        };
        Upstream::Entry(self.instance.clone(), way)
    }

    fn opened(&self, peer: SocketAddr, outbox: Outbox<Upstream>) {
        self.supplier.0.opened(peer, outbox);
        let now = self.forwarder.clock.now();
        let notices = self.forwarder.state.borrow().guard.notices(now);
        self.supplier.0.report_quarantines(peer, notices);
    }

    fn receive(&self, peer: SocketAddr, message: Downstream) {
        let now = self.forwarder.clock.now();
        let mut state = self.forwarder.state.borrow_mut();
        self.hear(&mut state, peer);
        match message {
            Downstream::Roster(entries) => {
                let mut roster = self.roster.borrow_mut();
                roster.merge(&entries, now);
                self.supplier.0.set_core_size(roster.addresses().len());
            }
            Downstream::EntryCount(entry_count, features) => {
                state.set_instances(entry_count);
                state.credit.purse.borrow_mut().set_instances(entry_count);
                if features >= UNDERSTANDS_CREDIT {
                    self.supplier.0.add_lender(peer);
                }
                if features >= UNDERSTANDS_CONFIRMATIONS {
                    self.supplier.0.set_confirms(peer);
                }
                if features >= UNDERSTANDS_ORIGINS && self.supplier.0.add_origin_keeper(peer) {
                    let records = state.origins.recent(ORIGIN_AGE, now);
                    self.supplier.0.report_origins(peer, records);
                }
            }
            Downstream::Origin {
                number,
                mark,
                is_void,
                sole,
                routes,
            } => {
                let void = is_void.then_some(origin::Entry::Void);
                let entry = mark.map(origin::Entry::Begun).or(void);
                let known = state.routes().map(|routes| routes.document.version);
                // Under older routes, streams could go elsewhere. Older builds name no version, and know only their own time.
                let is_current = routes.0 == 0 || known.is_some_and(|known| known <= routes);
                let answer = Answer {
                    entry,
                    sole: sole.filter(|_| is_current),
                };
                self.supplier.0.answer_origin(number, answer);
            }
            Downstream::Routes(text) => match self.platform.decode_document(&text.body) {
                Ok(document) => {
                    if state.set_routes(document) {
                        log::info!(step = "routes", version = text.version.0, peer:% = peer; "routes are in force");
                        if state.lease.awaits_first() {
                            self.ask_confirmation(&mut state);
                        }
                    }
                }
                Err(error) => {
                    log::error!(step = "routes", version = text.version.0; "accepted routes can't be decoded, the previous ones stay in force: {error}");
                }
            },
            Downstream::Targets(updates, versions) => {
                state.change_targets(|registry| {
                    with_versions(updates, versions).fold(false, |has_changed, update| {
                        let target = update.announcement.target.clone();
                        let incarnation = update.announcement.incarnation;
                        let announced = format!("{:?}", update.announcement.state);
                        let withdrawn = update.withdrawn;
                        let version = update.announcement.version.clone();
                        let merge = registry.merge(update, Duration::ZERO, now);
                        if merge == Merge::Changed {
                            log::info!(step = "target", target:% = target, born = incarnation.0, state:% = announced, withdrawn = withdrawn, version:% = version.as_ref().map_or("", |version| version.as_str()), peer:% = peer; "target changed");
                        }
                        matches!(merge, Merge::Changed | Merge::Inventory) || has_changed
                    })
                });
            }
            Downstream::Liveness(liveness) => {
                state.change_targets(|registry| {
                    liveness.into_iter().fold(false, |has_changed, liveness| {
                        let Liveness {
                            target,
                            incarnation,
                            age,
                        } = liveness;
                        registry.record_alive(&target, incarnation, now - age) || has_changed
                    })
                });
            }
            Downstream::Placements(placements) => {
                if self.supplier.0.is_leader(peer) {
                    let inventories = placements.into_iter().map(|placement| {
                        let inventory = Inventory {
                            incarnation: placement.incarnation,
                            resident: placement.resident,
                        };
                        (placement.target, inventory)
                    });
                    state.set_inventories(inventories);
                }
            }
            // For instances of the core only.
            Downstream::Ordered(..)
            | Downstream::Lease { .. }
            | Downstream::Withdrawn { .. }
            | Downstream::Recovered(_) => {}
            Downstream::Leadership(leading_term) => {
                self.supplier.0.set_leading_term(peer, leading_term);
                self.set_lender(&state);
                if self.supplier.0.is_leader(peer) {
                    self.report_limits(&state);
                    self.ask_confirmation(&mut state);
                }
            }
            Downstream::Limits(notices) => {
                if self.supplier.0.is_leader(peer) {
                    state.limits.merge(&notices, now);
                }
            }
            Downstream::Grant { number, answer } => self.supplier.0.answer_grant(number, answer),
            Downstream::CopyGrant { number, grant } => self.supplier.0.answer_copy(number, grant),
            Downstream::Permit { number, permit } => self.supplier.0.answer_permit(number, permit),
            Downstream::Quarantines(notices) => {
                self.merge_quarantines(&mut state, &notices, peer);
            }
            Downstream::Progress(parts) => {
                if state.guard.merge_progress(&parts) {
                    log::info!(step = "quarantine", parts:% = parts, peer:% = peer; "targets answer on parts elsewhere; clearing them");
                }
            }
            Downstream::Trial(parts) => state.guard.permit_trial(parts, now),
            Downstream::Confirmation { number, version } => {
                self.confirm(&mut state, number, version);
            }
            Downstream::Ways(ways) => self.set_ways(&mut state, peer, Some(ways)),
            Downstream::Credit(grant) => self.receive_credit(&state, peer, &grant),
        }
    }

    fn closed(&self, peer: SocketAddr) {
        self.supplier.0.closed(peer);
        let mut state = self.forwarder.state.borrow_mut();
        self.set_lender(&state);
        self.set_ways(&mut state, peer, None);
    }
}

/// Handler of readiness checks.
pub struct Ready<P: Platform>(pub Rc<Entry<P>>);

impl<P: Platform> Handler for Ready<P> {
    async fn answer(&self, _: Request<Bytes>) -> Response<Bytes> {
        if self.0.is_ready() {
            empty_response(StatusCode::OK)
        } else {
            empty_response(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}
