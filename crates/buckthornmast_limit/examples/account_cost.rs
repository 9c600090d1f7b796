//! Measures the leader's processor time for grants, reports and notices, with one target and with all targets limited.
//!
//! `cargo run --release -p buckthornmast_limit --example account_cost`
#![allow(clippy::unwrap_used, reason = "a measurement may panic")]

use std::time::{Duration, Instant};

use buckthornmast_limit::prelude::*;
use buckthornmast_types::{id, rate::Rate, time::Point};

/// Limited targets: one, and all of the users' largest site.
const LIMITED: [usize; 2] = [1, 210];

/// Entry instances of that site.
const INSTANCES: u64 = 294;

/// Targets that could run one request.
const CANDIDATES: usize = 4;

const REQUESTS: u64 = 200_000;

fn key(number: usize) -> Key {
    (
        format!("target-{number:04}").parse().unwrap(),
        id::Incarnation(1),
    )
}

fn report(number: usize, grant: Option<Grant>) -> Report {
    Report {
        key: key(number),
        statement: Statement::Limited(Rate::per_second(2.1).unwrap()),
        age: Duration::ZERO,
        grant,
    }
}

fn main() {
    for limited in LIMITED {
        let mut account = Account::open(id::Term(1), Point::ZERO);
        let mut now = Point::ZERO;
        for number in 0..limited {
            account.record(&report(number, None), now);
        }
        let requests: Vec<Request> = (0..limited)
            .map(|number| Request {
                candidates: (0..CANDIDATES.min(limited))
                    .map(|next| key((number + next * 7) % limited))
                    .collect(),
                max_wait: Duration::from_secs(2),
                priority: 1,
                has_alternative: false,
            })
            .collect();
        let start = Instant::now();
        let mut granted = 0_u64;
        for round in 0..REQUESTS {
            // Each instance asks ten times a second.
            now = now + Duration::from_micros(1_000_000 / (10 * INSTANCES));
            let number = usize::try_from(round).unwrap() % limited;
            if let Answer::Granted(_, grant) = account.request(&requests[number], now) {
                granted += 1;
                account.record(&report(number, Some(grant)), now);
            }
        }
        let each = start.elapsed() / u32::try_from(REQUESTS).unwrap();
        let start = Instant::now();
        let ended = account.prune(|_| true, now).len();
        let changes = account.changes(now).len();
        println!(
            "{limited} limited: {each:?} a request with its report, {granted} of {REQUESTS} granted; a tick with {changes} changes and {ended} ends takes {:?}",
            start.elapsed()
        );
    }
}
