//! When the settings in force here were last known to be the newest.
//!
//! A majority of voters that were heard from with the same revision had accepted no newer one by then. This
//! costs no message of its own, since heartbeats carry the revision. An instance that has just started or was
//! cut off hears of a higher revision, or of none, and so never takes old settings for the newest.

use buckthornmast_membership::view::{State, View};
use buckthornmast_types::{id, time::Point};

use crate::follow::Views;

/// What the voters are heard to have in force.
#[derive(Clone)]
pub struct Witness {
    /// Membership.
    pub views: Views,
    /// Voters.
    pub voters: Vec<id::Instance>,
}

impl Witness {
    /// Returns when this revision was last known to be the newest.
    pub fn newest(&self, revision: id::Revision, now: Point) -> Option<Point> {
        newest(&(self.views)(), &self.voters, revision, now)
    }
}

/// Returns the latest time by which a majority of voters was heard from, all with this revision.
pub fn newest(
    view: &View,
    voters: &[id::Instance],
    revision: id::Revision,
    now: Point,
) -> Option<Point> {
    // Nothing is in force before the first revision.
    if revision == id::Revision(0) {
        return None;
    }
    // A voter that lags behind is no witness, and neither is one whose revision is not known yet.
    let is_same = |voter: &&id::Instance| {
        let peer = view.get(voter);
        peer.is_some_and(|peer| peer.state == State::Alive && peer.progress.revision == revision)
    };
    let witnesses = voters.iter().filter(is_same);
    let mut ages: Vec<_> = witnesses
        .filter_map(|voter| view.get(voter))
        .map(|peer| peer.age)
        .collect();
    ages.sort_unstable();
    let oldest = *ages.get(voters.len() / 2)?;
    Some(now - (oldest + now.since(view.at)))
}
