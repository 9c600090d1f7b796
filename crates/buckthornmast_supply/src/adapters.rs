//! Placement of adapters.
//!
//! An adapter is loaded on its first request, on the target with the model that has the least demand for its adapters.
//! When all places are taken, the least recently requested adapter is evicted. An adapter that only targets with a limit
//! on their rate have is loaded elsewhere as well, if another target has its model. So is one whose targets are nearly
//! full: its load takes milliseconds, a slot up to seconds.

use std::time::Duration;

use buckthornmast_routes::document::Pool;
use buckthornmast_types::{id, time::Point};

use crate::{
    demand::{Demand, Item},
    ledger::{Inventory, Ledger},
    order::Action,
};

/// Time after its last request for which an adapter counts as in use. Most answers take less time.
const IN_USE_PERIOD: Duration = Duration::from_millis(2000);

/// Time for which an adapter in use keeps its place while other requested adapters have none.
const MIN_ADAPTER_RESIDENCY: Duration = Duration::from_millis(6000);

/// Placement decision for an adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Place {
    /// The adapter is resident at a target.
    Resident(id::Target),
    /// A target is loading the adapter.
    Loading(id::Target),
    /// A target can be ordered to make room for the adapter or to load it.
    Order(id::Target, Action),
    /// All targets with the model are busy with another order.
    Busy,
    /// No target has the adapter's model, or the item is a model without an adapter.
    NoModel,
    /// No target with the model has room, or the adapter was evicted there too recently to be loaded again.
    Full,
}

/// Rank of a target for an adapter, lower is better: whether it has a limit on its rate, whether all places are taken, the
/// number of models that only it has, and the demand for its adapters.
type Rank = (bool, bool, usize, u64);

/// Decides on the placement of an adapter.
pub fn place(ledger: &Ledger, pool: &Pool, demand: &Demand, item: &Item, now: Point) -> Place {
    let Some(adapter) = &item.adapter else {
        return Place::NoModel;
    };
    let mut with_model = ledger.inventories.iter().filter(|(_, inventory)| {
        inventory.is_ready && inventory.service == item.service && inventory.is_usable(&item.model)
    });
    let mut best: Option<(&id::Target, &Inventory, Rank)> = None;
    let mut limited_holder: Option<&id::Target> = None;
    let mut has_busy = false;
    let mut is_cooling_down = false;
    for (target, inventory) in with_model.by_ref() {
        let is_draining = inventory
            .draining
            .contains(&(item.model.clone(), adapter.clone()));
        if inventory.resident[&item.model].contains(adapter) && !is_draining {
            if inventory.limit.is_none() {
                return Place::Resident(target.clone());
            }
            limited_holder.get_or_insert(target);
            continue;
        }
        let load = Action::LoadAdapter(item.model.clone(), adapter.clone());
        if inventory
            .pending
            .as_ref()
            .is_some_and(|pending| pending.action == load)
        {
            return Place::Loading(target.clone());
        }
        if !inventory.is_free() {
            has_busy = true;
            continue;
        }
        let place = (item.model.clone(), adapter.clone());
        if inventory
            .cooldowns
            .get(&place)
            .is_some_and(|until| now < *until)
        {
            is_cooling_down = true;
            continue;
        }
        let is_full = inventory.adapters() >= pool.adapters as usize;
        let key = (
            inventory.limit.is_some(),
            is_full,
            sole_models(ledger, item, inventory),
            adapter_demand(inventory, demand, now),
        );
        if best.as_ref().is_none_or(|(_, _, other)| key < *other) {
            best = Some((target, inventory, key));
        }
    }
    if let Some(holder) = limited_holder {
        // A place at another target with a limit gains nothing.
        best = best.filter(|(_, inventory, _)| inventory.limit.is_none());
        if best.is_none() {
            return Place::Resident(holder.clone());
        }
    }
    let Some((target, inventory, (_, is_full, ..))) = best else {
        return match (has_busy, is_cooling_down) {
            (true, _) => Place::Busy,
            (false, true) => Place::Full,
            (false, false) => Place::NoModel,
        };
    };
    let needed = pool.models.get(&item.model).map(|model| model.adapter);
    let fits = needed.is_some_and(|needed| inventory.free(pool) >= needed);
    if !is_full && fits {
        let action = Action::LoadAdapter(item.model.clone(), adapter.clone());
        return Place::Order(target.clone(), action);
    }
    match eviction(inventory, demand, now) {
        Some(action) => Place::Order(target.clone(), action),
        None => limited_holder.map_or(Place::Full, |holder| Place::Resident(holder.clone())),
    }
}

/// Returns the order that gives an adapter a further place, at a target with its model for which `has_room` holds, if
/// there is one. Only free places are used, since the adapter that had to go would have to come back; and none at a target
/// that makes room for a model, which takes one order at a time. One place is added at a time.
pub fn further_place(
    ledger: &Ledger,
    pool: &Pool,
    demand: &Demand,
    item: &Item,
    has_room: impl Fn(&id::Target, &Inventory) -> bool,
    now: Point,
) -> Option<(id::Target, Action)> {
    let place = (item.model.clone(), item.adapter.clone()?);
    let load = Action::LoadAdapter(place.0.clone(), place.1.clone());
    let needed = pool.models.get(&item.model)?.adapter;
    let with_model = || {
        ledger.inventories.iter().filter(|(_, inventory)| {
            inventory.is_ready
                && inventory.service == item.service
                && inventory.is_usable(&item.model)
        })
    };
    let is_loading = |inventory: &Inventory| {
        let pending = inventory.pending.as_ref();
        pending.is_some_and(|pending| pending.action == load)
    };
    if with_model().any(|(_, inventory)| is_loading(inventory)) {
        return None;
    }
    let places = with_model().filter_map(|(target, inventory)| {
        let is_cooling_down = inventory
            .cooldowns
            .get(&place)
            .is_some_and(|until| now < *until);
        let is_candidate = inventory.is_free()
            && inventory.limit.is_none()
            && inventory.reserved(now).is_none()
            && inventory.adapters() < pool.adapters as usize
            && inventory.free(pool) >= needed
            && !inventory.resident[&item.model].contains(&place.1)
            && !is_cooling_down
            && has_room(target, inventory);
        if !is_candidate {
            return None;
        }
        let rank = (
            sole_models(ledger, item, inventory),
            adapter_demand(inventory, demand, now),
        );
        Some((rank, target))
    });
    let (_, target) = places.min()?;
    Some((target.clone(), load))
}

/// Returns the number of other models that only this target has. Their adapters can't be placed elsewhere.
fn sole_models(ledger: &Ledger, item: &Item, inventory: &Inventory) -> usize {
    let others = inventory
        .resident
        .keys()
        .filter(|model| **model != item.model);
    let is_sole = |model: &&id::Model| {
        let mut with_model = ledger.inventories.values().filter(|other| {
            other.is_ready && other.service == item.service && other.is_usable(model)
        });
        with_model.nth(1).is_none()
    };
    others.filter(is_sole).count()
}

/// Returns the demand for the adapters of a target, in thousandths of a request per second.
fn adapter_demand(inventory: &Inventory, demand: &Demand, now: Point) -> u64 {
    let items = items(inventory);
    let rate: f64 = items.map(|item| demand.rate(&item, now)).sum();
    (rate * 1000.0) as u64
}

/// Returns the resident adapters of a target.
fn items(inventory: &Inventory) -> impl Iterator<Item = Item> {
    inventory.resident.iter().flat_map(|(model, adapters)| {
        adapters.iter().map(|adapter| Item {
            service: inventory.service.clone(),
            model: model.clone(),
            adapter: Some(adapter.clone()),
        })
    })
}

/// Returns the order that makes room: it evicts the least recently requested adapter, or, if all are in use, the one
/// that was loaded first. All requested adapters thus get a place in rotation when there are more of them than places.
fn eviction(inventory: &Inventory, demand: &Demand, now: Point) -> Option<Action> {
    let resident = items(inventory).filter_map(|item| {
        let place = (item.model.clone(), item.adapter.clone()?);
        (!inventory.draining.contains(&place)).then_some((item, place))
    });
    let resident: Vec<_> = resident.collect();
    let last_request = |item: &Item| demand.last_request(item);
    let (oldest, place) = resident.iter().min_by_key(|(item, _)| last_request(item))?;
    if last_request(oldest).is_none_or(|last| now.since(last) >= IN_USE_PERIOD) {
        return Some(Action::UnloadAdapter(place.0.clone(), place.1.clone()));
    }
    if !inventory.draining.is_empty() {
        return None;
    }
    let since = |place: &(id::Model, id::Adapter)| inventory.loaded_at.get(place).copied();
    let (_, place) = resident.iter().min_by_key(|(_, place)| since(place))?;
    let is_evictable = since(place).is_none_or(|loaded| now.since(loaded) >= MIN_ADAPTER_RESIDENCY);
    is_evictable.then(|| Action::UnloadAdapter(place.0.clone(), place.1.clone()))
}
