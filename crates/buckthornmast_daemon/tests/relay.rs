//! Tests of the relay of target reports.

#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

use std::time::Duration;

use buckthornmast_daemon::{
    message::Relayed,
    relay::Outbox,
    targets::{Origin, Targets},
};
use buckthornmast_types::{
    id,
    report::{Copy, Load, Phase, Report},
    size::Bytes,
    time::{Point, System},
};

fn report(sequence: u64, artifact: &str) -> Report {
    Report {
        target: "engine-1".parse().unwrap(),
        domain: "north".parse().unwrap(),
        kind: "engine".parse().unwrap(),
        service: "chat".parse().unwrap(),
        address: ([127, 0, 0, 1], 9).into(),
        incarnation: id::Incarnation(7),
        sequence,
        is_leaving: false,
        accelerators: 1,
        memory: Bytes::gib(80),
        copies: vec![Copy {
            artifact: artifact.parse().unwrap(),
            phase: Phase::Ready,
            bytes: Bytes::gib(8),
        }],
        token: id::Token(3),
        load: Load {
            running: u32::try_from(sequence).unwrap(),
            waiting: 0,
            slots: 8,
        },
    }
}

/// Queues a report as an instance would after receiving it.
fn put(outbox: &mut Outbox, report: Report, due: Point) {
    let targets = Targets::new(System::start());
    let target = report.target.clone();
    targets.accept(report, Duration::ZERO, Origin::Instance);
    outbox.put(targets.get(&target).unwrap(), due);
}

fn kinds(relayed: &[Relayed]) -> Vec<&'static str> {
    let kind = |relayed: &Relayed| match relayed {
        Relayed::Full { .. } => "full",
        Relayed::Brief { .. } => "brief",
    };
    relayed.iter().map(kind).collect()
}

/// Guards against full reports that are sent again although only the load has changed, and against briefs for
/// content that the other instances lack.
#[test]
fn take_full_and_brief() {
    let mut outbox = Outbox::default();
    let steps = [
        ("m@1", "full"),
        ("m@1", "brief"),
        ("m@2", "full"),
        ("m@2", "brief"),
    ];
    for (sequence, (artifact, expected)) in (1..).zip(steps) {
        put(&mut outbox, report(sequence, artifact), Point::ZERO);
        assert_eq!(
            kinds(&outbox.take_due(Point::ZERO)),
            [expected],
            "{sequence}"
        );
        assert!(outbox.take_due(Point::ZERO).is_empty());
    }
    outbox.request_full(["engine-1".parse().unwrap(), "unknown".parse().unwrap()]);
    put(&mut outbox, report(5, "m@2"), Point::ZERO);
    assert_eq!(kinds(&outbox.take_due(Point::ZERO)), ["full"]);
}

/// Guards against a second receiver that relays a report which the first has relayed, and against one that does
/// not relay a report which the first has not.
#[test]
fn take_backup() {
    let mut outbox = Outbox::default();
    let due = Point::from_millis(400);
    put(&mut outbox, report(1, "m@1"), due);
    assert!(outbox.take_due(Point::from_millis(399)).is_empty());
    outbox.remove_relayed(&report(1, "m@1"));
    assert!(
        outbox.take_due(due).is_empty(),
        "the first receiver has relayed it"
    );
    put(&mut outbox, report(3, "m@1"), due);
    outbox.remove_relayed(&report(2, "m@1"));
    assert_eq!(
        kinds(&outbox.take_due(due)),
        ["full"],
        "only an older one was relayed"
    );
}

/// Guards against an instance that applies a brief to different content, or loses `load` or `is_leaving`.
#[test]
fn accept_relayed_brief() {
    let mut outbox = Outbox::default();
    let (sender, receiver) = (Targets::new(System::start()), Targets::new(System::start()));
    let target: id::Target = "engine-1".parse().unwrap();
    let mut pass = |report: Report, receiver: &Targets| {
        sender.accept(report, Duration::ZERO, Origin::Instance);
        outbox.put(sender.get(&target).unwrap(), Point::ZERO);
        receiver.accept_relayed(outbox.take_due(Point::ZERO))
    };
    assert!(pass(report(1, "m@1"), &receiver).is_empty());
    let mut leaving = report(2, "m@1");
    leaving.is_leaving = true;
    assert!(pass(leaving.clone(), &receiver).is_empty());
    assert_eq!(*receiver.get(&target).unwrap().report, leaving);
    let restarted = Targets::new(System::start());
    assert_eq!(
        pass(report(3, "m@1"), &restarted),
        std::slice::from_ref(&target)
    );
    assert!(restarted.get(&target).is_none());
}
