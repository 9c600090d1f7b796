//! Confirmation age of the settings in force.
//!
//! A voter that knows the leader of the log confirms its own settings. Any other instance queries the first live
//! instance of its failure domain by name, and that instance queries a voter, which limits the load on the
//! voters. An instance whose settings are not confirmed for a while keeps serving and reports them as possibly
//! stale.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use buckthornmast_membership::view::View;
use buckthornmast_types::{
    id,
    time::{Clock, Point, System},
};
use metrics::gauge;

use crate::{
    message::{Request, Response, millis},
    peers::{Peers, Replica},
};

/// Confirmation age beyond which settings may be stale: the time limit for a change to be in force everywhere.
pub const STALE_AFTER: Duration = Duration::from_secs(8);

/// Time limit for another instance to answer; beyond it, the confirmation age grows until a later query succeeds.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Time of the last confirmation.
#[derive(Debug, Clone)]
pub struct Confirmed {
    at: Arc<Mutex<Point>>,
    clock: System,
}

impl Confirmed {
    /// Starts with the current time as the last confirmation.
    pub fn new(clock: System) -> Self {
        let at = Arc::new(Mutex::new(clock.now()));
        Self { at, clock }
    }

    /// Returns the time since the last confirmation.
    pub fn age(&self) -> Duration {
        let at = *self.at.lock().unwrap_or_else(PoisonError::into_inner);
        self.clock.now().since(at)
    }

    /// Records a confirmation of the given age.
    fn record(&self, age: Duration) {
        let confirmed = self.clock.now() - age;
        let mut at = self.at.lock().unwrap_or_else(PoisonError::into_inner);
        *at = (*at).max(confirmed);
    }
}

/// Returns the instance to query: one that precedes this one by name in its failure domain, else a voter.
fn source<'a>(
    me: &id::Instance,
    domain: &id::Domain,
    voters: &'a [id::Instance],
    view: &'a View,
) -> Option<&'a id::Instance> {
    let mut earlier = view
        .alive()
        .filter(|peer| peer.domain == *domain && peer.instance < *me);
    if let Some(first) = earlier.next() {
        return Some(&first.instance);
    }
    let is_alive = |voter: &&id::Instance| view.alive().any(|peer| peer.instance == **voter);
    voters.iter().find(is_alive)
}

/// Components that a confirmation depends on.
pub struct Dependencies<'a> {
    /// This instance.
    pub me: &'a id::Instance,
    /// Failure domain of this instance.
    pub domain: &'a id::Domain,
    /// Voters.
    pub voters: &'a [id::Instance],
    /// Local replica.
    pub replica: Option<&'a Replica>,
    /// Client to the other instances.
    pub peers: &'a Peers,
}

/// Makes one attempt to confirm the settings, and sets the metric of the confirmation age.
pub fn confirm(confirmed: &Confirmed, dependencies: &Dependencies<'_>, view: &View) {
    if let Some(replica) = dependencies.replica {
        if replica.status().leader.is_some() {
            confirmed.record(Duration::ZERO);
        }
    } else if let Some(source) = source(
        dependencies.me,
        dependencies.domain,
        dependencies.voters,
        view,
    ) {
        let queried_at = confirmed.clock.now();
        if let Ok(Response::Confirmed { age_ms }) =
            dependencies
                .peers
                .call(source, Request::Confirmed, QUERY_TIMEOUT)
        {
            let waited = confirmed.clock.now().since(queried_at);
            confirmed.record(Duration::from_millis(age_ms) + waited);
        }
    }
    let age = millis(confirmed.age());
    #[expect(
        clippy::cast_precision_loss,
        reason = "an age in milliseconds is far below 2^52"
    )]
    gauge!("buckthornmast_settings_confirmed_age_seconds").set(age as f64 / 1000.0);
}
