//! Reports to the instances.

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

/// Time between two reports when nothing changes.
pub const PERIOD: Duration = Duration::from_secs(1);

/// Instances that get each report, so that one of them may fail unnoticed.
const RECEIVERS: usize = 2;

/// Thread that sends reports.
#[derive(Debug)]
pub struct Announcer {
    wake: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Announcer {
    /// Sends a report soon, because something changed.
    pub fn wake(&self) {
        if let Some(wake) = &self.wake {
            // A full channel means that a report is due already.
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

/// Starts to report to the first instances of the list that answer.
pub fn start<F>(instances: Vec<SocketAddr>, make: F) -> std::io::Result<Announcer>
where
    F: Fn(u64) -> Report + Send + 'static,
{
    let (wake, woken) = flume::bounded(1);
    let thread = thread::Builder::new()
        .name("announce".to_owned())
        .spawn(move || run(&instances, &woken, &make))?;
    Ok(Announcer {
        wake: Some(wake),
        thread: Some(thread),
    })
}

fn run(instances: &[SocketAddr], woken: &Receiver<()>, make: &impl Fn(u64) -> Report) {
    let sequence = Arc::new(AtomicU64::new(0));
    loop {
        let number = sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let report = serde_json::to_vec(&make(number)).unwrap_or_default();
        let mut reached = 0;
        for instance in instances {
            if reached < RECEIVERS && send(*instance, &report, reached > 0) {
                reached += 1;
            }
        }
        match woken.recv_timeout(PERIOD) {
            Ok(()) | Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

fn send(instance: SocketAddr, report: &[u8], is_backup: bool) -> bool {
    let target = if is_backup {
        "/v1/report?backup=yes"
    } else {
        "/v1/report"
    };
    let bound = Duration::from_millis(500);
    let timeouts = client::Timeouts::all(bound);
    let request = client::Request {
        method: "POST",
        target,
        headers: &[("Content-Type", "application/json")],
        body: report,
    };
    client::send(instance, &request, &timeouts).is_ok_and(|response| response.status == 200)
}
