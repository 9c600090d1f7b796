//! Seeded random schedules with drops, duplicates, late messages, partitions, crashes, lost disks and
//! compaction.

#[path = "support/sim.rs"]
#[allow(clippy::unwrap_used, reason = "helpers of tests may panic")]
mod sim;

use crate::sim::Sim;

/// Schedules of a usual run; `SCHEDULES` sets another number.
const DEFAULT_SCHEDULES: u64 = 12;

/// Seeds that once failed, with the number of replicas.
///
/// - 3, 11: after a restart, a replica needed the majority of a voter set that was replaced long before.
/// - 3, 458 slow: another disk was lost while only that one held, durably, that the set of an earlier loss was
///   committed; replicas now say until when that is so.
/// - 3, 244 and 5, 369: a follower rejected appends for good, with a hint before what was known to match.
const REGRESSIONS: [(usize, u64); 4] = [(3, 11), (3, 244), (3, 458), (5, 369)];

fn run(replicas: usize, seed: u64, is_slow: bool) -> u32 {
    let mut sim = Sim::new(replicas, seed, is_slow);
    sim.run();
    sim.disks_lost
}

fn run_all(replicas: usize, is_slow: bool) {
    let wanted = std::env::var("SCHEDULES").ok();
    let count = wanted
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SCHEDULES);
    let mut replaced = 0;
    for seed in 0..count {
        println!("replicas {replicas} seed {seed} slow {is_slow}");
        replaced += run(replicas, seed, is_slow);
    }
    println!("{count} schedules of {replicas} replicas, {replaced} disks lost");
}

/// Guards against rare interleavings among three replicas.
#[test]
fn schedule_three() {
    run_all(3, false);
}

/// Guards against promises before their sync, and against syncs longer than an election timeout that stop
/// the group.
#[test]
fn schedule_three_slow() {
    run_all(3, true);
}

/// The same with five replicas.
#[test]
fn schedule_five_slow() {
    run_all(5, true);
}

/// Guards against rare interleavings among five replicas.
#[test]
fn schedule_five() {
    run_all(5, false);
}

/// Guards against the return of faults that a seed has found.
#[test]
fn schedule_failed_before() {
    for (replicas, seed) in REGRESSIONS {
        run(replicas, seed, false);
        run(replicas, seed, true);
    }
}

/// Runs schedules of a group whose voters follow the instances.
fn run_pool(replicas: usize, pool: (usize, usize), is_slow: bool) {
    let wanted = std::env::var("SCHEDULES").ok();
    let count = wanted
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SCHEDULES);
    let mut replaced = 0;
    for seed in 0..count {
        println!("replicas {replicas} pool {pool:?} seed {seed} slow {is_slow}");
        let mut sim = Sim::with_pool(replicas, pool, seed, is_slow);
        sim.run();
        replaced += sim.disks_lost;
    }
    println!("{count} schedules of {replicas} replicas, pool {pool:?}, {replaced} disks lost");
}

/// Guards against two logs, lost entries and a stuck group while lost voters are replaced by an instance that
/// did not found the log.
#[test]
fn schedule_pool_of_four() {
    run_pool(4, (3, 3), false);
    run_pool(4, (3, 3), true);
}

/// The same while the set grows from its three founders to five voters out of eight instances.
#[test]
fn schedule_pool_of_eight() {
    run_pool(8, (3, 5), false);
    run_pool(8, (3, 5), true);
}
