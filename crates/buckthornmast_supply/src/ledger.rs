//! Inventory of each target: the models and adapters that it has, or may come to have.
//!
//! Memory and adapter places are accounted for the worst case: a load counts from the moment its order is sent until
//! the target is known not to have the model or adapter. An unanswered order counts until a later order with the same
//! expected number has been accepted, since the target then refuses the earlier one. Orders to earlier incarnations of the
//! target count as long as the number of accepted orders may still reach the one that they expect ([`crate::stray`]).

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use buckthornmast_fleet::prelude::*;
use buckthornmast_routes::document::{Model, Pool};
use buckthornmast_types::{id, rate::Rate, size::Bytes, time::Point};

use crate::{
    demand::Item,
    handover::Handover,
    order::{Action, Order, Outcome, Report},
    stray::{self, Strays},
};

/// Time without an announcement after which a target counts as gone, although it has not withdrawn. Several
/// announcements are due in this time, and most partitions are shorter.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(6000);

/// Time after an accepted order for which announcements may still show the state before the order.
const ANNOUNCEMENT_LAG: Duration = Duration::from_millis(3000);

/// Maximum age of the state in a report. A target is not queried within this time after a change, since the report
/// could show the state before it.
const MAX_REPORT_AGE: Duration = Duration::from_millis(700);

/// Minimum time between two state queries to a target.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(600);

/// Time for which memory is reserved for the model that room is being made for. Requests in progress end in this time.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which an adapter that was evicted while in use is not loaded again at the same target, so that other
/// adapters get its place.
const ADAPTER_COOLDOWN: Duration = Duration::from_millis(8000);

/// Time past the expected completion after which a target is queried for the state of an order.
const OVERDUE_MARGIN: Duration = Duration::from_millis(500);

/// Minimum time between two queries caused by announcements that differ from the ledger.
const MIN_MISMATCH_INTERVAL: Duration = Duration::from_secs(3);

/// Order that a target is carrying out, or may be carrying out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pending {
    /// Ordered operation.
    pub action: Action,
    /// Time at which the order was sent.
    pub sent: Point,
    /// Whether the target has accepted it.
    pub is_accepted: bool,
    /// Expected completion time.
    pub due: Point,
    // Whether the target announced the model when the order was sent.
    was_announced: bool,
}

/// Inventory of a target.
#[derive(Debug, Clone)]
pub struct Inventory {
    /// Incarnation of the target.
    pub incarnation: id::Incarnation,
    /// Service that the target belongs to.
    pub service: id::Service,
    /// Address for requests and orders.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: id::Domain,
    /// Whether the target takes new work and has announced itself recently.
    pub is_ready: bool,
    /// Requests that the target runs concurrently.
    pub slots: u32,
    /// Requests a second that it takes from all instances together, if it states a limit.
    pub limit: Option<Rate>,
    /// Resident models with their adapters.
    pub resident: BTreeMap<id::Model, BTreeSet<id::Adapter>>,
    /// Copies in the target's main memory, which load fastest.
    pub in_memory: BTreeSet<id::Model>,
    /// Copies on the target's disk, which load without the weight store as well.
    pub on_disk: BTreeSet<id::Model>,
    /// Number of orders that the target has accepted; unknown until the target has been queried.
    pub accepted: Option<u64>,
    /// Order in progress.
    pub pending: Option<Pending>,
    /// Adapters that are unloaded once their requests have ended. They occupy their places until then.
    pub draining: BTreeSet<(id::Model, id::Adapter)>,
    /// Evicted adapters, with the time before which they are not loaded again.
    pub cooldowns: BTreeMap<(id::Model, id::Adapter), Point>,
    /// Times at which adapters were loaded.
    pub loaded_at: BTreeMap<(id::Model, id::Adapter), Point>,
    /// Unanswered orders that may still take effect, with the times at which they were sent.
    pub unanswered: Vec<(Action, Point)>,
    /// Adapters that the target reports as on their way to it.
    pub arriving: BTreeSet<(id::Model, id::Adapter)>,
    // Orders to earlier incarnations that this one may carry out, with the numbers of accepted orders at which it does.
    strays: Vec<(Action, u64)>,
    // Time since which the target is known to be down, unless it has announced itself since.
    down_since: Option<Point>,
    // Whether the target has stated in a report that it leaves.
    is_leaving: bool,
    // Whether another leader has ordered the target within the exclusion period.
    is_blocked: bool,
    // Times since which models have been ready.
    ready_at: BTreeMap<id::Model, Point>,
    // Model that room is being made for, with the start time.
    reserved: Option<(id::Model, Point)>,
    // Models in the last announcement.
    announced: BTreeSet<id::Model>,
    // Time of the last change by an order or its completion.
    changed_at: Point,
    // Time of the last state query.
    queried_at: Option<Point>,
}

impl Inventory {
    fn new(announcement: &Announcement) -> Self {
        let mut inventory = Self {
            incarnation: announcement.incarnation,
            service: announcement.service.clone(),
            address: announcement.address,
            domain: announcement.domain.clone(),
            is_ready: true,
            slots: announcement.slots,
            limit: None,
            resident: BTreeMap::new(),
            in_memory: BTreeSet::new(),
            on_disk: BTreeSet::new(),
            accepted: None,
            pending: None,
            draining: BTreeSet::new(),
            cooldowns: BTreeMap::new(),
            loaded_at: BTreeMap::new(),
            unanswered: Vec::new(),
            arriving: BTreeSet::new(),
            strays: Vec::new(),
            down_since: None,
            is_leaving: false,
            is_blocked: false,
            ready_at: BTreeMap::new(),
            reserved: None,
            announced: BTreeSet::new(),
            changed_at: Point::ZERO,
            queried_at: None,
        };
        inventory.set_resident(&announcement.resident);
        inventory
    }

    fn set_resident(&mut self, models: &[Resident]) {
        let models = models.iter().map(|entry| {
            let adapters = entry.adapters.iter().cloned().collect();
            (entry.model.clone(), adapters)
        });
        self.resident = models.collect();
    }

    /// Returns the loads that are in progress or may still take effect.
    fn unfinished_loads(&self) -> impl Iterator<Item = &Action> {
        let pending = self.pending.iter().map(|pending| &pending.action);
        let unanswered = self.unanswered.iter().map(|(action, _)| action);
        // The next order is accepted at the known number or not at all, so a stray that expects no higher number is
        // refused after it.
        let strays = self
            .strays
            .iter()
            .filter(|(_, expected)| self.accepted.is_none_or(|accepted| *expected > accepted));
        let loads = pending
            .chain(unanswered)
            .chain(strays.map(|(action, _)| action));
        loads.filter(|action| matches!(action, Action::Load(_) | Action::LoadAdapter(..)))
    }

    /// Returns the model that is being loaded, with its expected completion time.
    pub fn loading(&self) -> Option<(&id::Model, Point)> {
        let pending = self.pending.as_ref()?;
        match &pending.action {
            Action::Load(model) => Some((model, pending.due)),
            _ => None,
        }
    }

    /// Returns the number of adapters that are resident or may become resident.
    pub fn adapters(&self) -> usize {
        let resident: usize = self.resident.values().map(BTreeSet::len).sum();
        let loading = self
            .unfinished_loads()
            .filter(|action| matches!(action, Action::LoadAdapter(..)));
        resident + self.arriving.len() + loading.count()
    }

    /// Returns the memory that is free in the worst case.
    pub fn free(&self, pool: &Pool) -> Bytes {
        let resident = self.resident.iter().map(|(model, adapters)| {
            let spec = pool.models.get(model);
            spec.map_or(pool.memory.0, |spec| {
                spec.weights.0 + spec.adapter.0 * adapters.len() as u64
            })
        });
        let loading = self.unfinished_loads().map(|action| {
            let spec = pool.models.get(action.model());
            match action {
                Action::LoadAdapter(..) => spec.map_or(0, |spec| spec.adapter.0),
                _ => spec.map_or(0, |spec| spec.weights.0),
            }
        });
        let arriving = self.arriving.iter().map(|(model, _)| {
            let spec = pool.models.get(model);
            spec.map_or(0, |spec| spec.adapter.0)
        });
        let used: u64 = resident.chain(loading).chain(arriving).sum();
        Bytes(pool.memory.0.saturating_sub(used))
    }

    /// Returns the time since which a model has been ready, if it was loaded by order.
    pub fn ready_since(&self, model: &id::Model) -> Option<Point> {
        self.ready_at.get(model).copied()
    }

    /// Returns the model that room is being made for.
    pub fn reserved(&self, now: Point) -> Option<&id::Model> {
        let (model, since) = self.reserved.as_ref()?;
        (now.since(*since) < RESERVATION_TIMEOUT).then_some(model)
    }

    /// Returns whether a model loads without the weight store.
    pub fn has_copy(&self, model: &id::Model) -> bool {
        self.in_memory.contains(model) || self.on_disk.contains(model)
    }

    /// Returns the time that a load of a model takes at this target.
    pub fn load_time(&self, model: &Model) -> Duration {
        if self.in_memory.contains(&model.name) {
            model.memory_load
        } else if self.on_disk.contains(&model.name) {
            model.disk_load
        } else {
            model.load
        }
    }

    /// Returns whether an order may be sent to the target.
    pub fn is_free(&self) -> bool {
        self.is_ready && !self.is_blocked && self.pending.is_none() && self.accepted.is_some()
    }

    /// Returns the models and adapters that requests may use, as published to entry instances.
    pub fn usable(&self) -> Vec<Resident> {
        let pending = self.pending.as_ref().map(|pending| &pending.action);
        let is_leaving = |action: Action| pending == Some(&action);
        let resident = self.resident.iter();
        let usable = resident.filter(|(model, _)| !is_leaving(Action::Unload((*model).clone())));
        usable
            .map(|(model, adapters)| {
                let adapters = adapters.iter().filter(|adapter| {
                    let place = (model.clone(), (*adapter).clone());
                    !self.draining.contains(&place)
                        && !is_leaving(Action::UnloadAdapter(place.0, place.1))
                });
                Resident {
                    model: model.clone(),
                    adapters: adapters.cloned().collect(),
                }
            })
            .collect()
    }

    /// Returns whether requests may use a model.
    pub fn is_usable(&self, model: &id::Model) -> bool {
        let pending = self.pending.as_ref().map(|pending| &pending.action);
        let is_leaving = matches!(pending, Some(Action::Unload(leaving)) if leaving == model);
        self.resident.contains_key(model) && !is_leaving
    }

    /// Returns whether the target takes new work and requests may use a model or an adapter there.
    pub fn serves(&self, item: &Item) -> bool {
        let has_adapter = || {
            let Some(adapter) = &item.adapter else {
                return true;
            };
            let place = (item.model.clone(), adapter.clone());
            self.resident[&item.model].contains(adapter) && !self.draining.contains(&place)
        };
        self.is_ready
            && self.service == item.service
            && self.is_usable(&item.model)
            && has_adapter()
    }

    /// Returns whether the target should be queried for its state now, and if so records the query.
    pub fn begin_query(&mut self, now: Point) -> bool {
        let is_due =
            |since: Option<Point>, interval| since.is_none_or(|since| now.since(since) >= interval);
        let changed = (self.changed_at > Point::ZERO).then_some(self.changed_at);
        let is_needed = match &self.pending {
            None => {
                self.accepted.is_none() || !self.draining.is_empty() || !self.arriving.is_empty()
            }
            Some(pending) => pending.is_accepted && now >= pending.due + OVERDUE_MARGIN,
        };
        let should_query = self.is_ready
            && is_needed
            && is_due(self.queried_at, MIN_REPORT_INTERVAL)
            && is_due(changed, MAX_REPORT_AGE);
        if should_query {
            self.queried_at = Some(now);
        }
        should_query
    }
}

/// Inventories of all targets with models.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    /// Inventories by target.
    pub inventories: BTreeMap<id::Target, Inventory>,
    /// Orders that may still be carried out. They outlast the inventories, and the leadership under which they were sent.
    pub strays: Strays,
}

impl Ledger {
    /// Updates the inventories from the announcements of the targets of services with models.
    pub fn observe(
        &mut self,
        registry: &Registry,
        has_models: impl Fn(&id::Service) -> bool,
        now: Point,
    ) {
        let owners = registry.owners();
        let incarnations: HashMap<&id::Target, id::Incarnation> = owners
            .iter()
            .map(|entry| (&entry.announcement.target, entry.announcement.incarnation))
            .collect();
        self.inventories
            .retain(|target, inventory| incarnations.get(target) == Some(&inventory.incarnation));
        self.strays.prune(now);
        for entry in owners {
            let announcement = &entry.announcement;
            if !has_models(&announcement.service) {
                continue;
            }
            let entry_of_target = self.inventories.entry(announcement.target.clone());
            let inventory = entry_of_target.or_insert_with(|| Inventory::new(announcement));
            inventory.address = announcement.address;
            inventory.down_since = inventory
                .down_since
                .filter(|since| entry.last_heard <= *since);
            let is_alive = now.since(entry.last_heard) < ANNOUNCEMENT_TIMEOUT
                && inventory.down_since.is_none();
            inventory.is_ready = entry.is_ready() && is_alive && !inventory.is_leaving;
            inventory.in_memory = announcement.in_memory.iter().cloned().collect();
            inventory.on_disk = announcement.on_disk.iter().cloned().collect();
            let strays = self
                .strays
                .of_earlier(&announcement.target, announcement.incarnation);
            inventory.strays = strays
                .map(|(action, expected)| (action.clone(), expected))
                .collect();
            inventory.reconcile(announcement, now);
            inventory.announced = announcement
                .resident
                .iter()
                .map(|entry| entry.model.clone())
                .collect();
        }
    }

    /// Marks a target as down. It counts as gone until it announces itself again.
    pub fn mark_down(&mut self, target: &id::Target, incarnation: id::Incarnation, now: Point) {
        let inventory = self.inventories.get_mut(target);
        if let Some(inventory) = inventory.filter(|inventory| inventory.incarnation == incarnation)
        {
            inventory.down_since = Some(now);
            inventory.is_ready = false;
            // Whether the target took the last orders is queried when it is back.
            inventory.accepted = None;
        }
    }

    /// Marks a target as leaving. This incarnation of it takes no new work and no orders any more.
    pub fn mark_leaving(&mut self, target: &id::Target, incarnation: id::Incarnation) {
        let inventory = self.inventories.get_mut(target);
        if let Some(inventory) = inventory.filter(|inventory| inventory.incarnation == incarnation)
        {
            inventory.is_leaving = true;
            inventory.is_ready = false;
        }
    }

    /// Blocks the targets that other leaders have ordered within the exclusion period.
    pub fn block_ordered(&mut self, handover: &Handover, now: Point) {
        for (target, inventory) in &mut self.inventories {
            inventory.is_blocked = handover.is_blocked(target, now);
        }
    }

    /// Returns the targets at which requests may use a model or an adapter.
    pub fn usable_targets(&self, item: &Item) -> impl Iterator<Item = (&id::Target, &Inventory)> {
        let inventories = self.inventories.iter();
        inventories.filter(|(_, inventory)| inventory.serves(item))
    }

    /// Returns whether any target that takes new work has a model.
    pub fn has_usable(&self, service: &id::Service, model: &id::Model) -> bool {
        self.inventories.values().any(|inventory| {
            inventory.is_ready && inventory.service == *service && inventory.is_usable(model)
        })
    }

    /// Returns the models of a service that requests may use at some target that takes new work.
    pub fn usable_models(&self, service: &id::Service) -> HashSet<id::Model> {
        let ready = self
            .inventories
            .values()
            .filter(|inventory| inventory.is_ready && inventory.service == *service);
        let usable = ready.flat_map(|inventory| {
            let resident = inventory.resident.keys();
            resident.filter(|model| inventory.is_usable(model))
        });
        usable.cloned().collect()
    }

    /// Reserves the memory that an order frees for a model.
    pub fn reserve(&mut self, target: &id::Target, model: id::Model, now: Point) {
        if let Some(inventory) = self.inventories.get_mut(target) {
            inventory.reserved = Some((model, now));
        }
    }

    /// Removes what is known about the targets, but not the orders that may still be carried out.
    pub fn clear(&mut self) {
        self.inventories.clear();
    }

    /// Records that an order is being sent in a term.
    pub fn record_order(&mut self, order: &Order, term: id::Term, due: Point, now: Point) {
        self.strays.record(order, term, now);
        if let Some(inventory) = self.inventory(order) {
            if matches!(order.action, Action::Load(_)) {
                inventory.reserved = None;
            }
            inventory.pending = Some(Pending {
                action: order.action.clone(),
                sent: now,
                is_accepted: false,
                due,
                was_announced: inventory.announced.contains(order.action.model()),
            });
        }
    }

    fn inventory(&mut self, order: &Order) -> Option<&mut Inventory> {
        let inventory = self.inventories.get_mut(&order.target)?;
        (inventory.incarnation == order.incarnation).then_some(inventory)
    }

    /// Records the outcome of an order. An adapter counts as ready once its load is accepted.
    pub fn record_outcome(&mut self, order: &Order, outcome: Outcome, now: Point) {
        if outcome != Outcome::Unknown {
            self.strays.settle(order);
        }
        let Some(inventory) = self.inventory(order) else {
            return;
        };
        let Some(pending) = inventory.pending.as_mut() else {
            return;
        };
        match outcome {
            Outcome::Accepted => {
                inventory.changed_at = now;
                inventory.accepted = Some(order.expected + 1);
                inventory.unanswered.clear();
                match &order.action {
                    // The target announces the completion.
                    Action::Load(_) | Action::Unload(_) => pending.is_accepted = true,
                    // The adapter is in use and is unloaded once its requests have ended. Other orders may be sent
                    // in the meantime.
                    Action::UnloadAdapter(model, adapter) => {
                        let place = (model.clone(), adapter.clone());
                        inventory
                            .cooldowns
                            .insert(place.clone(), now + ADAPTER_COOLDOWN);
                        inventory.draining.insert(place);
                        inventory.pending = None;
                    }
                    Action::LoadAdapter(model, adapter) => {
                        inventory
                            .loaded_at
                            .insert((model.clone(), adapter.clone()), now);
                        inventory.complete_pending();
                    }
                }
            }
            Outcome::Holds => {
                inventory.changed_at = now;
                // The unloading of an adapter is complete when the target answers, and counts as an order.
                let is_counted = matches!(order.action, Action::UnloadAdapter(..));
                inventory.accepted = Some(order.expected + u64::from(is_counted));
                inventory.complete_pending();
            }
            Outcome::Unknown => {
                inventory.changed_at = now;
                let action = pending.action.clone();
                inventory.unanswered.push((action, pending.sent));
                inventory.pending = None;
                inventory.accepted = None;
            }
            Outcome::Conflict | Outcome::Fenced | Outcome::Refused | Outcome::Misdirected => {
                inventory.pending = None;
                inventory.accepted = None;
            }
        }
    }

    /// Applies the state that a target reports in answer to a query.
    pub fn apply_report(
        &mut self,
        target: &id::Target,
        incarnation: id::Incarnation,
        report: &Report,
    ) {
        let Some(inventory) = self.inventories.get_mut(target) else {
            return;
        };
        let is_other_incarnation = report
            .incarnation
            .is_some_and(|reported| reported != incarnation);
        if inventory.incarnation != incarnation || is_other_incarnation {
            return;
        }
        if report.is_leaving {
            self.mark_leaving(target, incarnation);
        }
        let Some(inventory) = self.inventories.get_mut(target) else {
            return;
        };
        let is_in_flight = inventory
            .pending
            .as_ref()
            .is_some_and(|pending| !pending.is_accepted);
        if report.is_busy || is_in_flight {
            return;
        }
        inventory.pending = None;
        inventory.accepted = Some(report.accepted);
        inventory.set_resident(&report.resident);
        inventory.arriving = report.arriving.iter().cloned().collect();
        let resident = &inventory.resident;
        let is_resident = |(model, adapter): &(id::Model, id::Adapter)| {
            resident
                .get(model)
                .is_some_and(|adapters| adapters.contains(adapter))
        };
        inventory.draining.retain(is_resident);
        inventory.loaded_at.retain(|place, _| is_resident(place));
    }
}

impl Inventory {
    /// Applies the effect of the order in progress.
    fn complete_pending(&mut self) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        match pending.action {
            Action::Load(model) => drop(self.resident.entry(model).or_default()),
            Action::LoadAdapter(model, adapter) => {
                let place = (model, adapter);
                self.arriving.remove(&place);
                let (model, adapter) = place;
                self.resident.entry(model).or_default().insert(adapter);
            }
            Action::Unload(model) => drop(self.resident.remove(&model)),
            Action::UnloadAdapter(model, adapter) => {
                if let Some(adapters) = self.resident.get_mut(&model) {
                    adapters.remove(&adapter);
                }
            }
        }
    }

    /// Compares the inventory with the announcement of the target.
    ///
    /// An announcement may be older than the last order, so it only completes an order whose effect it shows. If it
    /// differs from the ledger otherwise, the target is queried.
    fn reconcile(&mut self, announcement: &Announcement, now: Point) {
        let is_announced = |model: &id::Model| announcement.is_resident(model, None);
        if let Some(pending) = &self.pending {
            let is_done = match &pending.action {
                Action::Load(model) => !pending.was_announced && is_announced(model),
                Action::Unload(model) => pending.was_announced && !is_announced(model),
                Action::LoadAdapter(..) | Action::UnloadAdapter(..) => false,
            };
            if is_done && pending.is_accepted {
                self.changed_at = now;
                if let Action::Load(model) = &pending.action {
                    self.ready_at.insert(model.clone(), now);
                }
                self.complete_pending();
            }
            return;
        }
        self.unanswered
            .retain(|(_, sent)| now.since(*sent) < stray::TIMEOUT);
        let is_announcement_current = now.since(self.changed_at) >= ANNOUNCEMENT_LAG;
        let is_queried_recently = self
            .queried_at
            .is_some_and(|queried| now.since(queried) < MIN_MISMATCH_INTERVAL);
        if is_announcement_current
            && !is_queried_recently
            && !self.is_consistent_with(&announcement.resident)
        {
            self.accepted = None;
        }
    }

    fn is_consistent_with(&self, models: &[Resident]) -> bool {
        models.len() == self.resident.len()
            && models.iter().all(|entry| {
                self.resident.get(&entry.model).is_some_and(|known| {
                    known.len() == entry.adapters.len()
                        && entry.adapters.iter().all(|adapter| known.contains(adapter))
                })
            })
    }
}
