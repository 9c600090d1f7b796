//! Copies of attestations, and the grants that they rest on.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use buckthornmast_origin::{
    lease::{COPY_LIFE, GRANT_LIFE},
    prelude::*,
};
use buckthornmast_types::{id, time::Point};

const START: Point = Point::from_millis(1000);

fn instance(name: &str) -> id::Instance {
    name.parse().unwrap()
}

fn service() -> Service {
    Service::new(&"s".parse().unwrap())
}

fn sole(version: &str) -> Sole {
    Sole {
        mark: Mark::new(version),
        age: Duration::from_secs(60),
    }
}

fn variant(version: &str) -> Variant {
    Variant {
        service: service(),
        mark: Some(Mark::new(version)),
    }
}

fn content(routes: u64, version: &str) -> Content {
    Content {
        routes: Edition(routes),
        attested: BTreeMap::from([(service(), sole(version))]),
    }
}

/// Returns a grantor that has granted a copy to `a`.
fn granted() -> Grantor {
    let mut grantor = Grantor::new(Some(BTreeSet::new()), START);
    grantor.offer([service()], START);
    grantor.record_stored();
    let granted = grantor.grant(&instance("a"), [(service(), sole("v1"))], START);
    assert_eq!(granted.unwrap().len(), 1);
    grantor
}

fn is_released(grantor: &Grantor, withdrawn: &[&str], now: Point) -> bool {
    let others = [instance("a"), instance("b")];
    let withdrawn = withdrawn.iter().map(|name| instance(name)).collect();
    grantor.is_released(service(), others.iter(), &withdrawn, now)
}

/// Guards against a copy that outlives its grant, whenever its keeper asks or hears.
#[test]
fn grant_outlives_copy() {
    const { assert!(GRANT_LIFE.as_millis() > COPY_LIFE.as_millis()) };
    let grantor = granted();
    let mut keeper = Keeper::default();
    let grantor_name = instance("g");
    // The question was asked before the grant, and its answer arrives long after.
    let asked_at = START - Duration::from_millis(100);
    let late = START + Duration::from_secs(60);
    keeper.renew(&grantor_name, asked_at, content(1, "v1"), late);
    let mut now = START;
    while now < START + GRANT_LIFE * 2 {
        let is_kept = !keeper.found(&grantor_name, now).attested.is_empty();
        assert!(!is_kept || !is_released(&grantor, &[], now), "{now}");
        now = now + Duration::from_millis(50);
    }
    assert!(is_released(&grantor, &[], now));
}

/// Guards against a wait for an instance that keeps no copy, or has withdrawn it.
#[test]
fn is_released_withdrawn() {
    let mut grantor = granted();
    assert!(!is_released(&grantor, &["b"], START));
    assert!(is_released(&grantor, &["a"], START));
    grantor.release(service(), &instance("a"));
    assert!(is_released(&grantor, &[], START));
}

/// Guards against a start that forgets which copies were granted, and against one that waits without need.
#[test]
fn is_released_after_start() {
    let offered = BTreeSet::from([service()]);
    for inherited in [None, Some(offered)] {
        let grantor = Grantor::new(inherited, START);
        assert!(!is_released(&grantor, &["a"], START));
        assert!(is_released(&grantor, &["a", "b"], START));
        assert!(is_released(&grantor, &[], START + GRANT_LIFE));
    }
    let grantor = Grantor::new(Some(BTreeSet::new()), START);
    assert!(is_released(&grantor, &[], START));
}

/// Guards against a grant that a restart forgets, because the disk didn't show it.
#[test]
fn grant_stored_only() {
    let mut grantor = Grantor::new(Some(BTreeSet::new()), START);
    grantor.offer([service()], START);
    let attested = [(service(), sole("v1"))];
    let granted = grantor.grant(&instance("a"), attested, START);
    assert!(granted.unwrap().is_empty());
    grantor.record_stored();
    let granted = grantor.grant(&instance("a"), attested, START);
    assert_eq!(granted.unwrap().len(), 1);
    assert_eq!(
        grantor.offered(START),
        Some(&BTreeSet::from([service()])),
        "on the disk"
    );
    // It stays there while a copy counts.
    grantor.offer([], START + COPY_LIFE);
    assert!(!grantor.offered(START).unwrap().is_empty());
    grantor.offer([], START + GRANT_LIFE);
    assert!(grantor.offered(START).unwrap().is_empty());
}

/// Guards against a grant that replaces the copy which an instance with an empty disk still needs.
#[test]
fn grant_before_recovery() {
    let mut grantor = Grantor::new(None, START);
    let others = [instance("a"), instance("b")];
    assert!(grantor.grant(&others[0], [], START).is_none());
    let found = grantor.recover(others[0].clone(), content(1, "v1"), others.iter());
    assert_eq!(found, None);
    assert!(grantor.grant(&others[0], [], START).is_some());
    assert!(grantor.awaits(&others[1]));
    let found = grantor.recover(others[1].clone(), content(1, "v1"), others.iter());
    assert_eq!(found, Some(content(1, "v1")));
}

/// Guards against a copy that is believed though another instance keeps something else, or nothing.
#[test]
fn recover_disagreement() {
    let others = [instance("a"), instance("b")];
    for other in [content(1, "v2"), content(2, "v1"), Content::default()] {
        let mut grantor = Grantor::new(None, START);
        grantor.recover(others[0].clone(), content(1, "v1"), others.iter());
        let found = grantor.recover(others[1].clone(), other, others.iter());
        assert!(found.unwrap().attested.is_empty());
    }
}

/// Guards against a copy that comes back with an answer that was on its way as it was withdrawn.
#[test]
fn renew_after_withdrawal() {
    let (grantor, mut keeper) = (instance("g"), Keeper::default());
    let later = |millis| START + Duration::from_millis(millis);
    keeper.renew(&grantor, START, content(1, "v1"), later(1));
    assert!(!keeper.withdraw(&grantor, variant("v1"), later(2)));
    assert!(keeper.withdraw(&grantor, variant("v2"), later(3)));
    keeper.renew(&grantor, later(2), content(1, "v1"), later(4));
    assert!(keeper.found(&grantor, START).attested.is_empty());
    keeper.renew(&grantor, later(5), content(1, "v2"), later(6));
    assert!(!keeper.found(&grantor, START).attested.is_empty());
}

/// Guards against copies whose time comes from another clock, and against memory without bound.
#[test]
fn restore_bounded() {
    let mut keeper = Keeper::default();
    let far = START + COPY_LIFE + Duration::from_millis(1);
    let copies = [("a", far), ("b", START + COPY_LIFE)];
    let copies = copies.map(|(name, until)| (instance(name), until, content(1, "v1")));
    keeper.restore(copies, START);
    assert!(keeper.found(&instance("a"), START).attested.is_empty());
    assert!(!keeper.found(&instance("b"), START).attested.is_empty());
    for number in 0..100 {
        let name = instance(&format!("i{number}"));
        keeper.renew(&name, START, content(1, "v1"), START);
        keeper.withdraw(&name, variant("v2"), START);
    }
    assert!(keeper.copies().count() <= 8);
    keeper.prune(Duration::from_secs(60), far + Duration::from_secs(60));
    assert_eq!(keeper.copies().count(), 0);
}
