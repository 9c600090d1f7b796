//! Updates about targets, from the registry of an instance of the core to the other instances.

use buckthornmast_fleet::{
    announcement,
    registry::{Merge, Update},
};
use buckthornmast_types::id;

use crate::{core::Core, message::Downstream, platform::Platform, relay, subscribers::Subscriber};

/// Update about a target that waits for the next tick, and the instances that it is sent to.
pub(super) struct Unsent {
    update: Update,
    // All entry instances.
    to_entries: bool,
    // The entry instances that this instance is the relay of.
    to_relayed_entries: bool,
    // The instances of the core that this instance is the relay of.
    to_relayed_cores: bool,
}

/// Returns an update without the copies outside accelerator memory, which entry instances don't use.
pub(super) fn for_entry(update: &Update) -> Update {
    let mut update = update.clone();
    update.announcement.in_memory.clear();
    update.announcement.on_disk.clear();
    update
}

impl<P: Platform> Core<P> {
    /// Passes a change on to other instances: at once if the target leaves, and together with others at the next tick
    /// otherwise. The leader needs what targets send here without delay.
    pub(super) fn pass_on(&self, update: Update, merge: Merge, is_first_hand: bool) {
        let target = update.announcement.target.clone();
        if update.withdrawn || update.announcement.state != announcement::State::Ready {
            let mut state = self.state.borrow_mut();
            state.unsent.remove(&target);
            let is_told = state.is_told(&update);
            drop(state);
            let message = Downstream::targets(vec![update]);
            return self
                .subscribers
                .send_where(&message, |subscriber| is_told || subscriber.is_core);
        }
        if is_first_hand {
            self.subscribers
                .send_cores(&Downstream::targets(vec![update.clone()]));
        }
        // Adapters change many times a second, and there are far more entry instances than instances of the core.
        let is_route = merge == Merge::Changed;
        let mut state = self.state.borrow_mut();
        let unsent = state.unsent.entry(target).or_insert_with(|| Unsent {
            update: update.clone(),
            to_entries: false,
            to_relayed_entries: false,
            to_relayed_cores: false,
        });
        unsent.update = update;
        unsent.to_entries |= is_route && is_first_hand;
        unsent.to_relayed_entries |= is_route && !is_first_hand;
        unsent.to_relayed_cores |= !is_first_hand;
    }

    /// Sends the updates that wait for this tick.
    pub(super) fn send_unsent(&self) {
        let mut state = self.state.borrow_mut();
        let mut unsent = std::mem::take(&mut state.unsent);
        for waiting in unsent.values_mut() {
            // They are told once the version is cleared.
            let is_told = state.is_told(&waiting.update);
            waiting.to_entries &= is_told;
            waiting.to_relayed_entries &= is_told;
        }
        let members: Vec<id::Instance> = state
            .roster
            .members()
            .map(|member| member.instance.clone())
            .collect();
        drop(state);
        let own = &self.own_member.instance;
        let is_relayed =
            |subscriber: &Subscriber| relay::is_relay(own, &members, &subscriber.instance);
        let for_entries = |is_included: fn(&Unsent) -> bool| -> Vec<Update> {
            let included = unsent.values().filter(|unsent| is_included(unsent));
            included.map(|unsent| for_entry(&unsent.update)).collect()
        };
        let first_hand = for_entries(|unsent| unsent.to_entries);
        self.send_targets(first_hand, |subscriber| !subscriber.is_core);
        let relayed = for_entries(|unsent| unsent.to_relayed_entries && !unsent.to_entries);
        self.send_targets(relayed, |subscriber| {
            !subscriber.is_core && is_relayed(subscriber)
        });
        let for_cores = unsent.values().filter(|unsent| unsent.to_relayed_cores);
        let for_cores = for_cores.map(|unsent| unsent.update.clone()).collect();
        self.send_targets(for_cores, |subscriber| {
            subscriber.is_core && is_relayed(subscriber)
        });
    }

    fn send_targets(&self, updates: Vec<Update>, is_selected: impl Fn(&Subscriber) -> bool) {
        if !updates.is_empty() {
            self.subscribers
                .send_where(&Downstream::targets(updates), is_selected);
        }
    }
}
