//! Peak memory of this process while many targets send without end. It holds for the whole process, so there is one test
//! in this file.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "helpers of tests may panic"
)]

#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test uses a part of the fleet")]
mod fleet;

use std::{fs, time::Duration};

use buckthornmast_routes::document::{Kind, Route};
use fleet::{Fleet, Step, block_on, route, stream_head, whole_head};
use tokio::{io::AsyncReadExt, net::TcpStream};

/// Number of answers without end at the same time.
const ANSWERS: usize = 16;

/// Returns the peak memory of this process in kilobytes.
fn peak_kb() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let number = line.unwrap().split_whitespace().nth(1);
    number.unwrap().parse().unwrap()
}

/// Event that is forwarded at once.
fn comment() -> String {
    format!(": {}\n\n", "a".repeat(16 << 10))
}

/// Starts a fleet and calls it for answers that consist of a head and the same bytes without end.
async fn start_endless(kind: Kind, head: Step, bytes: &str) -> (Fleet, Vec<TcpStream>) {
    let route = Route {
        kind,
        timeout: Duration::from_secs(60),
        ..route()
    };
    let fleet = Fleet::start(route, 4).await;
    let mut callers = Vec::new();
    for _ in 0..ANSWERS {
        let repeated = bytes.repeat((64 << 10) / bytes.len());
        fleet.script([head.clone(), Step::Flood(repeated, Duration::ZERO)]);
        callers.push(fleet.send("1").await);
    }
    (fleet, callers)
}

/// Returns the memory that the peak of a future adds, in kilobytes.
async fn added_kb(future: impl Future<Output = ()>) -> usize {
    let before = peak_kb();
    future.await;
    peak_kb() - before
}

/// Waits until callers that read nothing have cost their connections.
async fn run_unread() {
    let kind = Kind::Stream {
        resumable: false,
        gap: Duration::from_secs(20),
    };
    let (fleet, _callers) = start_endless(kind, stream_head(), &comment()).await;
    fleet.wait_closed(ANSWERS).await;
}

/// Reads answers until they end.
async fn run_read() {
    let (fleet, callers) = start_endless(Kind::Once, whole_head(200, None), "a").await;
    let read = callers.into_iter().map(|mut caller| {
        tokio::task::spawn_local(async move {
            let mut buffer = vec![0; 64 << 10];
            while caller.read(&mut buffer).await.is_ok_and(|read| read > 0) {}
        })
    });
    for caller in read.collect::<Vec<_>>() {
        caller.await.unwrap();
    }
    fleet.wait_closed(ANSWERS).await;
}

/// Guards against answers without end that together take more memory than an instance has.
#[test]
fn answers_endless() {
    block_on(async {
        let unread = added_kb(run_unread()).await;
        let read = added_kb(run_read()).await;
        assert!(
            unread < 32 << 10 && read < 100 << 10,
            "{unread} KB for unread streams, {read} KB more for answers"
        );
    });
}
