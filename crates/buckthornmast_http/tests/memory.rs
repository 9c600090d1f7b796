//! Peak memory of this process while a crowd of clients sends large bodies. It holds for the whole process, so there is one
//! test in this file.
#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

use std::{
    fs,
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use buckthornmast_http::prelude::*;

/// Largest body in bytes.
const BODY_BYTES: usize = 1 << 20;

/// Memory of the server for bodies, in bytes.
const ACCOUNT_BYTES: usize = 8 << 20;

/// Memory in bytes that the process may take beyond that, for connections, threads and the clients of the test.
const BASE_BYTES: usize = 24 << 20;

/// Connections of the crowd. Their bodies take eight times the memory of the server.
const CROWD: usize = 64;

/// Timeout for everything that the test waits for; long enough that only a hang exceeds it.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// Time limit of bodies, which no test reaches.
const BODY_TIMEOUT: Duration = Duration::from_secs(600);

/// Returns the peak memory of this process in bytes.
fn peak() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let number = line.unwrap().split_whitespace().nth(1).unwrap();
    number.parse::<usize>().unwrap() << 10
}

/// Sends a request with an announced length of its body, and as much of the body as the server reads within a second.
fn send(address: SocketAddr, path: &str, announced: usize, sent: usize) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    let head = format!("POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {announced}\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    stream
        .set_write_timeout(Some(Duration::from_secs(1)))
        .unwrap();
    for _ in 0..sent / 4096 {
        if stream.write_all(&[b'x'; 4096]).is_err() {
            return stream;
        }
    }
    // The server may have refused it.
    let _ = stream.write_all(&vec![b'x'; sent % 4096]);
    stream
}

/// Returns the status of an answer.
fn status(mut stream: TcpStream) -> Option<u16> {
    stream.set_read_timeout(Some(HANG_TIMEOUT)).ok()?;
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).ok()?;
    std::str::from_utf8(&answer[9..]).ok()?.parse().ok()
}

/// Returns whether nothing has been received on a connection and it hasn't been closed.
fn is_open(stream: &TcpStream) -> bool {
    stream
        .peek(&mut [0])
        .is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

fn assert_served(address: SocketAddr) {
    let start = Instant::now();
    while status(send(address, "/small", 5, 5)) != Some(200) {
        assert!(
            start.elapsed() < HANG_TIMEOUT,
            "no ordinary request is answered"
        );
        thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against a crowd of bodies that together exceed the memory, while they are received and while their requests run,
/// and that keep others out.
#[test]
fn bodies_crowd() {
    let config = Config {
        body_limit: BODY_BYTES,
        total_body_limit: ACCOUNT_BYTES,
        body_timeout: BODY_TIMEOUT,
        ..Config::default()
    };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let gate = Arc::new(Mutex::new(()));
    let closed = gate.lock().unwrap();
    let waiting = Arc::clone(&gate);
    let running = Arc::new(AtomicUsize::new(0));
    let started = Arc::clone(&running);
    let handler = move |exchange: Exchange| {
        if exchange.path() == "/wait" {
            started.fetch_add(1, Ordering::SeqCst);
            drop(waiting.lock());
        }
        let _ = exchange.respond(Response::new(200));
    };
    let server = server::start(listener, config, handler).unwrap();
    let address = server.address();
    let before = peak();

    let mut whole = Vec::new();
    for _ in 0..CROWD {
        let before = running.load(Ordering::SeqCst);
        let stream = send(address, "/wait", BODY_BYTES, BODY_BYTES);
        stream.set_nonblocking(true).unwrap();
        let start = Instant::now();
        // It runs, or it is refused or closed.
        while running.load(Ordering::SeqCst) == before && is_open(&stream) {
            assert!(
                start.elapsed() < HANG_TIMEOUT,
                "a request is neither run nor refused"
            );
            thread::sleep(Duration::from_millis(1));
        }
        whole.push(stream);
    }
    assert_served(address);
    let stopping: Vec<_> = (0..CROWD)
        .map(|_| send(address, "/small", BODY_BYTES, BODY_BYTES - 1))
        .collect();
    assert_served(address);
    let added = peak() - before;
    println!("{} KiB more at the peak", added >> 10);
    assert!(
        added <= ACCOUNT_BYTES + BASE_BYTES,
        "{} KiB more",
        added >> 10
    );

    drop((closed, stopping, whole));
    assert_served(address);
    let calm = send(address, "/small", BODY_BYTES, BODY_BYTES);
    assert_eq!(status(calm), Some(200), "a large body is served in calm");
}
