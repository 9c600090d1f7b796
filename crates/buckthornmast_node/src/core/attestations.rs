//! Attestations of an instance of the core, and targets that entry instances are told of only once nothing speaks against
//! their versions.

use std::{rc::Weak, time::Duration};

use buckthornmast_fleet::registry::Update;
use buckthornmast_origin::{
    attestation::{Statement, Variant},
    inquiry::MARGIN,
};
use buckthornmast_types::{
    id,
    time::{Clock, Point},
};
use smallvec::SmallVec;
use tokio::time::timeout;

use crate::{
    attestation::Store,
    core::{Core, State, origins::variant_of, updates::for_entry},
    departure::required_copies,
    message::{Downstream, UNDERSTANDS_ATTESTATIONS, Upstream},
    platform::Platform,
};

/// Time limit for a withdrawal to reach the disk. A question that gets no answer is asked again, each second.
const STORE_TIMEOUT: Duration = Duration::from_secs(3);

impl State {
    /// Returns whether entry instances may be told of an update. They are always told that a target has withdrawn.
    pub(super) fn is_told(&self, update: &Update) -> bool {
        update.withdrawn
            || self
                .attestations
                .is_cleared(variant_of(&update.announcement))
    }

    /// Writes the attestations if they have changed.
    pub(super) fn save_attestations(&self, file: &Store) {
        file.save(self.attested_routes, &self.attestations);
    }
}

impl<P: Platform> Core<P> {
    /// Returns the number of instances that have to withdraw what speaks against a version. Those of older builds attest
    /// nothing, and can't be asked.
    fn required_withdrawals(&self, state: &State) -> usize {
        let instances = self.instances(state).saturating_sub(state.older.len());
        required_copies(self.losses, instances)
    }

    /// Records which of the messages about attestations another instance of the core understands.
    pub(super) fn set_features(&self, peer: &id::Instance, features: u8) {
        let mut state = self.state.borrow_mut();
        let State {
            attesters, older, ..
        } = &mut *state;
        let (known, forgotten) = if features >= UNDERSTANDS_ATTESTATIONS {
            (attesters, older)
        } else {
            (older, attesters)
        };
        forgotten.remove(peer);
        let is_news = known.insert(peer.clone());
        drop(state);
        if is_news {
            self.ask_pending();
        }
    }

    /// Records that another instance of the core is not connected.
    pub(super) fn lose_attester(&self, peer: &id::Instance) {
        self.state.borrow_mut().attesters.remove(peer);
    }

    /// Returns the number of instances that may be new without hiding a version: all others but these have withdrawn before
    /// it is used.
    pub(super) fn spare(&self) -> u32 {
        let required = self.required_withdrawals(&self.state.borrow());
        u32::try_from(required.saturating_sub(1)).unwrap_or(u32::MAX)
    }

    /// Sends a message to the other instances of the core that understand it.
    fn send_attesters(&self, message: impl Fn() -> Upstream) {
        let attesters = self.state.borrow().attesters.clone();
        for peer in &attesters {
            self.outboxes.send_message(peer, message());
        }
    }

    /// Begins to clear a version, unless that was done before.
    pub(super) fn clear(&self, variant: Variant, now: Point) {
        let mut state = self.state.borrow_mut();
        let Some(number) = state.attestations.clear(variant) else {
            return;
        };
        state.history.see(variant.service, variant.mark, now);
        drop(state);
        self.ask(number, variant);
    }

    /// Withdraws what speaks against a version here, and asks the other instances to do so.
    fn ask(&self, number: u64, variant: Variant) {
        self.send_attesters(|| Upstream::Withdraw { number, variant });
        self.withdraw_attestations(&self.own_member.instance, number, variant);
    }

    /// Withdraws what speaks against a version, and tells the instance that has asked for it once the disk has it.
    pub(super) fn withdraw_attestations(&self, from: &id::Instance, number: u64, variant: Variant) {
        let now = self.clock.now();
        let saving = {
            let mut state = self.state.borrow_mut();
            state.attestations.withdraw(variant);
            state.history.see(variant.service, variant.mark, now);
            state.save_attestations(&self.attestations_file);
            self.attestations_file.written()
        };
        let Some(saving) = saving else {
            return self.confirm_withdrawal(from, number);
        };
        let (core, from) = (Weak::clone(&self.own), from.clone());
        // Ends within its time limit.
        tokio::task::spawn_local(async move {
            if timeout(STORE_TIMEOUT, saving).await.is_err() {
                log::warn!(step = "persist", peer:% = from, number = number; "a withdrawal of attestations was not stored in time; not confirming it");
            } else if let Some(core) = core.upgrade() {
                core.confirm_withdrawal(&from, number);
            }
        });
    }

    /// Tells the instance that has asked for a withdrawal that the disk has it.
    fn confirm_withdrawal(&self, from: &id::Instance, number: u64) {
        if *from == self.own_member.instance {
            self.record_withdrawal(number, from);
        } else {
            self.outboxes
                .send_message(from, Upstream::Withdrawn { number });
        }
    }

    /// Records that an instance has withdrawn what spoke against a version, and tells entry instances of its targets once
    /// enough have.
    pub(super) fn record_withdrawal(&self, number: u64, from: &id::Instance) {
        let mut state = self.state.borrow_mut();
        let required = self.required_withdrawals(&state);
        let own = &self.own_member.instance;
        let cleared = state
            .attestations
            .record_withdrawal(number, from, own, required);
        let Some(variant) = cleared else {
            return;
        };
        let updates = state.registry.updates();
        drop(state);
        let updates = updates.iter();
        let updates = updates.filter(|update| variant_of(&update.announcement) == variant);
        let updates: Vec<Update> = updates.map(for_entry).collect();
        log::info!(step = "origin", version = variant.mark.map(|mark| mark.to_string()).unwrap_or_default(), targets = updates.len(), required = required; "targets of a version may be used");
        if !updates.is_empty() {
            self.subscribers.send_entries(&Downstream::targets(updates));
        }
    }

    /// Repeats questions that have no answer, exchanges statements with the other instances, and attests what all state.
    pub(super) fn tick_attestations(&self, now: Point) {
        let statements = self.attest(now);
        if !statements.is_empty() {
            self.send_attesters(|| Upstream::Statements(statements.clone()));
        }
        self.ask_pending();
    }

    /// Repeats the questions that are not answered by enough instances.
    fn ask_pending(&self) {
        let state = self.state.borrow();
        let pending: Vec<(u64, Variant)> = state.attestations.pending().collect();
        drop(state);
        for (number, variant) in pending {
            self.ask(number, variant);
        }
    }

    /// Attests what this instance and all others state, and returns what this one does.
    fn attest(&self, now: Point) -> Vec<Statement> {
        let mut state = self.state.borrow_mut();
        let State {
            attestations,
            history,
            roster,
            older,
            longest_timeout,
            attested_routes,
            ..
        } = &mut *state;
        older.retain(|peer| roster.get(peer).is_some());
        let age = longest_timeout.map_or(Duration::MAX, |life| life.saturating_add(MARGIN));
        let statements = attestations.state(history, age, now);
        let own = &self.own_member.instance;
        let members = roster.members().map(|member| &member.instance);
        let others: SmallVec<[&id::Instance; 8]> =
            members.filter(|member| *member != own).collect();
        let is_whole = others.len() + 1 >= self.settings.borrow().seeds.len();
        if is_whole && attestations.attest(&statements, &others, history, now) {
            log::info!(step = "origin", services = attestations.attested().count(); "attesting the only versions of services");
            self.attestations_file.save(*attested_routes, attestations);
        }
        statements
    }
}
