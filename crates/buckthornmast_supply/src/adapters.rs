//! Places of adapters.
//!
//! An adapter is loaded when it is first asked for, on the target with the model that has the least demand for its
//! adapters. When all places are taken, the adapter that was asked for longest ago makes room.

use std::time::Duration;

use buckthornmast_routes::document::Pool;
use buckthornmast_types::{id, time::Point};

use crate::{
    demand::{Demand, Item},
    ledger::{Ledger, Shelf},
    order::Action,
};

/// Time after its last request for which an adapter counts as in use. Most answers take less.
const IN_USE: Duration = Duration::from_millis(2000);

/// Time for which an adapter keeps its place while others that are asked for have none.
const TURN: Duration = Duration::from_millis(6000);

/// Where an adapter may go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Place {
    /// A target has it.
    Held(id::Target),
    /// A target is loading it.
    Coming(id::Target),
    /// A target can be ordered to make room or to load it.
    Order(id::Target, Action),
    /// All targets with the model are busy with another order.
    Busy,
    /// No target has the model.
    NoModel,
    /// No target with the model has room.
    Full,
}

/// Finds the place of an adapter.
pub fn place(ledger: &Ledger, pool: &Pool, demand: &Demand, item: &Item, now: Point) -> Place {
    let Some(adapter) = &item.adapter else {
        return Place::NoModel;
    };
    let mut with_model = ledger.shelves.iter().filter(|(_, shelf)| {
        shelf.is_ready && shelf.service == item.service && shelf.is_usable(&item.model)
    });
    let mut best: Option<(&id::Target, &Shelf, (bool, usize, u64))> = None;
    let mut has_busy = false;
    let mut is_resting = false;
    for (target, shelf) in with_model.by_ref() {
        let goes = shelf.going.contains(&(item.model.clone(), adapter.clone()));
        if shelf.held[&item.model].contains(adapter) && !goes {
            return Place::Held(target.clone());
        }
        let wanted = Action::LoadAdapter(item.model.clone(), adapter.clone());
        if shelf
            .pending
            .as_ref()
            .is_some_and(|pending| pending.action == wanted)
        {
            return Place::Coming(target.clone());
        }
        if !shelf.is_free() {
            has_busy = true;
            continue;
        }
        let place = (item.model.clone(), adapter.clone());
        if shelf.resting.get(&place).is_some_and(|until| now < *until) {
            is_resting = true;
            continue;
        }
        let is_full = shelf.adapters() >= pool.adapters as usize;
        let key = (
            is_full,
            sole_models(ledger, item, shelf),
            load_of(shelf, demand, now),
        );
        if best.as_ref().is_none_or(|(_, _, other)| key < *other) {
            best = Some((target, shelf, key));
        }
    }
    let Some((target, shelf, (is_full, ..))) = best else {
        return match (has_busy, is_resting) {
            (true, _) => Place::Busy,
            (false, true) => Place::Full,
            (false, false) => Place::NoModel,
        };
    };
    let needed = pool.models.get(&item.model).map(|model| model.adapter);
    let fits = needed.is_some_and(|needed| shelf.free(pool) >= needed);
    if !is_full && fits {
        let action = Action::LoadAdapter(item.model.clone(), adapter.clone());
        return Place::Order(target.clone(), action);
    }
    match least_wanted(shelf, demand, now) {
        Some(action) => Place::Order(target.clone(), action),
        None => Place::Full,
    }
}

/// Returns the number of other models that no other target has; their adapters have no other place.
fn sole_models(ledger: &Ledger, item: &Item, shelf: &Shelf) -> usize {
    let others = shelf.held.keys().filter(|model| **model != item.model);
    let is_sole = |model: &&id::Model| {
        let mut holders = ledger.shelves.values().filter(|other| {
            other.is_ready && other.service == item.service && other.is_usable(model)
        });
        holders.nth(1).is_none()
    };
    others.filter(is_sole).count()
}

/// Returns the demand for the adapters of a target, in thousandths of a request a second.
fn load_of(shelf: &Shelf, demand: &Demand, now: Point) -> u64 {
    let items = items(shelf);
    let rate: f64 = items.map(|item| demand.rate(&item, now)).sum();
    (rate * 1000.0) as u64
}

fn items(shelf: &Shelf) -> impl Iterator<Item = Item> {
    shelf.held.iter().flat_map(|(model, adapters)| {
        adapters.iter().map(|adapter| Item {
            service: shelf.service.clone(),
            model: model.clone(),
            adapter: Some(adapter.clone()),
        })
    })
}

/// Returns the order that makes room: the adapter that was asked for longest ago goes, or, if all are in use, the one
/// that has had its place for longest. So every adapter has its turn when more are asked for than there are places.
fn least_wanted(shelf: &Shelf, demand: &Demand, now: Point) -> Option<Action> {
    let staying = items(shelf).filter_map(|item| {
        let place = (item.model.clone(), item.adapter.clone()?);
        (!shelf.going.contains(&place)).then_some((item, place))
    });
    let staying: Vec<_> = staying.collect();
    let last = |item: &Item| demand.last(item);
    let (oldest, place) = staying.iter().min_by_key(|(item, _)| last(item))?;
    if last(oldest).is_none_or(|last| now.since(last) >= IN_USE) {
        return Some(Action::UnloadAdapter(place.0.clone(), place.1.clone()));
    }
    if !shelf.going.is_empty() {
        return None;
    }
    let since = |place: &(id::Model, id::Adapter)| shelf.loaded.get(place).copied();
    let (_, place) = staying.iter().min_by_key(|(_, place)| since(place))?;
    let has_had_its_turn = since(place).is_none_or(|loaded| now.since(loaded) >= TURN);
    has_had_its_turn.then(|| Action::UnloadAdapter(place.0.clone(), place.1.clone()))
}
