//! Placement of models and adapters on the targets, and permits for requests, as decided by the leader of the core.

mod copies;
mod credit;
mod limits;
pub mod permits;

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use buckthornmast_fleet::registry::Registry;
use buckthornmast_limit::account::Account;
use buckthornmast_quota::account as quota;
use buckthornmast_routes::document::{Document, Pool, Service};
use buckthornmast_supply::{
    demand::{Demand, Row},
    handover::Handover,
    ledger::Ledger,
    occupancy::{self, Reporter},
    order::{Action, Order, Outcome},
    permits::{Queue, Ticket},
    plan::Planner,
    quota::Quota,
    stray::Stray,
};
use buckthornmast_types::{
    id,
    time::{Clock, Point, System},
};
use tokio::{sync::Notify, time::sleep};

use self::permits::{Claim, Requester};
use crate::{
    message::{Downstream, Placement},
    orders::Orders,
    platform::{Fence, Platform},
    subscribers::Subscribers,
};

/// Time from the acceptance of an order to load an adapter until requests for it are sent. Loading takes up to 10 ms.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(12);

/// Time between the notice to entry instances that a model is unloaded and the order to unload it, in which requests
/// that are on their way arrive.
const UNLOAD_DELAY: Duration = Duration::from_millis(80);

/// Load time assumed for a model whose target or definition is unknown.
const DEFAULT_LOAD_TIME: Duration = Duration::from_secs(5);

/// Leadership of this instance: the fencing of its orders, and when it may send them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leadership {
    /// Term and instance under which orders are sent.
    pub fence: Fence,
    /// Time from which orders may be sent.
    pub orders_from: Point,
    /// Time from which placement may be planned.
    pub plans_from: Point,
}

struct State {
    handover: Handover,
    ledger: Ledger,
    demand: Demand,
    load_quotas: HashMap<id::Service, Quota>,
    leadership: Option<Leadership>,
    document: Option<Rc<Document>>,
    // Placements as they were last sent to the entry instances.
    published: BTreeMap<id::Target, Placement>,
    permits: Queue,
    // Entry instances whose requests wait in `permits`.
    requesters: HashMap<Ticket, (Requester, Claim)>,
    // Account of the quotas, while this instance leads.
    credit: Option<quota::Account>,
    census: quota::Census,
}

impl State {
    /// Returns whether this instance leads, and its orders have this fence.
    fn leads_under(&self, fence: &Fence) -> bool {
        let leadership = self.leadership.as_ref();
        leadership.is_some_and(|leadership| leadership.fence == *fence)
    }
}

/// Order with the fence of the leadership that planned it.
struct Fenced {
    order: Order,
    fence: Fence,
}

/// Controller of the models and adapters at the targets.
pub struct Controller<P> {
    orders: Orders<P>,
    clock: System,
    quota_terms: quota::Terms,
    subscribers: Rc<Subscribers>,
    state: RefCell<State>,
    // Notified when copy requests have to be checked again.
    changed: Notify,
}

impl<P: Platform> Controller<P> {
    /// Creates a controller that sends no orders until it has leadership.
    pub fn new(
        platform: P,
        clock: System,
        handover_interval: Duration,
        quota_terms: quota::Terms,
        subscribers: Rc<Subscribers>,
    ) -> Self {
        let state = State {
            handover: Handover::new(handover_interval),
            ledger: Ledger::default(),
            demand: Demand::default(),
            load_quotas: HashMap::new(),
            leadership: None,
            document: None,
            published: BTreeMap::new(),
            permits: Queue::default(),
            requesters: HashMap::new(),
            credit: None,
            census: quota::Census::default(),
        };
        Self {
            orders: Orders::new(platform, clock),
            clock,
            quota_terms,
            subscribers,
            state: RefCell::new(state),
            changed: Notify::new(),
        }
    }

    /// Starts or ends leadership, and discards what was recorded about targets and permits before.
    pub fn set_leadership(&self, leadership: Option<Leadership>) {
        let mut state = self.state.borrow_mut();
        state.ledger.clear();
        state.load_quotas.clear();
        state.published.clear();
        state.permits.clear();
        state.requesters.clear();
        if let Some(leadership) = &leadership {
            state.permits.limits = Account::open(leadership.fence.term, self.clock.now());
        }
        let now = self.clock.now();
        state.credit = leadership.as_ref().map(|leadership| {
            let mut credit =
                quota::Account::open(leadership.fence.term, self.quota_terms, state.census, now);
            if let Some(document) = &state.document {
                credit.set_document(document, now);
            }
            credit
        });
        state.leadership = leadership;
    }

    /// Records that another leader is about to send an order to a target, and which orders to it may still be carried out.
    pub fn record_ordered(&self, target: id::Target, term: id::Term, strays: Vec<Stray>) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.ledger.strays.prune(now);
        state.ledger.strays.merge(&target, term, strays, now);
        state.handover.record(target, now);
    }

    /// Sets the document of the routes in force, which also lists the services and their models.
    pub fn set_document(&self, document: Rc<Document>) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if let Some(credit) = &mut state.credit {
            credit.set_document(&document, now);
        }
        state.permits.cache_tokens = pools(&document)
            .map(|(service, pool)| (service.name.clone(), pool.cache_tokens))
            .collect();
        state.document = Some(document);
    }

    /// Adds demand that an entry instance has reported.
    pub fn add_demand(&self, rows: &[Row]) {
        let now = self.clock.now();
        self.state.borrow_mut().demand.add(rows, now);
    }

    /// Records the requests that an entry instance has at targets.
    pub fn record_occupancy(&self, subscriber: u64, rows: &[occupancy::Row]) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if state.leadership.is_some() {
            state.permits.record_report(Reporter(subscriber), rows, now);
        }
    }

    /// Updates the ledger from the registry, plans the placement, and sends orders.
    pub fn tick(self: &Rc<Self>, registry: &Registry) {
        let now = self.clock.now();
        self.orders.prune();
        let mut state = self.state.borrow_mut();
        if state.leadership.is_none() {
            return;
        }
        {
            let State {
                permits, ledger, ..
            } = &mut *state;
            permits.retain(ledger);
        }
        state.demand.prune(now);
        self.prune_limits(&mut state, registry, now);
        let Some(document) = state.document.clone() else {
            return;
        };
        let has_models = |service: &id::Service| {
            let service = document.services.get(service);
            service.is_some_and(|service| service.pool.is_some())
        };
        {
            let State {
                ledger,
                handover,
                permits,
                ..
            } = &mut *state;
            ledger.observe(registry, has_models, now);
            ledger.block_ordered(handover, now);
            limits::apply(&permits.limits, ledger);
        }
        let mut queries = Vec::new();
        for (target, inventory) in &mut state.ledger.inventories {
            if inventory.begin_query(now) {
                queries.push((target.clone(), inventory.incarnation, inventory.address));
            }
        }
        drop(state);
        for (target, incarnation, address) in queries {
            let controller = Rc::clone(self);
            tokio::task::spawn_local(async move {
                if let Some(report) = controller.orders.query(&target, incarnation, address).await {
                    let mut state = controller.state.borrow_mut();
                    state.ledger.apply_report(&target, incarnation, &report);
                }
                controller.changed.notify_waiters();
            });
        }
        self.plan(now);
        self.publish_placements();
        self.changed.notify_waiters();
    }

    /// Checks whether a target that an entry instance could not reach is down.
    pub fn check(self: &Rc<Self>, target: id::Target, incarnation: id::Incarnation) {
        let address = {
            let state = self.state.borrow();
            let inventory = state.ledger.inventories.get(&target);
            let inventory = inventory
                .filter(|inventory| inventory.incarnation == incarnation && inventory.is_ready);
            inventory
                .filter(|_| state.leadership.is_some())
                .map(|inventory| inventory.address)
        };
        let Some(address) = address else {
            return;
        };
        let controller = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let report = controller.orders.query(&target, incarnation, address).await;
            let now = controller.clock.now();
            if let Some(report) = report {
                // The report may be older than the last order, so it only shows whether the target stays.
                if report.is_leaving {
                    log::info!(step = "check", target:% = target, born = incarnation.0; "target reports that it leaves");
                    let mut state = controller.state.borrow_mut();
                    state.ledger.mark_leaving(&target, incarnation);
                }
            } else {
                log::warn!(step = "check", target:% = target, born = incarnation.0; "target counts as down after a failed query of its state");
                controller
                    .state
                    .borrow_mut()
                    .ledger
                    .mark_down(&target, incarnation, now);
                controller.changed.notify_waiters();
            }
        });
    }

    fn plan(self: &Rc<Self>, now: Point) {
        let mut planned = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            let can_plan = state
                .leadership
                .as_ref()
                .is_some_and(|leadership| now >= leadership.plans_from);
            let Some(document) = state.document.clone().filter(|_| can_plan) else {
                return;
            };
            for (service, pool) in pools(&document) {
                let usable = state.ledger.usable_models(&service.name);
                for model in pool.models.keys() {
                    let has_any = usable.contains(model);
                    state
                        .demand
                        .record_copies(&service.name, model, has_any, now);
                }
                let quota = state.load_quotas.entry(service.name.clone());
                let quota = quota.or_insert_with(|| Quota::new(now));
                let loads = quota.available(pool.loads, now);
                let planner = Planner::new(&state.ledger, &service.name, pool, &state.demand, now);
                for step in planner.steps(loads) {
                    if step.is_from_store && matches!(step.action, Action::Load(_)) {
                        quota.take();
                    }
                    let inventory = state.ledger.inventories.get(&step.target);
                    let model = pool.models.get(step.action.model());
                    let load_time = inventory.zip(model);
                    let load_time = load_time.map_or(DEFAULT_LOAD_TIME, |(inventory, model)| {
                        inventory.load_time(model)
                    });
                    planned.push((step, load_time));
                }
            }
            for (step, _) in &planned {
                if let Some(model) = &step.makes_room_for {
                    state.ledger.reserve(&step.target, model.clone(), now);
                }
            }
        }
        for (step, load_time) in planned {
            log::info!(
                step = "plan",
                target:% = step.target,
                action:? = step.action,
                makes_room_for:% = step.makes_room_for.as_ref().map_or("", |model| model.as_str()),
                is_rationed = step.is_from_store,
                saves:% = format!("{:.1}", step.saved_requests);
                "planned an order: {}", step.reason
            );
            let controller = Rc::clone(self);
            let order = self.start_order(&step.target, step.action, load_time);
            if let Some(order) = order {
                tokio::task::spawn_local(async move {
                    controller.execute(order).await;
                });
            }
        }
    }

    /// Records an order as sent and returns it, or `None` if the target can't take one.
    fn start_order(
        &self,
        target: &id::Target,
        action: Action,
        load_time: Duration,
    ) -> Option<Fenced> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let leadership = state.leadership.as_ref()?;
        if now < leadership.orders_from {
            return None;
        }
        let inventory = state.ledger.inventories.get(target)?;
        if !inventory.is_free() {
            return None;
        }
        let fence = leadership.fence.clone();
        let order = Order {
            target: target.clone(),
            incarnation: inventory.incarnation,
            expected: inventory.accepted?,
            action,
        };
        state
            .ledger
            .record_order(&order, fence.term, now + load_time, now);
        let strays = state.ledger.strays.of(target, now);
        self.subscribers
            .send_cores(&Downstream::Ordered(target.clone(), fence.term, strays));
        Some(Fenced { order, fence })
    }

    /// Sends an order, unless this instance no longer leads in the term in which it was planned. An order of an earlier
    /// term is unknown to the current ledger, and must not be sent under the current fencing token.
    async fn execute(&self, fenced: Fenced) {
        let Fenced { order, fence } = fenced;
        if matches!(order.action, Action::Unload(_)) {
            self.publish_placements();
            sleep(UNLOAD_DELAY).await;
        }
        let address = {
            let state = self.state.borrow();
            let inventory = state.ledger.inventories.get(&order.target);
            inventory
                .filter(|_| state.leads_under(&fence))
                .map(|inventory| inventory.address)
        };
        let Some(address) = address else {
            self.state.borrow_mut().ledger.strays.settle(&order);
            log::info!(step = "order", target:% = order.target, action:? = order.action, term = fence.term.0; "order dropped: the leadership that planned it has ended, or the target is gone");
            return;
        };
        let outcome = self.orders.send(&order, address, &fence).await;
        if outcome == Outcome::Accepted && matches!(order.action, Action::LoadAdapter(..)) {
            sleep(ADAPTER_LOAD_TIME).await;
        }
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if state.leads_under(&fence) {
            state.ledger.record_outcome(&order, outcome, now);
        } else if outcome != Outcome::Unknown {
            state.ledger.strays.settle(&order);
        }
        drop(state);
        self.publish_placements();
        self.changed.notify_waiters();
    }

    /// Sends the placements that have changed to the entry instances.
    fn publish_placements(&self) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let mut updates = Vec::new();
        for (target, inventory) in &state.ledger.inventories {
            let placement = Placement {
                target: target.clone(),
                incarnation: inventory.incarnation,
                resident: inventory.usable(),
            };
            if state.published.get(target) != Some(&placement) {
                state.published.insert(target.clone(), placement.clone());
                updates.push(placement);
            }
        }
        let inventories = &state.ledger.inventories;
        state
            .published
            .retain(|target, _| inventories.contains_key(target));
        if !updates.is_empty() {
            self.subscribers
                .send_entries(&Downstream::Placements(updates));
        }
    }

    /// Returns the placements as last published, for a new subscriber. Empty if this instance does not lead.
    pub fn placements(&self) -> Vec<Placement> {
        self.state.borrow().published.values().cloned().collect()
    }
}

fn pools(document: &Document) -> impl Iterator<Item = (&Service, &Pool)> {
    let services = document.services.values();
    services.filter_map(|service| Some((service, service.pool.as_ref()?)))
}
