//! Choice of ways, and the order in which they are tried.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::collections::BTreeMap;

use buckthornmast_types::{id, time::Point};
use buckthornmast_way::{
    choice::{FAR_WAYS, NEAR_WAYS, ways_of},
    way::{Key, Way},
    ways::{Fault, Ways},
    wire::{self, Hello, Wish},
};

fn at(millis: u64) -> Point {
    Point::from_millis(1_000_000 + millis)
}

fn domain(number: usize) -> id::Domain {
    format!("d{number}").parse().unwrap()
}

fn way(number: usize, domains: usize) -> Way {
    Way {
        instance: format!("entry-{number}").parse().unwrap(),
        domain: domain(number % domains),
        address: format!("10.0.{}.{}:7394", number / 250, number % 250)
            .parse()
            .unwrap(),
        key: Key([number as u64, 1]),
    }
}

fn fleet(instances: usize, domains: usize) -> Vec<Way> {
    (0..instances).map(|number| way(number, domains)).collect()
}

/// Guards against an instance that is its own way, or has only ways that are cut off with its domain.
#[test]
fn ways_of_small_and_large() {
    for (instances, domains) in [(1, 1), (2, 2), (6, 4), (294, 6)] {
        let all = fleet(instances, domains);
        for own in &all {
            let chosen = ways_of(&own.instance, &own.domain, &all);
            let near = all.iter().filter(|way| way.domain == own.domain).count() - 1;
            let far = all.iter().filter(|way| way.domain != own.domain).count();
            assert!(chosen.iter().all(|way| way.instance != own.instance));
            assert_eq!(chosen.len(), near.min(NEAR_WAYS) + far.min(FAR_WAYS));
            let of_others = chosen.iter().filter(|way| way.domain != own.domain);
            assert_eq!(of_others.count(), far.min(FAR_WAYS));
        }
    }
}

/// Guards against instances that carry for many more others than the rest.
#[test]
fn ways_of_spreads() {
    let all = fleet(294, 6);
    let mut counts: BTreeMap<&id::Instance, usize> = BTreeMap::new();
    for own in &all {
        for way in ways_of(&own.instance, &own.domain, &all) {
            *counts.entry(&way.instance).or_default() += 1;
        }
    }
    let most = counts.values().max().copied().unwrap_or_default();
    assert!(most <= 3 * (NEAR_WAYS + FAR_WAYS), "{most}");
}

/// Guards against a choice that depends on the instance of the core that makes it.
#[test]
fn ways_of_any_order() {
    let all = fleet(40, 3);
    let reversed: Vec<Way> = all.iter().rev().cloned().collect();
    for own in &all {
        let one = ways_of(&own.instance, &own.domain, &all);
        assert_eq!(one, ways_of(&own.instance, &own.domain, &reversed));
    }
}

/// Guards against ways of other domains before those of the own one, and against load on one way only.
#[test]
fn next_near_first() {
    let mut ways = Ways::default();
    ways.set(fleet(6, 2));
    let mut firsts: Vec<String> = Vec::new();
    for _ in 0..6 {
        let next = ways.next(&domain(0), at(0));
        firsts.push(next[0].instance.to_string());
    }
    assert_eq!(firsts[..3], ["entry-0", "entry-2", "entry-4"]);
    assert_eq!(firsts[..3], firsts[3..]);
}

/// Guards against ways that are cut off themselves and are tried before those that reach targets, and against ways that are
/// gone and tried by each request.
#[test]
fn next_after_faults() {
    let mut ways = Ways::default();
    let all = fleet(3, 1);
    ways.set(all.clone());
    ways.record_fault(&all[0], Fault::Unreached, at(0));
    ways.record_fault(&all[1], Fault::Lost, at(0));
    let names = |ways: &mut Ways, now| -> Vec<String> {
        let next = ways.next(&domain(0), now);
        next.iter().map(|way| way.instance.to_string()).collect()
    };
    assert_eq!(names(&mut ways, at(10)), ["entry-2", "entry-0"]);
    assert_eq!(
        names(&mut ways, at(1010)),
        ["entry-1", "entry-2", "entry-0"]
    );
    ways.record_success(&all[0]);
    ways.record_fault(&all[2], Fault::Full, at(1010));
    assert_eq!(names(&mut ways, at(1020)), ["entry-0", "entry-1"]);
    // A way that stays keeps what is known of it; one that starts again doesn't.
    ways.record_fault(&all[1], Fault::Lost, at(1020));
    let restarted = Way {
        key: Key([1, 2]),
        ..all[1].clone()
    };
    ways.set(vec![all[2].clone(), restarted]);
    assert_eq!(names(&mut ways, at(1030)), ["entry-1"]);
}

/// Guards against messages that another build can't read, and bytes that aren't a message.
#[test]
fn encode_and_decode() {
    let hello = Hello {
        key: Key([1, u64::MAX]),
        from: "entry-1".parse().unwrap(),
        wish: Wish::Open {
            target: "t1".parse().unwrap(),
            incarnation: id::Incarnation(5),
        },
    };
    let bytes = wire::encode(&hello).unwrap();
    let (length, body) = bytes.split_at(2);
    assert_eq!(
        usize::from(u16::from_be_bytes([length[0], length[1]])),
        body.len()
    );
    assert_eq!(wire::decode::<Hello>(body), Some(hello));
    arbtest::arbtest(|random| {
        let bytes: Vec<u8> = random.arbitrary()?;
        // Whatever it is, it doesn't panic.
        let _ = wire::decode::<Hello>(&bytes);
        Ok(())
    });
}
