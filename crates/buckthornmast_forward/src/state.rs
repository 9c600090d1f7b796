//! State of an entry instance: routes in force, and targets with their resident models and their load.

use std::{
    collections::{BTreeMap, HashMap},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use buckthornmast_fleet::prelude::*;
use buckthornmast_limit::{statement::Statement, view::View};
use buckthornmast_organisation::{lease::Lease, ring::Ring};
use buckthornmast_origin::record::{self as origin, Mark};
use buckthornmast_quarantine::guard::Guard;
use buckthornmast_routes::{
    document::{Document, Quota, Service},
    register::Revision,
    table::Table,
};
use buckthornmast_routing::budget;
use buckthornmast_share::account::Account;
use buckthornmast_types::{id, rate::Rate, time::Point};
use buckthornmast_way::prelude::*;
use tokio::sync::Notify;

use crate::{
    advisory::{Advice, Board},
    brittle,
    context::millis,
    mapping::{Answer, Generation},
    memory::Memory,
    pool::Pool,
    quota::Credit,
    receive::Intake,
    refused,
    stats::{Change, StatsTable, TargetStats},
    stop::{self, RouteTimes},
};

/// Minimum time between two log lines about limits that can't be read.
const UNREADABLE_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Number of inventories of unknown targets that are kept.
const MAX_UNKNOWN_INVENTORIES: usize = 1000;

/// Routes in force.
#[derive(Debug)]
pub struct Routes {
    /// Routes document.
    pub document: Document,
    /// Routes of the document by host and path.
    pub table: Table,
    /// Keys of the document.
    pub ring: Ring,
}

/// Models and adapters that are ready at a target, as the leader of the core knows them. The target's own announcements
/// report them later.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Inventory {
    /// Incarnation of the target.
    pub incarnation: id::Incarnation,
    /// Models and adapters that are resident and ready.
    pub resident: Vec<Resident>,
}

/// Target of a service that accepts new requests.
#[derive(Debug, Clone)]
pub struct Member {
    /// Target.
    pub target: id::Target,
    /// Incarnation of the target.
    pub incarnation: id::Incarnation,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: id::Domain,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Version of its software, if it states one.
    pub version: Option<Version>,
    /// Mark of this version.
    pub mark: Option<Mark>,
    resident: Vec<Resident>,
}

impl Member {
    /// Returns the version of its software for logs.
    pub fn version_name(&self) -> &str {
        self.version.as_ref().map_or("", Version::as_str)
    }

    /// Returns whether a model is resident at the target, with whatever adapters.
    pub fn has_model(&self, model: &id::Model) -> bool {
        self.resident.iter().any(|entry| entry.model == *model)
    }

    /// Returns whether the model and adapter that a request needs are resident at the target.
    pub fn serves(&self, generation: Option<&Generation>) -> bool {
        let Some(generation) = generation else {
            return true;
        };
        let resident = self
            .resident
            .iter()
            .find(|entry| entry.model == generation.model);
        resident.is_some_and(|entry| {
            let adapter = generation.adapter.as_ref();
            adapter.is_none_or(|adapter| entry.adapters.contains(adapter))
        })
    }
}

/// Bounds on extra attempts, over all instances together.
#[derive(Debug, Clone, Copy)]
pub struct RetryBounds {
    /// Extra attempts per request.
    pub ratio: f64,
    /// Extra attempts in one window in addition to the ratio.
    pub burst: f64,
    /// Length of a window.
    pub window: Duration,
}

/// Returns the mark of the version that a target announces.
fn mark_of(announcement: &Announcement) -> Option<Mark> {
    let version = announcement.version.as_ref();
    version.map(|version| Mark::new(version.as_str()))
}

/// State of an entry instance.
#[derive(Debug)]
pub struct State {
    /// Load and health of targets.
    pub stats: StatsTable,
    /// Idle connections to targets.
    pub pool: Pool,
    /// What targets stated about themselves in their answers.
    pub advisories: Board,
    /// Rates that targets take from all instances together.
    pub limits: View,
    /// Targets that fall over if they have to refuse many requests.
    pub brittle: brittle::Board,
    /// Requests that targets have refused lately.
    pub refused: refused::Memory,
    /// Prompt parts and requests on which targets crash.
    pub guard: Guard,
    /// Versions that began the streams of this instance.
    pub origins: origin::Memory,
    /// Memory for bodies of requests, and for answers that are held until they are whole.
    pub memory: Memory,
    /// Reception of the bodies of requests.
    pub intake: Rc<Intake>,
    /// Notified whenever routes or targets have changed.
    pub changed: Rc<Notify>,
    /// Service that organisations have received through this instance.
    pub shares: Account,
    /// Time that the requests of each route take.
    pub route_times: RouteTimes,
    /// Plan of the stop, if this instance is stopping.
    pub stop: Option<stop::Plan>,
    /// Lease under which keys of the routes in force are honoured. Its points are those of [`crate::access::boot_time`].
    pub lease: Lease,
    /// Which targets are in reach of this instance.
    pub reach: Reach<(id::Target, id::Incarnation)>,
    /// Instances through which targets out of reach are connected to.
    pub ways: Ways,
    /// Address that connections to targets come from, if the settings name one.
    pub source: Option<IpAddr>,
    /// Credit under the quotas of organisations.
    pub credit: Credit,
    routes: Option<Rc<Routes>>,
    registry: Registry,
    inventories: BTreeMap<id::Target, Inventory>,
    members: HashMap<id::Service, Rc<Vec<Member>>>,
    budgets: HashMap<id::Service, budget::Window>,
    retry_bounds: RetryBounds,
    instances: u32,
    // When a limit that can't be read was last logged.
    unreadable_logged_at: Option<Point>,
}

impl State {
    /// Sets the memory that bodies and answers share.
    pub fn set_memory(&mut self, memory: Memory) {
        self.intake = Rc::new(Intake::new(memory.clone()));
        self.memory = memory;
    }

    /// Returns a state without routes and targets.
    pub fn new(retry_bounds: RetryBounds) -> Self {
        let memory = Memory::default();
        Self {
            stats: StatsTable::default(),
            shares: Account::default(),
            pool: Pool::default(),
            advisories: Board::default(),
            limits: View::default(),
            brittle: brittle::Board::default(),
            refused: refused::Memory::default(),
            guard: Guard::default(),
            origins: origin::Memory::default(),
            intake: Rc::new(Intake::new(memory.clone())),
            memory,
            changed: Rc::default(),
            route_times: RouteTimes::default(),
            stop: None,
            lease: Lease::default(),
            reach: Reach::default(),
            ways: Ways::default(),
            source: None,
            credit: Credit::default(),
            routes: None,
            registry: Registry::default(),
            inventories: BTreeMap::new(),
            members: HashMap::new(),
            budgets: HashMap::new(),
            retry_bounds,
            instances: 1,
            unreadable_logged_at: None,
        }
    }

    /// Returns the changes of this instance's requests at targets with models, which the leader is told, or all of them if
    /// `is_complete`.
    pub fn take_changes(
        &mut self,
        is_complete: bool,
        now: Point,
    ) -> Vec<(id::Target, id::Incarnation, Change)> {
        let inventories = &self.inventories;
        self.stats
            .take_changes(is_complete, |target| inventories.contains_key(target), now)
    }

    /// Puts routes into force unless the current ones are the same or newer. Returns whether they were put into force.
    pub fn set_routes(&mut self, document: Document) -> bool {
        let current = self.version();
        if current.is_some_and(|current| current >= document.version) {
            return false;
        }
        if let Some(routes) = &self.routes {
            let (before, after) = (&routes.document.services, &document.services);
            // Nobody announces what becomes of the targets of a service that is removed. Those of a service that is not
            // known yet may have been announced before its routes.
            self.registry.retain_services(|service| {
                after.contains_key(service) || !before.contains_key(service)
            });
        }
        self.route_times
            .retain(|name| document.routes.iter().any(|route| route.name == name));
        let organisations = &document.organisations;
        let has_quotas = organisations.iter().any(|known| known.quota.is_some());
        self.credit.purse.borrow_mut().retain(has_quotas, |name| {
            let mut with_quota = organisations.iter().filter(|known| known.quota.is_some());
            with_quota.any(|known| known.name == *name)
        });
        let table = Table::new(&document);
        let ring = Ring::new(&document.organisations);
        self.lease.set_in_force(document.version);
        self.routes = Some(Rc::new(Routes {
            document,
            table,
            ring,
        }));
        self.rebuild();
        true
    }

    /// Returns the quota of an organisation, if it has one.
    pub fn quota(&self, organisation: &id::Organisation) -> Option<Quota> {
        let routes = self.routes.as_ref()?;
        let mut organisations = routes.document.organisations.iter();
        let known = organisations.find(|known| known.name == *organisation)?;
        known.quota.filter(|quota| quota.rate.get() > 0.0)
    }

    /// Returns the version of the routes in force.
    pub fn version(&self) -> Option<Revision> {
        self.routes.as_ref().map(|routes| routes.document.version)
    }

    /// Returns whether there are routes, and their keys, if they have any, have been confirmed since the start.
    pub fn is_prepared(&self) -> bool {
        self.routes.is_some() && !(self.has_organisations() && self.lease.awaits_first())
    }

    /// Returns whether the routes in force name organisations.
    pub fn has_organisations(&self) -> bool {
        let routes = self.routes.as_ref();
        routes.is_some_and(|routes| !routes.document.organisations.is_empty())
    }

    /// Returns the routes in force.
    pub fn routes(&self) -> Option<Rc<Routes>> {
        self.routes.clone()
    }

    /// Returns a service of the routes in force.
    pub fn service(&self, service: &id::Service) -> Option<&Service> {
        self.routes.as_ref()?.document.services.get(service)
    }

    /// Returns the registry of known targets.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Updates the registry of targets. Returns whether anything changed.
    pub fn change_targets(&mut self, change: impl FnOnce(&mut Registry) -> bool) -> bool {
        let is_changed = change(&mut self.registry);
        if is_changed {
            self.rebuild();
        }
        is_changed
    }

    /// Sets the models and adapters that are ready at targets, as the leader of the core knows them.
    pub fn set_inventories(
        &mut self,
        inventories: impl IntoIterator<Item = (id::Target, Inventory)>,
    ) {
        let mut is_changed = false;
        for (target, inventory) in inventories {
            if self.inventories.get(&target) != Some(&inventory) {
                self.inventories.insert(target, inventory);
                is_changed = true;
            }
        }
        if is_changed {
            self.rebuild();
        }
    }

    /// Sets the number of entry instances, which share the retry budget.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = instances.max(1);
        self.limits.set_instances(self.instances);
        self.brittle.set_instances(self.instances);
    }

    /// Returns the number of entry instances.
    pub fn instances(&self) -> u32 {
        self.instances
    }

    fn rebuild(&mut self) {
        let registry = &self.registry;
        // A target of an unknown service must not replace a target of a known service at the same address.
        let services = self.routes.as_ref().map(|routes| &routes.document.services);
        let exists =
            |service: &id::Service| services.is_none_or(|services| services.contains_key(service));
        let advisories = &self.advisories;
        let mut members: HashMap<id::Service, Vec<Member>> = HashMap::new();
        let ready = registry
            .owners_of(exists)
            .into_iter()
            .filter(|entry| entry.is_ready())
            .filter(|Entry { announcement, .. }| {
                !advisories.is_leaving(&announcement.target, announcement.incarnation)
            });
        for Entry { announcement, .. } in ready {
            let inventory = self.inventories.get(&announcement.target);
            let inventory =
                inventory.filter(|inventory| inventory.incarnation == announcement.incarnation);
            let resident =
                inventory.map_or(&announcement.resident, |inventory| &inventory.resident);
            let of_service = members.entry(announcement.service.clone()).or_default();
            of_service.push(Member {
                target: announcement.target.clone(),
                incarnation: announcement.incarnation,
                address: announcement.address,
                domain: announcement.domain.clone(),
                slots: announcement.slots,
                version: announcement.version.clone(),
                mark: mark_of(announcement),
                resident: resident.clone(),
            });
        }
        let members = members.into_iter();
        self.members = members
            .map(|(service, members)| (service, Rc::new(members)))
            .collect();
        self.changed.notify_waiters();
    }

    /// Records what a target states about its stay with an answer. Returns whether it states for the first time that it
    /// leaves.
    pub fn record_answer(&mut self, member: &Member, answer: &Answer, now: Point) -> bool {
        let advice = Advice {
            target: member.target.clone(),
            incarnation: member.incarnation,
            is_leaving: answer.is_leaving,
            pause: answer.pause,
        };
        self.record_advice(&advice, now)
    }

    /// Records what a target has stated about its stay, here or to an instance that it sees as this one. Returns whether it
    /// states for the first time that it leaves.
    pub fn record_advice(&mut self, advice: &Advice, now: Point) -> bool {
        let (target, incarnation) = (&advice.target, advice.incarnation);
        if let Some(pause) = advice.pause
            && self
                .advisories
                .record_pause(target, incarnation, pause, now)
        {
            log::info!(step = "advisory", target:% = target, born = incarnation.0, pause_ms = millis(pause); "target wants no request for some time");
        }
        let is_new = advice.is_leaving && self.advisories.record_leaving(target, incarnation, now);
        if is_new {
            log::info!(step = "advisory", target:% = target, born = incarnation.0; "target states that it leaves; it gets no further request");
            self.rebuild();
        }
        is_new
    }

    /// Records what a target states about its limit with the answer to a request that was sent at a time. Returns whether
    /// that differs from what this instance knows.
    pub fn record_limit(
        &mut self,
        member: &Member,
        statement: Statement,
        sent: Point,
        now: Point,
    ) -> bool {
        if statement == Statement::Unreadable {
            let logged_at = self.unreadable_logged_at;
            if logged_at.is_none_or(|at| now.since(at) >= UNREADABLE_LOG_INTERVAL) {
                self.unreadable_logged_at = Some(now);
                log::warn!(step = "limit", target:% = member.target, born = member.incarnation.0; "ignoring the limit of a target, since it is no number of requests a second");
            }
        }
        let key = (member.target.clone(), member.incarnation);
        let was_limited = self.limits.rate(&key).is_some();
        let differs = self.limits.record(&key, statement, sent, now);
        if was_limited != self.limits.rate(&key).is_some() {
            metrics::counter!("buckthornmast_limits_stated_total").increment(1);
            log::info!(step = "limit", target:% = member.target, born = member.incarnation.0, limit:? = statement; "target has begun or ended to limit its rate");
        }
        differs
    }

    /// Returns the versions of all targets of a service, also of those that have left lately.
    pub fn versions<'a>(
        &'a self,
        service: &'a id::Service,
    ) -> impl Iterator<Item = Option<Mark>> + 'a {
        let entries = self.registry.entries();
        let announcements = entries.map(|entry| &entry.announcement);
        let of_service = announcements.filter(|announcement| announcement.service == *service);
        of_service.map(mark_of)
    }

    /// Returns whether a target takes requests at a limited rate only.
    pub fn is_limited(&self, member: &Member) -> bool {
        self.limits.is_limited(&member.target, member.incarnation)
    }

    /// Records what a target states about the refusals that it bears, and whether it has refused the request.
    pub fn record_brittle(
        &mut self,
        member: &Member,
        stated: Option<Rate>,
        is_refused: bool,
        sent: Point,
        now: Point,
    ) {
        let key = (member.target.clone(), member.incarnation);
        if self.brittle.record(&key, stated, sent, now) {
            log::info!(step = "brittle", target:% = member.target, born = member.incarnation.0, refusals_per_second:? = stated.map(Rate::get); "target has become brittle or has ceased to be");
        }
        let stats = self.stats.get(&member.target, member.incarnation);
        let own = stats.map_or(0, TargetStats::own_requests).saturating_sub(1);
        if !is_refused {
            let used = stats.and_then(TargetStats::used_part);
            self.brittle.record_success(&key, own, used, sent);
        } else if self.brittle.record_refusal(&key, own, now) {
            metrics::counter!("buckthornmast_brittle_refusals_total").increment(1);
            log::info!(step = "brittle", target:% = member.target, born = member.incarnation.0, own_requests = own; "brittle target refused a request; this instance keeps to the number of requests that it has there");
        }
    }

    /// Returns whether a target is expected to have a free slot for a request, if it is brittle.
    pub fn has_brittle_room(&self, member: &Member, now: Point) -> bool {
        let key = (member.target.clone(), member.incarnation);
        if !self.brittle.is_brittle(&key) {
            return true;
        }
        let stats = self.stats.get(&member.target, member.incarnation);
        let requests = stats.map_or(0.0, |stats| stats.load(now));
        let stated = stats.and_then(TargetStats::slots);
        let slots = stated.map_or(member.slots, |stated| stated.min(member.slots));
        let own = stats.map_or(0, TargetStats::own_requests);
        self.brittle
            .accepts(&key, own, requests, f64::from(slots), now)
    }

    /// Returns the time after which a brittle target may be sent a request; zero for others.
    pub fn brittle_wait(&self, member: &Member, now: Point) -> Duration {
        let key = (member.target.clone(), member.incarnation);
        let stats = self.stats.get(&member.target, member.incarnation);
        let own = stats.map_or(0, TargetStats::own_requests);
        self.brittle.wait(&key, own, now)
    }

    /// Returns whether a target may be sent a request now, as far as its answers say.
    pub fn accepts(&self, member: &Member, now: Point) -> bool {
        self.advisories
            .accepts(&member.target, member.incarnation, now)
    }

    /// Returns the targets of a service that accept new requests.
    pub fn members(&self, service: &id::Service) -> Rc<Vec<Member>> {
        self.members.get(service).cloned().unwrap_or_default()
    }

    /// Returns the share of this instance in the bounds on extra attempts.
    fn budget_config(&self) -> budget::WindowConfig {
        let RetryBounds {
            ratio,
            burst,
            window,
        } = self.retry_bounds;
        budget::WindowConfig {
            length: window,
            retries_per_request: ratio * budget::WINDOW_SHARE,
            burst: burst * budget::WINDOW_SHARE / f64::from(self.instances),
        }
    }

    /// Records a request for a service, which adds to the budget of extra attempts.
    pub fn record_request(&mut self, service: &id::Service, now: Point) {
        let config = self.budget_config();
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.record_request(&config, now);
    }

    /// Returns whether the budget of a service has an extra attempt.
    pub fn has_attempt(&mut self, service: &id::Service, now: Point) -> bool {
        let config = self.budget_config();
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.has_attempt(&config, now)
    }

    /// Takes an extra attempt from the budget of a service, if it has one.
    pub fn take_attempt(&mut self, service: &id::Service, now: Point) -> bool {
        let config = self.budget_config();
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.take(&config, now)
    }

    /// Removes expired targets, idle connections and statistics of former targets.
    pub fn prune(&mut self, now: Point) {
        self.registry.prune(now);
        self.pool.prune(now);
        self.guard.prune(now);
        let registry = &self.registry;
        let known = |target: &id::Target| Some(registry.get(target)?.announcement.incarnation);
        self.advisories.prune(known, now);
        self.limits.prune(known, now);
        self.brittle
            .retain(|target, incarnation| known(target) == Some(incarnation));
        self.reach.prune(
            |(target, incarnation)| known(target) == Some(*incarnation),
            now,
        );
        // The leader's placements may arrive before the core's updates about new targets, and are not sent again.
        if self.inventories.len() > MAX_UNKNOWN_INVENTORIES + registry.entries().count() {
            self.inventories
                .retain(|target, _| registry.get(target).is_some());
        }
        self.stats.retain(|target, incarnation| {
            let entry = registry.get(target);
            entry.is_some_and(|entry| entry.announcement.incarnation == incarnation)
        });
    }
}
