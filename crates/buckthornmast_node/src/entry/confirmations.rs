//! Confirmations of the version in force, which the lease of an entry instance on the keys of callers rests on.

use std::{net::SocketAddr, time::Duration};

use buckthornmast_forward::{access::boot_time, context::millis, state::State};
use buckthornmast_organisation::lease::ASK_INTERVAL;
use buckthornmast_routes::register::Revision;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use super::Entry;
use crate::platform::Platform;

/// Interval at which this instance looks whether to ask for a confirmation. It bounds the time for which requests with keys
/// are refused after a machine has been suspended.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Returns the time after the start at which an instance first asks. Instances that start together don't ask together.
fn first_delay(instance: &str) -> Duration {
    let share = u32::from(xxh3_64(instance.as_bytes()).to_le_bytes()[0]);
    ASK_INTERVAL * share / 256
}

impl<P: Platform> Entry<P> {
    /// Asks for confirmations at intervals, and never returns.
    pub(super) async fn keep_lease(&self) {
        sleep(first_delay(self.instance.as_str())).await;
        loop {
            {
                let mut state = self.forwarder.state.borrow_mut();
                let now = boot_time();
                if state.lease.is_due(now) {
                    self.ask_confirmation(&mut state);
                }
                if state.has_organisations() {
                    let age = state.lease.age(now);
                    metrics::gauge!("buckthornmast_key_confirmation_age_seconds")
                        .set(age.map_or(f64::INFINITY, |age| age.as_secs_f64()));
                }
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Asks the leader for a confirmation, if the routes in force have keys.
    pub(super) fn ask_confirmation(&self, state: &mut State) {
        if !state.has_organisations() || !self.supplier.0.can_confirm() {
            return;
        }
        let number = state.lease.ask(boot_time());
        self.supplier.0.request_confirmation(number);
    }

    /// Records the answer of a leader.
    pub(super) fn confirm(&self, state: &mut State, number: u64, version: Revision) {
        let now = boot_time();
        let was_held = state.lease.permits(now);
        state.lease.confirm(number, version);
        if !was_held && state.lease.permits(now) {
            log::info!(step = "key", version = version.0, age_ms = state.lease.age(now).map(millis); "the keys of the routes in force are confirmed; honouring them");
            state.changed.notify_waiters();
        }
    }

    /// Records a message of an instance of the core. One of a leader whose build confirms no versions is all that shows that
    /// the routes in force are the newest.
    pub(super) fn hear(&self, state: &mut State, peer: SocketAddr) {
        let supplier = &self.supplier.0;
        if supplier.is_leader(peer) && !supplier.can_confirm() {
            let was_first = state.lease.awaits_first();
            state.lease.assume_newest(boot_time());
            if was_first {
                state.changed.notify_waiters();
            }
        }
    }
}
