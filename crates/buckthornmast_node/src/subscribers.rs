//! Instances that are connected to this one and receive updates.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
};

use buckthornmast_link::Outbox;
use buckthornmast_types::id;

use crate::message::Downstream;

/// Instance that receives updates.
#[derive(Debug)]
pub struct Subscriber {
    /// Connection.
    pub outbox: Outbox<Downstream>,
    /// Name of the instance, if it belongs to the core.
    pub core: Option<id::Instance>,
}

/// All instances that receive updates.
#[derive(Debug, Default)]
pub struct Subscribers {
    next_number: Cell<u64>,
    by_number: RefCell<BTreeMap<u64, Subscriber>>,
}

impl Subscribers {
    /// Adds an instance and returns its number.
    pub fn add(&self, subscriber: Subscriber) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.by_number.borrow_mut().insert(number, subscriber);
        number
    }

    /// Removes an instance.
    pub fn remove(&self, number: u64) {
        self.by_number.borrow_mut().remove(&number);
    }

    /// Sends a message to all subscribers, and removes those whose connection has ended or whose queue is full. An
    /// instance that connects again gets the full state first.
    pub fn send(&self, message: &Downstream) {
        self.by_number
            .borrow_mut()
            .retain(|_, subscriber| subscriber.outbox.send(message.clone()));
    }

    /// Sends a message to the entry instances.
    pub fn send_entries(&self, message: &Downstream) {
        self.by_number.borrow_mut().retain(|_, subscriber| {
            subscriber.core.is_some() || subscriber.outbox.send(message.clone())
        });
    }

    /// Sends a message to the other instances of the core.
    pub fn send_cores(&self, message: &Downstream) {
        self.by_number.borrow_mut().retain(|_, subscriber| {
            subscriber.core.is_none() || subscriber.outbox.send(message.clone())
        });
    }

    /// Returns the number of entry instances.
    pub fn entry_count(&self) -> u32 {
        let subscribers = self.by_number.borrow();
        let entries = subscribers
            .values()
            .filter(|subscriber| subscriber.core.is_none());
        u32::try_from(entries.count()).unwrap_or(u32::MAX)
    }

    /// Returns whether an instance of the core is connected.
    pub fn has_core(&self) -> bool {
        let subscribers = self.by_number.borrow();
        subscribers
            .values()
            .any(|subscriber| subscriber.core.is_some())
    }
}
