//! Messages about credit: their sizes, and their positions, which older builds rely on.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use buckthornmast_node::message::{Downstream, UNDERSTANDS_CREDIT, Upstream};
use buckthornmast_quota::credit::{Claim, Grant, Item, Loan, Return, Stamp};
use buckthornmast_routes::register::Revision;
use buckthornmast_types::{id, time::Point};

/// Largest messages with 16 organisations, without the length of their frames.
const MAX_CLAIM_BYTES: usize = 768;
const MAX_GRANT_BYTES: usize = 384;

/// Guards against messages that outgrow what the documentation states, and against positions that move.
#[test]
fn encode_credit() {
    let names =
        (0..16).map(|number| -> id::Organisation { format!("hule9{number:02}").parse().unwrap() });
    let names: Vec<_> = names.collect();
    let stamp = Stamp {
        term: id::Term(3),
        at: Point::from_millis(86_400_000),
    };
    let items = names.iter().map(|name| Item {
        organisation: name.clone(),
        counts_tokens: true,
        need: 995,
        want: 120_000,
        spent: 20_000,
    });
    let returns = names.iter().map(|name| Return {
        organisation: name.clone(),
        stamp,
        amount: 20_000,
    });
    let loans = names.iter().map(|name| Loan {
        organisation: name.clone(),
        amount: 120_000,
        wait: Duration::from_millis(1500),
        is_ample: false,
    });
    let claim = Claim {
        number: 100_000,
        items: items.collect(),
        returns: returns.collect(),
        history: Vec::new(),
        is_young: false,
    };
    let grant = Grant {
        number: 100_000,
        stamp,
        lifetime: Duration::from_millis(400),
        loans: loans.collect(),
    };
    let claim = postcard::to_stdvec(&Upstream::Credit(claim)).unwrap();
    let grant = postcard::to_stdvec(&Downstream::Credit(grant)).unwrap();
    println!("claim {}, grant {}", claim.len(), grant.len());
    assert!(claim.len() <= MAX_CLAIM_BYTES && grant.len() <= MAX_GRANT_BYTES);
    let question = postcard::to_stdvec(&Upstream::ConfirmRequest { number: 1 }).unwrap();
    let confirmation = Downstream::Confirmation {
        number: 1,
        version: Revision(1),
    };
    let confirmation = postcard::to_stdvec(&confirmation).unwrap();
    assert_eq!((claim[0], grant[0]), (question[0] + 1, confirmation[0] + 1));
    assert_eq!((question[0], confirmation[0]), (16, 17));
    assert_eq!(UNDERSTANDS_CREDIT, 3);
}
