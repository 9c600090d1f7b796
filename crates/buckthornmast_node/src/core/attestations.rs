//! Attestations of an instance of the core, and targets that entry instances are told of only once nothing speaks against
//! their versions.

use std::{collections::BTreeSet, rc::Weak, time::Duration};

use buckthornmast_fleet::registry::Update;
use buckthornmast_origin::{attestation::Variant, inquiry::MARGIN};
use buckthornmast_types::{
    id,
    time::{Clock, Point},
};
use tokio::time::timeout;

use crate::{
    attestation::Store,
    core::{Core, State, origins::variant_of, updates::for_entry},
    message::Downstream,
    platform::Platform,
};

/// Time limit for a withdrawal to reach the disk. It is tried again with the next announcement or the next second.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_secs(3);

/// Version that entry instances are not told of yet.
#[derive(Debug)]
pub(super) struct Clearing {
    /// Number of its withdrawal at the other instances of the core.
    pub(super) number: u64,
    since: Point,
    // Whether the own disk has nothing that speaks against it.
    is_stored: bool,
    /// Other instances whose disks have no copy that does.
    pub(super) withdrawn: BTreeSet<id::Instance>,
}

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
    /// Withdraws what speaks against a version, and tells entry instances of its targets once the disk has that and no copy at
    /// another instance counts that does. Does nothing if that was done before.
    pub(super) fn clear(&self, variant: Variant, now: Point) {
        let (number, saving) = {
            let mut state = self.state.borrow_mut();
            if state.attestations.is_cleared(variant) || state.clearing.contains_key(&variant) {
                return;
            }
            state.withdrawals += 1;
            let number = state.withdrawals;
            let clearing = Clearing {
                number,
                since: now,
                is_stored: false,
                withdrawn: BTreeSet::new(),
            };
            state.clearing.insert(variant, clearing);
            state.attestations.withdraw(variant);
            state.history.see(variant.service, variant.mark, now);
            state.save_attestations(&self.attestations_file);
            (number, self.attestations_file.written())
        };
        let Some(saving) = saving else {
            self.record_own_withdrawal(variant, number);
            return self.withdraw_elsewhere(variant, number);
        };
        self.withdraw_elsewhere(variant, number);
        let core = Weak::clone(&self.own);
        // Ends within its time limit.
        tokio::task::spawn_local(async move {
            let is_stored = timeout(STORE_TIMEOUT, saving).await.is_ok();
            let Some(core) = core.upgrade() else {
                return;
            };
            if is_stored {
                core.record_own_withdrawal(variant, number);
            } else {
                core.state.borrow_mut().clearing.remove(&variant);
                log::warn!(step = "persist"; "a withdrawal of attestations was not stored in time; not using targets of the new version");
            }
        });
    }

    /// Has the others withdraw copies that contradict a version, unless there are none.
    fn withdraw_elsewhere(&self, variant: Variant, number: u64) {
        let state = self.state.borrow();
        let Some(clearing) = state.clearing.get(&variant) else {
            return;
        };
        let is_released = state.is_released(variant, clearing, &self.others(&state));
        drop(state);
        if !is_released {
            self.send_withdrawals(variant, number);
        }
    }

    /// Records that the own disk has nothing that speaks against a version.
    fn record_own_withdrawal(&self, variant: Variant, number: u64) {
        if let Some(clearing) = self.state.borrow_mut().clearing.get_mut(&variant) {
            clearing.is_stored |= clearing.number == number;
        }
        self.tell_released(variant);
    }

    /// Tells entry instances of the targets of the versions that have waited for the copies of others to expire.
    pub(super) fn tell_all_released(&self) {
        let waiting: Vec<Variant> = self.state.borrow().clearing.keys().copied().collect();
        for variant in waiting {
            self.tell_released(variant);
        }
    }

    /// Tells entry instances of the targets of a version if nothing speaks against it any more.
    pub(super) fn tell_released(&self, variant: Variant) {
        let mut state = self.state.borrow_mut();
        let Some(clearing) = state.clearing.get(&variant) else {
            return;
        };
        let others = self.others(&state);
        if !clearing.is_stored || !state.is_released(variant, clearing, &others) {
            return;
        }
        let waited = self.clock.now().since(clearing.since);
        state.clearing.remove(&variant);
        if !state.attestations.clear(variant) {
            return;
        }
        let updates = state.registry.updates();
        drop(state);
        let updates = updates.iter();
        let updates = updates.filter(|update| variant_of(&update.announcement) == variant);
        let updates: Vec<Update> = updates.map(for_entry).collect();
        log::info!(step = "origin", version = variant.mark.map(|mark| mark.to_string()).unwrap_or_default(), targets = updates.len(), waited:? = waited; "targets of a version may be used");
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
