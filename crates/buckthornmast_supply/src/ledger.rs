//! What each target holds, or may come to hold.
//!
//! Memory and adapter places are accounted for the worst case: a load counts from the moment its order is sent
//! until the target is known not to hold it. An order without an answer counts until a later order with the same
//! expected number was accepted, since the target then refuses the earlier one.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use buckthornmast_fleet::prelude::*;
use buckthornmast_routes::document::{Model, Pool};
use buckthornmast_types::{id, size::Bytes, time::Point};

use crate::{
    demand::Item,
    handover::Handover,
    order::{Action, Order, Outcome, Report},
};

/// Time without a word after which a target counts as gone, though it did not say so. Several announcements are due in
/// it, and most partitions are shorter.
const SILENCE: Duration = Duration::from_millis(6000);

/// Time after an accepted order for which announcements may still show the state before it.
const ANNOUNCEMENT_LAG: Duration = Duration::from_millis(3000);

/// Age that the state in a report may have.
const REPORT_LAG: Duration = Duration::from_millis(700);

/// Pause between two questions for the state of a target.
const REPORT_PAUSE: Duration = Duration::from_millis(600);

/// Time for which a place is kept for the model that room is made for. Requests in progress end within it.
const RESERVED: Duration = Duration::from_secs(5);

/// Time for which an adapter that made room while in use leaves the place to others.
const REST: Duration = Duration::from_millis(8000);

/// Time after which an order without an answer is not carried out any more. The platform speaks of up to 12 s.
const DOUBT: Duration = Duration::from_secs(20);

/// Time beyond the expected one after which a target is asked whether an order is carried out.
const OVERDUE: Duration = Duration::from_millis(500);

/// Pause between two questions because of announcements that differ from the ledger.
const MISMATCH_PAUSE: Duration = Duration::from_secs(3);

/// Order that a target is carrying out, or may be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pending {
    /// Order.
    pub action: Action,
    /// When it was sent.
    pub sent: Point,
    /// Whether the target has accepted it.
    pub accepted: bool,
    /// When it is expected to be done.
    pub due: Point,
    // Whether the target announced the model when the order was sent.
    was_listed: bool,
}

/// Target and its models.
#[derive(Debug, Clone)]
pub struct Shelf {
    /// Start of the target.
    pub born: id::Incarnation,
    /// Service.
    pub service: id::Service,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: id::Domain,
    /// Whether it takes new work.
    pub is_ready: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Models and adapters that are ready.
    pub held: BTreeMap<id::Model, BTreeSet<id::Adapter>>,
    /// Copies in the target's main memory, which load fastest.
    pub in_memory: BTreeSet<id::Model>,
    /// Copies on the target's disk, which load without the weight store as well.
    pub on_disk: BTreeSet<id::Model>,
    /// Orders that the target has accepted; unknown until it was asked.
    pub accepted: Option<u64>,
    /// Order in progress.
    pub pending: Option<Pending>,
    /// Adapters that go when their requests have ended. They take their places until then.
    pub going: BTreeSet<(id::Model, id::Adapter)>,
    /// Adapters that had their turn, and until when they leave their place to others.
    pub resting: BTreeMap<(id::Model, id::Adapter), Point>,
    /// When adapters were loaded.
    pub loaded: BTreeMap<(id::Model, id::Adapter), Point>,
    /// Loads that may still take effect although nothing was heard of them, with the time of their sending.
    pub doubtful: Vec<(Action, Point)>,
    // Since when it is known to be down, unless it has announced itself since.
    down: Option<Point>,
    // Whether another holder has ordered it too recently.
    is_barred: bool,
    // Since when models have been ready.
    ready: BTreeMap<id::Model, Point>,
    // Model that room is being made for, and since when.
    reserved: Option<(id::Model, Point)>,
    listed: BTreeSet<id::Model>,
    changed: Point,
    asked: Option<Point>,
}

impl Shelf {
    fn new(announcement: &Announcement) -> Self {
        let mut shelf = Self {
            born: announcement.born,
            service: announcement.service.clone(),
            address: announcement.address,
            domain: announcement.domain.clone(),
            is_ready: true,
            slots: announcement.slots,
            held: BTreeMap::new(),
            in_memory: BTreeSet::new(),
            on_disk: BTreeSet::new(),
            accepted: None,
            pending: None,
            going: BTreeSet::new(),
            resting: BTreeMap::new(),
            loaded: BTreeMap::new(),
            doubtful: Vec::new(),
            down: None,
            is_barred: false,
            ready: BTreeMap::new(),
            reserved: None,
            listed: BTreeSet::new(),
            changed: Point::ZERO,
            asked: None,
        };
        shelf.set_held(&announcement.held);
        shelf
    }

    fn set_held(&mut self, held: &[Held]) {
        let held = held.iter().map(|held| {
            let adapters = held.adapters.iter().cloned().collect();
            (held.model.clone(), adapters)
        });
        self.held = held.collect();
    }

    /// Returns the loads that count although they are not ready.
    fn coming(&self) -> impl Iterator<Item = &Action> {
        let pending = self.pending.iter().map(|pending| &pending.action);
        let loads = pending.chain(self.doubtful.iter().map(|(action, _)| action));
        loads.filter(|action| matches!(action, Action::Load(_) | Action::LoadAdapter(..)))
    }

    /// Returns the model that is being loaded.
    pub fn loading(&self) -> Option<(&id::Model, Point)> {
        let pending = self.pending.as_ref()?;
        match &pending.action {
            Action::Load(model) => Some((model, pending.due)),
            _ => None,
        }
    }

    /// Returns the adapters that are present or may come to be.
    pub fn adapters(&self) -> usize {
        let held: usize = self.held.values().map(BTreeSet::len).sum();
        let coming = self
            .coming()
            .filter(|action| matches!(action, Action::LoadAdapter(..)));
        held + coming.count()
    }

    /// Returns the memory that is free in the worst case.
    pub fn free(&self, pool: &Pool) -> Bytes {
        let held = self.held.iter().map(|(model, adapters)| {
            let spec = pool.models.get(model);
            spec.map_or(pool.memory.0, |spec| {
                spec.weights.0 + spec.adapter.0 * adapters.len() as u64
            })
        });
        let coming = self.coming().map(|action| {
            let spec = pool.models.get(action.model());
            match action {
                Action::LoadAdapter(..) => spec.map_or(0, |spec| spec.adapter.0),
                _ => spec.map_or(0, |spec| spec.weights.0),
            }
        });
        let used: u64 = held.chain(coming).sum();
        Bytes(pool.memory.0.saturating_sub(used))
    }

    /// Returns since when a model has been ready, if it was loaded on order.
    pub fn ready_since(&self, model: &id::Model) -> Option<Point> {
        self.ready.get(model).copied()
    }

    /// Returns the model that room is being made for.
    pub fn reserved(&self, now: Point) -> Option<&id::Model> {
        let (model, since) = self.reserved.as_ref()?;
        (now.since(*since) < RESERVED).then_some(model)
    }

    /// Returns whether a model loads without the weight store.
    pub fn has_copy(&self, model: &id::Model) -> bool {
        self.in_memory.contains(model) || self.on_disk.contains(model)
    }

    /// Returns the time that a load of a model takes here.
    pub fn load_time(&self, model: &Model) -> Duration {
        if self.in_memory.contains(&model.name) {
            model.memory_load
        } else if self.on_disk.contains(&model.name) {
            model.disk_load
        } else {
            model.load
        }
    }

    /// Returns whether an order may be given.
    pub fn is_free(&self) -> bool {
        self.is_ready && !self.is_barred && self.pending.is_none() && self.accepted.is_some()
    }

    /// Returns what requests may use, as entry instances are told.
    pub fn usable(&self) -> Vec<Held> {
        let pending = self.pending.as_ref().map(|pending| &pending.action);
        let is_leaving = |action: Action| pending == Some(&action);
        let held = self.held.iter();
        let usable = held.filter(|(model, _)| !is_leaving(Action::Unload((*model).clone())));
        usable
            .map(|(model, adapters)| {
                let adapters = adapters.iter().filter(|adapter| {
                    let place = (model.clone(), (*adapter).clone());
                    !self.going.contains(&place)
                        && !is_leaving(Action::UnloadAdapter(place.0, place.1))
                });
                Held {
                    model: model.clone(),
                    adapters: adapters.cloned().collect(),
                }
            })
            .collect()
    }

    /// Returns whether requests may use a model.
    pub fn is_usable(&self, model: &id::Model) -> bool {
        let pending = self.pending.as_ref().map(|pending| &pending.action);
        let leaves = matches!(pending, Some(Action::Unload(leaving)) if leaving == model);
        self.held.contains_key(model) && !leaves
    }

    /// Returns whether the target should be asked for its state, and notes that it is.
    pub fn wants_report(&mut self, now: Point) -> bool {
        let is_due =
            |since: Option<Point>, pause| since.is_none_or(|since| now.since(since) >= pause);
        let changed = (self.changed > Point::ZERO).then_some(self.changed);
        let needs = match &self.pending {
            None => self.accepted.is_none() || !self.going.is_empty(),
            Some(pending) => pending.accepted && now >= pending.due + OVERDUE,
        };
        let wants = self.is_ready
            && needs
            && is_due(self.asked, REPORT_PAUSE)
            && is_due(changed, REPORT_LAG);
        if wants {
            self.asked = Some(now);
        }
        wants
    }
}

/// All targets that hold models.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    /// Targets.
    pub shelves: BTreeMap<id::Target, Shelf>,
}

impl Ledger {
    /// Takes over what the targets of services with models announce.
    pub fn observe(
        &mut self,
        registry: &Registry,
        has_models: impl Fn(&id::Service) -> bool,
        now: Point,
    ) {
        self.shelves.retain(|target, shelf| {
            let entry = registry.get(target);
            entry.is_some_and(|entry| {
                entry.announcement.born == shelf.born && !registry.is_replaced(entry)
            })
        });
        for entry in registry.entries() {
            let announcement = &entry.announcement;
            if registry.is_replaced(entry) || !has_models(&announcement.service) {
                continue;
            }
            let known = self.shelves.entry(announcement.target.clone());
            let shelf = known.or_insert_with(|| Shelf::new(announcement));
            shelf.address = announcement.address;
            shelf.down = shelf.down.filter(|since| entry.heard <= *since);
            let is_heard = now.since(entry.heard) < SILENCE && shelf.down.is_none();
            shelf.is_ready = entry.is_ready() && is_heard;
            shelf.in_memory = announcement.in_memory.iter().cloned().collect();
            shelf.on_disk = announcement.on_disk.iter().cloned().collect();
            shelf.reconcile(announcement, now);
            shelf.listed = announcement
                .held
                .iter()
                .map(|held| held.model.clone())
                .collect();
        }
    }

    /// Notes that a target is down. It counts as gone until it announces itself again.
    pub fn lose(&mut self, target: &id::Target, born: id::Incarnation, now: Point) {
        let shelf = self.shelves.get_mut(target);
        if let Some(shelf) = shelf.filter(|shelf| shelf.born == born) {
            shelf.down = Some(now);
            shelf.is_ready = false;
            // Whether it took the last orders is asked when it is back.
            shelf.accepted = None;
        }
    }

    /// Takes over which targets other holders have ordered too recently.
    pub fn bar(&mut self, handover: &Handover, now: Point) {
        for (target, shelf) in &mut self.shelves {
            shelf.is_barred = handover.is_barred(target, now);
        }
    }

    /// Returns the targets on which requests may use a model or an adapter.
    pub fn holders(&self, item: &Item) -> impl Iterator<Item = (&id::Target, &Shelf)> {
        self.shelves.iter().filter(|(_, shelf)| {
            let has_adapter = || {
                let Some(adapter) = &item.adapter else {
                    return true;
                };
                let place = (item.model.clone(), adapter.clone());
                shelf.held[&item.model].contains(adapter) && !shelf.going.contains(&place)
            };
            shelf.is_ready
                && shelf.service == item.service
                && shelf.is_usable(&item.model)
                && has_adapter()
        })
    }

    /// Returns whether any target that takes new work has a model.
    pub fn has_usable(&self, service: &id::Service, model: &id::Model) -> bool {
        self.shelves
            .values()
            .any(|shelf| shelf.is_ready && shelf.service == *service && shelf.is_usable(model))
    }

    /// Keeps the place that an order makes for a model.
    pub fn reserve(&mut self, target: &id::Target, model: id::Model, now: Point) {
        if let Some(shelf) = self.shelves.get_mut(target) {
            shelf.reserved = Some((model, now));
        }
    }

    /// Notes that an order is being sent.
    pub fn sent(&mut self, order: &Order, due: Point, now: Point) {
        if let Some(shelf) = self.shelf(order) {
            if matches!(order.action, Action::Load(_)) {
                shelf.reserved = None;
            }
            shelf.pending = Some(Pending {
                action: order.action.clone(),
                sent: now,
                accepted: false,
                due,
                was_listed: shelf.listed.contains(order.action.model()),
            });
        }
    }

    fn shelf(&mut self, order: &Order) -> Option<&mut Shelf> {
        let shelf = self.shelves.get_mut(&order.target)?;
        (shelf.born == order.born).then_some(shelf)
    }

    /// Notes what became of an order. An accepted load of an adapter counts as ready from now on.
    pub fn answered(&mut self, order: &Order, outcome: Outcome, now: Point) {
        let Some(shelf) = self.shelf(order) else {
            return;
        };
        let Some(pending) = shelf.pending.as_mut() else {
            return;
        };
        match outcome {
            Outcome::Accepted => {
                shelf.changed = now;
                shelf.accepted = Some(order.expected + 1);
                shelf.doubtful.clear();
                match &order.action {
                    // The target announces the end.
                    Action::Load(_) | Action::Unload(_) => pending.accepted = true,
                    // It is in use and goes when its requests have ended; other orders may be given meanwhile.
                    Action::UnloadAdapter(model, adapter) => {
                        let place = (model.clone(), adapter.clone());
                        shelf.resting.insert(place.clone(), now + REST);
                        shelf.going.insert(place);
                        shelf.pending = None;
                    }
                    Action::LoadAdapter(model, adapter) => {
                        shelf.loaded.insert((model.clone(), adapter.clone()), now);
                        shelf.settle();
                    }
                }
            }
            Outcome::Holds => {
                shelf.changed = now;
                // Unloading an adapter is done by the time of the answer and counts as an order.
                let counts = matches!(order.action, Action::UnloadAdapter(..));
                shelf.accepted = Some(order.expected + u64::from(counts));
                shelf.settle();
            }
            Outcome::Unknown => {
                shelf.changed = now;
                let action = pending.action.clone();
                shelf.doubtful.push((action, pending.sent));
                shelf.pending = None;
                shelf.accepted = None;
            }
            Outcome::Conflict | Outcome::Fenced | Outcome::Refused | Outcome::Misdirected => {
                shelf.pending = None;
                shelf.accepted = None;
            }
        }
    }

    /// Takes what a target says when it is asked.
    pub fn reported(&mut self, target: &id::Target, born: id::Incarnation, report: &Report) {
        let Some(shelf) = self.shelves.get_mut(target) else {
            return;
        };
        let is_other = report.born.is_some_and(|started| started != born);
        let is_in_flight = shelf
            .pending
            .as_ref()
            .is_some_and(|pending| !pending.accepted);
        if shelf.born != born || is_other || report.is_busy || is_in_flight {
            return;
        }
        shelf.pending = None;
        shelf.accepted = Some(report.accepted);
        shelf.set_held(&report.held);
        let held = &shelf.held;
        let is_held = |(model, adapter): &(id::Model, id::Adapter)| {
            held.get(model)
                .is_some_and(|adapters| adapters.contains(adapter))
        };
        shelf.going.retain(is_held);
        shelf.loaded.retain(|place, _| is_held(place));
    }
}

impl Shelf {
    /// Takes the order in progress as carried out.
    fn settle(&mut self) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        match pending.action {
            Action::Load(model) => drop(self.held.entry(model).or_default()),
            Action::LoadAdapter(model, adapter) => {
                self.held.entry(model).or_default().insert(adapter);
            }
            Action::Unload(model) => drop(self.held.remove(&model)),
            Action::UnloadAdapter(model, adapter) => {
                if let Some(adapters) = self.held.get_mut(&model) {
                    adapters.remove(&adapter);
                }
            }
        }
    }

    /// Compares what is known with what the target announces.
    ///
    /// An announcement may be older than the last order, so it only ends an order that it shows to be carried out.
    /// Where it says something else than the ledger, the target is asked.
    fn reconcile(&mut self, announcement: &Announcement, now: Point) {
        let listed = |model: &id::Model| announcement.holds(model, None);
        if let Some(pending) = &self.pending {
            let is_done = match &pending.action {
                Action::Load(model) => !pending.was_listed && listed(model),
                Action::Unload(model) => pending.was_listed && !listed(model),
                Action::LoadAdapter(..) | Action::UnloadAdapter(..) => false,
            };
            if is_done && pending.accepted {
                self.changed = now;
                if let Action::Load(model) = &pending.action {
                    self.ready.insert(model.clone(), now);
                }
                self.settle();
            }
            return;
        }
        self.doubtful.retain(|(_, sent)| now.since(*sent) < DOUBT);
        let is_settled = now.since(self.changed) >= ANNOUNCEMENT_LAG;
        let is_asked = self
            .asked
            .is_some_and(|asked| now.since(asked) < MISMATCH_PAUSE);
        if is_settled && !is_asked && !self.agrees(&announcement.held) {
            self.accepted = None;
        }
    }

    fn agrees(&self, held: &[Held]) -> bool {
        held.len() == self.held.len()
            && held.iter().all(|held| {
                self.held.get(&held.model).is_some_and(|known| {
                    known.len() == held.adapters.len()
                        && held.adapters.iter().all(|adapter| known.contains(adapter))
                })
            })
    }
}
