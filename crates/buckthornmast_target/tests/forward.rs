//! Calls to plain services whose targets send slow, truncated or unusual answers.

#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

use std::{
    io::{Read, Write},
    net::TcpListener,
    sync::mpsc,
    thread,
    time::Duration,
};

use buckthornmast_target::{
    engine::{Answer, Call, Endpoint, Engine, Plain},
    error::{Cause, Error},
    mapping::Http,
};
use buckthornmast_types::{
    id,
    order::{Action, Order},
    outcome::Execution,
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

/// Returns the endpoint of a target that sends the pieces of an answer one after the other, the last one over and over, until
/// its connection is closed.
fn serve_endless(pieces: Vec<&'static str>, pause: Duration) -> (Endpoint, thread::JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let endpoint = Endpoint {
        target: "t".parse().unwrap(),
        address: listener.local_addr().unwrap(),
        token: None,
    };
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4096]);
        let mut pieces = pieces.into_iter().peekable();
        while let Some(piece) = pieces.next() {
            let is_last = pieces.peek().is_none();
            while stream.write_all(piece.as_bytes()).is_ok() && is_last {
                thread::sleep(pause);
            }
        }
    });
    (endpoint, server)
}

/// Beginnings of answers, each with the piece that follows without end.
const ENDLESS: [(&str, &str); 8] = [
    ("HTTP/1.1 200 ", "aaaaaaaaaaaaaaaa"),
    ("HTTP/1.1 200 OK\r\nX: ", "aaaaaaaaaaaaaaaa"),
    ("HTTP/1.1 200 OK\r\n", "X: a\r\nX: a\r\n"),
    ("HTTP/1.1 102 P\r\n\r\n", "HTTP/1.1 102 P\r\n\r\n"),
    ("HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaaaaaaaaaa"),
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
        "aaaaaaaaaaaaaaaa",
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "4\r\naaaa\r\n",
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n",
        "X: a\r\n",
    ),
];

/// Guards against bytes without end that occupy the thread of a call, or look like its answer. Fast ones reach a bound in
/// bytes, slow ones the one in time.
#[test]
fn forward_endless() {
    let cases = ENDLESS.into_iter().flat_map(|(head, piece)| {
        [Duration::ZERO, Duration::from_millis(5)].map(|pause| (head, piece, pause))
    });
    let calls: Vec<_> = cases
        .map(|(head, piece, pause)| {
            let (endpoint, server) = serve_endless(vec![head, piece], pause);
            let call = Call {
                method: "GET".to_owned(),
                path: "/".to_owned(),
                headers: Vec::new(),
                body: Vec::new(),
            };
            let bound = Duration::from_millis(600);
            let call = thread::spawn(move || Http.forward(&endpoint, &call, bound));
            (head, call, server)
        })
        .collect();
    for (head, call, server) in calls {
        let result = call.join().unwrap();
        let execution = result.map_err(|error| error.execution());
        assert_eq!(execution, Err(Execution::Unknown), "{head:?}");
        server.join().unwrap();
    }
}

/// Guards against bytes without end that hold the sender of an order, though each byte arrives within its time limit.
#[test]
fn order_endless() {
    let order = Order {
        id: id::Order::generate(),
        target: "t".parse().unwrap(),
        incarnation: id::Incarnation(1),
        token: id::Token(1),
        action: Action::Fence,
    };
    let calls = ENDLESS.map(|(head, piece)| {
        let order = order.clone();
        let (report, reports) = mpsc::channel();
        let (endpoint, server) = serve_endless(vec![head, piece], Duration::from_millis(300));
        let call = thread::spawn(move || report.send(Http.order(&endpoint, &order, HANG_TIMEOUT)));
        (head, reports, call, server)
    });
    for (head, reports, call, server) in calls {
        let result = reports.recv_timeout(HANG_TIMEOUT);
        let result = result.unwrap_or_else(|error| panic!("{head:?}: {error}"));
        let execution = result.map_err(|error| error.execution());
        assert_eq!(execution, Err(Execution::Unknown), "{head:?}");
        call.join().unwrap().unwrap();
        server.join().unwrap();
    }
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
