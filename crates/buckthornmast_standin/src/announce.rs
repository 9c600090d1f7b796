//! Reports of a target to the instances.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use buckthornmast_http::client;
use buckthornmast_types::report::Report;
use flume::{Receiver, RecvTimeoutError, Sender};

/// Time between two reports without a change.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of instances that receive each report. The second one covers an unnoticed failure of the first.
const MAX_RECEIVERS: usize = 2;

/// Thread that sends reports.
#[derive(Debug)]
pub struct Reporter {
    wake: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Reporter {
    /// Sends a report at once, after a change of the target.
    pub fn wake(&self) {
        if let Some(wake) = &self.wake {
            // If the channel is full, a report is due already.
            let _ = wake.try_send(());
        }
    }

    /// Sends a last report and joins the thread.
    pub fn stop(&mut self) {
        self.wake = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Starts to send the reports that `make_report` returns to the first instances of the list that answer.
pub fn start<F>(instances: Vec<SocketAddr>, make_report: F) -> std::io::Result<Reporter>
where
    F: Fn(u64) -> Report + Send + 'static,
{
    let (wake, woken) = flume::bounded(1);
    let thread = thread::Builder::new()
        .name("announce".to_owned())
        .spawn(move || run(&instances, &woken, &make_report))?;
    Ok(Reporter {
        wake: Some(wake),
        thread: Some(thread),
    })
}

fn run(instances: &[SocketAddr], woken: &Receiver<()>, make_report: &impl Fn(u64) -> Report) {
    let last_sequence = Arc::new(AtomicU64::new(0));
    loop {
        let sequence = last_sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let report = serde_json::to_vec(&make_report(sequence)).unwrap_or_default();
        let mut receivers = 0;
        for instance in instances {
            if receivers < MAX_RECEIVERS && send(*instance, &report, receivers > 0) {
                receivers += 1;
            }
        }
        match woken.recv_timeout(REPORT_INTERVAL) {
            Ok(()) | Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

/// Returns whether the instance accepted the report.
fn send(instance: SocketAddr, report: &[u8], is_backup: bool) -> bool {
    let target = if is_backup {
        "/v1/report?backup=yes"
    } else {
        "/v1/report"
    };
    let timeout = Duration::from_millis(500);
    let timeouts = client::Timeouts::all(timeout);
    let request = client::Request {
        method: "POST",
        target,
        headers: &[("Content-Type", "application/json")],
        body: report,
    };
    client::send(instance, &request, &timeouts).is_ok_and(|response| response.status == 200)
}
