//! Rules that hold for every policy and for the arbiter.

use crate::common::*;
use buckthornmast_placement::{named, prelude::*, view::*};
use buckthornmast_types::{report::Phase, size::Bytes};

const POLICIES: [&str; 3] = ["static", "greedy", "marginal cost=0 hold=0"];

fn arbitrary_view(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<View> {
    let mut view = view(2, u.int_in_range(1..=6)?, 64);
    for target in &mut view.targets {
        target.health = *u.choose(&[
            Health::Ready,
            Health::Ready,
            Health::Departing,
            Health::Unresponsive,
        ])?;
    }
    for i in 0..u.int_in_range(1..=8)? {
        let team = u.int_in_range(0..=1)?;
        let gib = u.int_in_range(8..=40)?;
        let requests = f64::from(u.int_in_range(0..=100u32)?);
        let mut model = item(&format!("m{i}@1"), team, gib, requests);
        if u.ratio(1, 3)? {
            model
                .declared_targets
                .push(u.choose_index(view.targets.len())?);
        }
        view.artifacts.push(model);
        let model = view.artifacts.len() - 1;
        if u.ratio(1, 3)? {
            let mut adapter = item(&format!("m{i}@1+a@1"), team, 1, requests);
            adapter.base = Some(model);
            view.artifacts.push(adapter);
        }
        if u.ratio(1, 4)? {
            view.artifacts
                .push(item(&format!("m{i}@2"), team, gib, 0.0));
            view.artifacts[model].replaced_by = Some(view.artifacts.len() - 1);
        }
    }
    for item in 0..view.artifacts.len() {
        for target in 0..view.targets.len() {
            let base = view.artifacts[item].base;
            let has_base = base.is_none_or(|base| {
                let mut copies = view.artifacts[base].copies.iter();
                copies.any(|c| c.target == target && c.phase == Phase::Ready)
            });
            let fits = view.targets[target].free >= view.artifacts[item].bytes;
            if has_base && fits && u.ratio(1, 3)? {
                let phases = [Phase::Ready, Phase::Ready, Phase::Loading, Phase::Unloading];
                add_copy(&mut view, item, target, *u.choose(&phases)?);
            }
        }
    }
    Ok(view)
}

fn arbitrary_move(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
    view: &View,
) -> arbtest::arbitrary::Result<Move> {
    let artifact = u.choose_index(view.artifacts.len())?;
    let target = u.choose_index(view.targets.len())?;
    let action = match u.ratio(1, 2)? {
        true => Action::Load { artifact, target },
        false => Action::Unload { artifact, target },
    };
    let (reason, value) = (Reason::Unreachable, 1.0);
    Ok(Move {
        action,
        reason,
        value,
    })
}

fn check_rules(before: &View, moves: &Moves, budget: usize) {
    let loads = moves
        .iter()
        .filter(|proposal| proposal.action.is_load())
        .count();
    assert!(
        loads <= budget,
        "{loads} loads exceed the budget of {budget}"
    );
    let mut free: Vec<Bytes> = before.targets.iter().map(|target| target.free).collect();
    for proposal in moves.iter().filter(|proposal| proposal.action.is_load()) {
        let bytes = before.artifacts[proposal.action.artifact()].bytes;
        let free = &mut free[proposal.action.target()];
        assert!(*free >= bytes, "{proposal:?} overcommits memory");
        *free = free.saturating_sub(bytes);
    }
    let is_unloaded = |item: usize, target: usize| {
        let action = Action::Unload {
            artifact: item,
            target,
        };
        moves.iter().any(|proposal| proposal.action == action)
    };
    for (item, entry) in before.artifacts.iter().enumerate() {
        let mut remaining = entry
            .copies
            .iter()
            .filter(|copy| !is_unloaded(item, copy.target));
        let has_reachable_copy = remaining.any(|copy| before.is_reachable(*copy));
        assert!(
            has_reachable_copy || !before.is_artifact_reachable(item) || before.is_superseded(item),
            "{} loses its last reachable copy by {moves:?}",
            entry.artifact
        );
        let Some(base) = entry.base else { continue };
        for copy in &entry.copies {
            assert!(
                !is_unloaded(base, copy.target),
                "the base model of {} is unloaded before the adapter",
                entry.artifact
            );
        }
    }
}

/// Guards against overcommitted memory, more loads than the budget, the unload of a last reachable copy and
/// the unload of a base model before its adapters.
#[test]
fn arbitrate_arbitrary_view() {
    // A seed is one case, and its low 32 bits are the number of random bytes.
    for seed in 0..1_500u64 {
        arbtest::arbtest(|u| {
            let view = arbitrary_view(u)?;
            let budget = u.int_in_range(0..=4)?;
            let policies: [NamedPolicy; 2] = [
                u.choose(&POLICIES)?.parse().unwrap(),
                u.choose(&POLICIES)?.parse().unwrap(),
            ];
            let mut proposals: Vec<Moves> = (0..2)
                .map(|team| policies[team].decide(&view, team, &mut Default::default(), 8))
                .collect();
            assert!(
                proposals.iter().all(|proposals| proposals.len() <= 8),
                "limit exceeded"
            );
            // The arbiter has to refuse the proposals of a faulty policy.
            for _ in 0..8 {
                let proposal = arbitrary_move(u, &view)?;
                proposals[view.artifacts[proposal.action.artifact()].team].push(proposal);
            }
            check_rules(&view, &arbitrate(&view, &proposals, budget), budget);
            Ok(())
        })
        .seed((seed + 1) << 32 | 2_048);
    }
}

/// Guards against granting a move of another team's artifact, or one with an index that does not exist.
#[test]
fn arbitrate_foreign_proposal() {
    let mut view = view(2, 2, 64);
    view.artifacts.push(item("m@1", 0, 10, 1.0));
    add_copy(&mut view, 0, 0, Phase::Ready);
    add_copy(&mut view, 0, 1, Phase::Ready);
    let foreign = |action| Move {
        action,
        reason: Reason::Room,
        value: 1.0,
    };
    let proposals = vec![
        vec![foreign(Action::Load {
            artifact: 9,
            target: 0,
        })],
        vec![foreign(Action::Unload {
            artifact: 0,
            target: 1,
        })],
    ];
    assert_eq!(arbitrate(&view, &proposals, 5), vec![]);
}

/// Guards against a team whose many proposals starve the unreachable model and the few proposals of another.
#[test]
fn arbitrate_contended_budget() {
    let mut view = view(2, 4, 80);
    for i in 0..12 {
        view.artifacts.push(item(&format!("busy{i}@1"), 0, 4, 50.0));
        add_copy(&mut view, i, i % 4, Phase::Ready);
    }
    view.artifacts.push(item("lost@1", 1, 4, 0.1));
    view.artifacts.push(item("other@1", 1, 4, 50.0));
    add_copy(&mut view, 13, 0, Phase::Ready);
    let mut proposals = vec![decide("greedy", &view)];
    let greedy = NamedPolicy::Greedy(Default::default());
    proposals.push(greedy.decide(&view, 1, &mut Default::default(), 10));
    assert!(
        proposals[0].len() == 10,
        "the first team proposes too few moves for contention"
    );
    let granted = arbitrate(&view, &proposals, 3);
    let items: Vec<_> = granted
        .iter()
        .map(|proposal| proposal.action.artifact())
        .collect();
    assert_eq!(items[0], 12, "the unreachable model is not first");
    let other = items.iter().filter(|item| **item == 13).count();
    assert!(other >= 1, "the other team was granted none of {items:?}");
}

/// Guards against a model that stays unreachable because another team fills all memory with spare copies.
#[test]
fn arbitrate_reclaims_spare_copies() {
    for policy in POLICIES {
        let mut view = view(2, 2, 20);
        view.artifacts.push(item("big@1", 0, 18, 90.0));
        add_copy(&mut view, 0, 0, Phase::Ready);
        add_copy(&mut view, 0, 1, Phase::Ready);
        view.artifacts.push(item("lost@1", 1, 16, 0.0));
        let mut teams = [0, 1].map(|_| named::TeamPolicy::new(policy.parse().unwrap()));
        for _ in 0..3 {
            let proposals: Vec<_> = (0..2).map(|i| teams[i].decide(&view, i, 8)).collect();
            let moves = arbitrate(&view, &proposals, 5);
            check_rules(&view, &moves, 5);
            apply_moves(&mut view, &moves);
        }
        assert!(
            view.is_artifact_reachable(1),
            "{policy} leaves the model unreachable"
        );
    }
}

/// Guards against a rollout that unloads the old version before the new one is ready, or that never ends
/// because the old and new versions do not fit side by side with a spare copy.
#[test]
fn decide_rollout() {
    for policy in POLICIES {
        let mut view = view(1, 2, 40);
        view.artifacts.push(item("m@1", 0, 30, 5.0));
        add_copy(&mut view, 0, 0, Phase::Ready);
        add_copy(&mut view, 0, 1, Phase::Ready);
        view.artifacts.push(item("m@2", 0, 30, 0.0));
        view.artifacts[0].replaced_by = Some(1);
        let mut team = named::TeamPolicy::new(policy.parse().unwrap());
        for _ in 0..8 {
            let moves = arbitrate(&view, &[team.decide(&view, 0, 8)], 5);
            check_rules(&view, &moves, 5);
            apply_moves(&mut view, &moves);
            let reachable = view.is_artifact_reachable(0) || view.is_artifact_reachable(1);
            assert!(reachable, "{policy} makes the model unreachable");
        }
        assert!(
            view.is_artifact_reachable(1),
            "{policy} never loads the new version"
        );
        assert!(
            view.artifacts[0].copies.is_empty(),
            "{policy} keeps the old version"
        );
    }
}

/// Guards against a drain that leaves artifacts on the target or makes one unreachable.
#[test]
fn decide_drain() {
    for policy in POLICIES {
        let mut view = view(1, 3, 40);
        view.artifacts.push(item("m@1", 0, 10, 5.0));
        let mut adapter = item("m@1+a@1", 0, 1, 5.0);
        adapter.base = Some(0);
        view.artifacts.push(adapter);
        add_copy(&mut view, 0, 0, Phase::Ready);
        add_copy(&mut view, 1, 0, Phase::Ready);
        view.targets[0].health = Health::Departing;
        let mut team = named::TeamPolicy::new(policy.parse().unwrap());
        for _ in 0..6 {
            let moves = arbitrate(&view, &[team.decide(&view, 0, 8)], 5);
            apply_moves(&mut view, &moves);
        }
        let is_empty = view.targets[0].free == view.targets[0].memory;
        assert!(
            is_empty && view.is_artifact_reachable(0) && view.is_artifact_reachable(1),
            "{policy}"
        );
    }
}

/// Guards against the last memory going to an unreachable model with more demand, instead of to a model of the
/// same team that only a leaving target has ready.
#[test]
fn decide_drain_goes_first() {
    for policy in POLICIES {
        let mut view = view(1, 2, 10);
        view.artifacts.push(item("lost@1", 0, 10, 50.0));
        view.artifacts.push(item("m@1", 0, 10, 5.0));
        add_copy(&mut view, 1, 0, Phase::Ready);
        view.targets[0].health = Health::Departing;
        let mut team = named::TeamPolicy::new(policy.parse().unwrap());
        let moves = arbitrate(&view, &[team.decide(&view, 0, 8)], 5);
        let loads: Vec<_> = moves.iter().filter(|m| m.action.is_load()).collect();
        assert_eq!(loads.len(), 1, "{policy}: {moves:?}");
        assert_eq!(loads[0].action.artifact(), 1, "{policy}");
    }
}

/// Guards against two controllers that unload the last two copies of a model at the same time.
#[test]
fn is_spare_two_controllers() {
    let mut view = view(1, 2, 20);
    view.artifacts.push(item("m@1", 0, 10, 5.0));
    add_copy(&mut view, 0, 0, Phase::Ready);
    add_copy(&mut view, 0, 1, Phase::Ready);
    let spare = |own_target: usize| {
        let mut view = view.clone();
        for (index, target) in view.targets.iter_mut().enumerate() {
            target.is_controlled = index == own_target;
        }
        buckthornmast_placement::draft::Draft::new(&view).is_spare(0, own_target)
    };
    assert!(
        [spare(0), spare(1)] != [true, true],
        "both copies may be unloaded"
    );
}
