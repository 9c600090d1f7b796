//! Time at which the settings in force were last known to be the newest.
//!
//! A majority of voters that reported the same revision had accepted no newer one by the oldest of these
//! reports. This needs no message of its own, since heartbeats carry the revision. An instance that has just
//! started or was partitioned receives a higher revision or none, so it never mistakes old settings for the newest.

use buckthornmast_membership::view::{State, View};
use buckthornmast_types::{id, time::Point};

use crate::follow::Views;

/// Source of the revisions that the voters have in force.
#[derive(Clone)]
pub struct Freshness {
    /// Current membership view, with the revision that each instance last reported.
    pub views: Views,
    /// Voters.
    pub voters: Vec<id::Instance>,
}

impl Freshness {
    /// Returns the time at which this revision was last known to be the newest, if it is known.
    pub fn newest(&self, revision: id::Revision, now: Point) -> Option<Point> {
        newest(&(self.views)(), &self.voters, revision, now)
    }
}

/// Returns the latest time since which a majority of the voters has reported this revision, or `None` without such
/// a majority.
pub fn newest(
    view: &View,
    voters: &[id::Instance],
    revision: id::Revision,
    now: Point,
) -> Option<Point> {
    // No settings are in force before the first revision.
    if revision == id::Revision(0) {
        return None;
    }
    // A voter that lags behind or whose revision is not known yet does not count.
    let is_same = |voter: &&id::Instance| {
        let peer = view.get(voter);
        peer.is_some_and(|peer| peer.state == State::Alive && peer.progress.revision == revision)
    };
    let current = voters.iter().filter(is_same);
    let mut ages: Vec<_> = current
        .filter_map(|voter| view.get(voter))
        .map(|peer| peer.last_alive_age)
        .collect();
    ages.sort_unstable();
    let oldest = *ages.get(voters.len() / 2)?;
    Some(now - (oldest + now.since(view.at)))
}
