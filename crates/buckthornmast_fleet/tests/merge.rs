//! Merge of announcements in any order.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use arbtest::{
    arbitrary::{self, Unstructured},
    arbtest,
};
use buckthornmast_fleet::prelude::*;
use buckthornmast_types::{id, time::Point};

const NOW: Point = Point::from_millis(60_000);

fn announcement(target: &str, incarnation: u64, sequence: u64, state: State) -> Announcement {
    Announcement {
        target: target.parse().unwrap(),
        incarnation: id::Incarnation(incarnation),
        sequence,
        service: "plain".parse().unwrap(),
        address: "127.0.0.1:80".parse().unwrap(),
        domain: "d1".parse().unwrap(),
        slots: 4,
        state,
        cold: Duration::ZERO,
        resident: Vec::new(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        version: "v1".parse().ok(),
    }
}

fn update(incarnation: u64, sequence: u64, state: State, withdrawn: bool) -> Update {
    Update {
        announcement: announcement("t1", incarnation, sequence, state),
        withdrawn,
    }
}

const LEAVING: State = State::Leaving { within: None };

fn merge(registry: &mut Registry, update: &Update) -> Merge {
    registry.merge(update.clone(), Duration::ZERO, NOW)
}

fn target() -> id::Target {
    "t1".parse().unwrap()
}

/// Number of cases of each randomized test.
const CASES: u64 = 2000;

/// Runs a property on many cases. The low 32 bits of a seed are the number of random bytes of the case.
fn for_each_case(mut property: impl FnMut(&mut Unstructured<'_>) -> arbitrary::Result<()>) {
    for number in 1..=CASES {
        arbtest(&mut property).seed(number << 32 | 1024).run();
    }
}

/// Guards against instances that disagree about a target because they received its updates in different orders.
#[test]
fn merge_any_order() {
    for_each_case(|u| {
        let mut updates = Vec::new();
        for _ in 0..u.int_in_range(1..=6)? {
            let state = if u.arbitrary()? {
                LEAVING
            } else {
                State::Ready
            };
            // A withdrawal ends an incarnation, so it carries the highest sequence number.
            let withdrawn: bool = u.ratio(1, 4)?;
            let sequence = if withdrawn { 9 } else { u.int_in_range(1..=4)? };
            let incarnation = u.int_in_range(1..=3)?;
            // Announcements with the same sequence number of one incarnation have the same content.
            let state = if sequence % 2 == 0 { LEAVING } else { state };
            updates.push(update(
                incarnation,
                sequence,
                if withdrawn { LEAVING } else { state },
                withdrawn,
            ));
        }
        updates.dedup_by_key(|update| {
            (
                update.announcement.incarnation,
                update.announcement.sequence,
            )
        });
        let mut seen = std::collections::BTreeSet::new();
        updates.retain(|update| {
            seen.insert((
                update.announcement.incarnation,
                update.announcement.sequence,
            ))
        });
        let (mut one, mut other) = (Registry::default(), Registry::default());
        for update in &updates {
            merge(&mut one, update);
        }
        for update in updates.iter().rev() {
            merge(&mut other, update);
        }
        let (one, other) = (one.updates(), other.updates());
        assert_eq!(
            one[0].announcement.incarnation,
            other[0].announcement.incarnation
        );
        assert_eq!(one[0].withdrawn, other[0].withdrawn);
        assert_eq!(one[0].announcement.state, other[0].announcement.state);
        Ok(())
    });
}

/// Guards against a late announcement that restores a withdrawn target, and against a restarted target that stays
/// withdrawn.
#[test]
fn merge_after_withdrawal() {
    let mut registry = Registry::default();
    merge(&mut registry, &update(5, 1, State::Ready, false));
    registry.withdraw(&target(), NOW);
    merge(&mut registry, &update(5, 8, State::Ready, false));
    assert!(!registry.get(&target()).unwrap().is_ready());
    merge(&mut registry, &update(6, 1, State::Ready, false));
    assert!(registry.get(&target()).unwrap().is_ready());
    assert_eq!(
        merge(&mut registry, &update(5, 9, State::Ready, false)),
        Merge::Stale
    );
}

/// Guards against an update from another source that moves a target or removes its incarnation.
#[test]
fn merge_foreign() {
    let mut registry = Registry::default();
    merge(&mut registry, &update(5, 1, State::Ready, false));
    let mut foreign = update(5, 2, State::Ready, false);
    foreign.announcement.service = "other".parse().unwrap();
    assert_eq!(merge(&mut registry, &foreign), Merge::Stale);
    assert_eq!(
        merge(&mut registry, &update(0, 9, LEAVING, false)),
        Merge::Stale
    );
    assert!(registry.get(&target()).unwrap().is_ready());
}

/// Guards against requests to a target whose address another target owns now.
#[test]
fn address_used_again() {
    let mut registry = Registry::default();
    merge(&mut registry, &update(5, 1, State::Ready, false));
    let newer = Update {
        announcement: announcement("t2", 7, 1, State::Ready),
        withdrawn: false,
    };
    merge(&mut registry, &newer);
    // A delayed announcement from before the address was reused.
    merge(&mut registry, &update(5, 3, State::Ready, false));
    assert!(registry.is_replaced(registry.get(&target()).unwrap()));
    assert!(!registry.is_replaced(registry.get(&"t2".parse().unwrap()).unwrap()));
}

/// Guards against restored targets that are withdrawn although another instance hears of them, and against targets that
/// are gone but not withdrawn.
#[test]
fn restored_until_heard() {
    let mut registry = Registry::default();
    registry.restore(update(5, 40, State::Ready, false), NOW);
    let mut unheard = update(5, 40, State::Ready, false);
    unheard.announcement.target = "t2".parse().unwrap();
    registry.restore(unheard, NOW);
    registry.record_alive(&target(), id::Incarnation(5), NOW);
    let withdrawn = registry.withdraw_unheard();
    assert_eq!(withdrawn.len(), 1);
    assert_eq!(withdrawn[0].announcement.target.as_str(), "t2");
    assert!(registry.get(&target()).unwrap().is_ready());
    // Sequence numbers continue from the target's announcements, not from the restored state.
    assert_eq!(
        merge(&mut registry, &update(5, 2, LEAVING, false)),
        Merge::Changed
    );
}

/// Guards against a live target that is withdrawn for good by an instance that restored it and was cut off since.
#[test]
fn presumed_withdrawal_is_not_final() {
    let mut cut_off = Registry::default();
    cut_off.restore(update(5, 40, State::Ready, false), NOW);
    let presumed = cut_off.withdraw_unheard();
    let mut live = Registry::default();
    merge(&mut live, &update(5, 40, State::Ready, false));
    assert_eq!(merge(&mut live, &presumed[0]), Merge::Stale);
    assert!(live.get(&target()).unwrap().is_ready());
    // The same update counts where the target has been silent.
    let later = NOW + Duration::from_secs(20);
    let merged = live.merge(presumed[0].clone(), Duration::ZERO, later);
    assert_eq!(merged, Merge::Changed);
    assert!(!live.get(&target()).unwrap().is_ready());
    // A copy from before is no sign of life, an announcement is one.
    let copy = update(5, 40, State::Ready, false);
    assert_eq!(live.merge(copy, Duration::ZERO, later), Merge::Stale);
    for registry in [&mut live, &mut cut_off] {
        let next = update(5, 41, State::Ready, false);
        assert_eq!(registry.merge(next, Duration::ZERO, later), Merge::Changed);
        assert!(registry.get(&target()).unwrap().is_ready());
    }
}

/// Guards against a live target that another instance has heard of, and that stays withdrawn here.
#[test]
fn presumed_withdrawal_ends_with_liveness() {
    let mut registry = Registry::default();
    registry.restore(update(5, 40, State::Ready, false), NOW);
    registry.withdraw_unheard();
    assert!(!registry.record_alive(&target(), id::Incarnation(5), NOW));
    let later = NOW + Duration::from_secs(1);
    assert!(registry.record_alive(&target(), id::Incarnation(5), later));
    assert!(registry.get(&target()).unwrap().is_ready());
    // The target's own withdrawal is final, also before its first announcement to this instance.
    registry.withdraw(&target(), later).unwrap();
    let latest = later + Duration::from_secs(1);
    assert!(!registry.record_alive(&target(), id::Incarnation(5), latest));
    let late = update(5, 41, State::Ready, false);
    registry.merge(late, Duration::ZERO, latest);
    assert!(!registry.get(&target()).unwrap().is_ready());
}

/// Guards against a target that has ended and is kept for long, because two instances have restored it and take each other's
/// copy for a sign of life.
#[test]
fn restored_at_two_instances() {
    let (mut one, mut other) = (Registry::default(), Registry::default());
    for registry in [&mut one, &mut other] {
        registry.restore(update(5, 40, State::Ready, false), NOW);
    }
    for update in other.updates() {
        assert_eq!(merge(&mut one, &update), Merge::Stale);
    }
    assert_eq!(one.withdraw_unheard().len(), 1);
}

/// Guards against an entry instance that believes no instance of the core that a target is gone, because it has just connected
/// to one of them again and got its copy once more.
#[test]
fn restored_copy_again() {
    let copy = update(5, 0, State::Ready, false);
    let mut registry = Registry::default();
    merge(&mut registry, &copy);
    let again = NOW + Duration::from_secs(9);
    registry.merge(copy.clone(), Duration::ZERO, again);
    let presumed = Update {
        withdrawn: true,
        ..copy
    };
    let later = NOW + Duration::from_secs(12);
    let merged = registry.merge(presumed, Duration::ZERO, later);
    assert_eq!(merged, Merge::Changed);
    assert!(!registry.get(&target()).unwrap().is_ready());
}

/// Guards against entry instances that get each change of adapters, and against changes of the route that they miss.
#[test]
fn merge_tells_inventory_from_route() {
    let resident = |adapters: &[&str]| {
        vec![Resident {
            model: "m1".parse().unwrap(),
            adapters: adapters.iter().map(|name| name.parse().unwrap()).collect(),
        }]
    };
    let mut registry = Registry::default();
    let mut next = update(5, 1, State::Ready, false);
    assert_eq!(merge(&mut registry, &next), Merge::Changed);
    next.announcement.sequence = 2;
    assert_eq!(merge(&mut registry, &next), Merge::Alive);
    next.announcement.sequence = 3;
    next.announcement.resident = resident(&["a1"]);
    assert_eq!(merge(&mut registry, &next), Merge::Inventory);
    next.announcement.sequence = 4;
    next.announcement.on_disk = vec!["m1".parse().unwrap()];
    assert_eq!(merge(&mut registry, &next), Merge::Inventory);
    next.announcement.sequence = 5;
    next.announcement.resident = resident(&["a1", "a2"]);
    next.announcement.state = LEAVING;
    assert_eq!(merge(&mut registry, &next), Merge::Changed);
    next.announcement.sequence = 6;
    next.announcement.slots += 1;
    assert_eq!(merge(&mut registry, &next), Merge::Changed);
}

/// Compares the owners of addresses with the definition, which looks at each pair of targets.
#[test]
fn owners_match_replaced() {
    for_each_case(|u| {
        let mut registry = Registry::default();
        for number in 0..u.int_in_range(0..=12)? {
            let address: u8 = u.int_in_range(1..=4)?;
            let mut next = Update {
                announcement: announcement(
                    &format!("t{number}"),
                    u.int_in_range(0..=2)?,
                    1,
                    State::Ready,
                ),
                withdrawn: u.arbitrary()?,
            };
            next.announcement.address = format!("127.0.0.{address}:80").parse().unwrap();
            let age = Duration::from_millis(u.int_in_range(0..=2)?);
            registry.merge(next, age, NOW);
        }
        let names = |entries: Vec<&Entry>| -> Vec<id::Target> {
            let targets = entries.iter().map(|entry| &entry.announcement.target);
            targets.cloned().collect()
        };
        let expected = registry
            .entries()
            .filter(|entry| !registry.is_replaced(entry))
            .collect();
        assert_eq!(names(registry.owners()), names(expected));
        Ok(())
    });
}
