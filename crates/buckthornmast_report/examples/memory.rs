//! Fills a collector beyond its bounds and prints its resident memory and the size of its extract.

use std::time::{Duration, Instant};

use buckthornmast_report::{
    collector::{Collector, End, Event, MAX_TIMES, Windows},
    extract::Moves,
};
use buckthornmast_types::id;

const MINUTE: u64 = 60_000;
const START: u64 = 1_000 * 86_400_000;

fn resident() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    line.unwrap_or("VmRSS: unknown").to_owned()
}

fn print(label: &str, collector: &Collector, now: u64) {
    let begin = Instant::now();
    let extract = collector.extract(now, &Windows::new());
    let took = begin.elapsed();
    let bytes = serde_json::to_string(&extract).map_or(0, |text| text.len());
    println!(
        "{label}: {} counts, {}, extract of {} rows and {} points is {bytes} bytes in {took:?}",
        collector.cells(),
        resident(),
        extract.rows.len(),
        extract.points.len(),
    );
}

/// Feeds `models` for three days, each on a changing one of `targets`, `per_minute` requests a minute.
fn feed(label: &str, models: u64, targets: u64, per_minute: u64, teams: u64) {
    let mut collector = Collector::new(START);
    let days = 3 * 24 * 60;
    let mut number: u64 = 0;
    for minute in 0..days {
        let now = START + minute * MINUTE;
        for _ in 0..per_minute {
            number = number.wrapping_add(7919);
            let team: Option<id::Team> = format!("team-{}", number % teams).parse().ok();
            let target: Option<id::Target> = format!("engine-{}", number % targets).parse().ok();
            let Some(team) = team else { return };
            let event = Event {
                team: &team,
                objective: "chat",
                model: &format!("model-{}", number % models),
                target: target.as_ref(),
                end: End::Answered,
                met: !number.is_multiple_of(50),
                first_token: Some(Duration::from_millis(number % 5000)),
                total: Duration::from_millis(number % 3_500_000),
            };
            collector.record(now, &event);
            let second = Duration::from_secs(1);
            collector.use_accelerators(now, &team, 1.5, second);
            collector.count_shadow(now, &team, Moves::default());
        }
    }
    print(label, &collector, START + days * MINUTE);
}

fn main() {
    println!("empty: {}", resident());
    // 30 models and 20 engines of one team, 20 requests a second over 6 instances.
    feed("today", 30, 20, 200, 1);
    // Every table beyond its bound.
    feed("bounds", 5003, 4201, 2000, MAX_TIMES as u64 + 30);
}
