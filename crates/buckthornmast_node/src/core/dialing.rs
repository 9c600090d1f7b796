//! Connections of an instance of the core to the others. It sends messages of the log, and receives updates.

use std::net::SocketAddr;

use buckthornmast_fleet::registry::Update;
use buckthornmast_link::Outbox;
use buckthornmast_types::{id, time::Clock};

use crate::{
    core::Core,
    dial::Dialer,
    message::{Downstream, Liveness, Upstream, with_versions},
    platform::Platform,
    settings::Settings,
};

impl<P: Platform> Core<P> {
    /// Returns the instance that listens for other instances at an address.
    fn instance_at(&self, peer: SocketAddr) -> Option<id::Instance> {
        let state = self.state.borrow();
        let known = state.roster.members().find(|member| member.peers == peer);
        if let Some(member) = known {
            return Some(member.instance.clone());
        }
        let settings = self.settings.borrow();
        let mut seeds = settings.seeds.iter();
        let seed = seeds.find(|seed| SocketAddr::new(seed.ip(), settings.peer_port) == peer)?;
        Settings::member_name(*seed)
    }
}

impl<P: Platform> Dialer for Core<P> {
    fn hello(&self) -> Upstream {
        Upstream::Core(self.own_member.clone())
    }

    fn opened(&self, peer: SocketAddr, outbox: Outbox<Upstream>) {
        if let Some(instance) = self.instance_at(peer) {
            self.outboxes.set(instance, Some(outbox));
        }
    }

    fn receive(&self, peer: SocketAddr, message: Downstream) {
        match message {
            Downstream::Roster(entries) => {
                let now = self.clock.now();
                let mut state = self.state.borrow_mut();
                if state.roster.merge(&entries, now) {
                    state.is_roster_published = false;
                }
            }
            Downstream::Targets(updates, versions) => {
                self.state.borrow_mut().has_peer_targets = true;
                let updates: Vec<Update> = with_versions(updates, versions).collect();
                for update in &updates {
                    self.merge(update.clone(), false);
                }
                if let Some(instance) = self.instance_at(peer) {
                    self.store_departures(&instance, &updates);
                }
            }
            Downstream::Liveness(liveness) => {
                let now = self.clock.now();
                let mut state = self.state.borrow_mut();
                for Liveness {
                    target,
                    incarnation,
                    age,
                } in liveness
                {
                    state.registry.record_alive(&target, incarnation, now - age);
                }
            }
            Downstream::Quarantines(notices) => self.merge_quarantines(&notices),
            Downstream::Ordered(target, term, strays) => {
                self.controller.record_ordered(target, term, strays);
            }
            Downstream::EntryCount(_, features) => {
                if let Some(instance) = self.instance_at(peer) {
                    self.record_features(instance, features);
                }
            }
            Downstream::Lease { asked_at, content } => {
                if let Some(instance) = self.instance_at(peer) {
                    self.renew_copy(&instance, asked_at, content);
                }
            }
            Downstream::Withdrawn { number } => {
                if let Some(instance) = self.instance_at(peer) {
                    self.record_withdrawn(&instance, number);
                }
            }
            Downstream::Recovered(content) => {
                if let Some(instance) = self.instance_at(peer) {
                    self.recover(instance, content);
                }
            }
            // Routes arrive through the log, and only entry instances need the rest.
            Downstream::Routes(_)
            | Downstream::Origin { .. }
            | Downstream::Placements(_)
            | Downstream::Leadership(_)
            | Downstream::CopyGrant { .. }
            | Downstream::Permit { .. }
            | Downstream::Progress(_)
            | Downstream::Trial(_)
            | Downstream::Limits(_)
            | Downstream::Ways(_)
            | Downstream::Confirmation { .. }
            | Downstream::Credit(_)
            | Downstream::Grant { .. } => {}
        }
    }

    fn closed(&self, peer: SocketAddr) {
        if let Some(instance) = self.instance_at(peer) {
            self.state.borrow_mut().features.remove(&instance);
            self.outboxes.set(instance, None);
        }
    }
}
