//! Connections of an instance of the core to the others: messages of the log one way, what changes the other way.

use std::net::SocketAddr;

use buckthornmast_fleet::announcement;
use buckthornmast_link::Outbox;
use buckthornmast_types::{id, time::Clock};

use crate::{
    core::Core,
    dial::Dialer,
    message::{Alive, Down, Up},
    platform::Platform,
    settings::Settings,
};

impl<P: Platform> Core<P> {
    /// Returns the instance behind an address.
    fn instance_at(&self, peer: SocketAddr) -> Option<id::Instance> {
        let state = self.state.borrow();
        let known = state.roster.cards().find(|card| card.peers == peer);
        if let Some(card) = known {
            return Some(card.instance.clone());
        }
        let settings = self.settings.borrow();
        let mut seeds = settings.seeds.iter();
        let seed = seeds.find(|seed| SocketAddr::new(seed.ip(), settings.peer_port) == peer)?;
        Settings::member_name(*seed)
    }
}

impl<P: Platform> Dialer for Core<P> {
    fn hello(&self) -> Up {
        Up::Core(self.me.clone())
    }

    fn opened(&self, peer: SocketAddr, outbox: Outbox<Up>) {
        if let Some(instance) = self.instance_at(peer) {
            self.wires.set(instance, Some(outbox));
        }
    }

    fn receive(&self, peer: SocketAddr, message: Down) {
        match message {
            Down::Roster(told) => {
                let now = self.clock.now();
                let mut state = self.state.borrow_mut();
                if state.roster.take(&told, now) {
                    state.is_roster_told = false;
                }
            }
            Down::Targets(updates) => {
                for update in updates {
                    let leaves =
                        update.withdrawn || update.announcement.state != announcement::State::Ready;
                    let noted = Up::Noted {
                        target: update.announcement.target.clone(),
                        born: update.announcement.born,
                    };
                    self.merge(update, false);
                    if leaves && let Some(instance) = self.instance_at(peer) {
                        self.wires.tell(&instance, noted);
                    }
                }
            }
            Down::Alive(alive) => {
                let now = self.clock.now();
                let mut state = self.state.borrow_mut();
                for Alive { target, born, age } in alive {
                    state.registry.note_alive(&target, born, now - age);
                }
            }
            Down::Ordered(target) => self.controller.note_ordered(target),
            // The log brings the routes, and only entry instances need the rest.
            Down::Routes(_)
            | Down::Entries(_)
            | Down::Placed(_)
            | Down::Leads(_)
            | Down::Granted { .. }
            | Down::Turn { .. } => {}
        }
    }

    fn closed(&self, peer: SocketAddr) {
        if let Some(instance) = self.instance_at(peer) {
            self.wires.set(instance, None);
        }
    }
}
