//! Orders to targets that write an answer twice, the second copy where the answer to the next call is expected.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "helpers of tests may panic"
)]

#[path = "support/targets.rs"]
#[allow(dead_code, reason = "each test uses a part of the targets")]
mod targets;

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use buckthornmast_node::orders::Orders;
use buckthornmast_supply::order::Outcome;
use buckthornmast_types::{id, time::System};
use targets::{Plain, block_on, send_to};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// What a target does with the names of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Naming {
    /// Repeats them.
    Repeats,
    /// Ignores them.
    Ignores,
}

/// Reads a request without a body and returns its name and whether it is an order.
async fn read(stream: &mut TcpStream) -> Option<(String, bool)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let byte = stream.read_u8().await.ok()?;
        head.push(byte);
    }
    let head = String::from_utf8(head).unwrap();
    let name = head.lines().find_map(|line| line.strip_prefix("name: "));
    Some((name.unwrap().to_owned(), head.starts_with("POST")))
}

/// Answers queries with 200 and orders with 409. The first answer of each connection is written once more, instead of the
/// second one.
async fn serve(mut stream: TcpStream, naming: Naming) {
    let mut first = None;
    while let Some((name, is_order)) = read(&mut stream).await {
        let name = match naming {
            Naming::Repeats => format!("Name: {name}\r\n"),
            Naming::Ignores => String::new(),
        };
        let answer = if is_order {
            format!("HTTP/1.1 409 Conflict\r\n{name}Content-Length: 0\r\n\r\n")
        } else {
            format!("HTTP/1.1 200 OK\r\n{name}Content-Length: 1\r\n\r\n7")
        };
        let written = first.clone().unwrap_or_else(|| answer.clone());
        if stream.write_all(written.as_bytes()).await.is_err() {
            return;
        }
        first.get_or_insert(answer);
    }
}

/// Starts a target, and counts its connections.
async fn start(naming: Naming) -> (SocketAddr, Rc<Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Rc::new(Cell::new(0));
    let count = Rc::clone(&connections);
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            count.set(count.get() + 1);
            tokio::task::spawn_local(serve(stream, naming));
        }
    });
    (address, connections)
}

async fn query_and_send(naming: Naming) -> (Outcome, u32) {
    let (address, connections) = start(naming).await;
    let orders = Orders::new(Plain, System::start());
    let name = "t1".parse().unwrap();
    let report = orders.query(&name, id::Incarnation(1), address).await;
    assert_eq!(report.unwrap().accepted, 7);
    let outcome = send_to(&orders, address).await;
    (outcome, connections.get())
}

/// Guards against a second copy of a report's answer that counts as the answer to an order.
#[test]
fn send_after_unnamed_copy() {
    block_on(async {
        let (outcome, connections) = query_and_send(Naming::Ignores).await;
        assert_eq!((outcome, connections), (Outcome::Conflict, 2));
    });
}

/// Guards against a copy that counts although it names another call.
#[test]
fn send_after_named_copy() {
    block_on(async {
        let (outcome, connections) = query_and_send(Naming::Repeats).await;
        assert_eq!((outcome, connections), (Outcome::Unknown, 1));
    });
}
