//! Exclusion between the orders of successive leaders.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

#[path = "support/pool.rs"]
mod pool;

use std::time::Duration;

use buckthornmast_supply::{
    demand::Demand, handover::Handover, ledger::Ledger, order::Report, plan::Planner,
};

use crate::pool::{INCARNATION, at, observe, pool, resident_models, service, target};

const EXCLUSION: Duration = Duration::from_secs(3);

/// Guards against two leaders that order the same target within the exclusion period.
#[test]
fn handover_blocks_targets() {
    let mut handover = Handover::new(EXCLUSION);
    assert!(!handover.is_blocked(&target(0), at(0)));
    handover.record(target(0), at(0));
    handover.record(target(1), at(1000));
    handover.record(target(0), at(2000));
    assert!(handover.is_blocked(&target(0), at(4999)));
    assert!(!handover.is_blocked(&target(0), at(5000)));
    assert!(handover.is_blocked(&target(1), at(3999)));
    assert!(!handover.is_blocked(&target(1), at(4000)));
    assert!(!handover.is_blocked(&target(2), at(1)));
}

/// Guards against orders that are planned for a target that another leader has ordered recently.
#[test]
fn plan_skips_blocked_targets() {
    let mut pool = pool();
    pool.models.retain(|name, _| name.as_str() < "m3");
    let targets: &[&[(usize, &[usize])]] = &[&[(0, &[])], &[(1, &[])]];
    let mut ledger = Ledger::default();
    observe(&mut ledger, targets, 1, at(0));
    for (number, models) in targets.iter().enumerate() {
        let report = Report {
            accepted: 0,
            is_busy: false,
            resident: resident_models(models),
            arriving: Vec::new(),
            incarnation: None,
            is_leaving: false,
        };
        ledger.apply_report(&target(number), INCARNATION, &report);
    }
    let mut handover = Handover::new(EXCLUSION);
    handover.record(target(0), at(0));
    handover.record(target(1), at(2500));
    for (now, expected) in [
        (at(2600), vec![]),
        (at(3000), vec![target(0)]),
        (at(5500), vec![target(1)]),
    ] {
        ledger.block_ordered(&handover, now);
        let service = service();
        let demand = Demand::default();
        let planner = Planner::new(&ledger, &service, &pool, &demand, now);
        let steps = planner.steps(5);
        let targets: Vec<_> = steps.into_iter().map(|step| step.target).collect();
        assert_eq!(targets, expected);
    }
}
