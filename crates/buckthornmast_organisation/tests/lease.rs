//! Lease on the keys of the routes in force: random orders of requests, answers, changes, losses, suspensions and restarts.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};
use buckthornmast_organisation::lease::{ASK_INTERVAL, Lease, MARGIN, MAX_CURRENT_AGE};
use buckthornmast_routes::register::Revision;
use buckthornmast_types::time::Point;
use rand::{Rng, SeedableRng, rngs::SmallRng};

const BOUND: Duration = Duration::from_secs(5);

/// Mechanism that is switched off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The lease is counted from the arrival of the answer.
    CountedFromAnswer,
    /// The leader answers before a majority has confirmed that it still leads.
    Unconfirmed,
    /// The lease is counted also if the routes in force are older.
    VersionIgnored,
    /// The clock doesn't count the time in which the machine is suspended.
    SteadyClock,
}

struct World {
    fault: Fault,
    now: Point,
    suspended: Duration,
    // When each version was accepted, from version 1.
    accepted: Vec<Point>,
    in_force: u64,
    requests: Vec<u64>,
    answers: Vec<(u64, u64)>,
    lease: Lease,
}

impl World {
    fn new(fault: Fault) -> Self {
        let mut world = Self {
            fault,
            now: Point::from_millis(60_000),
            suspended: Duration::ZERO,
            accepted: vec![Point::ZERO],
            in_force: 1,
            requests: Vec::new(),
            answers: Vec::new(),
            lease: Lease::default(),
        };
        world.restart();
        world
    }

    fn restart(&mut self) {
        self.lease = Lease::default();
        self.lease.set_bound(Some(BOUND));
        self.lease.set_in_force(Revision(self.in_force));
        // Answers to the former process don't arrive.
        self.requests.clear();
        self.answers.clear();
    }

    fn newest(&self) -> u64 {
        self.accepted.len() as u64
    }

    fn clock(&self) -> Point {
        match self.fault {
            Fault::SteadyClock => self.now - self.suspended,
            _ => self.now,
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.now = self.now + Duration::from_millis(u.int_in_range(0..=400)?);
        let clock = self.clock();
        match u.int_in_range(0..=9)? {
            0 => self.accepted.push(self.now),
            1 | 2 => {
                let number = self.lease.ask(clock);
                self.requests.push(number);
            }
            3 | 4 if !self.requests.is_empty() => {
                let number = self.requests.remove(u.choose_index(self.requests.len())?);
                let version = match self.fault {
                    Fault::Unconfirmed => u.int_in_range(1..=self.newest())?,
                    _ => self.newest(),
                };
                self.answers.push((number, version));
            }
            5 | 6 if !self.answers.is_empty() => {
                let (mut number, version) =
                    self.answers.remove(u.choose_index(self.answers.len())?);
                if self.fault == Fault::CountedFromAnswer {
                    number = self.lease.ask(clock);
                }
                let version = match self.fault {
                    Fault::VersionIgnored => 0,
                    _ => version,
                };
                self.lease.confirm(number, Revision(version));
            }
            7 => {
                let version = u.int_in_range(self.in_force..=self.newest())?;
                self.in_force = version;
                self.lease.set_in_force(Revision(version));
            }
            8 => {
                let suspended = Duration::from_millis(u.int_in_range(0..=8000)?);
                self.now = self.now + suspended;
                self.suspended += suspended;
            }
            9 if u.ratio(1, 8)? => self.restart(),
            _ => {}
        }
        Ok(())
    }

    /// Returns whether a key may be honoured that was taken away longer ago than the bound.
    fn is_broken(&self) -> bool {
        let next = self.accepted.get(self.in_force as usize);
        let is_overdue = next.is_some_and(|accepted_at| self.now.since(*accepted_at) > BOUND);
        is_overdue && self.lease.permits(self.clock())
    }
}

fn breaks(u: &mut Unstructured<'_>, fault: Fault) -> Result<bool> {
    let mut world = World::new(fault);
    for _ in 0..200 {
        world.step(u)?;
        if world.is_broken() {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Guards against keys that work longer than the bound after they were taken away.
#[test]
fn bound_holds() {
    arbtest(|u| {
        assert!(!breaks(u, Fault::None)?);
        Ok(())
    })
    .size_min(2000)
    .size_max(4000)
    .run();
}

/// Guards against a search that wouldn't find a missing mechanism.
#[test]
fn bound_needs_each_mechanism() {
    for fault in [
        Fault::CountedFromAnswer,
        Fault::Unconfirmed,
        Fault::VersionIgnored,
        Fault::SteadyClock,
    ] {
        let is_found = (0..500).any(|seed| {
            let mut bytes = vec![0; 4000];
            SmallRng::seed_from_u64(seed).fill(&mut bytes[..]);
            breaks(&mut Unstructured::new(&bytes), fault).unwrap()
        });
        assert!(is_found, "{fault:?}");
    }
}

/// Guards against an instance in touch that refuses keys, or that never learns that a key is unknown.
#[test]
fn renewed_holds() {
    let mut lease = Lease::default();
    lease.set_bound(Some(BOUND));
    lease.set_in_force(Revision(3));
    let mut now = Point::from_millis(5000);
    assert!(lease.awaits_first() && lease.is_due(now) && !lease.permits(now));
    for _ in 0..20 {
        assert!(lease.is_due(now));
        let number = lease.ask(now);
        assert!(!lease.is_due(now + ASK_INTERVAL / 2));
        lease.confirm(number, Revision(3));
        now = now + ASK_INTERVAL;
        assert!(lease.permits(now) && lease.is_current(now));
    }
    let last = now - ASK_INTERVAL;
    assert!(!lease.is_current(last + MAX_CURRENT_AGE));
    assert!(lease.permits(last + (BOUND - MARGIN) - Duration::from_millis(1)));
    assert!(!lease.permits(last + (BOUND - MARGIN)));
    assert!(!lease.permits(last - Duration::from_secs(1)), "set back");
}

/// Guards against an instance without a bound that refuses keys, and against one that takes keys to be unknown though it may
/// be behind.
#[test]
fn unbounded_permits() {
    let mut lease = Lease::default();
    lease.set_in_force(Revision(1));
    let now = Point::from_millis(9000);
    assert!(lease.permits(now) && !lease.is_current(now) && !lease.awaits_first());
    lease.assume_newest(now);
    assert!(lease.is_current(now));
}

/// Guards against a newer confirmation that is lost to an older answer while the routes are on their way.
#[test]
fn confirm_late_answer() {
    let mut lease = Lease::default();
    lease.set_bound(Some(BOUND));
    lease.set_in_force(Revision(1));
    let (early, late) = (Point::from_millis(1000), Point::from_millis(4000));
    let first = lease.ask(early);
    let second = lease.ask(late);
    lease.confirm(second, Revision(2));
    lease.confirm(first, Revision(2));
    assert!(!lease.permits(late), "behind");
    lease.set_in_force(Revision(2));
    assert_eq!(lease.age(late), Some(Duration::ZERO));
}
