//! Reports on the operators' port.

#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

use std::time::Duration;

use buckthornmast_config::declaration::{Objective, Team};
use buckthornmast_daemon::{
    access::Bearer,
    current::Snapshot,
    reports::answer,
    summary::{Gathered, Summary},
};
use buckthornmast_membership::view::View;
use buckthornmast_types::{id, time::Point};

fn snapshot() -> Snapshot {
    let mut snapshot = Snapshot::default();
    for name in ["press", "ledger"] {
        let mut team = Team::default();
        let objective = Objective {
            deadline: Duration::from_secs(1),
            first_token: None,
            attainment: 0.99,
            window: Duration::from_secs(86400),
        };
        team.objectives.insert("counter".to_owned(), objective);
        let teams = &mut snapshot.declarations.teams;
        teams.insert(name.parse().unwrap(), team);
    }
    snapshot
}

fn gathered() -> Gathered {
    Gathered {
        summaries: vec![("a-1".parse().unwrap(), Summary::default())],
        missing: Vec::new(),
    }
}

fn read(bearer: &Bearer, name: &str) -> String {
    let view = View {
        at: Point::ZERO,
        peers: Vec::new(),
    };
    let response = answer(&snapshot(), bearer, name, &view, gathered).unwrap();
    String::from_utf8(response.body).unwrap()
}

/// Guards against a team token that shows objectives of another team, and a platform token that hides some.
#[test]
fn answer_own_team_only() {
    let press: id::Team = "press".parse().unwrap();
    let visible = read(&Bearer::Team(press.clone()), "burn");
    assert!(
        visible.contains("press/counter") && !visible.contains("ledger"),
        "{visible}"
    );
    let all = read(&Bearer::Platform, "burn");
    assert!(all.contains("press/counter") && all.contains("ledger/counter"));
    assert!(!read(&Bearer::Team(press), "policies").contains("ledger"));
    assert!(read(&Bearer::Platform, "policies.svg").starts_with("<svg"));
}
