//! Peak memory of this process while many targets answer queries without end. It holds for the whole process, so there is one
//! test in this file.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "helpers of tests may panic"
)]

#[path = "support/targets.rs"]
#[allow(dead_code, reason = "each test uses a part of the targets")]
mod targets;

use std::{fs, rc::Rc, time::Duration};

use buckthornmast_node::orders::Orders;
use buckthornmast_types::time::System;
use targets::{End, Plain, block_on, query};

/// Number of queries at the same time.
const QUERIES: usize = 100;

/// Returns the peak memory of this process in kilobytes.
fn peak_kb() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let number = line.unwrap().split_whitespace().nth(1);
    number.unwrap().parse().unwrap()
}

/// Guards against answers to queries without end that together take more memory than an instance has.
#[test]
fn query_endless() {
    block_on(async {
        let before = peak_kb();
        let orders = Rc::new(Orders::new(Plain, System::start()));
        let queries = (0..QUERIES).map(|_| {
            let orders = Rc::clone(&orders);
            tokio::task::spawn_local(async move {
                query(
                    &orders,
                    "HTTP/1.1 200 OK\r\n\r\n",
                    End::Endless("7", Duration::ZERO),
                )
                .await
            })
        });
        for query in queries.collect::<Vec<_>>() {
            assert_eq!(query.await.unwrap(), None);
        }
        let added = peak_kb() - before;
        assert!(added < 40 << 10, "{added} KB more at the peak");
    });
}
