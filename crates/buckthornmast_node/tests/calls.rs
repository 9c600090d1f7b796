//! Peak memory of this process while many callers send bodies without end. It holds for the whole process, so there is one
//! test in this file.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "helpers of tests may panic"
)]

use std::{fs, net::SocketAddr, rc::Rc};

use ::http::{Request, Response, StatusCode};
use buckthornmast_forward::{memory::Memory, receive::Intake};
use buckthornmast_node::http::{self, Handler, empty_response};
use bytes::Bytes;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::LocalSet,
};

/// Memory of an instance of the core.
const MEMORY_BYTES: usize = 256 << 20;

/// Number of calls at the same time.
const CALLS: usize = 30;

struct Ok;

impl Handler for Ok {
    async fn answer(&self, _: Request<Bytes>) -> Response<Bytes> {
        empty_response(StatusCode::OK)
    }
}

/// Returns the peak memory of this process in kilobytes.
fn peak_kb() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let number = line.unwrap().split_whitespace().nth(1);
    number.unwrap().parse().unwrap()
}

/// Sends a body without end. Returns the beginning of the answer.
async fn call_endless(address: SocketAddr) -> String {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut receive, mut send) = stream.into_split();
    let head = "PUT /instances/i1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    let _ = send.write_all(head.as_bytes()).await;
    let sender = tokio::task::spawn_local(async move {
        let chunk = format!("10000\r\n{}\r\n", "a".repeat(64 << 10));
        while send.write_all(chunk.as_bytes()).await.is_ok() {}
    });
    let mut answer = vec![0; 16];
    // A reset may overtake the answer.
    let read = receive.read(&mut answer).await.unwrap_or(0);
    sender.await.unwrap();
    String::from_utf8_lossy(&answer[..read]).into_owned()
}

/// Guards against calls whose bodies do not end and that together take more memory than an instance has.
#[test]
fn body_endless() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let bodies = Memory::new(http::bodies_bytes(MEMORY_BYTES));
        let intake = Rc::new(Intake::new(bodies));
        let server = http::start(listener, Rc::new(Ok), 2 * CALLS, intake);
        let before = peak_kb();
        let calls = (0..CALLS).map(|_| tokio::task::spawn_local(call_endless(address)));
        for call in calls.collect::<Vec<_>>() {
            let answer = call.await.unwrap();
            assert!(!answer.starts_with("HTTP/1.1 2"), "{answer:?}");
        }
        let added = peak_kb() - before;
        assert!(added < 60 << 10, "{added} KB more at the peak");
        drop(server);
    };
    runtime.unwrap().block_on(LocalSet::new().run_until(test));
}
