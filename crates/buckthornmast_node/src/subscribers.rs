//! Instances that are connected to this one and receive updates.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use buckthornmast_link::{Frame, Outbox};
use buckthornmast_types::id;
use buckthornmast_way::{choice, way::Way};
use tokio::sync::Notify;

use crate::message::Downstream;

/// Instance that receives updates.
#[derive(Debug)]
pub struct Subscriber {
    /// Connection.
    pub outbox: Outbox<Downstream>,
    /// Name of the instance.
    pub instance: id::Instance,
    /// Whether the instance belongs to the core.
    pub is_core: bool,
    /// How other entry instances open tunnels through this one, if it carries any.
    pub way: Option<Way>,
    /// Ways that were last sent to it.
    pub sent_ways: Vec<Way>,
    /// Notified when the subscriber is removed because it falls behind, so that its connection is closed.
    pub removed: Rc<Notify>,
}

/// All instances that receive updates.
#[derive(Debug, Default)]
pub struct Subscribers {
    next_number: Cell<u64>,
    by_number: RefCell<BTreeMap<u64, Subscriber>>,
    // Whether instances were added or removed since their ways were last published.
    has_changed: Cell<bool>,
}

impl Subscribers {
    /// Adds an instance and returns its number.
    pub fn add(&self, subscriber: Subscriber) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.has_changed.set(true);
        self.by_number.borrow_mut().insert(number, subscriber);
        number
    }

    /// Removes an instance.
    pub fn remove(&self, number: u64) {
        self.by_number.borrow_mut().remove(&number);
        self.has_changed.set(true);
    }

    /// Sends each entry instance its ways, if they have changed.
    pub fn publish_ways(&self) {
        if !self.has_changed.replace(false) {
            return;
        }
        let mut subscribers = self.by_number.borrow_mut();
        // An instance that has connected again may still have its former connection.
        let all: BTreeMap<id::Instance, Way> = subscribers
            .values()
            .filter_map(|subscriber| subscriber.way.clone())
            .map(|way| (way.instance.clone(), way))
            .collect();
        for subscriber in subscribers.values_mut() {
            let Some(way) = &subscriber.way else {
                continue;
            };
            let ways = choice::ways_of(&subscriber.instance, &way.domain, all.values());
            if ways.iter().copied().eq(&subscriber.sent_ways) {
                continue;
            }
            subscriber.sent_ways = ways.into_iter().cloned().collect();
            let message = Downstream::Ways(subscriber.sent_ways.clone());
            // The reader of the connection detects its end, and a full queue closes it with the next message to all.
            let _ = subscriber.outbox.send(&message);
        }
    }

    /// Sends a message to the subscribers that are selected. One whose connection has ended or whose queue is full is
    /// removed, and its connection is closed: it has missed a message, and gets the full state once it connects again.
    pub fn send_where(&self, message: &Downstream, is_selected: impl Fn(&Subscriber) -> bool) {
        let mut subscribers = self.by_number.borrow_mut();
        if !subscribers.values().any(&is_selected) {
            return;
        }
        let Some(frame) = Frame::encode(message) else {
            return;
        };
        subscribers.retain(|_, subscriber| {
            let is_kept = !is_selected(subscriber) || subscriber.outbox.send_frame(frame.clone());
            if !is_kept {
                log::warn!(step = "publish", peer:% = subscriber.instance; "subscriber has fallen behind or is gone; closing its connection");
                subscriber.removed.notify_one();
            }
            is_kept
        });
    }

    /// Sends a message to all subscribers.
    pub fn send(&self, message: &Downstream) {
        self.send_where(message, |_| true);
    }

    /// Sends a message to the entry instances.
    pub fn send_entries(&self, message: &Downstream) {
        self.send_where(message, |subscriber| !subscriber.is_core);
    }

    /// Sends a message to the other instances of the core.
    pub fn send_cores(&self, message: &Downstream) {
        self.send_where(message, |subscriber| subscriber.is_core);
    }

    /// Returns the entry instances.
    pub fn entries(&self) -> Vec<id::Instance> {
        let subscribers = self.by_number.borrow();
        let entries = subscribers
            .values()
            .filter(|subscriber| !subscriber.is_core);
        entries.map(|entry| entry.instance.clone()).collect()
    }

    /// Returns the number of entry instances.
    pub fn entry_count(&self) -> u32 {
        let subscribers = self.by_number.borrow();
        let entries = subscribers
            .values()
            .filter(|subscriber| !subscriber.is_core);
        u32::try_from(entries.count()).unwrap_or(u32::MAX)
    }

    /// Returns whether an instance of the core is connected.
    pub fn has_core(&self) -> bool {
        let subscribers = self.by_number.borrow();
        subscribers.values().any(|subscriber| subscriber.is_core)
    }
}
