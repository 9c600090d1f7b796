//! Tests of single policies.

use std::time::Duration;

use crate::common::*;
use buckthornmast_placement::{named, prelude::*};
use buckthornmast_types::report::Phase;

fn overloaded_view() -> View {
    let mut view = view(1, 4, 40);
    view.artifacts.push(item("hot@1", 0, 20, 30.0));
    view.artifacts.push(item("cold@1", 0, 20, 0.1));
    add_copy(&mut view, 0, 0, Phase::Ready);
    add_copy(&mut view, 1, 1, Phase::Ready);
    view
}

/// Guards against a text form with an unknown policy, an unknown parameter or an invalid value being accepted.
#[test]
fn parse_bad_input() {
    let bad = [
        "",
        "best",
        "static x=1",
        "greedy fill=0",
        "greedy fill",
        "marginal horizon=-1",
        "marginal cost=nan",
        "marginal knee=1e9",
        "marginal hold=1 speed=2",
    ];
    for bad in bad {
        assert!(bad.parse::<NamedPolicy>().is_err(), "{bad:?} was accepted");
    }
}

/// Guards against a text form that does not parse back to the same policy.
#[test]
fn parse_round_trip() {
    for text in [
        "static",
        "greedy fill=0.25",
        "marginal horizon=60 cost=7 knee=0.5 lead=0",
    ] {
        let policy: NamedPolicy = text.parse().unwrap();
        assert_eq!(policy.to_string().parse::<NamedPolicy>(), Ok(policy));
    }
}

/// Guards against a change of policy that moves artifacts although the new policy has no reason to.
#[test]
fn set_policy_settled_view() {
    let mut view = view(1, 4, 40);
    for i in 0..4 {
        view.artifacts.push(item(&format!("m{i}@1"), 0, 20, 0.5));
        view.artifacts[i].declared_targets.push(i);
        add_copy(&mut view, i, i, Phase::Ready);
    }
    let mut team = named::TeamPolicy::new("static".parse().unwrap());
    for policy in ["greedy", "marginal", "static", "marginal cost=5"] {
        team.set_policy(policy.parse().unwrap());
        assert_eq!(team.decide(&view, 0, 10), vec![], "{policy}");
    }
}

/// Guards against a shadow evaluation that changes the decisions of the policy in force.
#[test]
fn evaluate_keeps_state() {
    let view = overloaded_view();
    let policy: NamedPolicy = "marginal".parse().unwrap();
    let state = Default::default();
    let shadow = policy.evaluate(&view, 0, &state, 10);
    assert!(
        matches!(state, named::State::Empty),
        "evaluation changed the state of the policy"
    );
    assert_eq!(shadow, policy.decide(&view, 0, &mut { state }, 10));
}

/// Guards against policies that leave an overloaded model with one copy while memory is free.
#[test]
fn decide_follows_demand() {
    let view = overloaded_view();
    for (policy, grows) in [("static", false), ("greedy", true), ("marginal", true)] {
        let moves = decide(policy, &view);
        let loads_hot_model =
            |proposal: &Move| proposal.action.is_load() && proposal.action.artifact() == 0;
        assert_eq!(
            moves.iter().any(loads_hot_model),
            grows,
            "{policy} proposes {moves:?}"
        );
    }
}

/// Guards against a cost of moves that has no effect.
#[test]
fn marginal_costly_moves() {
    let view = overloaded_view();
    assert_eq!(decide("marginal cost=1e6", &view), vec![]);
}

/// Guards against copies that are loaded and unloaded with noise in the demand.
#[test]
fn marginal_noisy_demand() {
    let mut view = view(1, 4, 20);
    for i in 0..2 {
        view.artifacts.push(item(&format!("m{i}@1"), 0, 20, 6.0));
        add_copy(&mut view, i, i, Phase::Ready);
    }
    add_copy(&mut view, 0, 2, Phase::Ready);
    add_copy(&mut view, 1, 3, Phase::Ready);
    let mut team = named::TeamPolicy::new("marginal".parse().unwrap());
    let mut moves = 0;
    for tick in 0..600 {
        view.now = view.now + Duration::from_secs(1);
        for (i, entry) in view.artifacts.iter_mut().enumerate() {
            let requests = if tick % 4 < 2 {
                [9.0, 4.0][i]
            } else {
                [4.0, 9.0][i]
            };
            entry.demand.rate = rate(requests);
            entry.demand.tokens = rate(requests * 100.0);
        }
        let proposals = team.decide(&view, 0, 4);
        moves += proposals.len();
        apply_moves(&mut view, &proposals);
    }
    assert_eq!(moves, 0);
}

/// Guards against an artifact that is loaded on a target of another service.
#[test]
fn decide_other_service() {
    let mut view = view(1, 2, 40);
    view.artifacts.push(item("chat@1", 0, 10, 5.0));
    view.targets[0].service = 1;
    view.targets[1].health = view::Health::Unresponsive;
    for policy in ["static", "greedy", "marginal"] {
        let policy: NamedPolicy = policy.parse().unwrap();
        let moves = policy.decide(&view, 0, &mut Default::default(), 10);
        assert_eq!(moves, Vec::new(), "{policy}");
    }
    view.artifacts[0].service = 1;
    let policy: NamedPolicy = "greedy".parse().unwrap();
    assert_eq!(
        policy.decide(&view, 0, &mut Default::default(), 10).len(),
        1
    );
}
