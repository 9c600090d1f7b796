//! Tests of demand rows in virtual time.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_daemon::demand::{
    Due, FORGET_AFTER, MAX_SETTLE_TIME, REFRESH_INTERVAL, Table, Update,
};
use buckthornmast_types::{id, time::Point};

const SECOND: Duration = Duration::from_secs(1);

fn instance(number: usize) -> id::Instance {
    format!("i{number}").parse().unwrap()
}

fn at(span: Duration) -> Point {
    Point::from_millis(u64::try_from(span.as_millis()).unwrap())
}

/// Demand tables of several instances, connected by notices that a test can drop.
struct Cluster {
    tables: Vec<Table>,
    now: Duration,
    /// Rows in all updates that were sent to all instances.
    rows: usize,
}

impl Cluster {
    fn new(count: usize) -> Self {
        let tables = (0..count).map(|me| {
            let others = (0..count).filter(|other| *other != me).map(instance);
            Table::new(Point::default(), others)
        });
        Self {
            tables: tables.collect(),
            now: Duration::ZERO,
            rows: 0,
        }
    }

    fn deliver(&mut self, from: usize, to: &id::Instance, update: &Update) {
        let to = (0..self.tables.len())
            .find(|number| instance(*number) == *to)
            .unwrap();
        if self.tables[to].accept(at(self.now), &instance(from), update.clone()) {
            self.tables[from].record_requester(&instance(to));
        }
    }

    /// Advances time by a second and delivers all notices, except those from the instances in `lost_from`.
    fn tick(&mut self, lost_from: &[usize]) {
        self.now += SECOND;
        for from in 0..self.tables.len() {
            let Due {
                update,
                replies,
                missing,
            } = self.tables[from].take_due(at(self.now));
            if lost_from.contains(&from) {
                continue;
            }
            if let Some(update) = update {
                self.rows += update.steady.len() + update.decaying.len();
                for to in (0..self.tables.len()).filter(|to| *to != from) {
                    self.deliver(from, &instance(to), &update);
                }
            }
            if let Some((requesters, complete)) = replies {
                for to in requesters {
                    self.deliver(from, &to, &complete);
                }
            }
            for to in missing {
                let to = (0..self.tables.len()).find(|number| instance(*number) == to);
                self.tables[to.unwrap()].record_requester(&instance(from));
            }
        }
    }

    /// Returns the sum of the rates that the instances measure, by name.
    fn exact(&mut self) -> BTreeMap<String, (f64, f64)> {
        let mut sum = BTreeMap::<String, (f64, f64)>::new();
        for table in &mut self.tables {
            for (name, (requests, tokens)) in table.local_rates(at(self.now)) {
                let entry = sum.entry(name).or_default();
                entry.0 += requests;
                entry.1 += tokens;
            }
        }
        sum
    }

    /// Asserts that the total for every name at every instance is within 10 % of the exact sum.
    fn assert_near(&mut self) {
        let exact = self.exact();
        for table in &mut self.tables {
            let total = table.total(at(self.now));
            for (name, (requests, tokens)) in &exact {
                let actual = total.get(name).copied().unwrap_or_default();
                assert!(
                    (actual.0 / requests - 1.0).abs() <= 0.1,
                    "{name} {actual:?}"
                );
                assert!((actual.1 / tokens - 1.0).abs() <= 0.1, "{name} {actual:?}");
            }
        }
    }
}

/// Guards against totals that are off by more than 10 % under steady, rare, suddenly rising and ending demand,
/// and against rows that are sent without need.
#[test]
fn total_within_tenth() {
    let mut cluster = Cluster::new(3);
    for second in 0..120_u64 {
        for from in 0..3_usize {
            for name in 0..10_u64 {
                // The rate of some names jumps at half time; the last names stop.
                let jump = if second >= 60 && name < 3 { 8 } else { 1 };
                let is_over = second >= 80 && name > 7;
                let every = name + 1;
                if !is_over && second % every == 0 {
                    for _ in 0..jump * (from as u64 + 1) {
                        let tokens = u32::try_from(100 + second % 7).unwrap();
                        cluster.tables[from].count(at(cluster.now), &format!("m{name}"), tokens);
                    }
                }
            }
        }
        cluster.tick(&[]);
        cluster.assert_near();
    }
    let max_rows = 120 * 3 * 10;
    assert!(
        cluster.rows < max_rows,
        "{} of {max_rows} rows",
        cluster.rows
    );
}

/// Guards against a change that is lost permanently with its notice.
#[test]
fn accept_after_lost_notice() {
    let mut cluster = Cluster::new(2);
    for second in 0..60_u64 {
        let requests = if second < 30 { 1 } else { 20 };
        for _ in 0..requests {
            cluster.tables[0].count(at(cluster.now), "m", 10);
        }
        // The notices with the rising rate are lost.
        let is_lost = (30..45).contains(&second);
        cluster.tick(if is_lost { &[0] } else { &[] });
    }
    cluster.assert_near();
    assert!(REFRESH_INTERVAL * 2 < FORGET_AFTER);
}

/// Guards against a controller that treats missing rows as zero after its start, and against one that waits
/// indefinitely for unresponsive instances.
#[test]
fn settled_after_start() {
    let mut cluster = Cluster::new(3);
    for _ in 0..40 {
        cluster.tables[0].count(at(cluster.now), "m", 10);
        cluster.tick(&[]);
    }
    let others = [instance(0), instance(1)];
    cluster.tables[2] = Table::new(at(cluster.now), others);
    assert!(!cluster.tables[2].is_settled(at(cluster.now)));
    let begin = cluster.now;
    cluster.tick(&[1]);
    cluster.tick(&[1]);
    cluster.tick(&[1]);
    let total = cluster.tables[2].total(at(cluster.now));
    assert!(total.contains_key("m"));
    assert!(
        !cluster.tables[2].is_settled(at(cluster.now)),
        "one instance has not answered"
    );
    cluster.tick(&[]);
    cluster.tick(&[]);
    assert!(cluster.tables[2].is_settled(at(cluster.now)));
    let mut alone = Table::new(at(begin), [instance(0)]);
    assert!(!alone.is_settled(at(begin + MAX_SETTLE_TIME / 2)));
    assert!(alone.is_settled(at(begin + MAX_SETTLE_TIME)));
    assert!(
        alone
            .take_due(at(begin + MAX_SETTLE_TIME))
            .missing
            .is_empty()
    );
}

/// Guards against demand of an unresponsive instance that counts indefinitely, and against partial demand of an
/// instance that returns.
#[test]
fn forget_unresponsive() {
    let mut cluster = Cluster::new(2);
    for second in 0..80_u64 {
        for _ in 0..20 {
            cluster.tables[0].count(at(cluster.now), "steady", 10);
        }
        cluster.tables[0].count(at(cluster.now), &format!("new-{second}"), 10);
        cluster.tick(if (20..50).contains(&second) {
            &[0]
        } else {
            &[]
        });
        let total = cluster.tables[1].total(at(cluster.now));
        if second == 49 {
            assert!(total.is_empty(), "{total:?}");
        }
        if second == 52 {
            cluster.assert_near();
        }
    }
}
