//! Daemon with fewer file descriptors than clients.

#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

#[path = "support/press.rs"]
mod press;

use std::{
    fs,
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use buckthornmast_trial::prelude::*;

const MODEL: &str = "catalogue";

/// Descriptor limit of the daemon.
const DESCRIPTOR_LIMIT: u64 = 256;

/// Idle connections that are kept open.
const IDLE_CONNECTIONS: usize = 400;

/// Keeps idle connections open and reopens those that the daemon closes.
fn hold_idle_connections(address: SocketAddr, stop: &AtomicBool) {
    let connect = || {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(stream)
    };
    let mut streams: Vec<Option<TcpStream>> = (0..IDLE_CONNECTIONS).map(|_| connect()).collect();
    while !stop.load(Ordering::Relaxed) {
        for stream in &mut streams {
            let is_open = stream.as_ref().is_some_and(|stream| {
                let peeked = stream.peek(&mut [0]);
                peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
            });
            if !is_open {
                *stream = connect();
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// Guards against idle clients that use up the descriptors which the daemon needs for targets, operators and
/// files, and against a local shortage of descriptors that ejects a healthy engine.
#[test]
fn idle_connections_over_limit() {
    let mut cluster = press::start(&press::THREE[..1]);
    cluster.kill(0);
    cluster.launch_limited(0, DESCRIPTOR_LIMIT).unwrap();
    cluster
        .add_engine("engine-1", "north", &["--token-gap", "20ms"])
        .unwrap();
    cluster.wait_for_model(0, MODEL);
    let ports = cluster.instances[0].ports;
    let open = thread::spawn(move || stream::read(ports.callers, MODEL, "a b", 300));
    let stop = Arc::new(AtomicBool::new(false));
    let holder = thread::spawn({
        let stop = Arc::clone(&stop);
        move || hold_idle_connections(ports.callers, &stop)
    });
    thread::sleep(Duration::from_secs(1));
    let mut failed = Vec::new();
    for round in 0..20 {
        let outcome = stream::read(ports.callers, MODEL, "c", 5);
        if !outcome.is_complete || outcome.tokens != stream::expected_tokens("c", 5) {
            failed.push(format!("{round}: {outcome:?}"));
        }
        let status = caller::operator_get(ports.operators, "/v1/status");
        if status.status != 200 {
            failed.push(format!("{round}: status {status:?}"));
        }
        // Without descriptors each further request would wait for its timeout.
        if !failed.is_empty() {
            break;
        }
    }
    stop.store(true, Ordering::Relaxed);
    holder.join().unwrap();
    let open = open.join().unwrap();
    let log = fs::read_to_string(cluster.log_file(0)).unwrap();
    let errors = log.matches("os error 24").count();
    assert!(
        failed.is_empty(),
        "{} failed, {errors} times no descriptor: {failed:#?}",
        failed.len()
    );
    assert!(open.is_complete, "{open:?}");
    assert_eq!(open.tokens, stream::expected_tokens("a b", 300));
    assert_eq!(errors, 0, "descriptors ran out");
}

/// Guards against more requests in progress than the descriptors allow, and against refusals that do not state
/// that the request was not run.
#[test]
fn streams_over_limit() {
    let mut cluster = press::start(&press::THREE[..1]);
    cluster.kill(0);
    cluster.launch_limited(0, DESCRIPTOR_LIMIT).unwrap();
    cluster
        .add_engine("engine-1", "north", &["--token-gap", "10ms"])
        .unwrap();
    cluster.wait_for_model(0, MODEL);
    let ports = cluster.instances[0].ports;
    let open = |_| thread::spawn(move || stream::read(ports.callers, MODEL, "a b", 50));
    let callers: Vec<_> = (0..200).map(open).collect();
    thread::sleep(Duration::from_millis(200));
    let status = caller::operator_get(ports.operators, "/v1/status");
    assert_eq!(status.status, 200, "{status:?}");
    let streams: Vec<_> = callers
        .into_iter()
        .map(|caller| caller.join().unwrap())
        .collect();
    for outcome in streams.iter().filter(|outcome| outcome.status == 200) {
        assert!(outcome.is_complete, "{outcome:?}");
        assert_eq!(outcome.tokens, stream::expected_tokens("a b", 50));
    }
    let count = |status| {
        streams
            .iter()
            .filter(|stream| stream.status == status)
            .count()
    };
    println!(
        "{} complete, {} refused, {} closed",
        count(200),
        count(503),
        count(0)
    );
    assert!(count(200) > 0 && count(503) > 0, "{streams:#?}");
    assert_eq!(count(200) + count(503) + count(0), 200, "{streams:#?}");
    let last = stream::read(ports.callers, MODEL, "c", 5);
    assert!(last.is_complete, "{last:?}");
    let log = fs::read_to_string(cluster.log_file(0)).unwrap();
    assert!(!log.contains("os error 24"), "descriptors ran out");
}

/// Sends a chat request on an open connection and returns the complete answer.
fn chat(stream: &mut TcpStream) -> String {
    let body = caller::chat_body(MODEL, "a", 1, false);
    let length = body.len();
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    let mut buffer = [0; 4096];
    loop {
        let read = stream.read(&mut buffer).unwrap();
        assert!(read > 0, "closed after {answer:?}");
        answer.push_str(std::str::from_utf8(&buffer[..read]).unwrap());
        // The body is one JSON object without a line break.
        if answer.contains("\r\n\r\n{") && answer.ends_with('}') {
            return answer;
        }
    }
}

/// Guards against a daemon that treats its own shortage of descriptors as an unreachable engine: the engine would
/// stay ejected after the shortage has ended.
#[test]
fn descriptor_shortage_keeps_engine() {
    let mut cluster = press::start(&press::THREE[..1]);
    cluster.add_engine("engine-1", "north", &[]).unwrap();
    cluster.wait_for_model(0, MODEL);
    let mut stream = TcpStream::connect(cluster.instances[0].ports.callers).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(60)))
        .unwrap();
    let before = chat(&mut stream);
    assert!(before.starts_with("HTTP/1.1 200 "), "{before}");
    // The ten lowest descriptors are in use for as long as the daemon runs, so none can be opened.
    cluster.limit_descriptors(0, 10).unwrap();
    let answers: Vec<String> = (0..6).map(|_| chat(&mut stream)).collect();
    cluster.limit_descriptors(0, 1024).unwrap();
    let after = chat(&mut stream);
    for answer in answers {
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert!(answer.contains("instance out of resources"), "{answer}");
        assert!(answer.contains("\"run\":\"no\""), "{answer}");
        assert!(answer.to_lowercase().contains("retry-after: 1"), "{answer}");
    }
    assert!(after.starts_with("HTTP/1.1 200 "), "{after}");
}
