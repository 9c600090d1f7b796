//! Voter sets that are adjusted to the available instances: growth to the target size, replacement of lost voters.
//!
//! The log is bootstrapped by a few instances that are configured with each other. Every other instance with a disk
//! joins as a learner. The leader promotes a learner that is up to date while the set is smaller than the target
//! size, or to replace a voter that has not answered for a time. Each change needs majorities of the old and the new
//! set (see [`Voters`](crate::voters::Voters)), and the next change waits until the last one is committed.

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_types::{id, time::Point};
use smallvec::SmallVec;

use crate::{
    core::{
        Core, Effects, State,
        leader::{LeaderState, Progress},
    },
    message::Member,
};

/// Instances that may replicate the log, and the target size of the voter set.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Pool {
    /// Instances with a disk and their failure domains, including this instance.
    pub instances: BTreeMap<id::Instance, id::Domain>,
    /// Target number of voters.
    pub size: usize,
    /// Time without an answer after which a voter is replaced by a learner.
    pub replace_after: Duration,
}

impl<C: Clone> Core<C> {
    /// Replaces the instances that may replicate the log. Current voters and founders stay peers.
    pub(crate) fn set_pool(&mut self, pool: Pool, now: Point) {
        let mut peers: SmallVec<[id::Instance; 6]> = pool.instances.keys().cloned().collect();
        let voters = self.voters.members();
        peers.extend(voters.iter().map(|member| member.instance.clone()));
        peers.extend(self.founders.iter().cloned());
        peers.sort();
        peers.dedup();
        peers.retain(|peer| *peer != self.me.instance);
        self.pool = Some(pool);
        if peers == self.peers {
            return;
        }
        self.peers = peers;
        let next = self.log.last().index.next();
        if let State::Leader(leading) = &mut self.state {
            let mut previous = std::mem::take(&mut leading.progress);
            let progress = self.peers.iter().map(|peer| {
                let known = previous.extract_if(.., |progress| progress.instance == *peer);
                known
                    .last()
                    .unwrap_or_else(|| Progress::new(peer.clone(), next, now))
            });
            leading.progress = progress.collect();
        }
    }

    /// Adds a voter or replaces a lost voter, one change at a time.
    pub(crate) fn rebalance(&mut self, now: Point, out: &mut Effects<C>) {
        let State::Leader(leading) = &self.state else {
            return;
        };
        let (Some(pool), Some(set)) = (&self.pool, self.voters.current()) else {
            return;
        };
        if self.voters.is_joint() || self.commit_index < leading.first_index {
            return;
        }
        let lost = set.members.iter().position(|member| {
            *member != self.me
                && time_since_answer(leading, &member.instance, now) >= pool.replace_after
        });
        let mut members = set.members.clone();
        match lost {
            Some(lost) => drop(members.remove(lost)),
            None if members.len() < pool.size => {}
            None => return,
        }
        if let Some(learner) = self.best_learner(leading, pool, &members, now) {
            members.push(learner);
            members.sort();
            self.append_voters(members, now, out);
        }
    }

    /// Returns the up-to-date learner whose failure domain has the fewest of these members.
    fn best_learner(
        &self,
        leading: &LeaderState,
        pool: &Pool,
        members: &[Member],
        now: Point,
    ) -> Option<Member> {
        let in_domain = |domain: Option<&id::Domain>| {
            let domains = members
                .iter()
                .map(|member| pool.instances.get(&member.instance));
            domains.filter(|other| *other == domain).count()
        };
        let learners = leading.progress.iter().filter_map(|progress| {
            let fits = pool.instances.contains_key(&progress.instance)
                && progress.match_index >= self.commit_index
                && now < progress.last_answer + self.timing.election_min
                && members
                    .iter()
                    .all(|member| member.instance != progress.instance);
            let disk = progress.disk.filter(|_| fits)?;
            Some(Member {
                instance: progress.instance.clone(),
                disk,
            })
        });
        learners.min_by_key(|learner| {
            let domain = pool.instances.get(&learner.instance);
            (in_domain(domain), learner.instance.clone())
        })
    }
}

/// Returns the time since the last answer of an instance.
fn time_since_answer(leading: &LeaderState, instance: &id::Instance, now: Point) -> Duration {
    let mut progress = leading.progress.iter();
    let progress = progress.find(|progress| progress.instance == *instance);
    progress.map_or(Duration::ZERO, |progress| now.since(progress.last_answer))
}
