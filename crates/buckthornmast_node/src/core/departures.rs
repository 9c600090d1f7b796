//! Replication of departures, from the instance that a target has called to the disks of the others.

use std::{convert::Infallible, future, time::Duration};

use buckthornmast_fleet::{announcement, registry::Update};
use buckthornmast_types::{
    id,
    time::{Clock, Point},
};
use tokio::time::timeout;

use crate::{
    core::{ANNOUNCEMENT_TIME, Core, State},
    departure::{Departure, required_copies},
    message::{Downstream, Upstream},
    platform::Platform,
};

/// Time limit for storing the departure of a target. The target itself waits a second for the answer.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

fn departure_of(update: &Update) -> Departure {
    Departure {
        target: update.announcement.target.clone(),
        incarnation: update.announcement.incarnation,
    }
}

impl<P: Platform> Core<P> {
    /// Replicates the departure of a target to the rest of the core, and waits until so many instances have it on their
    /// disks that it survives a kill of all processes with the loss of as many disks as the settings allow. Returns whether
    /// they have.
    pub(crate) async fn replicate(&self, update: Update) -> bool {
        let departure = departure_of(&update);
        let (required, stored, saving) = {
            let mut state = self.state.borrow_mut();
            let required = required_copies(self.losses, self.instances(&state));
            let stored = state.departures.wait(departure.clone(), required);
            let saving = self.departures_file.save_and_wait(&state.registry);
            (required, stored, saving)
        };
        if required > 1 && !self.subscribers.has_core() {
            log::warn!(step = "target", target:% = departure.target, required = required; "no other instance of the core is connected to store a departure");
            return false;
        }
        self.subscribers
            .send_cores(&Downstream::targets(vec![update]));
        let saved = async {
            saving.await;
            self.record_stored(&departure, &self.own_member.instance);
            future::pending::<Infallible>().await
        };
        tokio::select! {
            stored = timeout(STORE_TIMEOUT, stored) => matches!(stored, Ok(Ok(()))),
            never = saved => match never {},
        }
    }

    /// Returns whether a target that this instance doesn't know is unknown to the others too. After a start with an empty disk it
    /// knows none until another instance has told it, or all live targets have announced themselves.
    pub(crate) fn knows_targets(&self) -> bool {
        let state = self.state.borrow();
        let is_alone = self.instances(&state) <= 1;
        let uptime = self.clock.now().since(Point::ZERO);
        is_alone || state.has_peer_targets || uptime >= ANNOUNCEMENT_TIME
    }

    /// Returns the number of instances of the core that are known, or that the settings name.
    fn instances(&self, state: &State) -> usize {
        let seeds = self.settings.borrow().seeds.len();
        state.roster.members().count().max(seeds)
    }

    /// Returns whether the departure in an update is known to be stored by enough instances.
    pub(crate) fn is_departure_stored(&self, update: &Update) -> bool {
        let state = self.state.borrow();
        state.departures.is_stored(&departure_of(update))
    }

    /// Records that an instance of the core has stored a departure.
    pub(super) fn record_stored(&self, departure: &Departure, instance: &id::Instance) {
        self.state
            .borrow_mut()
            .departures
            .record(departure, instance);
    }

    /// Stores the departures among the updates of another instance, and acknowledges them to it once the disk has them.
    pub(super) fn store_departures(&self, from: &id::Instance, updates: &[Update]) {
        let leaving = updates.iter().filter(|update| {
            update.withdrawn || update.announcement.state != announcement::State::Ready
        });
        let departures: Vec<Departure> = leaving.map(departure_of).collect();
        if departures.is_empty() {
            return;
        }
        let saving = self
            .departures_file
            .save_and_wait(&self.state.borrow().registry);
        let (outboxes, from) = (self.outboxes.clone(), from.clone());
        // Ends within its time limit.
        tokio::task::spawn_local(async move {
            if timeout(STORE_TIMEOUT, saving).await.is_err() {
                log::warn!(step = "persist", peer:% = from, departures = departures.len(); "departures were not stored in time; not acknowledging them");
                return;
            }
            for Departure {
                target,
                incarnation,
            } in departures
            {
                let acknowledgement = Upstream::Acknowledge {
                    target,
                    incarnation,
                };
                outboxes.send_message(&from, acknowledgement);
            }
        });
    }
}
