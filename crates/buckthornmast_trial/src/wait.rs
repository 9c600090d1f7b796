//! Waiting for a condition.

use std::{
    thread,
    time::{Duration, Instant},
};

/// Bound that only ends a test that hangs; it is no statement about speed.
const HANG: Duration = Duration::from_secs(90);

/// Polls until there is a value; panics if there is none for a long time.
pub fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(start.elapsed() < HANG, "waited in vain for {what}");
        thread::sleep(Duration::from_millis(20));
    }
}
