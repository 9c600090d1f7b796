//! Compares many finished claims with a simple model: split blocks, purges, dropped bodies and snapshots.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use buckthornmast_consensus::machine::{LogTime, StateMachine};
use buckthornmast_state::{
    claims::{
        Answer as Claimed, BODY_OVERHEAD_BYTES, Claim, Complete, Id, MAX_BODY_BYTES,
        MAX_TOTAL_BODY_BYTES, RETENTION_MILLIS, Release, Settlement,
    },
    leases::Leases,
    prelude::*,
    settings::WriteHistory,
};
use buckthornmast_types::id;
use serde::Serialize;

/// Log time at which the tests start, in milliseconds since the epoch.
const START_MS: u64 = 1_800_000_000_000;
const ROUNDS: u64 = 60;
const SERVICES: [&str; 2] = ["bestellkern", "plant-ledger"];

/// Finished claim: fingerprint, status, content type, and the body unless it was dropped.
type Done = (u128, u16, String, Option<Vec<u8>>);

/// Finished claims by key and service. Keys are ordered by time, the oldest first.
#[derive(Default)]
struct Model {
    done: BTreeMap<(u128, String), Done>,
}

fn millis_of(key: u128) -> u64 {
    u64::try_from(key >> 80).unwrap()
}

impl Model {
    fn insert(&mut self, id: &Id, done: Done) {
        self.done
            .insert((id.key.0.as_u128(), id.service.to_string()), done);
        let cost = |done: &Done| match &done.3 {
            Some(body) if !body.is_empty() => BODY_OVERHEAD_BYTES + body.len(),
            _ => 0,
        };
        let mut bytes: usize = self.done.values().map(cost).sum();
        for done in self.done.values_mut() {
            if bytes <= MAX_TOTAL_BODY_BYTES {
                break;
            }
            let freed = cost(done);
            if freed > 0 {
                bytes -= freed;
                done.3 = None;
            }
        }
    }

    fn purge(&mut self, at: u64) {
        self.done
            .retain(|(key, _), _| millis_of(*key) + RETENTION_MILLIS >= at);
    }
}

fn key(millis: u64, random: u64) -> id::Key {
    let mut bytes = [0; 10];
    bytes[2..].copy_from_slice(&random.to_be_bytes());
    id::Key(uuid::Builder::from_unix_timestamp_millis(millis, &bytes).into_uuid())
}

fn apply(machine: &mut State, at: u64, command: &Command) -> Answer {
    machine.apply(id::Index(1), LogTime(at), command)
}

fn claim(machine: &mut State, at: u64, id: &Id, fingerprint: u128) -> Claimed {
    let claim = Claim {
        id: id.clone(),
        owner: "i1".parse().unwrap(),
        request: id::Request(uuid::Uuid::from_u128(7)),
        fingerprint: Fingerprint(fingerprint),
    };
    match apply(machine, at, &Command::Claim(claim)) {
        Answer::Claim(answer) => answer,
        other => panic!("{other:?}"),
    }
}

fn answer_of(done: &Done, fingerprint: u128) -> Claimed {
    if done.0 != fingerprint {
        return Claimed::Mismatch;
    }
    Claimed::Done(Outcome {
        status: done.1,
        content_type: done.2.clone(),
        body: done.3.clone(),
    })
}

/// Claims and finishes one key, or checks that it is finished already.
fn step(u: &mut Unstructured<'_>, machine: &mut State, model: &mut Model, at: u64) -> Result<()> {
    // Times that fall into one block, into many, and near the end of the retention.
    let age = match u.int_in_range(0..=3)? {
        0 => 0,
        1 => u.int_in_range(0..=3)?,
        2 => u.int_in_range(0..=400_000)?,
        _ => u.int_in_range(RETENTION_MILLIS - 100_000..=RETENTION_MILLIS)?,
    };
    // The service follows from the random bytes: the bodies of equal keys of two services are dropped in an order
    // that the model doesn't reproduce.
    let random = u64::from(u.arbitrary::<u16>()?);
    let service = SERVICES[usize::from(random % 5 == 0)];
    let id = Id {
        key: key(at - age, random),
        service: service.parse().unwrap(),
    };
    let fingerprint = u128::from(u.ratio(1, 4)?) + 1;
    let known = model
        .done
        .get(&(id.key.0.as_u128(), service.to_owned()))
        .cloned();
    let answer = claim(machine, at, &id, fingerprint);
    if let Some(done) = known {
        assert_eq!(answer, answer_of(&done, fingerprint));
        return Ok(());
    }
    let attempt = id::Attempt(1);
    assert_eq!(answer, Claimed::Granted { attempt });
    let size = *u.choose(&[0, 1, 200, MAX_BODY_BYTES, MAX_BODY_BYTES + 1])?;
    let status = *u.choose(&[200, 201, 500])?;
    let content_type = *u.choose(&["", "text/plain", "application/json"])?;
    let request = id::Request(uuid::Uuid::from_u128(7));
    let complete = Command::Complete(Complete {
        id: id.clone(),
        request,
        outcome: Outcome {
            status,
            content_type: content_type.to_owned(),
            body: Some(vec![1; size]),
        },
    });
    let recorded = Answer::Settled(Settlement::Recorded);
    assert_eq!(apply(machine, at, &complete), recorded);
    let body = (size <= MAX_BODY_BYTES).then(|| vec![1; size]);
    model.insert(&id, (fingerprint, status, content_type.to_owned(), body));
    let finished = Answer::Settled(Settlement::Finished);
    assert_eq!(apply(machine, at, &complete), finished);
    let release = Release { id, request };
    assert_eq!(apply(machine, at, &Command::Release(release)), finished);
    Ok(())
}

fn compare(u: &mut Unstructured<'_>) -> Result<()> {
    let (mut machine, mut model) = (State::default(), Model::default());
    let mut at = START_MS;
    while !u.is_empty() {
        at += *u.choose(&[0, 0, 0, 1, 700, 50_000])?;
        model.purge(at);
        step(u, &mut machine, &mut model, at)?;
        assert_eq!(machine.claims().len(), model.done.len());
        if u.ratio(1, 100)? {
            let mut restored = State::default();
            restored.restore(&machine.snapshot()).unwrap();
            assert!(restored == machine);
            machine = restored;
        }
    }
    for ((key, service), done) in &model.done {
        let id = Id {
            key: id::Key(uuid::Uuid::from_u128(*key)),
            service: service.parse().unwrap(),
        };
        assert_eq!(
            claim(&mut machine, at, &id, done.0),
            answer_of(done, done.0)
        );
        assert_eq!(claim(&mut machine, at, &id, 9), Claimed::Mismatch);
    }
    // Every key is purged at its own millisecond, not before and not after.
    let mut times: Vec<u64> = model.done.keys().map(|(key, _)| millis_of(*key)).collect();
    times.dedup();
    for millis in times.iter().step_by(50) {
        for at in [millis + RETENTION_MILLIS, millis + RETENTION_MILLIS + 1] {
            model.purge(at);
            machine.apply(id::Index(1), LogTime(at), &Command::Grant(grant()));
            assert_eq!(machine.claims().len(), model.done.len());
        }
    }
    Ok(())
}

fn grant() -> leases::Grant {
    leases::Grant {
        domain: "perry".parse().unwrap(),
        holder: "i1".parse().unwrap(),
        previous: None,
    }
}

/// Guards against a claim that is lost, confused with another or kept too long in the compact form. Its request would
/// be run twice or answered with the outcome of another.
#[test]
fn finished_like_model() {
    for round in 1..=ROUNDS {
        // The low 32 bits of an arbtest seed are the number of random bytes.
        arbtest::arbtest(compare).seed(round << 32 | 16_384);
    }
}

/// Claim of a snapshot of version 1.
#[derive(Serialize)]
struct OldClaim {
    fingerprint: Option<Fingerprint>,
    owner: Option<id::Instance>,
    request: id::Request,
    attempt: id::Attempt,
    phase: OldPhase,
    released: Vec<id::Request>,
}

#[derive(Serialize)]
enum OldPhase {
    Claimed,
    Done(Outcome),
    Released,
}

#[derive(Serialize)]
struct OldClaims {
    #[serde(rename = "held")]
    claims: BTreeMap<Id, OldClaim>,
    bytes: usize,
}

/// Guards against an upgrade that loses claims, and against a snapshot of unknown layout that is accepted.
#[test]
fn restore_version_1() {
    let outcome = Outcome {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: Some(b"cut".to_vec()),
    };
    let request = id::Request(uuid::Uuid::from_u128(7));
    let phases = [
        OldPhase::Claimed,
        OldPhase::Done(outcome.clone()),
        OldPhase::Released,
    ];
    let ids: Vec<Id> = (0..3)
        .map(|number| Id {
            key: key(START_MS, number),
            service: "plant-ledger".parse().unwrap(),
        })
        .collect();
    let old_claims = ids.iter().zip(phases).map(|(id, phase)| {
        let released = match phase {
            OldPhase::Released => vec![request],
            OldPhase::Claimed | OldPhase::Done(_) => Vec::new(),
        };
        let old_claim = OldClaim {
            fingerprint: Some(Fingerprint(5)),
            owner: Some("i2".parse().unwrap()),
            request,
            attempt: id::Attempt(2),
            phase,
            released,
        };
        (id.clone(), old_claim)
    });
    let claims = OldClaims {
        claims: old_claims.collect(),
        bytes: 9,
    };
    let (tree, history, leases) = (Tree::default(), WriteHistory::default(), Leases::default());
    let old = (1_u8, LogTime(START_MS), tree, history, claims, leases);
    let mut snapshot = postcard::to_stdvec(&old).unwrap();
    let mut machine = State::default();
    machine.restore(&snapshot).unwrap();
    let claimed = Claimed::Claimed {
        owner: "i2".parse().unwrap(),
        attempt: id::Attempt(2),
    };
    assert_eq!(claim(&mut machine, START_MS, &ids[0], 5), claimed);
    assert_eq!(
        claim(&mut machine, START_MS, &ids[1], 5),
        Claimed::Done(outcome)
    );
    assert_eq!(claim(&mut machine, START_MS, &ids[2], 5), Claimed::Released);
    snapshot[0] = 3;
    let error = machine.restore(&snapshot).unwrap_err();
    assert!(error.to_string().contains("unknown version"));
    assert_eq!(machine.claims().len(), 3);
}
