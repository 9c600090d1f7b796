//! Polling for a condition.

use std::{
    thread,
    time::{Duration, Instant},
};

/// Time limit that only ends a test that hangs; it is no requirement on speed.
const MAX_WAIT: Duration = Duration::from_secs(90);

/// Polls until there is a value; panics if there is none within 90 s.
pub fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(start.elapsed() < MAX_WAIT, "timed out waiting for {what}");
        thread::sleep(Duration::from_millis(20));
    }
}
