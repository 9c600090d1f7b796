//! Permits of organisations that compete for the targets of a model.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

#[path = "support/pool.rs"]
mod pool;

use std::{collections::HashMap, time::Duration};

use buckthornmast_supply::{
    demand::{Demand, Item},
    ledger::Ledger,
    permits::{Permit, Queue, Request, Ticket},
};
use buckthornmast_types::time::Point;
use smallvec::SmallVec;

use crate::pool::{at, model, observe, service};

const POLL_MS: usize = 5;
const SECONDS: u64 = 10;
const MAX_WAIT_MS: u64 = 2000;

fn ledger(targets: usize) -> Ledger {
    let mut ledger = Ledger::default();
    let models: &[(usize, &[usize])] = &[(0, &[])];
    observe(&mut ledger, &vec![models; targets], 1, at(0));
    ledger
}

fn request(organisation: &str, priority: u32) -> Request {
    Request {
        item: Item {
            service: service(),
            model: model(0),
            adapter: None,
        },
        prompt_tokens: 600,
        prefix: None,
        objective: Duration::from_millis(500),
        max_wait: Duration::from_millis(MAX_WAIT_MS),
        avoid: SmallVec::new(),
        priority,
        organisation: organisation.parse().ok(),
        answer_tokens: 100,
        prefixes: SmallVec::new(),
    }
}

/// What the callers of an organisation and priority got.
#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    asked: usize,
    granted: usize,
    granted_on_time: usize,
    longest_futile_wait: Duration,
}

impl Outcome {
    fn on_time_share(&self) -> f64 {
        self.granted_on_time as f64 / self.asked as f64
    }
}

/// Asks for permits at steady intervals, given in milliseconds, and returns what each source got.
fn play(sources: &[(Request, u64)], leader_lost_at: Option<u64>) -> Vec<Outcome> {
    let ledger = ledger(2);
    let demand = Demand::default();
    let mut permits = Queue::default();
    let mut outcomes = vec![Outcome::default(); sources.len()];
    let mut waiting: HashMap<Ticket, (usize, Point)> = HashMap::new();
    for millis in (0..SECONDS * 1000).step_by(1) {
        let now = at(millis);
        let mut answers = Vec::new();
        if leader_lost_at == Some(millis) {
            permits.clear();
            waiting.clear();
        }
        for (index, (request, interval)) in sources.iter().enumerate() {
            if millis.is_multiple_of(*interval) {
                outcomes[index].asked += 1;
                let (ticket, permit) = permits.request(request.clone(), &ledger, &demand, now);
                waiting.insert(ticket, (index, now));
                answers.push((ticket, permit));
            }
        }
        if millis.is_multiple_of(POLL_MS as u64) {
            answers.extend(permits.poll(&ledger, now));
        }
        for (ticket, permit) in answers {
            if matches!(permit, Permit::Wait(_)) {
                continue;
            }
            let (index, asked_at) = waiting.remove(&ticket).unwrap();
            let waited = now.since(asked_at);
            let outcome = &mut outcomes[index];
            if matches!(permit, Permit::Go(_)) {
                outcome.granted += 1;
                outcome.granted_on_time += usize::from(waited <= sources[index].0.objective);
            } else {
                outcome.longest_futile_wait = outcome.longest_futile_wait.max(waited);
            }
        }
    }
    outcomes
}

/// Guards against an organisation that loses permits to the flood of another one, and against callers that are held in it
/// for most of their time.
#[test]
fn request_flood() {
    let usual = [(request("a", 1), 50), (request("b", 1), 50)];
    let flood = [(request("a", 1), 50), (request("b", 1), 5)];
    let calm = play(&usual, None)[0];
    for leader_lost_at in [None, Some(5000)] {
        let flooded = play(&flood, leader_lost_at);
        println!("{calm:?} in calm, {flooded:?} in the flood");
        assert!(flooded[0].on_time_share() >= calm.on_time_share() - 0.02);
        assert!(flooded[1].granted < flooded[1].asked);
        for outcome in flooded {
            let bound = Duration::from_millis(MAX_WAIT_MS) * 3 / 4;
            assert!(outcome.longest_futile_wait < bound, "{outcome:?}");
        }
    }
}

/// Guards against urgent requests that wait behind less urgent ones with nearer deadlines, and against a priority that
/// gets nothing.
#[test]
fn request_priorities() {
    let less_urgent = Request {
        objective: Duration::from_millis(400),
        ..request("a", 2)
    };
    let outcomes = play(&[(request("a", 0), 30), (less_urgent, 5)], None);
    println!("{outcomes:?}");
    assert!(outcomes[0].on_time_share() >= 0.98);
    assert!(outcomes[1].granted > 0);
}

/// Guards against refused callers that are all told to come back at the same time.
#[test]
fn request_refused_spread() {
    let ledger = ledger(1);
    let demand = Demand::default();
    let mut permits = Queue::default();
    let mut told = Vec::new();
    for _ in 0..200 {
        let (_, permit) = permits.request(request("a", 1), &ledger, &demand, at(0));
        if let Permit::Refuse(wait) = permit {
            told.push(wait);
        }
    }
    assert!(told.len() > 20, "{}", told.len());
    let most = told
        .iter()
        .map(|wait| told.iter().filter(|other| *other == wait).count());
    assert!(most.max().unwrap() <= 3, "{told:?}");
}
