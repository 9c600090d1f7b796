//! Shadow policies: decide on the same view as the real policies, without acting.

use std::collections::{BTreeMap, HashMap};

use buckthornmast_placement::{
    arbiter::arbitrate,
    named::{Named, Team},
    plan::{Action, Moves},
    view::View,
};
use buckthornmast_report::extract;
use buckthornmast_types::{artifact::Artifact, id, time::Point};

use crate::{current::Snapshot, policy, reports::Reports};

/// Time after which a wish that was absent counts as a new move.
///
/// A shadow's wish is not carried out and returns with every round, so it may not count each time.
const ABSENT: std::time::Duration = std::time::Duration::from_secs(60);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Kind {
    Load,
    Unload,
    Shift,
}

type Wish = (Kind, Artifact, id::Target);

struct Shadow {
    team: Team,
    wished: HashMap<Wish, Point>,
}

/// Shadow policies of all teams.
pub struct Shadows {
    reports: Reports,
    teams: BTreeMap<id::Team, Shadow>,
}

fn wish(action: Action, view: &View) -> Wish {
    let kind = match action {
        Action::Load { .. } => Kind::Load,
        Action::Unload { .. } => Kind::Unload,
        Action::Shift { .. } => Kind::Shift,
    };
    let artifact = view.artifacts[action.artifact()].artifact.clone();
    (kind, artifact, view.targets[action.target()].id.clone())
}

impl Shadow {
    /// Returns the moves of this round that were not wished for lately.
    fn count(&mut self, view: &View, index: usize, granted: &Moves) -> extract::Moves {
        let mut moves = extract::Moves::default();
        let own = granted
            .iter()
            .filter(|granted| view.artifacts[granted.action.artifact()].team == index);
        for granted in own {
            let wish = wish(granted.action, view);
            let kind = wish.0;
            if self.wished.insert(wish, view.now).is_none() {
                match kind {
                    Kind::Load => moves.loads += 1,
                    Kind::Unload => moves.unloads += 1,
                    Kind::Shift => moves.shifts += 1,
                }
            }
        }
        self.wished.retain(|_, seen| view.now.since(*seen) < ABSENT);
        moves
    }
}

impl Shadows {
    /// Returns shadows without memory.
    pub fn new(reports: Reports) -> Self {
        Self {
            reports,
            teams: BTreeMap::new(),
        }
    }

    fn team(&mut self, name: &id::Team, wanted: Named) -> &mut Shadow {
        let shadow = self.teams.entry(name.clone()).or_insert_with(|| Shadow {
            team: Team::new(wanted),
            wished: HashMap::new(),
        });
        if shadow.team.policy() != wanted {
            shadow.team.exchange(wanted);
            shadow.wished.clear();
        }
        shadow
    }

    /// Counts the moves that the arbiter would grant if a team's shadow policy took the place of its
    /// real one. `wishes` are those of the real policies in the order of the teams.
    pub fn evaluate(&mut self, snapshot: &Snapshot, view: &View, wishes: &[Moves], limit: usize) {
        let declared = &snapshot.declarations.teams;
        self.teams.retain(|name, _| {
            declared
                .get(name)
                .is_some_and(|team| team.policy.shadow.is_some())
        });
        for (index, (name, team)) in declared.iter().enumerate() {
            let Some(wanted) = policy::shadow(&team.policy) else {
                continue;
            };
            let shadow = self.team(name, wanted);
            // The shadow's own memory advances, since `marginal` learns demand and holds from round to
            // round and would with an empty memory decide differently from when it acts.
            let mut others = wishes.to_vec();
            if let Some(own) = others.get_mut(index) {
                *own = shadow.team.decide(view, index, limit);
            }
            let granted = arbitrate(view, &others, limit);
            let moves = shadow.count(view, index, &granted);
            self.reports.count_shadow(name, moves);
        }
    }
}
