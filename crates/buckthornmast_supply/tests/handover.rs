//! Orders of one holder after those of another.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

#[path = "support/pool.rs"]
mod pool;

use std::time::Duration;

use buckthornmast_supply::{
    demand::Demand, handover::Handover, ledger::Ledger, order::Report, plan::Situation,
};

use crate::pool::{BORN, at, held, observe, pool, service, target};

const TURN: Duration = Duration::from_secs(3);

/// Guards against two holders that order the same target within the turn time.
#[test]
fn handover_bars_targets() {
    let mut handover = Handover::new(TURN);
    assert!(!handover.is_barred(&target(0), at(0)));
    handover.note(target(0), at(0));
    handover.note(target(1), at(1000));
    handover.note(target(0), at(2000));
    assert!(handover.is_barred(&target(0), at(4999)));
    assert!(!handover.is_barred(&target(0), at(5000)));
    assert!(handover.is_barred(&target(1), at(3999)));
    assert!(!handover.is_barred(&target(1), at(4000)));
    assert!(!handover.is_barred(&target(2), at(1)));
}

/// Guards against orders that are planned for a barred target.
#[test]
fn plan_leaves_barred_targets() {
    let mut pool = pool();
    pool.models.retain(|name, _| name.as_str() < "m3");
    let targets: &[&[(usize, &[usize])]] = &[&[(0, &[])], &[(1, &[])]];
    let mut ledger = Ledger::default();
    observe(&mut ledger, targets, 1, at(0));
    for (number, models) in targets.iter().enumerate() {
        let report = Report {
            accepted: 0,
            is_busy: false,
            held: held(models),
            born: None,
        };
        ledger.reported(&target(number), BORN, &report);
    }
    let mut handover = Handover::new(TURN);
    handover.note(target(0), at(0));
    handover.note(target(1), at(2500));
    for (now, expected) in [
        (at(2600), vec![]),
        (at(3000), vec![target(0)]),
        (at(5500), vec![target(1)]),
    ] {
        ledger.bar(&handover, now);
        let service = service();
        let demand = Demand::default();
        let situation = Situation::new(&ledger, &service, &pool, &demand, now);
        let steps = situation.steps(5);
        let targets: Vec<_> = steps.into_iter().map(|step| step.target).collect();
        assert_eq!(targets, expected);
    }
}
