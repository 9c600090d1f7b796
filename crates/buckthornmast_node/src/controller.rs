//! The leader of the core orders models and adapters, and gives requests their turns at the targets.

pub mod turns;

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use buckthornmast_fleet::registry::Registry;
use buckthornmast_routes::document::{Document, Pool, Service};
use buckthornmast_supply::{
    adapters::{self, Place},
    demand::{Demand, Item, Row},
    handover::Handover,
    ledger::Ledger,
    order::{Action, Order, Outcome},
    plan::Situation,
    ration::Ration,
    turns::{Ticket, Turns},
};
use buckthornmast_types::{
    id,
    time::{Clock, Point, System},
};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use self::turns::Asker;
use crate::{
    message::{Down, Granted, Placement},
    orders::Orders,
    platform::{Fence, Platform},
    subscribers::Subscribers,
};

/// Time from the acceptance of an adapter's order until requests for it are sent. Loading takes up to 10 ms.
const ADAPTER_LOAD: Duration = Duration::from_millis(12);

/// Time between telling entry instances that a model goes and the order to unload it.
const WITHHOLD: Duration = Duration::from_millis(80);

/// Time for a want. Its caller can try elsewhere after that.
const WANT: Duration = Duration::from_millis(900);

/// Wait for a model whose load could not be ordered yet.
const UNKNOWN_LOAD: Duration = Duration::from_secs(5);

/// Time in which the leader is known to lead and may order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lead {
    /// Term and holder.
    pub fence: Fence,
    /// When the first order may be given.
    pub from: Point,
    /// When copies of models may be moved.
    pub plans_from: Point,
}

struct State {
    handover: Handover,
    ledger: Ledger,
    demand: Demand,
    rations: HashMap<id::Service, Ration>,
    lead: Option<Lead>,
    document: Option<Rc<Document>>,
    told: BTreeMap<id::Target, Placement>,
    turns: Turns,
    askers: HashMap<Ticket, Asker>,
}

/// Controller of the targets' models.
pub struct Controller<P> {
    orders: Orders<P>,
    clock: System,
    subscribers: Rc<Subscribers>,
    state: RefCell<State>,
    changed: Notify,
}

impl<P: Platform> Controller<P> {
    /// Gives no orders yet.
    pub fn new(platform: P, clock: System, turn: Duration, subscribers: Rc<Subscribers>) -> Self {
        let state = State {
            handover: Handover::new(turn),
            ledger: Ledger::default(),
            demand: Demand::default(),
            rations: HashMap::new(),
            lead: None,
            document: None,
            told: BTreeMap::new(),
            turns: Turns::default(),
            askers: HashMap::new(),
        };
        Self {
            orders: Orders::new(platform, clock),
            clock,
            subscribers,
            state: RefCell::new(state),
            changed: Notify::new(),
        }
    }

    /// Begins or ends leading.
    pub fn set_lead(&self, lead: Option<Lead>) {
        let mut state = self.state.borrow_mut();
        state.ledger = Ledger::default();
        state.rations.clear();
        state.told.clear();
        state.turns.clear();
        state.askers.clear();
        state.lead = lead;
    }

    /// Notes that another leader is about to order a target.
    pub fn note_ordered(&self, target: id::Target) {
        let now = self.clock.now();
        self.state.borrow_mut().handover.note(target, now);
    }

    /// Takes the routes in force, with the services and their models.
    pub fn set_document(&self, document: Rc<Document>) {
        self.state.borrow_mut().document = Some(document);
    }

    /// Takes what an entry instance reports.
    pub fn add_demand(&self, rows: &[Row]) {
        let now = self.clock.now();
        self.state.borrow_mut().demand.add(rows, now);
    }

    /// Compares what is held with what is wanted and gives orders.
    pub fn tick(self: &Rc<Self>, registry: &Registry) {
        let now = self.clock.now();
        self.orders.prune();
        let mut state = self.state.borrow_mut();
        if state.lead.is_none() {
            return;
        }
        {
            let State { turns, ledger, .. } = &mut *state;
            turns.retain(ledger);
        }
        state.demand.prune(now);
        let Some(document) = state.document.clone() else {
            return;
        };
        let has_models = |service: &id::Service| {
            let service = document.services.get(service);
            service.is_some_and(|service| service.pool.is_some())
        };
        {
            let State {
                ledger, handover, ..
            } = &mut *state;
            ledger.observe(registry, has_models, now);
            ledger.bar(handover, now);
        }
        let mut questions = Vec::new();
        for (target, shelf) in &mut state.ledger.shelves {
            if shelf.wants_report(now) {
                questions.push((target.clone(), shelf.born, shelf.address));
            }
        }
        drop(state);
        for (target, born, address) in questions {
            let controller = Rc::clone(self);
            tokio::task::spawn_local(async move {
                if let Some(report) = controller.orders.ask(&target, born, address).await {
                    let mut state = controller.state.borrow_mut();
                    state.ledger.reported(&target, born, &report);
                }
                controller.changed.notify_waiters();
            });
        }
        self.plan(now);
        self.tell();
        self.changed.notify_waiters();
    }

    /// Looks whether a target is down that an entry instance could not reach.
    pub fn check(self: &Rc<Self>, target: id::Target, born: id::Incarnation) {
        let address = {
            let state = self.state.borrow();
            let shelf = state.ledger.shelves.get(&target);
            let shelf = shelf.filter(|shelf| shelf.born == born && shelf.is_ready);
            shelf
                .filter(|_| state.lead.is_some())
                .map(|shelf| shelf.address)
        };
        let Some(address) = address else {
            return;
        };
        let controller = Rc::clone(self);
        tokio::task::spawn_local(async move {
            // The report itself may be older than the last order, so it only shows that the target answers.
            if controller
                .orders
                .ask(&target, born, address)
                .await
                .is_none()
            {
                let now = controller.clock.now();
                log::warn!(step = "check", target:% = target, born = born.0; "target is down");
                controller
                    .state
                    .borrow_mut()
                    .ledger
                    .lose(&target, born, now);
                controller.changed.notify_waiters();
            }
        });
    }

    fn plan(self: &Rc<Self>, now: Point) {
        let mut wanted = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            let may_plan = state
                .lead
                .as_ref()
                .is_some_and(|lead| now >= lead.plans_from);
            let Some(document) = state.document.clone().filter(|_| may_plan) else {
                return;
            };
            for (service, pool) in pools(&document) {
                for model in pool.models.keys() {
                    let has_any = state.ledger.has_usable(&service.name, model);
                    state.demand.note_copies(&service.name, model, has_any, now);
                }
                let ration = state.rations.entry(service.name.clone());
                let ration = ration.or_insert_with(|| Ration::new(now));
                let loads = ration.available(pool.loads, now);
                let situation =
                    Situation::new(&state.ledger, &service.name, pool, &state.demand, now);
                for step in situation.steps(loads) {
                    if step.is_rationed && matches!(step.action, Action::Load(_)) {
                        ration.take();
                    }
                    let shelf = state.ledger.shelves.get(&step.target);
                    let model = pool.models.get(step.action.model());
                    let due = shelf.zip(model);
                    let due = due.map_or(UNKNOWN_LOAD, |(shelf, model)| shelf.load_time(model));
                    wanted.push((step, due));
                }
            }
            for (step, _) in &wanted {
                if let Some(model) = &step.makes_room_for {
                    state.ledger.reserve(&step.target, model.clone(), now);
                }
            }
        }
        for (step, due) in wanted {
            log::info!(
                step = "plan",
                target:% = step.target,
                action:? = step.action,
                makes_room_for:% = step.makes_room_for.as_ref().map_or("", |model| model.as_str()),
                is_rationed = step.is_rationed,
                saves:% = format!("{:.1}", step.saves);
                "{}", step.reason
            );
            let controller = Rc::clone(self);
            let order = self.start(&step.target, step.action, due);
            if let Some(order) = order {
                tokio::task::spawn_local(async move {
                    controller.carry_out(order).await;
                });
            }
        }
    }

    /// Notes that an order is being given; `None` if the target can't take one.
    fn start(&self, target: &id::Target, action: Action, due: Duration) -> Option<Order> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let lead = state.lead.as_ref()?;
        if now < lead.from {
            return None;
        }
        let shelf = state.ledger.shelves.get(target)?;
        if !shelf.is_free() {
            return None;
        }
        let order = Order {
            target: target.clone(),
            born: shelf.born,
            expected: shelf.accepted?,
            action,
        };
        state.ledger.sent(&order, now + due, now);
        self.subscribers.send_cores(&Down::Ordered(target.clone()));
        Some(order)
    }

    async fn carry_out(&self, order: Order) {
        if matches!(order.action, Action::Unload(_)) {
            self.tell();
            sleep(WITHHOLD).await;
        }
        let context = {
            let state = self.state.borrow();
            let lead = state.lead.as_ref().map(|lead| lead.fence.clone());
            let shelf = state.ledger.shelves.get(&order.target);
            lead.zip(shelf.map(|shelf| shelf.address))
        };
        let Some((fence, address)) = context else {
            return;
        };
        let outcome = self.orders.give(&order, address, &fence).await;
        if outcome == Outcome::Accepted && matches!(order.action, Action::LoadAdapter(..)) {
            sleep(ADAPTER_LOAD).await;
        }
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if state.lead.as_ref().map(|lead| &lead.fence) == Some(&fence) {
            state.ledger.answered(&order, outcome, now);
        }
        drop(state);
        self.tell();
        self.changed.notify_waiters();
    }

    /// Tells entry instances what has changed on the targets.
    fn tell(&self) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let mut news = Vec::new();
        for (target, shelf) in &state.ledger.shelves {
            let placement = Placement {
                target: target.clone(),
                born: shelf.born,
                held: shelf.usable(),
            };
            if state.told.get(target) != Some(&placement) {
                state.told.insert(target.clone(), placement.clone());
                news.push(placement);
            }
        }
        let shelves = &state.ledger.shelves;
        state.told.retain(|target, _| shelves.contains_key(target));
        if !news.is_empty() {
            self.subscribers.send_entries(&Down::Placed(news));
        }
    }

    /// Returns what a new subscriber needs to know.
    pub fn placements(&self) -> Vec<Placement> {
        self.state.borrow().told.values().cloned().collect()
    }

    /// Answers an entry instance that found no target for a model or an adapter.
    pub async fn want(self: &Rc<Self>, item: &Item) -> Granted {
        let granted = timeout(WANT, self.provide(item)).await;
        let granted = granted.unwrap_or(Granted::No);
        log::info!(
            step = "want",
            model:% = item.model,
            adapter:% = item.adapter.as_ref().map_or("", |adapter| adapter.as_str()),
            granted:? = granted;
            "model or adapter wanted"
        );
        granted
    }

    async fn provide(self: &Rc<Self>, item: &Item) -> Granted {
        loop {
            let notified = self.changed.notified();
            let next = {
                let state = self.state.borrow();
                self.next_step(&state, item)
            };
            match next {
                Next::Done(granted) => return granted,
                Next::Order(target, action) => {
                    // The order is carried out to its end even if whoever wants the adapter has given up by then.
                    if let Some(order) = self.start(&target, action, ADAPTER_LOAD) {
                        let controller = Rc::clone(self);
                        tokio::task::spawn_local(async move {
                            controller.carry_out(order).await;
                        });
                    }
                    notified.await;
                }
                Next::Wait => notified.await,
            }
        }
    }

    fn next_step(&self, state: &State, item: &Item) -> Next {
        let Some(document) = &state.document else {
            return Next::Done(Granted::No);
        };
        let service = document.services.get(&item.service);
        let Some(pool) = service.and_then(|service| service.pool.as_ref()) else {
            return Next::Done(Granted::No);
        };
        let Some(model) = pool
            .models
            .get(&item.model)
            .filter(|_| state.lead.is_some())
        else {
            return Next::Done(Granted::No);
        };
        let now = self.clock.now();
        let mut shelves = state.ledger.shelves.iter();
        let holder = shelves.find(|(_, shelf)| {
            shelf.service == item.service && shelf.is_ready && shelf.is_usable(&item.model)
        });
        let Some((target, _)) = holder else {
            return Next::Done(Granted::Later(time_to_model(state, item, model.load, now)));
        };
        if item.adapter.is_none() {
            return Next::Done(Granted::Ready(target.clone()));
        }
        match adapters::place(&state.ledger, pool, &state.demand, item, now) {
            Place::Held(target) => Next::Done(Granted::Ready(target)),
            Place::Coming(_) | Place::Busy => Next::Wait,
            Place::Order(target, action) => Next::Order(target, action),
            Place::NoModel | Place::Full => Next::Wait,
        }
    }
}

enum Next {
    Done(Granted),
    Order(id::Target, Action),
    Wait,
}

/// Returns when a model that no target has is expected to be ready.
fn time_to_model(state: &State, item: &Item, load: Duration, now: Point) -> Duration {
    let mut loading = state.ledger.shelves.values().filter_map(|shelf| {
        let (model, due) = shelf.loading()?;
        (*model == item.model && shelf.service == item.service).then_some(due)
    });
    loading.next().map_or(load, |due| due.since(now))
}

fn pools(document: &Document) -> impl Iterator<Item = (&Service, &Pool)> {
    let services = document.services.values();
    services.filter_map(|service| Some((service, service.pool.as_ref()?)))
}
