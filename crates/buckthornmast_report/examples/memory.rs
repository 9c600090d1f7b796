//! Fills a collector beyond its bounds, and prints its resident memory and the size of its extract.
//!
//! `cargo run --release -p buckthornmast_report --example memory`
//!
//! The lines are for an empty process, for three days of requests at the size of one deployment ("today"), and for
//! three days in which every table exceeds its bound ("bounds"). Each has the number of counts, the resident memory of
//! the process, and the rows, points, bytes and time of an extract.

use std::time::{Duration, Instant};

use buckthornmast_report::{
    collector::{Collector, FinishedRequest, MAX_LATENCY_OBJECTIVES, Outcome, Windows},
    extract::Moves,
};
use buckthornmast_types::id;

const MINUTE_MS: u64 = 60_000;
const START_MS: u64 = 1_000 * 86_400_000;

fn resident_memory() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    line.unwrap_or("VmRSS: unknown").to_owned()
}

fn print(label: &str, collector: &Collector, now: u64) {
    let start = Instant::now();
    let extract = collector.extract(now, &Windows::new());
    let took = start.elapsed();
    let bytes = serde_json::to_string(&extract).map_or(0, |text| text.len());
    println!(
        "{label}: {} counts, {}, extract of {} rows and {} points is {bytes} bytes in {took:?}",
        collector.cells(),
        resident_memory(),
        extract.rows.len(),
        extract.points.len(),
    );
}

/// Records `per_minute` requests a minute for three days, distributed over the given numbers of models, targets and
/// teams.
fn run(label: &str, models: u64, targets: u64, per_minute: u64, teams: u64) {
    let mut collector = Collector::new(START_MS);
    let minutes = 3 * 24 * 60;
    let mut number: u64 = 0;
    for minute in 0..minutes {
        let now = START_MS + minute * MINUTE_MS;
        for _ in 0..per_minute {
            number = number.wrapping_add(7919);
            let team: Option<id::Team> = format!("team-{}", number % teams).parse().ok();
            let target: Option<id::Target> = format!("engine-{}", number % targets).parse().ok();
            let Some(team) = team else { return };
            let request = FinishedRequest {
                team: &team,
                objective: "chat",
                model: &format!("model-{}", number % models),
                target: target.as_ref(),
                outcome: Outcome::Answered,
                is_in_time: !number.is_multiple_of(50),
                first_token: Some(Duration::from_millis(number % 5000)),
                total: Duration::from_millis(number % 3_500_000),
            };
            collector.record(now, &request);
            let second = Duration::from_secs(1);
            collector.record_usage(now, &team, 1.5, second);
            collector.add_shadow_moves(now, &team, Moves::default());
        }
    }
    print(label, &collector, START_MS + minutes * MINUTE_MS);
}

fn main() {
    println!("empty: {}", resident_memory());
    // 30 models and 20 engines of one team, with 20 requests a second over 6 instances.
    run("today", 30, 20, 200, 1);
    // Every table beyond its bound.
    run(
        "bounds",
        5003,
        4201,
        2000,
        MAX_LATENCY_OBJECTIVES as u64 + 30,
    );
}
