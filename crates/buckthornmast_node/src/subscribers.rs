//! Instances that are connected to this one and are sent what changes.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
};

use buckthornmast_link::Outbox;
use buckthornmast_types::id;

use crate::message::Down;

/// Instance that is sent what changes.
#[derive(Debug)]
pub struct Subscriber {
    /// Connection.
    pub outbox: Outbox<Down>,
    /// The instance, if it is one of the core.
    pub core: Option<id::Instance>,
}

/// All instances that are sent what changes.
#[derive(Debug, Default)]
pub struct Subscribers {
    next: Cell<u64>,
    list: RefCell<BTreeMap<u64, Subscriber>>,
}

impl Subscribers {
    /// Adds an instance and returns its number.
    pub fn add(&self, subscriber: Subscriber) -> u64 {
        let number = self.next.get();
        self.next.set(number + 1);
        self.list.borrow_mut().insert(number, subscriber);
        number
    }

    /// Removes an instance.
    pub fn remove(&self, number: u64) {
        self.list.borrow_mut().remove(&number);
    }

    /// Sends to all. One that is too far behind notices the end of its connection and starts over.
    pub fn send(&self, message: &Down) {
        self.list
            .borrow_mut()
            .retain(|_, subscriber| subscriber.outbox.send(message.clone()));
    }

    /// Sends to entry instances.
    pub fn send_entries(&self, message: &Down) {
        self.list.borrow_mut().retain(|_, subscriber| {
            subscriber.core.is_some() || subscriber.outbox.send(message.clone())
        });
    }

    /// Sends to the other instances of the core.
    pub fn send_cores(&self, message: &Down) {
        self.list.borrow_mut().retain(|_, subscriber| {
            subscriber.core.is_none() || subscriber.outbox.send(message.clone())
        });
    }

    /// Returns the number of entry instances.
    pub fn entries(&self) -> u32 {
        let list = self.list.borrow();
        let entries = list.values().filter(|subscriber| subscriber.core.is_none());
        u32::try_from(entries.count()).unwrap_or(u32::MAX)
    }

    /// Returns whether an instance of the core is among them.
    pub fn has_core(&self) -> bool {
        let list = self.list.borrow();
        list.values().any(|subscriber| subscriber.core.is_some())
    }
}
