//! Faults of the lease, one at a time.
//!
//! Times are milliseconds. A lease lasts 2 s at the grantor, and 1.8 s at its holder, since clocks may differ in rate
//! by 10 %. A candidate neither requests the lease nor promises anything in the 2 s after its start.

// Helpers parse constants.
#![allow(clippy::unwrap_used)]

use std::{collections::VecDeque, time::Duration};

use buckthornmast_lease::prelude::*;
use buckthornmast_types::prelude::*;

const TOKEN: id::Token = id::Token(7);

fn at(millis: u64) -> Point {
    Point::from_millis(millis)
}

fn name(text: &str) -> id::Instance {
    text.parse().unwrap()
}

fn domain() -> id::Domain {
    "perry".parse().unwrap()
}

fn candidate(me: &str, others: &[&str], now: u64) -> Holder {
    let others = others.iter().map(|other| name(other));
    Holder::new(Config::new(name(me), others), at(now))
}

/// Returns a holder that was granted the token for a request sent at the given time.
fn holder(me: &str, others: &[&str], sent: u64) -> Holder {
    let mut holder = candidate(me, others, 0);
    let effects = holder.tick(at(sent));
    let [Effect::RequestLease { number }] = effects[..] else {
        panic!("no request: {effects:?}");
    };
    assert_eq!(
        holder.granted(at(sent), number, TOKEN),
        Acquisition::Acquired
    );
    holder
}

fn grantor(now: u64) -> Grantor {
    let mut grantor = Grantor::new(DURATION);
    grantor.lead(at(now), [(domain(), name("a"), TOKEN)]);
    grantor
}

fn is_proposed(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Propose { .. })
}

/// Guards against a lease whose duration is counted from the arrival of the answer.
#[test]
fn granted_counts_from_send() {
    let holder = holder("a", &["b"], 2_000);
    assert_eq!(holder.valid_lease(at(3_799)).map(|v| v.token), Some(TOKEN));
    assert_eq!(holder.valid_lease(at(3_800)), None);
}

/// Guards against a new leader that grants while the old leader's renewal still counts.
#[test]
fn lead_counts_leases_as_fresh() {
    let mut grantor = grantor(10_000);
    let verdict = grantor.request(at(11_999), &domain(), &name("b"));
    let retry_after = Duration::from_millis(1);
    assert_eq!(verdict, Verdict::Held { retry_after });
    assert!(is_proposed(&grantor.request(
        at(12_000),
        &domain(),
        &name("b")
    )));
}

/// Guards against two grants that are proposed at the same time.
#[test]
fn request_while_pending() {
    let mut grantor = grantor(0);
    assert!(is_proposed(&grantor.request(
        at(2_000),
        &domain(),
        &name("b")
    )));
    assert!(!is_proposed(&grantor.request(
        at(9_000),
        &domain(),
        &name("c")
    )));
    let refused = grantor.renew(at(2_001), Some(at(9_000)), &domain(), &name("a"), TOKEN);
    assert_eq!(refused, Renewal::Refused);
    grantor.withdrawn(&domain());
    assert!(is_proposed(&grantor.request(
        at(9_000),
        &domain(),
        &name("c")
    )));
}

/// Guards against renewals by a leader that has been replaced without knowing it.
#[test]
fn renew_outside_leader_lease() {
    let mut grantor = grantor(0);
    let mut renew =
        |now, lease: Option<Point>| grantor.renew(at(now), lease, &domain(), &name("a"), TOKEN);
    assert_eq!(renew(100, None), Renewal::Unable);
    assert_eq!(renew(100, Some(at(100))), Renewal::Unable);
    assert_eq!(renew(100, Some(at(101))), Renewal::Renewed);
    grantor.follow();
    let answer = grantor.renew(at(102), Some(at(200)), &domain(), &name("a"), TOKEN);
    assert_eq!(answer, Renewal::Unable);
}

/// Guards against a failover that takes 3 s or more, and against one that comes too early.
#[test]
fn failover_after_holder_dies() {
    let mut grantor = grantor(0);
    let mut successor = candidate("b", &["a"], 0);
    let died = 5_000;
    grantor.renew(at(died), Some(at(9_000)), &domain(), &name("a"), TOKEN);
    let mut granted = None;
    for now in (0..9_000).step_by(50) {
        for effect in successor.tick(at(now)) {
            if let Effect::RequestLease { number } = effect {
                if is_proposed(&grantor.request(at(now), &domain(), &name("b"))) && now > died {
                    granted.get_or_insert(now - died);
                }
                successor.not_granted(number);
            }
        }
        if now < died {
            grantor.renew(at(now), Some(at(9_000)), &domain(), &name("a"), TOKEN);
        }
    }
    let granted = granted.expect("never granted");
    assert!(
        (2_000..3_000).contains(&granted),
        "granted after {granted} ms"
    );
}

/// Guards against a domain that loses its controller while the quorum is unreachable.
#[test]
fn promises_keep_the_lease() {
    let mut a = holder("a", &["b", "c"], 2_000);
    let mut b = candidate("b", &["a", "c"], 0);
    let mut c = candidate("c", &["a", "b"], 0);
    for now in (2_000..20_000).step_by(100) {
        for effect in a.tick(at(now)) {
            if let Effect::RequestPromise { to, token, number } = effect {
                let other = if to == name("b") { &mut b } else { &mut c };
                assert!(other.promise(at(now), token));
                a.promised(at(now), &to, number);
            }
        }
        let requests = [b.tick(at(now)), c.tick(at(now))].concat();
        assert!(
            requests.is_empty() || now < 2_800,
            "a promise was broken at {now}"
        );
        assert!(
            a.valid_lease(at(now)).is_some(),
            "the lease expired at {now}"
        );
    }
}

/// Guards against a lease that continues although one candidate is unresponsive and may hold another one.
#[test]
fn promises_one_unresponsive() {
    let mut a = holder("a", &["b", "c"], 2_000);
    let mut b = candidate("b", &["a", "c"], 0);
    for now in (2_000..4_000).step_by(100) {
        for effect in a.tick(at(now)) {
            if let Effect::RequestPromise { to, token, number } = effect
                && to == name("b")
            {
                b.promise(at(now), token);
                a.promised(at(now), &to, number);
            }
        }
    }
    assert_eq!(a.valid_lease(at(3_800)), None);
}

/// Guards against a promise that completes after a gap in which another candidate may have acted.
#[test]
fn promised_after_expiry() {
    let mut a = holder("a", &["b"], 2_000);
    let requests: VecDeque<Effect> = a.tick(at(3_700)).into();
    let Some(Effect::RequestPromise { number, .. }) = requests.back() else {
        panic!("no request: {requests:?}");
    };
    a.promised(at(3_800), &name("b"), *number);
    assert_eq!(a.valid_lease(at(3_800)), None);
    let frozen = a.tick(at(8_000));
    assert!(
        matches!(frozen[..], [Effect::Renew { .. }]),
        "only the leader may renew an expired lease"
    );
}

/// Guards against a holder that treats its lease as valid after the process was frozen, and against one that
/// never recovers.
#[test]
fn freeze_and_thaw() {
    let mut a = holder("a", &["b"], 2_000);
    assert_eq!(a.valid_lease(at(60_000)), None);
    let [Effect::Renew { token, number }] = a.tick(at(60_000))[..] else {
        panic!("no renewal");
    };
    let mut same = a.clone();
    same.renewed(number);
    assert!(same.valid_lease(at(60_001)).is_some());
    a.refused(token);
    assert!(matches!(
        a.tick(at(60_001))[..],
        [Effect::RequestLease { .. }]
    ));
}

/// Guards against a restarted candidate that breaks a promise which it lost by the restart.
#[test]
fn restart_waits() {
    let mut b = candidate("b", &["a"], 5_000);
    assert!(b.tick(at(6_999)).is_empty());
    assert!(!b.promise(at(6_999), TOKEN));
    assert!(b.clone().promise(at(7_000), TOKEN));
    assert!(matches!(
        b.tick(at(7_000))[..],
        [Effect::RequestLease { .. }]
    ));
}

/// Guards against a grant that arrives after the candidate promised another one.
#[test]
fn granted_after_promise() {
    let mut b = candidate("b", &["a"], 0);
    let [Effect::RequestLease { number }] = b.tick(at(2_000))[..] else {
        panic!("no request");
    };
    assert!(b.promise(at(2_100), TOKEN));
    let late = b.granted(at(2_200), number, id::Token(8));
    assert_eq!(late, Acquisition::Ignored);
    assert_eq!(b.valid_lease(at(2_200)), None);
    assert!(b.tick(at(4_099)).is_empty());
    assert!(!b.promise(at(4_099), id::Token(6)), "an older token");
}

/// Guards against a planned stop that costs a full lease duration.
#[test]
fn handover_is_immediate() {
    let mut a = holder("a", &["b"], 2_000);
    let mut grantor = grantor(2_000);
    assert_eq!(a.stop(), Some(Effect::Handover { token: TOKEN }));
    assert_eq!(a.valid_lease(at(2_001)), None);
    grantor.released(&domain(), TOKEN);
    let verdict = grantor.request(at(2_002), &domain(), &name("b"));
    assert_eq!(
        verdict,
        Verdict::Propose {
            previous: Some(TOKEN)
        }
    );
    assert!(
        a.tick(at(60_000)).is_empty(),
        "a stopped candidate must not request the lease"
    );
}

/// Guards against a domain whose single candidate loses its lease together with the quorum.
#[test]
fn single_candidate() {
    let mut a = holder("a", &[], 2_000);
    for now in (2_000..10_000).step_by(100) {
        a.tick(at(now));
        assert!(a.valid_lease(at(now)).is_some());
    }
}

/// Guards against losing the lease while a higher token is requested.
#[test]
fn raise_keeps_the_lease() {
    let mut a = holder("a", &["b"], 2_000);
    let mut grantor = grantor(2_000);
    a.tick(at(2_400));
    a.request_raise();
    let [Effect::RequestLease { number }] = a.tick(at(2_500))[..] else {
        panic!("no request");
    };
    assert!(is_proposed(&grantor.request(
        at(2_500),
        &domain(),
        &name("a")
    )));
    let renewal = grantor.renew(at(2_501), Some(at(9_000)), &domain(), &name("a"), TOKEN);
    assert_eq!(renewal, Renewal::Unable);
    let raised = a.granted(at(2_502), number, id::Token(9));
    assert_eq!(raised, Acquisition::Raised);
    assert_eq!(
        a.valid_lease(at(2_502)).map(|v| v.token),
        Some(id::Token(9))
    );
}
