//! Queue of log lines in front of a blocked output.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
};

use buckthornmast_logging::queue::{Queue, RateLimit};

#[derive(Clone, Default)]
struct Output {
    gate: Arc<Mutex<()>>,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _open = self.gate.lock().unwrap();
        self.text.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a caller that blocks on the output, and against lines that are dropped without a report.
#[test]
fn write_blocked_output() {
    let output = Output::default();
    let rate_limit = RateLimit {
        per_second: 0,
        burst: 10,
    };
    let blocked = output.gate.lock().unwrap();
    let (mut queue, handle) = Queue::start(rate_limit, output.clone()).unwrap();
    for number in 0..100 {
        // Must return although the output accepts nothing.
        writeln!(queue, "line {number}").unwrap();
    }
    drop(blocked);
    drop(queue);
    drop(handle);
    let text = String::from_utf8(output.text.lock().unwrap().clone()).unwrap();
    assert!(text.contains("line 0"));
    assert!(!text.contains("line 50"));
    assert!(text.contains("log lines were dropped"));
}

/// Guards against a process that doesn't end because nothing is logged any more.
#[test]
fn drop_handle_without_lines() {
    let (queue, handle) = Queue::start(RateLimit::default(), io::sink()).unwrap();
    let (ended, has_ended) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        drop(handle);
        ended.send(()).unwrap();
    });
    // Long enough that only a hang exceeds it.
    has_ended
        .recv_timeout(std::time::Duration::from_secs(60))
        .unwrap();
    drop(queue);
}
