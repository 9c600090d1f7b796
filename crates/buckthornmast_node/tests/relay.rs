//! Relays of updates between instances.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use buckthornmast_node::relay::is_relay;
use buckthornmast_types::id;

fn instances(prefix: &str, count: usize) -> Vec<id::Instance> {
    let names = (0..count).map(|number| format!("{prefix}-{number}").parse().unwrap());
    names.collect()
}

fn relays<'a>(members: &'a [id::Instance], receiver: &id::Instance) -> Vec<&'a id::Instance> {
    let relays = members
        .iter()
        .filter(|member| is_relay(member, members, receiver));
    relays.collect()
}

/// Guards against instances without a relay, and against updates that arrive once for each instance of the core.
#[test]
fn is_relay_exactly_one() {
    for count in 1..=9 {
        let members = instances("core", count);
        for receiver in instances("front", 300) {
            assert_eq!(relays(&members, &receiver).len(), 1, "{count} {receiver}");
        }
        for receiver in &members {
            let expected = usize::from(count > 1);
            let relays = relays(&members, receiver);
            assert_eq!(relays.len(), expected, "{count} {receiver}");
            assert!(!relays.contains(&receiver));
        }
    }
}

/// Guards against one instance of the core that relays for most entry instances.
#[test]
fn is_relay_spread() {
    let members = instances("core", 6);
    let receivers = instances("front", 600);
    for member in &members {
        let of_member = receivers
            .iter()
            .filter(|receiver| is_relay(member, &members, receiver));
        let count = of_member.count();
        assert!((50..=150).contains(&count), "{member}: {count} of 600");
    }
}

/// Guards against receivers that change their relay although it is still there.
#[test]
fn is_relay_after_loss() {
    let members = instances("core", 6);
    for receiver in instances("front", 100) {
        let before = relays(&members, &receiver)[0].clone();
        let lost = members.iter().find(|member| **member != before).unwrap();
        let rest: Vec<id::Instance> = members
            .iter()
            .filter(|member| *member != lost)
            .cloned()
            .collect();
        assert_eq!(relays(&rest, &receiver), [&before]);
    }
}
