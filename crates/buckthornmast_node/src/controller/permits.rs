//! Permits of the leader for the requests of entry instances to send their prompts to targets.

mod usage;

use std::{rc::Rc, time::Duration};

use buckthornmast_link::Outbox;
use buckthornmast_supply::{
    adapters,
    demand::Item,
    occupancy::Reporter,
    permits::{Permit, Request, Ticket},
};
use buckthornmast_types::time::Clock;
use tokio::time::sleep;

pub(super) use self::usage::Claim;
use self::usage::Report;
use super::{ADAPTER_LOAD_TIME, Controller, Fenced, State};
use crate::{message::Downstream, platform::Platform};

/// Interval at which waiting requests are polled. Short compared with the pause that a prompt causes at a target.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Entry instance that waits for a permit.
#[derive(Debug)]
pub struct Requester {
    /// Number of its connection.
    pub subscriber: u64,
    /// Number of its request.
    pub number: u64,
    /// Connection.
    pub outbox: Outbox<Downstream>,
}

impl Requester {
    fn answer(&self, permit: Permit) {
        metrics::counter!("buckthornmast_turns_total", "turn" => label(&permit)).increment(1);
        // An entry instance that has disconnected needs no answer.
        let _ = self.outbox.send(&Downstream::Permit {
            number: self.number,
            permit,
        });
    }
}

/// Returns the name of an answer for the metrics.
fn label(permit: &Permit) -> &'static str {
    match permit {
        Permit::Go(_) | Permit::Limited(..) => "go",
        Permit::Wait(_) => "wait",
        Permit::Refuse(_) => "refuse",
        Permit::Unknown => "unknown",
    }
}

impl<P: Platform> Controller<P> {
    /// Answers a permit request at once. After [`Permit::Wait`], another answer follows at the end of the wait.
    pub fn request_permit(self: &Rc<Self>, requester: Requester, request: Request) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let State {
            permits,
            ledger,
            demand,
            leadership,
            requesters,
            ..
        } = &mut *state;
        if leadership.is_none() {
            return requester.answer(Permit::Unknown);
        }
        let was_idle = permits.waiting() == 0;
        let item = request.item.clone();
        let claim = Claim::of(&request, now);
        let (ticket, permit) = permits.request(request, ledger, demand, now);
        requester.answer(permit.clone());
        claim.record(&permit, permits, now);
        let is_strained = item.adapter.is_some() && permits.is_strained(&item, ledger, now);
        let is_waiting = matches!(permit, Permit::Wait(_));
        if is_waiting {
            requesters.insert(ticket, (requester, claim));
        }
        drop(state);
        if is_waiting && was_idle {
            let controller = Rc::clone(self);
            tokio::task::spawn_local(async move { controller.answer_waiting().await });
        }
        if is_strained {
            self.add_place(item);
        }
    }

    /// Orders a further place for an adapter whose targets are nearly full, if a target with its model has slots to spare.
    fn add_place(self: &Rc<Self>, item: Item) {
        let Some(order) = self.plan_place(&item) else {
            return;
        };
        let controller = Rc::clone(self);
        tokio::task::spawn_local(async move { controller.execute(order).await });
    }

    fn plan_place(&self, item: &Item) -> Option<Fenced> {
        let now = self.clock.now();
        let (target, action) = {
            let state = self.state.borrow();
            let service = state.document.as_ref()?.services.get(&item.service)?;
            let has_room =
                |target: &_, inventory: &_| state.permits.has_spare_slots(target, inventory, now);
            let pool = service.pool.as_ref()?;
            adapters::further_place(&state.ledger, pool, &state.demand, item, has_room, now)?
        };
        let order = self.start_order(&target, action, ADAPTER_LOAD_TIME)?;
        metrics::counter!("buckthornmast_further_places_total").increment(1);
        log::info!(step = "place", target:% = target, model:% = item.model, adapter:% = item.adapter.as_ref().map_or("", |adapter| adapter.as_str()), action:? = order.order.action; "the targets of the adapter are nearly full; adding a place");
        Some(order)
    }

    /// Answers waiting requests until there are none left.
    async fn answer_waiting(&self) {
        let mut report = Report::default();
        loop {
            sleep(POLL_INTERVAL).await;
            let now = self.clock.now();
            let mut state = self.state.borrow_mut();
            let State {
                permits,
                ledger,
                requesters,
                ..
            } = &mut *state;
            for (ticket, permit) in permits.poll(ledger, now) {
                if let Some((requester, claim)) = requesters.remove(&ticket) {
                    claim.record(&permit, permits, now);
                    requester.answer(permit);
                }
            }
            report.update(requesters.values().map(|(_, claim)| claim), now);
            if permits.waiting() == 0 {
                return;
            }
        }
    }

    /// Cancels a permit request.
    pub fn cancel_permit(&self, subscriber: u64, number: u64) {
        self.cancel(|requester| requester.subscriber == subscriber && requester.number == number);
    }

    /// Cancels all permit requests of an entry instance whose connection has ended, and forgets its requests at targets.
    pub fn cancel_permits(&self, subscriber: u64) {
        self.cancel(|requester| requester.subscriber == subscriber);
        let mut state = self.state.borrow_mut();
        state.permits.remove_reporter(Reporter(subscriber));
    }

    fn cancel(&self, is_cancelled: impl Fn(&Requester) -> bool) {
        let mut state = self.state.borrow_mut();
        let State {
            permits,
            requesters,
            ..
        } = &mut *state;
        let cancelled: Vec<Ticket> = requesters
            .extract_if(|_, (requester, _)| is_cancelled(requester))
            .map(|(ticket, _)| ticket)
            .collect();
        for ticket in cancelled {
            permits.cancel(ticket);
        }
    }
}
