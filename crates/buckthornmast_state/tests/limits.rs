//! Limits, retention and fencing at their boundaries.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use arbtest::arbitrary::Unstructured;
use buckthornmast_consensus::{
    machine::{LogTime, StateMachine},
    snapshot::MAX_SNAPSHOT_BYTES,
};
use buckthornmast_state::{
    claims::{
        self, Answer as Claimed, BODY_OVERHEAD_BYTES, Claim, Complete, Id, MAX_BODY_BYTES,
        MAX_CLAIMS, MAX_KEY_AHEAD_MILLIS, MAX_OPEN_CLAIM_BYTES, MAX_TOTAL_BODY_BYTES,
        MAX_TOTAL_BYTES, OPEN_CLAIM_BYTES, RECORD_BYTES, RETENTION_MILLIS, Settlement,
    },
    leases::{Grant, GrantAnswer, Handover, Intend, MAX_INTENTS, MAX_ORDERS, RecordAnswer},
    prelude::*,
    settings::{
        ID_RETENTION_MILLIS, MAX_RECENT_WRITES, MAX_SCOPE_WRITE_IDS, MAX_TREE_BYTES,
        MIN_SCOPE_WRITE_IDS, Refusal,
    },
};
use buckthornmast_types::{
    id,
    order::{Action, Order},
};

/// Log time at which the tests start, in milliseconds since the epoch.
const START_MS: u64 = 1_800_000_000_000;

fn uuid(number: usize) -> uuid::Uuid {
    uuid::Uuid::from_u128(number as u128 + 1)
}

fn write(number: usize, base: u64, value: &str) -> Write {
    Write {
        scope: Scope::Team("peach".parse().unwrap()),
        id: id::Write(uuid(number)),
        base: id::Revision(base),
        changes: vec![Change {
            path: format!("p{number}"),
            value: Some(value.to_owned()),
        }],
    }
}

fn apply_write(machine: &mut State, at: u64, write: Write) -> settings::Answer {
    match machine.apply(id::Index(1), LogTime(at), &Command::Write(write)) {
        Answer::Write(answer) => answer,
        other => panic!("{other:?}"),
    }
}

fn claim_at(machine: &mut State, at: u64, millis: u64, number: usize) -> Claimed {
    let mut random = [0; 10];
    random[2..].copy_from_slice(&(number as u64).to_be_bytes());
    let key = uuid::Builder::from_unix_timestamp_millis(millis, &random).into_uuid();
    let claim = Claim {
        id: Id {
            key: id::Key(key),
            service: "plant-ledger".parse().unwrap(),
        },
        owner: "i1".parse().unwrap(),
        request: id::Request(uuid(number)),
        fingerprint: Fingerprint(1),
    };
    match machine.apply(id::Index(1), LogTime(at), &Command::Claim(claim)) {
        Answer::Claim(answer) => answer,
        other => panic!("{other:?}"),
    }
}

/// Guards against a late resend that reverts a setting, before and after its id is dropped.
#[test]
fn write_resent_late() {
    let mut machine = State::default();
    let first = apply_write(&mut machine, START_MS, write(0, 0, "old"));
    for number in 1..=MIN_SCOPE_WRITE_IDS {
        apply_write(&mut machine, START_MS + 1, write(number, 0, "conflicts"));
    }
    let late = START_MS + ID_RETENTION_MILLIS;
    assert_eq!(apply_write(&mut machine, late, write(0, 0, "old")), first);
    let later = late + 2;
    apply_write(
        &mut machine,
        later,
        write(MIN_SCOPE_WRITE_IDS + 1, 1, "new"),
    );
    assert_eq!(
        machine
            .write_history()
            .answer(&write(0, 0, "").scope, id::Write(uuid(0))),
        None
    );
    let answer = apply_write(&mut machine, later, write(0, 0, "old"));
    assert!(matches!(answer, settings::Answer::Conflict { .. }));
    assert!(machine.write_history().write_id_count() >= MIN_SCOPE_WRITE_IDS);
}

/// Guards against write ids that one team accumulates without limit.
#[test]
fn write_too_many() {
    let mut machine = State::default();
    for number in 0..MAX_SCOPE_WRITE_IDS {
        apply_write(&mut machine, START_MS, write(number, 9, "conflicts"));
    }
    let answer = apply_write(
        &mut machine,
        START_MS,
        write(MAX_SCOPE_WRITE_IDS, 0, "more"),
    );
    assert_eq!(answer, settings::Answer::Refused(Refusal::TooMany));
    let answer = apply_write(
        &mut machine,
        START_MS + ID_RETENTION_MILLIS + 1,
        write(MAX_SCOPE_WRITE_IDS, 0, "more"),
    );
    assert!(matches!(answer, settings::Answer::Accepted { .. }));
}

/// Guards against a tree that outgrows a snapshot, and against malformed writes.
#[test]
fn write_out_of_bounds() {
    let mut machine = State::default();
    let value = "v".repeat(settings::MAX_VALUE_BYTES);
    let mut revision = 0;
    while let settings::Answer::Accepted { .. } = {
        let number = usize::try_from(revision).unwrap();
        apply_write(&mut machine, START_MS, write(number, revision, &value))
    } {
        revision += 1;
        assert!(revision as usize * value.len() <= MAX_TREE_BYTES);
    }
    let refuse = |change: &mut dyn FnMut(&mut Write)| {
        let mut bad = write(0, 0, "x");
        change(&mut bad);
        settings::check(&bad.changes).unwrap_err()
    };
    assert_eq!(refuse(&mut |w| w.changes.clear()), Refusal::Count);
    assert_eq!(refuse(&mut |w| w.changes[0].path.clear()), Refusal::Path);
    assert_eq!(refuse(&mut |w| w.changes[0].path.push('\n')), Refusal::Path);
    assert_eq!(
        refuse(&mut |w| w.changes[0].value = Some(value.clone() + "v")),
        Refusal::Value
    );
}

/// Guards against a copy that is sent a delta with a gap, or the whole tree when a delta is enough.
#[test]
fn update_copy_across_recent_writes() {
    let mut machine = State::default();
    let mut copy = Tree::default();
    for revision in 0..MAX_RECENT_WRITES + 10 {
        apply_write(
            &mut machine,
            START_MS,
            write(revision, revision as u64, "v"),
        );
    }
    let update = machine.tree().changes_since(copy.revision()).unwrap();
    assert!(matches!(update, Update::Full { .. }));
    assert!(copy.apply_update(update));
    assert_eq!(copy.scopes(), machine.tree().scopes());
    apply_write(
        &mut machine,
        START_MS,
        write(0, copy.revision().0, "id is known"),
    );
    assert_eq!(machine.tree().changes_since(copy.revision()), None);
    let next = machine.tree().revision();
    apply_write(&mut machine, START_MS, write(9999, next.0, "v"));
    let update = machine.tree().changes_since(next).unwrap();
    assert!(matches!(&update, Update::Delta(writes) if writes.len() == 1));
    assert!(copy.apply_update(update.clone()));
    assert!(
        !copy.apply_update(update),
        "an old update was applied again"
    );
}

/// Guards against a key that is purged and then granted again.
#[test]
fn claim_at_retention() {
    let mut machine = State::default();
    let old = START_MS - RETENTION_MILLIS;
    assert_eq!(
        claim_at(&mut machine, START_MS, old - 1, 0),
        Claimed::BadKey
    );
    assert!(matches!(
        claim_at(&mut machine, START_MS, old, 0),
        Claimed::Granted { .. }
    ));
    assert!(matches!(
        claim_at(&mut machine, START_MS, old, 0),
        Claimed::Claimed { .. }
    ));
    assert_eq!(
        claim_at(&mut machine, START_MS + 1, old, 0),
        Claimed::BadKey
    );
    assert!(machine.claims().is_empty() && machine.claims().bytes() == 0);
    // Log time doesn't decrease, even if the time of an entry does.
    assert_eq!(claim_at(&mut machine, START_MS, old, 0), Claimed::BadKey);
    let ahead = START_MS + 1 + MAX_KEY_AHEAD_MILLIS;
    assert!(matches!(
        claim_at(&mut machine, START_MS, ahead, 0),
        Claimed::Granted { .. }
    ));
    assert_eq!(
        claim_at(&mut machine, START_MS, ahead + 1, 0),
        Claimed::BadKey
    );
}

fn complete(machine: &mut State, number: usize, body: Vec<u8>) -> Settlement {
    let (id, request) = claim_id_and_request(number).unwrap();
    let outcome = Outcome {
        status: 201,
        content_type: "application/json".to_owned(),
        body: Some(body),
    };
    let command = Command::Complete(Complete {
        id,
        request,
        outcome,
    });
    match machine.apply(id::Index(1), LogTime(START_MS), &command) {
        Answer::Settled(answer) => answer,
        other => panic!("{other:?}"),
    }
}

fn recorded_answer(machine: &mut State, number: usize) -> (u16, Option<Vec<u8>>) {
    match claim_at(machine, START_MS, START_MS, number) {
        Claimed::Done(outcome) => (outcome.status, outcome.body),
        other => panic!("{other:?}"),
    }
}

/// Guards against bodies without a limit, newer bodies dropped before older ones, and a status dropped with its body.
#[test]
fn complete_bodies_over_budget() {
    let mut machine = State::default();
    let bytes_per_body = MAX_BODY_BYTES + BODY_OVERHEAD_BYTES;
    let max_bodies = MAX_TOTAL_BODY_BYTES / bytes_per_body;
    let count = max_bodies + 100;
    for number in 0..count {
        let granted = claim_at(&mut machine, START_MS, START_MS, number);
        assert!(matches!(granted, Claimed::Granted { .. }));
        // The last body is too large to be kept at all.
        let body = vec![7; MAX_BODY_BYTES + usize::from(number == count - 1)];
        assert_eq!(complete(&mut machine, number, body), Settlement::Recorded);
        assert!(machine.claims().usage().body_bytes <= MAX_TOTAL_BODY_BYTES);
    }
    assert_eq!(
        machine.claims().usage().body_bytes,
        max_bodies * bytes_per_body
    );
    let oldest_kept = count - 1 - max_bodies;
    for number in 0..count {
        let is_kept = (oldest_kept..count - 1).contains(&number);
        let body = is_kept.then(|| vec![7; MAX_BODY_BYTES]);
        assert_eq!(
            recorded_answer(&mut machine, number),
            (201, body),
            "{number}"
        );
    }
}

/// Guards against an empty body that is mistaken for a dropped one.
#[test]
fn complete_empty_body() {
    let mut machine = State::default();
    claim_at(&mut machine, START_MS, START_MS, 0);
    assert_eq!(complete(&mut machine, 0, Vec::new()), Settlement::Recorded);
    assert_eq!(recorded_answer(&mut machine, 0), (201, Some(Vec::new())));
    assert_eq!(machine.claims().usage().body_bytes, 0);
}

/// Guards against open claims without a limit, and against a full machine that loses outcomes.
#[test]
fn claim_open_out_of_bounds() {
    let mut machine = State::default();
    let count = MAX_OPEN_CLAIM_BYTES / OPEN_CLAIM_BYTES;
    for number in 0..count {
        let granted = claim_at(&mut machine, START_MS, START_MS, number);
        assert!(matches!(granted, Claimed::Granted { .. }));
    }
    assert_eq!(
        claim_at(&mut machine, START_MS, START_MS, count),
        Claimed::Full
    );
    assert_eq!(machine.claims().usage().percent, 99);
    assert_eq!(complete(&mut machine, 0, vec![1]), Settlement::Recorded);
    assert_eq!(recorded_answer(&mut machine, 0), (201, Some(vec![1])));
    let granted = claim_at(&mut machine, START_MS, START_MS, count);
    assert!(matches!(granted, Claimed::Granted { .. }));
    let later = START_MS + RETENTION_MILLIS + 1;
    assert!(matches!(
        claim_at(&mut machine, later, later, 0),
        Claimed::Granted { .. }
    ));
    assert_eq!(machine.claims().len(), 1);
}

/// Guards against finished claims without a limit, a snapshot of a full machine that exceeds the limit of the log, and
/// claims that are still refused after the purge.
#[test]
fn claim_finished_out_of_bounds() {
    let mut machine = State::default();
    let mut number = 0;
    while let Claimed::Granted { .. } = claim_at(&mut machine, START_MS, START_MS, number) {
        assert_eq!(
            complete(&mut machine, number, vec![1]),
            Settlement::Recorded
        );
        number += 1;
    }
    // A claim is open before it is finished, so the last one needs the bytes of an open claim.
    assert_eq!(number, MAX_CLAIMS - OPEN_CLAIM_BYTES / RECORD_BYTES);
    assert_eq!(
        claim_at(&mut machine, START_MS, START_MS, number),
        Claimed::Full
    );
    assert_eq!(machine.claims().usage().percent, 99);
    assert!(machine.claims().bytes() <= MAX_TOTAL_BYTES);
    let snapshot = machine.snapshot();
    // 14 MiB remain for the rest of the state.
    assert!((snapshot.len() as u64) < MAX_SNAPSHOT_BYTES - (14 << 20));
    let mut restored = State::default();
    restored.restore(&snapshot).unwrap();
    assert!(restored == machine);
    assert_eq!(recorded_answer(&mut restored, 0), (201, None));
    assert_eq!(
        recorded_answer(&mut restored, number - 1),
        (201, Some(vec![1]))
    );
    let later = START_MS + RETENTION_MILLIS + 1;
    assert!(matches!(
        claim_at(&mut machine, later, later, 0),
        Claimed::Granted { .. }
    ));
    // The only claim left is open, which counts 160 bytes.
    assert_eq!((machine.claims().len(), machine.claims().bytes()), (1, 160));
}

/// Guards against labels of services and content types without a limit, and against services that are confused with
/// each other.
#[test]
fn claim_many_services() {
    let mut machine = State::default();
    let claim = |machine: &mut State, number: usize| {
        let (mut id, request) = claim_id_and_request(0).unwrap();
        id.service = format!("service-{number}").parse().unwrap();
        let owner = "i1".parse().unwrap();
        let claim = Claim {
            id: id.clone(),
            owner,
            request,
            fingerprint: Fingerprint(number as u128),
        };
        let answer = machine.apply(id::Index(1), LogTime(START_MS), &Command::Claim(claim));
        let outcome = Outcome {
            status: 200,
            content_type: format!("text/{number}"),
            body: Some(vec![1; number % 3]),
        };
        let complete = Complete {
            id,
            request,
            outcome,
        };
        machine.apply(
            id::Index(1),
            LogTime(START_MS),
            &Command::Complete(complete),
        );
        answer
    };
    let granted = Answer::Claim(Claimed::Granted {
        attempt: id::Attempt(1),
    });
    // 1,024 labels are the limit, and each service needs one.
    for number in 0..1024 {
        assert_eq!(claim(&mut machine, number), granted, "{number}");
    }
    assert_eq!(claim(&mut machine, 1024), Answer::Claim(Claimed::Full));
    for number in 0..1024 {
        let Answer::Claim(Claimed::Done(outcome)) = claim(&mut machine, number) else {
            panic!("{number} is not done")
        };
        // A content type needs a label in addition to the plain one of its service, and gets it only while fewer than
        // 512 are in use.
        let is_labelled = number < 511;
        let content_type = if is_labelled {
            format!("text/{number}")
        } else {
            String::new()
        };
        let body = vec![1; number % 3];
        assert_eq!(outcome.content_type, content_type);
        assert_eq!(
            outcome.body,
            (is_labelled || !body.is_empty()).then_some(body)
        );
    }
    let mut restored = State::default();
    restored.restore(&machine.snapshot()).unwrap();
    assert!(restored == machine);
}

fn claim_id_and_request(number: usize) -> Option<(claims::Id, id::Request)> {
    let mut random = [0; 10];
    random[2..].copy_from_slice(&(number as u64).to_be_bytes());
    let key = uuid::Builder::from_unix_timestamp_millis(START_MS, &random).into_uuid();
    let service = "plant-ledger".parse().ok()?;
    Some((
        Id {
            key: id::Key(key),
            service,
        },
        id::Request(uuid(number)),
    ))
}

/// Guards against orders of a controller that was replaced, and against intents without a limit.
#[test]
fn intend_fenced_and_full() {
    let mut machine = State::default();
    let domain: id::Domain = "perry".parse().unwrap();
    let grant = Grant {
        domain: domain.clone(),
        holder: "i1".parse().unwrap(),
        previous: None,
    };
    machine.apply(id::Index(7), LogTime(0), &Command::Grant(grant));
    let intend = |machine: &mut State, token: u64, start: usize, count: usize| {
        let token = id::Token(token);
        let order = |number| Order {
            id: id::Order(uuid(number)),
            target: "engine".parse().unwrap(),
            incarnation: id::Incarnation(1),
            token,
            action: Action::Fence,
        };
        let orders = (start..start + count).map(order).collect();
        let command = Command::Intend(Intend {
            domain: "perry".parse().unwrap(),
            token,
            orders,
        });
        machine.apply(id::Index(8), LogTime(0), &command)
    };
    let full = Answer::Recorded(RecordAnswer::Full);
    assert_eq!(intend(&mut machine, 7, 0, MAX_ORDERS + 1), full);
    for start in (0..MAX_INTENTS).step_by(MAX_ORDERS) {
        assert_eq!(
            intend(&mut machine, 7, start, MAX_ORDERS),
            Answer::Recorded(RecordAnswer::Recorded)
        );
    }
    assert_eq!(intend(&mut machine, 7, MAX_INTENTS, 1), full);
    let handover = Handover {
        domain,
        token: id::Token(7),
        to: Some("i2".parse().unwrap()),
    };
    let answer = machine.apply(id::Index(9), LogTime(0), &Command::Handover(handover));
    let Answer::Granted(GrantAnswer::Granted { token, intents, .. }) = answer else {
        panic!("{answer:?}")
    };
    assert_eq!((token, intents.len()), (id::Token(9), MAX_INTENTS));
    let fenced = RecordAnswer::Fenced {
        token: Some(id::Token(9)),
    };
    assert_eq!(intend(&mut machine, 7, 0, 1), Answer::Recorded(fenced));
}

fn restore_bytes(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let version = u.int_in_range(1..=2)?;
    let mut snapshot: Vec<u8> = u.arbitrary()?;
    snapshot.insert(0, version);
    let mut machine = State::default();
    if machine.restore(&snapshot).is_ok() {
        claim_at(&mut machine, START_MS, START_MS, 0);
    }
    Ok(())
}

/// Guards against panics and large allocations on arbitrary snapshots.
#[test]
fn restore_arbitrary_bytes() {
    for round in 1..=200 {
        arbtest::arbtest(restore_bytes).seed(round << 32 | 256);
    }
    assert!(State::default().restore(&[]).is_err());
}
