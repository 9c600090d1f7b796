//! Attestations of an instance of the core, and targets that entry instances are told of only once nothing speaks against
//! their versions.

use std::{rc::Weak, time::Duration};

use buckthornmast_fleet::registry::Update;
use buckthornmast_origin::{attestation::Variant, inquiry::MARGIN};
use buckthornmast_types::time::Point;
use tokio::time::timeout;

use crate::{
    attestation::Store,
    core::{Core, State, origins::variant_of, updates::for_entry},
    message::Downstream,
    platform::Platform,
};

/// Time limit for a withdrawal to reach the disk. It is tried again with the next announcement or the next second.
const STORE_TIMEOUT: Duration = Duration::from_secs(3);

impl State {
    /// Returns whether entry instances may be told of an update. They are always told that a target has withdrawn.
    pub(super) fn is_told(&self, update: &Update) -> bool {
        let variant = variant_of(&update.announcement);
        update.withdrawn || self.attestations.is_cleared(variant)
    }

    /// Writes the attestations if they have changed.
    pub(super) fn save_attestations(&self, file: &Store) {
        file.save(self.attested_routes, &self.attestations);
    }
}

impl<P: Platform> Core<P> {
    /// Withdraws what speaks against a version, and tells entry instances of its targets once the disk has that. Does nothing
    /// if that was done before.
    pub(super) fn clear(&self, variant: Variant, now: Point) {
        let saving = {
            let mut state = self.state.borrow_mut();
            if state.attestations.is_cleared(variant) || !state.clearing.insert(variant) {
                return;
            }
            state.attestations.withdraw(variant);
            state.history.see(variant.service, variant.mark, now);
            state.save_attestations(&self.attestations_file);
            self.attestations_file.written()
        };
        let Some(saving) = saving else {
            return self.tell(variant);
        };
        let core = Weak::clone(&self.own);
        // Ends within its time limit.
        tokio::task::spawn_local(async move {
            let is_stored = timeout(STORE_TIMEOUT, saving).await.is_ok();
            let Some(core) = core.upgrade() else {
                return;
            };
            if is_stored {
                core.tell(variant);
            } else {
                core.state.borrow_mut().clearing.remove(&variant);
                log::warn!(step = "persist"; "a withdrawal of attestations was not stored in time; not using targets of the new version");
            }
        });
    }

    /// Tells entry instances of the targets of a version against which nothing speaks.
    fn tell(&self, variant: Variant) {
        let mut state = self.state.borrow_mut();
        state.clearing.remove(&variant);
        if !state.attestations.clear(variant) {
            return;
        }
        let updates = state.registry.updates();
        drop(state);
        let updates = updates.iter();
        let updates = updates.filter(|update| variant_of(&update.announcement) == variant);
        let updates: Vec<Update> = updates.map(for_entry).collect();
        log::info!(step = "origin", version = variant.mark.map(|mark| mark.to_string()).unwrap_or_default(), targets = updates.len(); "targets of a version may be used");
        if !updates.is_empty() {
            self.subscribers.send_entries(&Downstream::targets(updates));
        }
    }

    /// Attests the only versions that this instance has seen for long.
    pub(super) fn tick_attestations(&self, now: Point) {
        let mut state = self.state.borrow_mut();
        let State {
            attestations,
            history,
            longest_timeout,
            attested_routes,
            ..
        } = &mut *state;
        let Some(life) = *longest_timeout else {
            return;
        };
        if attestations.attest(history, life.saturating_add(MARGIN), now) {
            log::info!(step = "origin", services = attestations.attested().count(); "attesting the only versions of services");
            self.attestations_file.save(*attested_routes, attestations);
        }
    }
}
