//! Compares the state machine with a simple reference model under random commands on a few objects.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::collections::{BTreeMap, HashMap};

use arbtest::arbitrary::{Result, Unstructured};
use buckthornmast_consensus::machine::{LogTime, StateMachine};
use buckthornmast_state::{
    claims::{Answer as Claimed, Claim, Complete, Id, Release, Settlement},
    leases::{Grant, GrantAnswer, Handover, Intend, Lease, RecordAnswer, Resolve},
    prelude::*,
};
use buckthornmast_types::{
    id,
    order::{Action, Order},
    report::Position,
};

const DAY_MS: u64 = 24 * 60 * 60 * 1000;
const ROUNDS: u64 = 200;
/// Log time at which the tests start, in milliseconds since the epoch.
const START_MS: u64 = 1_800_000_000_000;

/// Claim in the model: its holder, and all claim requests that were released.
#[derive(Default)]
struct ModelClaim {
    fingerprint: Option<Fingerprint>,
    attempts: u64,
    holder: Option<(id::Request, id::Instance)>,
    outcome: Option<Outcome>,
    released: Vec<id::Request>,
}

struct ModelLease {
    token: id::Token,
    holder: Option<id::Instance>,
    intents: HashMap<id::Order, Order>,
    positions: BTreeMap<id::Target, Position>,
}

#[derive(Default)]
struct Model {
    /// Highest log time so far.
    at: u64,
    /// Number of accepted writes of all scopes.
    all: u64,
    scopes: HashMap<Scope, (u64, HashMap<String, String>)>,
    answers: HashMap<(Scope, id::Write), settings::Answer>,
    claims: HashMap<Id, ModelClaim>,
    leases: HashMap<id::Domain, ModelLease>,
}

impl Model {
    fn apply(&mut self, index: id::Index, at: LogTime, command: &Command) -> Answer {
        self.at = self.at.max(at.0);
        match command {
            Command::Write(write) => {
                let key = (write.scope.clone(), write.id);
                let answer = match self.answers.get(&key) {
                    Some(first) => *first,
                    None => self.write(write),
                };
                self.answers.insert(key, answer);
                Answer::Write(answer)
            }
            Command::Claim(claim) => Answer::Claim(self.claim(claim)),
            Command::Complete(complete) => Answer::Settled(self.complete(complete)),
            Command::Release(release) => Answer::Settled(self.release(release)),
            Command::Grant(grant) => {
                let holder = Some(grant.holder.clone());
                Answer::Granted(self.grant(index, &grant.domain, grant.previous, holder))
            }
            Command::Handover(handover) => {
                let (previous, to) = (Some(handover.token), handover.to.clone());
                Answer::Granted(self.grant(index, &handover.domain, previous, to))
            }
            Command::Intend(Intend {
                domain,
                token,
                orders,
            }) => {
                Answer::Recorded(self.change(domain, *token, |ModelLease { intents, .. }| {
                    intents.extend(orders.iter().map(|order| (order.id, order.clone())));
                }))
            }
            Command::Resolve(Resolve {
                domain,
                token,
                orders,
                positions,
            }) => Answer::Recorded(self.change(domain, *token, |lease| {
                lease.intents.retain(|id, _| !orders.contains(id));
                for (target, position) in positions {
                    let newest = lease.positions.get(target).copied().unwrap_or_default();
                    lease
                        .positions
                        .insert(target.clone(), newest.max(*position));
                }
            })),
        }
    }

    fn write(&mut self, write: &Write) -> settings::Answer {
        let (revision, values) = self.scopes.entry(write.scope.clone()).or_default();
        if *revision != write.base.0 {
            let revision = id::Revision(*revision);
            return settings::Answer::Conflict { revision };
        }
        *revision += 1;
        self.all += 1;
        for Change { path, value } in &write.changes {
            values.remove(path);
            values.extend(value.clone().map(|value| (path.clone(), value)));
        }
        settings::Answer::Accepted {
            revision: id::Revision(*revision),
            all: id::Revision(self.all),
        }
    }

    // A key expires after a day, and may be ahead of log time by 5 minutes.
    fn is_claimable(&self, key: id::Key) -> bool {
        let millis = key.unix_millis();
        millis.is_some_and(|millis| millis + DAY_MS >= self.at && millis <= self.at + DAY_MS / 288)
    }

    fn claim(&mut self, claim: &Claim) -> Claimed {
        if !self.is_claimable(claim.id.key) {
            return Claimed::BadKey;
        }
        let entry = self.claims.entry(claim.id.clone()).or_default();
        if entry
            .fingerprint
            .is_some_and(|first| first != claim.fingerprint)
        {
            return Claimed::Mismatch;
        }
        if let Some(outcome) = &entry.outcome {
            return Claimed::Done(outcome.clone());
        }
        if let Some((_, owner)) = &entry.holder {
            let attempt = id::Attempt(entry.attempts);
            return Claimed::Claimed {
                owner: owner.clone(),
                attempt,
            };
        }
        if entry.released.contains(&claim.request) {
            return Claimed::Released;
        }
        if entry.attempts >= claims::MAX_ATTEMPTS {
            return Claimed::Full;
        }
        entry.fingerprint = Some(claim.fingerprint);
        entry.attempts += 1;
        entry.holder = Some((claim.request, claim.owner.clone()));
        Claimed::Granted {
            attempt: id::Attempt(entry.attempts),
        }
    }

    fn complete(&mut self, complete: &Complete) -> Settlement {
        if !self.is_claimable(complete.id.key) {
            return Settlement::Superseded;
        }
        let entry = self.claims.entry(complete.id.clone()).or_default();
        if entry.outcome.is_some() {
            return Settlement::Finished;
        }
        if entry
            .holder
            .as_ref()
            .is_none_or(|(holder, _)| *holder != complete.request)
        {
            return Settlement::Superseded;
        }
        entry.outcome = Some(complete.outcome.clone());
        Settlement::Recorded
    }

    fn release(&mut self, release: &Release) -> Settlement {
        if !self.is_claimable(release.id.key) {
            return Settlement::Superseded;
        }
        let entry = self.claims.entry(release.id.clone()).or_default();
        if entry.outcome.is_some() {
            return Settlement::Finished;
        }
        if entry.released.contains(&release.request) {
            return Settlement::Recorded;
        }
        let is_untouched = entry.attempts == 0 && entry.released.is_empty();
        let is_holder = entry
            .holder
            .as_ref()
            .is_some_and(|(holder, _)| *holder == release.request);
        entry.released.push(release.request);
        if is_holder {
            entry.holder = None;
        }
        if is_holder || is_untouched {
            Settlement::Recorded
        } else {
            Settlement::Superseded
        }
    }

    fn grant(
        &mut self,
        index: id::Index,
        domain: &id::Domain,
        previous: Option<id::Token>,
        holder: Option<id::Instance>,
    ) -> GrantAnswer {
        let current = self.leases.get(domain);
        if current.map(|lease| lease.token) != previous {
            let lease = current.map(|lease| Lease {
                holder: lease.holder.clone(),
                token: lease.token,
            });
            return GrantAnswer::Conflict { lease };
        }
        let token = id::Token(index.0);
        let old = self.leases.remove(domain);
        let is_first = old.is_none();
        let (intents, positions) = old
            .map(|lease| (lease.intents, lease.positions))
            .unwrap_or_default();
        let mut open: Vec<_> = intents.values().cloned().collect();
        open.sort_by_key(|order| order.id);
        let known = positions.clone().into_iter().collect();
        self.leases.insert(
            domain.clone(),
            ModelLease {
                token,
                holder,
                intents,
                positions,
            },
        );
        GrantAnswer::Granted {
            token,
            is_first,
            intents: open,
            positions: known,
        }
    }

    /// Changes a lease if the token is its current one and it has a holder.
    fn change(
        &mut self,
        domain: &id::Domain,
        token: id::Token,
        change: impl FnOnce(&mut ModelLease),
    ) -> RecordAnswer {
        match self.leases.get_mut(domain) {
            Some(lease) if lease.token == token && lease.holder.is_some() => {
                change(lease);
                RecordAnswer::Recorded
            }
            lease => RecordAnswer::Fenced {
                token: lease.map(|lease| lease.token),
            },
        }
    }
}

fn uuid(number: u8) -> uuid::Uuid {
    uuid::Uuid::from_u128(u128::from(number) + 1)
}

fn key(millis: u64, number: u8) -> id::Key {
    let mut random = [0; 10];
    random[9] = number;
    id::Key(uuid::Builder::from_unix_timestamp_millis(millis, &random).into_uuid())
}

fn pick<'a, T>(u: &mut Unstructured<'_>, items: &'a [T]) -> Result<&'a T> {
    u.choose(items)
}

fn position(u: &mut Unstructured<'_>) -> Result<(id::Target, Position)> {
    let target = pick(u, &["engine-1", "engine-2"])?.parse().unwrap();
    let incarnation = id::Incarnation(u.int_in_range(1..=2)?);
    let sequence = u.int_in_range(1..=3)?;
    Ok((
        target,
        Position {
            incarnation,
            sequence,
        },
    ))
}

/// Returns a claim whose key lies in the past, present or future of the generated log times.
fn claim_id(u: &mut Unstructured<'_>) -> Result<Id> {
    let hours = *pick(u, &[0, 0, 0, 12, 30])?;
    let key = key(START_MS + hours * 60 * 60 * 1000, u.int_in_range(0..=1)?);
    let service = pick(u, &["bestellkern", "plant-ledger"])?.parse().unwrap();
    Ok(Id { key, service })
}

fn write(u: &mut Unstructured<'_>, machine: &State) -> Result<Write> {
    let scope: Scope = pick(u, &["platform", "team/peach"])?.parse().unwrap();
    let path = pick(u, &["a/b", "a/c", "d"])?;
    let value = u.arbitrary::<Option<u8>>()?.map(|value| value.to_string());
    let change = Change {
        path: (*path).to_owned(),
        value,
    };
    let current = machine.tree().scope_revision(&scope).0;
    let base = id::Revision(current.saturating_sub(u.int_in_range(0..=1)?));
    let id = id::Write(uuid(u.arbitrary()?));
    Ok(Write {
        scope,
        id,
        base,
        changes: vec![change],
    })
}

fn order(u: &mut Unstructured<'_>, token: id::Token) -> Result<Order> {
    Ok(Order {
        id: id::Order(uuid(u.int_in_range(0..=5)?)),
        target: "engine-1".parse().unwrap(),
        incarnation: id::Incarnation(1),
        token,
        action: Action::Fence,
    })
}

fn command(u: &mut Unstructured<'_>, machine: &State) -> Result<Command> {
    let domain: id::Domain = pick(u, &["perry", "macon-a"])?.parse().unwrap();
    let instance: id::Instance = pick(u, &["i1", "i2"])?.parse().unwrap();
    // Few claim requests, so that they recur; sometimes many, so that the attempts run out.
    let last_request = if u.ratio(1, 4)? { 40 } else { 3 };
    let request = id::Request(uuid(u.int_in_range(0..=last_request)?));
    // Mostly the current token, so that commands are not fenced.
    let current = machine.leases().lease(&domain).map(|lease| lease.token);
    let token = if u.ratio(4, 5)? {
        current
    } else {
        Some(id::Token(1))
    };
    let command_token = token.unwrap_or_default();
    Ok(match u.int_in_range(0..=7)? {
        0 => Command::Write(write(u, machine)?),
        1 => Command::Claim(Claim {
            id: claim_id(u)?,
            owner: instance,
            request,
            fingerprint: Fingerprint(u128::from(u.ratio(1, 10)?)),
        }),
        2 => Command::Complete(Complete {
            id: claim_id(u)?,
            request,
            outcome: Outcome {
                status: 200,
                content_type: "text/plain".to_owned(),
                body: Some(vec![u.arbitrary()?]),
            },
        }),
        3 => Command::Release(Release {
            id: claim_id(u)?,
            request,
        }),
        4 => Command::Grant(Grant {
            domain,
            holder: instance,
            previous: token,
        }),
        5 => Command::Handover(Handover {
            domain,
            token: command_token,
            to: u.arbitrary::<bool>()?.then_some(instance),
        }),
        6 => Command::Intend(Intend {
            domain,
            token: command_token,
            orders: vec![order(u, command_token)?],
        }),
        _ => Command::Resolve(Resolve {
            domain,
            token: command_token,
            orders: vec![id::Order(uuid(u.int_in_range(0..=5)?))],
            positions: vec![position(u)?],
        }),
    })
}

fn compare(u: &mut Unstructured<'_>) -> Result<()> {
    let (mut machine, mut model) = (State::default(), Model::default());
    let mut copy = Tree::default();
    let (mut at, mut index) = (START_MS, 0);
    while !u.is_empty() {
        index += u.int_in_range(1..=2)?;
        at += *pick(u, &[0, 0, 1000, DAY_MS / 24, DAY_MS / 2])?;
        let command = command(u, &machine)?;
        let (index, at) = (id::Index(index), LogTime(at));
        let answer = machine.apply(index, at, &command);
        assert_eq!(answer, model.apply(index, at, &command), "{command:?}");
        if u.ratio(1, 8)? {
            let mut restored = State::default();
            restored.restore(&machine.snapshot()).unwrap();
            assert_eq!(restored, machine);
            machine = restored;
        }
        if u.ratio(1, 8)? {
            let update = machine.tree().changes_since(copy.revision());
            assert!(update.is_none_or(|update| copy.apply_update(update)));
            assert_eq!(copy.scopes(), machine.tree().scopes());
        }
    }
    for (scope, (revision, values)) in &model.scopes {
        assert_eq!(machine.tree().scope_revision(scope).0, *revision);
        let subtree = machine.tree().scopes().get(scope);
        let len = subtree.map_or(0, |subtree| subtree.values.len());
        assert_eq!(len, values.len());
        for (path, value) in values {
            assert_eq!(machine.tree().get(scope, path), Some(value.as_str()));
        }
    }
    Ok(())
}

/// Guards against any answer, value or copy that differs from that of the reference model.
#[test]
fn apply_like_reference() {
    for round in 1..=ROUNDS {
        // The low 32 bits of an arbtest seed are the number of random bytes.
        arbtest::arbtest(compare).seed(round << 32 | 4096);
    }
}
