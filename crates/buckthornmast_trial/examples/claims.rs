//! Measures callers' orders to a plain service, which must not be repeated: time to the answer and changes of the leader of
//! the log.
//!
//! `cargo build --release --workspace --bins --examples`, then `target/release/examples/claims [PROGRAMS]` in the root
//! of the repository; PROGRAMS is the folder of the daemon and the stand-in, `target/release` by default.
//!
//! Prints the number of answered and of failed orders, quantiles of the time to the answer, and for each instance how
//! often it became the leader, followed by up to eight of its warnings and errors.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use buckthornmast_trial::prelude::*;
use buckthornmast_types::id;

/// Orders that are measured, one after the other.
const ORDERS: usize = 200;

fn main() -> std::io::Result<()> {
    let programs = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "target/release".to_owned());
    let voter = |name, domain| InstanceConfig {
        name,
        domain,
        is_voter: true,
    };
    let configs = [
        voter("north-1", "north"),
        voter("north-2", "north"),
        voter("south-1", "south"),
    ];
    let mut cluster = Cluster::start(Path::new(&programs), &configs)?;
    cluster.apply(0, Path::new("examples/declarations"));
    cluster.add_plain_service("counter", "north", &["--call-time", "0ms"])?;
    let port = cluster.instances[0].ports.callers;
    wait_for("an answered order", || {
        (caller::post_order(port, id::Key::generate(), "x").status == 200).then_some(())
    });
    let mut times = Vec::new();
    let mut failed = 0;
    for _ in 0..ORDERS {
        let start = Instant::now();
        if caller::post_order(port, id::Key::generate(), "x").status == 200 {
            times.push(start.elapsed());
        } else {
            failed += 1;
        }
        thread::sleep(Duration::from_millis(10));
    }
    times.sort();
    let quantile = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    println!(
        "{} orders, {failed} failed, p50 {:.1?}, p99 {:.1?}, max {:.1?}",
        times.len(),
        quantile(0.5),
        quantile(0.99),
        quantile(1.0)
    );
    for index in 0..3 {
        let log = std::fs::read_to_string(cluster.log_file(index))?;
        let terms_led = log
            .lines()
            .filter(|line| line.contains("grants controller leases"))
            .count();
        println!(
            "{}: led {terms_led} times",
            cluster.instances[index].config.name
        );
        for line in log
            .lines()
            .filter(|line| line.contains("WARN") || line.contains("ERROR"))
            .take(8)
        {
            println!("  {line}");
        }
    }
    Ok(())
}
