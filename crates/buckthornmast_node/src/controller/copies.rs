//! Copy requests of entry instances that find no target with a model or an adapter.

use std::{rc::Rc, time::Duration};

use buckthornmast_supply::{
    adapters::{self, Place},
    demand::Item,
    order::Action,
};
use buckthornmast_types::{
    id,
    time::{Clock, Point},
};
use tokio::time::timeout;

use super::{ADAPTER_LOAD_TIME, Controller, State};
use crate::{message::Grant, platform::Platform};

/// Time limit for answering a copy request, after which the caller can try elsewhere.
const COPY_REQUEST_TIMEOUT: Duration = Duration::from_millis(900);

impl<P: Platform> Controller<P> {
    /// Answers the copy request of an entry instance that found no target for a model or an adapter.
    pub async fn request_copy(self: &Rc<Self>, item: &Item) -> Grant {
        let grant = timeout(COPY_REQUEST_TIMEOUT, self.provide(item)).await;
        let grant = grant.unwrap_or(Grant::No);
        log::info!(
            step = "want",
            model:% = item.model,
            adapter:% = item.adapter.as_ref().map_or("", |adapter| adapter.as_str()),
            granted:? = grant;
            "answered a copy request"
        );
        grant
    }

    /// Waits until a copy is available, and orders the load of an adapter if necessary.
    async fn provide(self: &Rc<Self>, item: &Item) -> Grant {
        loop {
            let notified = self.changed.notified();
            let next = {
                let state = self.state.borrow();
                self.next_step(&state, item)
            };
            match next {
                Next::Done(grant) => return grant,
                Next::Order(target, action) => {
                    // A task of its own completes the order even if the copy request times out before.
                    if let Some(order) = self.start_order(&target, action, ADAPTER_LOAD_TIME) {
                        let controller = Rc::clone(self);
                        tokio::task::spawn_local(async move {
                            controller.execute(order).await;
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
            return Next::Done(Grant::No);
        };
        let service = document.services.get(&item.service);
        let Some(pool) = service.and_then(|service| service.pool.as_ref()) else {
            return Next::Done(Grant::No);
        };
        let Some(model) = pool
            .models
            .get(&item.model)
            .filter(|_| state.leadership.is_some())
        else {
            return Next::Done(Grant::No);
        };
        let now = self.clock.now();
        let mut inventories = state.ledger.inventories.iter();
        let holder = inventories.find(|(_, inventory)| {
            inventory.service == item.service
                && inventory.is_ready
                && inventory.is_usable(&item.model)
        });
        let Some((target, _)) = holder else {
            return Next::Done(Grant::Later(time_to_model(state, item, model.load, now)));
        };
        if item.adapter.is_none() {
            return Next::Done(Grant::Ready(target.clone()));
        }
        match adapters::place(&state.ledger, pool, &state.demand, item, now) {
            Place::Resident(target) => Next::Done(Grant::Ready(target)),
            Place::Loading(_) | Place::Busy => Next::Wait,
            Place::Order(target, action) => Next::Order(target, action),
            Place::NoModel | Place::Full => Next::Wait,
        }
    }
}

/// Next step for a copy request.
enum Next {
    Done(Grant),
    Order(id::Target, Action),
    Wait,
}

/// Returns the expected time until a model that no target has is resident at one: the rest of a load in progress, or
/// the time of a load from the weight store.
fn time_to_model(state: &State, item: &Item, load: Duration, now: Point) -> Duration {
    let mut loading = state.ledger.inventories.values().filter_map(|inventory| {
        let (model, due) = inventory.loading()?;
        (*model == item.model && inventory.service == item.service).then_some(due)
    });
    loading.next().map_or(load, |due| due.since(now))
}
