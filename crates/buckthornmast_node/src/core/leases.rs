//! Copies of attestations between the instances of the core, which carry them over the loss of a disk.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use buckthornmast_forward::access::boot_time;
use buckthornmast_link::Outbox;
use buckthornmast_origin::{
    attestation::Variant,
    history::Sole,
    lease::{Content, Edition, grantor::Grantor, keeper::Keeper},
    record::Service,
};
use buckthornmast_types::{
    id,
    time::{Clock, Point},
};
use tokio::time::timeout;

use super::attestations::{Clearing, STORE_TIMEOUT};
use crate::{
    core::{Core, State},
    lease::Found,
    message::{Downstream, UNDERSTANDS_LEASES, Upstream},
    platform::Platform,
    settings::Settings,
};

/// Time after which an expired copy is forgotten. An instance that starts later than this looks for none.
const EXPIRED_RETENTION: Duration = Duration::from_secs(60);

/// Ticks after the questions for copies after which the answers are stored. A later one is stored with the next questions.
pub(super) const SAVE_TICK: u64 = 2;

/// Restores grants and copies. `is_founding` is whether the whole system has never run, so that there can't be any.
pub(super) fn restore(found: Found, is_founding: bool) -> (Grantor, Keeper) {
    let now = boot_time();
    let offered = found.offered.or(is_founding.then(BTreeSet::new));
    let copies = found.copies.into_iter();
    let copies = copies.map(|(instance, (until, content))| (instance, until, content));
    let mut keeper = Keeper::default();
    keeper.restore(copies, now);
    (Grantor::new(offered, now), keeper)
}

impl State {
    /// Returns what this instance attests.
    fn content(&self, attested: BTreeMap<Service, Sole>) -> Content {
        Content {
            routes: Edition(self.attested_routes.0),
            attested,
        }
    }

    /// Returns whether entry instances may be told of a version that is being cleared.
    pub(super) fn is_released(
        &self,
        variant: Variant,
        clearing: &Clearing,
        others: &BTreeSet<id::Instance>,
    ) -> bool {
        if self.attestations.attests(variant) {
            return true;
        }
        // Older builds keep no copies.
        let older = self.features.iter();
        let older = older.filter(|(_, features)| **features < UNDERSTANDS_LEASES);
        let older = older.map(|(instance, _)| instance.clone());
        let withdrawn = clearing.withdrawn.iter().cloned().chain(older).collect();
        let now = boot_time();
        self.grantor
            .is_released(variant.service, others.iter(), &withdrawn, now)
    }

    /// Takes over what the predecessor of this instance attested.
    fn adopt(&mut self, content: Content, now: Point) {
        if content.attested.is_empty() {
            log::info!(step = "origin"; "the others keep no attestations of the predecessor that count");
            return;
        }
        let is_before_routes = self.longest_timeout.is_none();
        if !is_before_routes && content.routes.0 != self.attested_routes.0 {
            log::info!(step = "origin", routes = content.routes.0; "routes have changed since the copies of attestations were made; not using them");
            return;
        }
        let found = content.attested.len();
        let adopted = self.attestations.adopt(content.attested, &self.history);
        if is_before_routes {
            self.attested_routes.0 = content.routes.0;
        } else {
            self.history.credit(self.attestations.attested(), now);
        }
        log::info!(step = "origin", found = found, adopted = adopted; "took over the attestations of the predecessor, whose disk was lost");
    }
}

impl<P: Platform> Core<P> {
    /// Returns the other instances of the core, whether or not they are connected.
    pub(super) fn others(&self, state: &State) -> BTreeSet<id::Instance> {
        let settings = self.settings.borrow();
        let seeds = settings.seeds.iter().copied();
        let seeds = seeds.filter_map(Settings::member_name);
        let members = state.roster.members();
        let members = members.map(|member| member.instance.clone());
        let own = &self.own_member.instance;
        seeds
            .chain(members)
            .filter(|instance| instance != own)
            .collect()
    }

    /// Writes the leases if they have changed.
    pub(super) fn save_leases(&self, state: &State) {
        self.leases_file
            .save(&state.grantor, &state.keeper, boot_time());
    }

    /// Renews copies, and repeats withdrawals that were not answered.
    pub(super) fn tick_leases(&self) {
        let now = boot_time();
        let mut state = self.state.borrow_mut();
        let State {
            attestations,
            grantor,
            keeper,
            ..
        } = &mut *state;
        if self.leases_file.is_written() {
            grantor.record_stored();
        }
        grantor.offer(attestations.attested().map(|(service, _)| service), now);
        keeper.prune(EXPIRED_RETENTION, now);
        self.save_leases(&state);
        let features = state.features.iter();
        let peers: Vec<id::Instance> = features
            .filter(|(_, features)| **features >= UNDERSTANDS_LEASES)
            .map(|(instance, _)| instance.clone())
            .collect();
        drop(state);
        for peer in &peers {
            self.send_leases(peer);
        }
    }

    /// Sends another instance what it has not answered, and asks it for a copy.
    fn send_leases(&self, peer: &id::Instance) {
        let now = boot_time();
        let state = self.state.borrow();
        let mut messages = vec![Upstream::LeaseRequest { asked_at: now }];
        if state.grantor.awaits(peer) {
            let age = now.since(state.grantor.started());
            messages.push(Upstream::Recovery { age });
        }
        let clearing = state.clearing.iter();
        let unanswered = clearing.filter(|(_, clearing)| !clearing.withdrawn.contains(peer));
        messages.extend(unanswered.map(|(variant, clearing)| Upstream::Withdrawal {
            number: clearing.number,
            variant: *variant,
        }));
        drop(state);
        for message in messages {
            self.outboxes.send_message(peer, message);
        }
    }

    /// Records what another instance understands.
    pub(super) fn record_features(&self, peer: id::Instance, features: u8) {
        self.state
            .borrow_mut()
            .features
            .insert(peer.clone(), features);
        if features >= UNDERSTANDS_LEASES {
            self.send_leases(&peer);
        }
    }

    /// Asks the others to withdraw the copies that contradict a version.
    pub(super) fn send_withdrawals(&self, variant: Variant, number: u64) {
        let features = self.state.borrow().features.clone();
        for (peer, features) in features {
            if features >= UNDERSTANDS_LEASES {
                let message = Upstream::Withdrawal { number, variant };
                self.outboxes.send_message(&peer, message);
            }
        }
    }

    /// Grants a copy.
    pub(super) fn answer_lease(
        &self,
        from: &id::Instance,
        asked_at: Point,
        outbox: &Outbox<Downstream>,
    ) {
        let mut state = self.state.borrow_mut();
        let attested: Vec<_> = state.attestations.attested().collect();
        let granted = state.grantor.grant(from, attested, boot_time());
        let content = granted.map(|granted| state.content(granted));
        drop(state);
        if let Some(content) = content {
            // The keeper asks again after a loss.
            let _ = outbox.send(&Downstream::Lease { asked_at, content });
        }
    }

    /// Replaces a copy.
    pub(super) fn renew_copy(&self, from: &id::Instance, asked_at: Point, content: Content) {
        let mut state = self.state.borrow_mut();
        state.keeper.renew(from, asked_at, content, boot_time());
    }

    /// Withdraws what contradicts a version from a copy, and answers once the disk has that.
    pub(super) fn withdraw_copy(
        &self,
        from: &id::Instance,
        number: u64,
        variant: Variant,
        outbox: &Outbox<Downstream>,
    ) {
        let mut state = self.state.borrow_mut();
        if state.keeper.withdraw(from, variant, boot_time()) {
            self.save_leases(&state);
        }
        drop(state);
        let answer = Downstream::Withdrawn { number };
        if self.leases_file.is_written() {
            // The grantor repeats what is not answered.
            let _ = outbox.send(&answer);
            return;
        }
        let (saving, outbox, from) = (self.leases_file.written(), outbox.clone(), from.clone());
        // Ends within its time limit.
        tokio::task::spawn_local(async move {
            if timeout(STORE_TIMEOUT, saving).await.is_ok() {
                let _ = outbox.send(&answer);
            } else {
                log::warn!(step = "persist", peer:% = from; "a withdrawal of copies was not stored in time; not answering it");
            }
        });
    }

    /// Records that another instance has withdrawn its copies.
    pub(super) fn record_withdrawn(&self, from: &id::Instance, number: u64) {
        let mut state = self.state.borrow_mut();
        let State {
            clearing, grantor, ..
        } = &mut *state;
        let mut waiting = clearing.iter_mut();
        let Some((variant, clearing)) = waiting.find(|(_, clearing)| clearing.number == number)
        else {
            return;
        };
        clearing.withdrawn.insert(from.clone());
        grantor.release(variant.service, from);
        let variant = *variant;
        drop(state);
        self.tell_released(variant);
    }

    /// Answers an instance with an empty disk.
    pub(super) fn answer_recovery(
        &self,
        from: &id::Instance,
        age: Duration,
        outbox: &Outbox<Downstream>,
    ) {
        let state = self.state.borrow();
        let content = state.keeper.found(from, boot_time() - age);
        log::info!(step = "origin", peer:% = from, age:? = age, services = content.attested.len(); "an instance with an empty disk asked for its attestations");
        // It asks again after a loss.
        let _ = outbox.send(&Downstream::Recovered(content));
    }

    /// Adds what another instance keeps of the predecessor of this one.
    pub(super) fn recover(&self, from: id::Instance, content: Content) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let others = self.others(&state);
        let Some(content) = state.grantor.recover(from, content, others.iter()) else {
            return;
        };
        state.adopt(content, now);
        state.save_attestations(&self.attestations_file);
        let waiting: Vec<Variant> = state.clearing.keys().copied().collect();
        drop(state);
        for variant in waiting {
            self.tell_released(variant);
        }
    }
}
