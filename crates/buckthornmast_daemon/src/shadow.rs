//! Shadow policies, which decide on the same view as the policies in force without acting.

use std::collections::{BTreeMap, HashMap};

use buckthornmast_placement::{
    arbiter::arbitrate,
    named::{NamedPolicy, TeamPolicy},
    plan::{Action, Moves},
    view::View,
};
use buckthornmast_report::extract;
use buckthornmast_types::{artifact::Artifact, id, time::Point};

use crate::{current::Snapshot, policy, reports::Reports};

/// Absence after which a proposal counts as a new move.
///
/// Proposals of a shadow policy are not executed and recur in every round, so they must not count each time.
const MIN_ABSENCE: std::time::Duration = std::time::Duration::from_secs(60);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Kind {
    Load,
    Unload,
    Shift,
}

type Proposal = (Kind, Artifact, id::Target);

struct Shadow {
    team: TeamPolicy,
    /// Granted proposals, with the time at which each was last granted.
    proposed: HashMap<Proposal, Point>,
}

/// Shadow policies of all teams.
pub struct Shadows {
    reports: Reports,
    teams: BTreeMap<id::Team, Shadow>,
}

fn proposal(action: Action, view: &View) -> Proposal {
    let kind = match action {
        Action::Load { .. } => Kind::Load,
        Action::Unload { .. } => Kind::Unload,
        Action::Shift { .. } => Kind::Shift,
    };
    let artifact = view.artifacts[action.artifact()].artifact.clone();
    (kind, artifact, view.targets[action.target()].id.clone())
}

impl Shadow {
    /// Returns the granted moves of this round that were not proposed recently.
    fn count(&mut self, view: &View, index: usize, grants: &Moves) -> extract::Moves {
        let mut moves = extract::Moves::default();
        let team_grants = grants
            .iter()
            .filter(|grant| view.artifacts[grant.action.artifact()].team == index);
        for grant in team_grants {
            let proposal = proposal(grant.action, view);
            let kind = proposal.0;
            if self.proposed.insert(proposal, view.now).is_none() {
                match kind {
                    Kind::Load => moves.loads += 1,
                    Kind::Unload => moves.unloads += 1,
                    Kind::Shift => moves.shifts += 1,
                }
            }
        }
        self.proposed
            .retain(|_, last| view.now.since(*last) < MIN_ABSENCE);
        moves
    }
}

impl Shadows {
    /// Returns an empty set of shadow policies.
    pub fn new(reports: Reports) -> Self {
        Self {
            reports,
            teams: BTreeMap::new(),
        }
    }

    fn team(&mut self, name: &id::Team, declared_policy: NamedPolicy) -> &mut Shadow {
        let shadow = self.teams.entry(name.clone()).or_insert_with(|| Shadow {
            team: TeamPolicy::new(declared_policy),
            proposed: HashMap::new(),
        });
        if shadow.team.policy() != declared_policy {
            shadow.team.set_policy(declared_policy);
            shadow.proposed.clear();
        }
        shadow
    }

    /// Counts the moves that the arbiter would grant if a team's shadow policy replaced the one in force.
    /// `proposals` are those of the policies in force in the order of the teams.
    pub fn evaluate(
        &mut self,
        snapshot: &Snapshot,
        view: &View,
        proposals: &[Moves],
        max_moves: usize,
    ) {
        let declared = &snapshot.declarations.teams;
        self.teams.retain(|name, _| {
            declared
                .get(name)
                .is_some_and(|team| team.policy.shadow.is_some())
        });
        for (index, (name, team)) in declared.iter().enumerate() {
            let Some(declared_policy) = policy::shadow(&team.policy) else {
                continue;
            };
            let shadow = self.team(name, declared_policy);
            // The shadow keeps its own state: `marginal` averages demand and remembers over the rounds when copies
            // were loaded and unloaded, and with empty state would decide differently than when it is in force.
            let mut proposals = proposals.to_vec();
            if let Some(active) = proposals.get_mut(index) {
                *active = shadow.team.decide(view, index, max_moves);
            }
            let grants = arbitrate(view, &proposals, max_moves);
            let moves = shadow.count(view, index, &grants);
            self.reports.add_shadow_moves(name, moves);
        }
    }
}
