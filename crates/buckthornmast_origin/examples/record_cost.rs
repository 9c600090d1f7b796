//! Measures the processor time of records of streams at an instance of the core, without that of the messages.
//!
//! `cargo run --release -p buckthornmast_origin --example record_cost`
#![allow(clippy::unwrap_used, reason = "a measurement may panic")]

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use buckthornmast_origin::{prelude::*, record::MAX_GENERATION_RECORDS};
use buckthornmast_types::time::Point;

fn main() {
    let requests: Vec<String> = (0..4 * MAX_GENERATION_RECORDS)
        .map(|number| format!("{number:016x}"))
        .collect();
    let mut memory = Memory::default();
    let now = Point::from_millis(1000);
    let start = Instant::now();
    for request in &requests {
        let key = Key::new(request);
        let mark = Mark::new("v1.2");
        memory.record(Record { key, mark }, now);
    }
    let each = start.elapsed() / u32::try_from(requests.len()).unwrap();
    println!(
        "record: {each:?} of {} records, {} kept",
        requests.len(),
        memory.len()
    );
    let start = Instant::now();
    for request in &requests {
        black_box(memory.get(Key::new(request)));
    }
    let each = start.elapsed() / u32::try_from(requests.len()).unwrap();
    println!("lookup: {each:?}");
    let start = Instant::now();
    let recent = memory.recent(Duration::from_secs(60), now).len();
    println!(
        "{recent} records for an instance that starts: {:?}",
        start.elapsed()
    );
}
