//! Helpers that build views and apply moves for tests.

use std::time::Duration;

use buckthornmast_placement::{prelude::*, view::*};
use buckthornmast_types::{artifact::Artifact, rate::Rate, report::Phase, size::Bytes};

pub(crate) fn rate(value: f64) -> Rate {
    Rate::per_second(value).unwrap()
}

pub(crate) fn target(name: &str, domain: usize, gib: u64) -> Target {
    Target {
        service: 0,
        id: name.parse().unwrap(),
        domain,
        memory: Bytes::gib(gib),
        free: Bytes::gib(gib),
        health: Health::Ready,
        is_controlled: true,
        load: Default::default(),
        capacity: rate(1000.0),
    }
}

/// Returns an artifact without copies. Each request to it has 100 tokens.
pub(crate) fn item(artifact: &str, team: usize, gib: u64, requests: f64) -> ArtifactView {
    let artifact: Artifact = artifact.parse().unwrap();
    ArtifactView {
        service: 0,
        artifact,
        team,
        bytes: Bytes::gib(gib),
        base: None,
        replaced_by: None,
        demand: Demand {
            rate: rate(requests),
            tokens: rate(requests * 100.0),
            hourly_rates: None,
        },
        copies: Default::default(),
        declared_targets: Default::default(),
        deadline: Duration::from_secs(10),
        weight: 1.0,
    }
}

/// Returns a view of empty targets in four failure domains, with this memory each.
pub(crate) fn view(teams: usize, targets: usize, gib: u64) -> View {
    let name = |kind: &str, i: usize| format!("{kind}{i:03}");
    View {
        teams: (0..teams)
            .map(|i| Team {
                id: name("team", i).parse().unwrap(),
                weight: 1.0,
                moves_weight: 1.0,
            })
            .collect(),
        domains: (0..4).map(|i| name("d", i).parse().unwrap()).collect(),
        targets: (0..targets)
            .map(|i| target(&name("t", i), i % 4, gib))
            .collect(),
        store: Store {
            available_loads: 10,
            max_concurrent_loads: 10,
            bytes_per_second: 0.0,
        },
        ..View::default()
    }
}

/// Adds a copy to a target and subtracts its memory.
pub(crate) fn add_copy(view: &mut View, item: usize, target: usize, phase: Phase) {
    view.artifacts[item].copies.push(Copy { target, phase });
    let bytes = view.artifacts[item].bytes;
    assert!(
        view.targets[target].free >= bytes,
        "test view is overcommitted"
    );
    view.targets[target].free = view.targets[target].free.saturating_sub(bytes);
}

/// Applies all moves to a view at once and without failures.
pub(crate) fn apply_moves(view: &mut View, moves: &Moves) {
    for applied in moves {
        let (item, target) = (applied.action.artifact(), applied.action.target());
        if applied.action.is_load() {
            add_copy(view, item, target, Phase::Ready);
        } else {
            view.artifacts[item]
                .copies
                .retain(|copy| copy.target != target);
            let bytes = view.artifacts[item].bytes;
            view.targets[target].free = view.targets[target].free.saturating_add(bytes);
        }
    }
}

pub(crate) fn decide(policy: &str, view: &View) -> Moves {
    let policy: NamedPolicy = policy.parse().unwrap();
    let mut state = Default::default();
    policy.decide(view, 0, &mut state, 10)
}
