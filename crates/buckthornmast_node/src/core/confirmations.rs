//! Confirmations of the newest version, for the leases of entry instances on the keys of callers.
//!
//! The requests that arrive within one tick share one round of heartbeats, so the traffic among the instances of the core
//! doesn't grow with the number of entry instances.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use buckthornmast_link::Outbox;

use crate::{core::Core, message::Downstream, platform::Platform};

/// Requests for a confirmation that are to be answered.
#[derive(Default)]
pub(super) struct Inquiries {
    // Number of the newest request of each subscriber.
    open: RefCell<BTreeMap<u64, (u64, Outbox<Downstream>)>>,
    is_confirming: Cell<bool>,
}

impl Inquiries {
    /// Adds a request of a subscriber.
    pub(super) fn add(&self, subscriber: u64, number: u64, outbox: Outbox<Downstream>) {
        self.open.borrow_mut().insert(subscriber, (number, outbox));
    }
}

impl<P: Platform> Core<P> {
    /// Answers the requests that have arrived, if this instance is confirmed to lead. Otherwise they stay without an answer,
    /// and the entry instances ask again.
    pub(super) fn answer_inquiries(self: &Rc<Self>) {
        let inquiries = &self.inquiries;
        if inquiries.is_confirming.get() || inquiries.open.borrow().is_empty() {
            return;
        }
        // Requests that arrive from now on need a later round.
        let open = inquiries.open.take();
        if self.state.borrow().leading_term.is_none() {
            return;
        }
        inquiries.is_confirming.set(true);
        let core = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let confirmed = core.replica.confirm().await;
            core.inquiries.is_confirming.set(false);
            if let Err(error) = confirmed {
                log::info!(step = "confirm", requests = open.len(); "no confirmation of the newest version for entry instances: {error}");
                return;
            }
            // An entry instance that is behind gets the routes before the answer.
            core.publish_routes();
            let version = core.replica.newest_version().unwrap_or_default();
            for (number, outbox) in open.into_values() {
                // An entry instance that has disconnected needs no answer.
                let _ = outbox.send(&Downstream::Confirmation { number, version });
            }
        });
    }
}
