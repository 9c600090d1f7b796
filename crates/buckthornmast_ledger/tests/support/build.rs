//! Builders shared by the tests of the ledger.

// Each test file uses some of the builders; they only parse constants.
#![allow(dead_code, unreachable_pub, clippy::unwrap_used)]

use buckthornmast_ledger::prelude::*;
use buckthornmast_types::{
    order::Action,
    prelude::*,
    report::{Copy, Load, Phase},
};

pub fn artifact(text: &str) -> Artifact {
    text.parse().unwrap()
}

pub fn target(text: &str) -> id::Target {
    text.parse().unwrap()
}

/// Returns a report of a target with 10 bytes of memory. `position` is its incarnation and sequence, and a copy is
/// given by its artifact, phase and bytes.
pub fn report(
    name: &str,
    position: (u64, u64),
    token: u64,
    copies: &[(&str, Phase, u64)],
) -> Report {
    let copies = copies.iter().map(|(text, phase, bytes)| Copy {
        artifact: artifact(text),
        phase: *phase,
        bytes: Bytes(*bytes),
    });
    Report {
        target: target(name),
        domain: "macon-a".parse().unwrap(),
        kind: "engine".parse().unwrap(),
        service: "draft-desk".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: id::Incarnation(position.0),
        sequence: position.1,
        is_leaving: false,
        accelerators: 1,
        memory: Bytes(10),
        copies: copies.collect(),
        token: id::Token(token),
        load: Load::default(),
    }
}

pub fn order(number: u128, name: &str, incarnation: u64, token: u64, action: Action) -> Order {
    Order {
        id: id::Order(uuid::Uuid::from_u128(number)),
        target: target(name),
        incarnation: id::Incarnation(incarnation),
        token: id::Token(token),
        action,
    }
}

pub fn load(text: &str, bytes: u64) -> Action {
    Action::Load {
        artifact: artifact(text),
        bytes: Bytes(bytes),
    }
}

pub fn unload(text: &str) -> Action {
    Action::Unload {
        artifact: artifact(text),
    }
}

/// Returns the ledger of a lease holder that has read all journals.
pub fn ledger(token: u64) -> Ledger {
    let mut ledger = Ledger::new(id::Token(token));
    ledger.set_journals_read();
    ledger
}
