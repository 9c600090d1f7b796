//! Calls to plain services whose targets send slow, truncated or unusual answers.

#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::Duration,
};

use buckthornmast_target::{
    engine::{Answer, Call, Endpoint, Plain},
    error::{Cause, Error},
    mapping::Http,
};

/// Forwards a call to a server that sends the pieces of an answer one after the other and closes. Returns the result
/// and the request that the server received.
fn forward(
    pieces: Vec<&'static str>,
    pause: Duration,
    headers: &[(&str, &str)],
    bound: Duration,
) -> (Result<Answer, Error>, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let endpoint = Endpoint {
        target: "t".parse().unwrap(),
        address: listener.local_addr().unwrap(),
        token: None,
    };
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = vec![0; 4096];
        let read = stream.read(&mut request).unwrap();
        for piece in pieces {
            if stream.write_all(piece.as_bytes()).is_err() {
                break;
            }
            thread::sleep(pause);
        }
        String::from_utf8_lossy(&request[..read]).into_owned()
    });
    let headers = headers.iter().copied();
    let call = Call {
        method: "GET".to_owned(),
        path: "/".to_owned(),
        headers: headers
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect(),
        body: Vec::new(),
    };
    let result = Http.forward(&endpoint, &call, bound);
    // If the call sent nothing, it may not have connected either, and the server would wait for a connection.
    let _ = std::net::TcpStream::connect(endpoint.address);
    (result, server.join().unwrap())
}

/// Time limit that only ends a hanging test.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against a target that sends its answer byte by byte, so that the caller is answered after its deadline and
/// a thread is occupied for hours.
#[test]
fn forward_trickling() {
    let mut pieces = vec!["HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n"];
    pieces.extend(["a"; 30]);
    let pause = Duration::from_millis(100);
    let (result, _) = forward(pieces, pause, &[], Duration::from_millis(500));
    let cause = result.map_err(|error| error.cause);
    assert!(matches!(cause, Err(Cause::TimedOut { .. })), "{cause:?}");
}

/// Guards against a truncated answer that is taken as complete: an answer without a length ends in the same way when
/// its target fails.
#[test]
fn forward_without_length() {
    let pieces = vec!["HTTP/1.1 200 OK\r\n\r\nfirst part"];
    let (result, _) = forward(pieces, Duration::ZERO, &[], HANG_TIMEOUT);
    let cause = result.map_err(|error| error.cause);
    assert!(matches!(cause, Err(Cause::Malformed { .. })), "{cause:?}");
}

/// Guards against answers that need no length and are taken as truncated.
#[test]
fn forward_without_body() {
    for head in [
        "HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ] {
        let (result, _) = forward(vec![head], Duration::ZERO, &[], HANG_TIMEOUT);
        assert!(result.is_ok(), "{head:?}: {result:?}");
    }
}

/// Guards against a header that the server accepts and the client refuses to send, so that the target counts as
/// unreachable.
#[test]
fn forward_header_beyond_ascii() {
    let pieces = vec!["HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"];
    let (result, request) = forward(
        pieces,
        Duration::ZERO,
        &[("x-shop", "K\u{e4}the")],
        HANG_TIMEOUT,
    );
    assert!(result.is_ok(), "{result:?}");
    assert!(request.contains("x-shop: K\u{e4}the"), "{request:?}");
}
