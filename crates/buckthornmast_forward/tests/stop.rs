//! Connections of callers around the stop of a server.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::{
    cell::RefCell,
    future::Future,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
    time::Duration,
};

use buckthornmast_forward::{
    forwarder::Forwarder,
    mapping::{Answer, Head, Malformed, Mapping, TargetHeaders},
    server::{Bounds, Phase, Server},
    state::{RetryBounds, State},
    supply::{Availability, Item, Permit, PermitRequest, Supply, Usage},
};
use buckthornmast_limit::{account, statement::Report};
use buckthornmast_origin::{
    inquiry::{Finding, Question},
    record::Record,
};
use buckthornmast_quarantine::{ledger::Evidence, part::Set};
use buckthornmast_quota::credit::Claim;
use buckthornmast_types::{id, time::System};
use http::{HeaderMap, request, response};
use tokio::{net::TcpListener, task::LocalSet, time::sleep};

struct NoHeaders;

impl Mapping for NoHeaders {
    fn decode(&self, _: &request::Parts) -> Result<Head, Malformed> {
        Err(Malformed {
            header: "none",
            reason: "there are no routes here",
        })
    }

    fn encode(&self, _: &mut HeaderMap, _: &TargetHeaders<'_>) {}

    fn decode_answer(&self, _: &response::Parts) -> Answer {
        Answer::default()
    }
}

struct NoSupply;

impl Supply for NoSupply {
    async fn request_copy(&self, _: Item) -> Availability {
        Availability::No
    }

    fn record_demand(&self, _: &Item) {}

    fn report_down(&self, _: &id::Target, _: id::Incarnation) {}

    async fn request_permit(&self, _: PermitRequest) -> Permit {
        Permit::Unknown
    }

    async fn request_grant(&self, _: account::Request) -> Option<account::Answer> {
        None
    }

    fn report_limit(&self, _: Report) {}

    fn claim_credit(&self, _: Claim) {}

    fn report_crash(&self, _: &Evidence) {}

    fn report_progress(&self, _: &Set) {}

    fn report_origin(&self, _: Record) {}

    async fn find_origin(&self, _: Question) -> Finding {
        Finding::Nowhere
    }

    fn report_usage(&self, _: &Item, _: Usage) {}
}

/// Starts a server without routes, which refuses each request.
async fn start() -> (Server, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let retry_bounds = RetryBounds {
        ratio: 0.2,
        burst: 10.0,
        window: Duration::from_secs(10),
    };
    let forwarder = Forwarder {
        mapping: NoHeaders,
        supply: NoSupply,
        clock: System::start(),
        instance: "entry-1".parse().unwrap(),
        domain: "d1".parse().unwrap(),
        state: Rc::new(RefCell::new(State::new(retry_bounds))),
    };
    let bounds = Bounds {
        connections: 100,
        idle: Duration::from_secs(60),
    };
    let server = Server::start(listener, bounds, Rc::new(forwarder));
    (server, address)
}

/// Connects without letting the server run.
fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    // Only a hang exceeds it.
    stream
        .set_read_timeout(Some(Duration::from_secs(60)))
        .unwrap();
    stream
}

fn send(stream: &mut TcpStream) {
    stream
        .write_all(b"GET /x HTTP/1.1\r\nHost: shop.example\r\n\r\n")
        .unwrap();
}

/// Reads the answer on a thread of its own, while the server runs.
async fn receive(mut stream: TcpStream) -> String {
    let answer = tokio::task::spawn_blocking(move || {
        let mut answer = String::new();
        // A reset connection leaves the answer as it is.
        let _ = stream.read_to_string(&mut answer);
        answer
    });
    answer.await.unwrap()
}

fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.unwrap().block_on(LocalSet::new().run_until(test));
}

fn assert_refused_and_closed(answer: &str) {
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
    assert!(
        answer.to_lowercase().contains("connection: close"),
        "{answer:?}"
    );
}

/// Guards against requests on established connections that are cut because the server has not accepted them yet when it
/// closes.
#[test]
fn close_before_accept() {
    block_on(async {
        let (server, address) = start().await;
        server.set_phase(Phase::Closing);
        let mut streams: Vec<TcpStream> = (0..40).map(|_| connect(address)).collect();
        streams.iter_mut().for_each(send);
        server.set_phase(Phase::Closed);
        let answers = streams
            .into_iter()
            .map(|stream| tokio::task::spawn_local(receive(stream)));
        for answer in answers.collect::<Vec<_>>() {
            assert_refused_and_closed(&answer.await.unwrap());
        }
    });
}

/// Guards against a request that is cut because its connection was idle when the server closed, although the request had
/// arrived.
#[test]
fn close_before_read() {
    block_on(async {
        let (server, address) = start().await;
        let mut stream = connect(address);
        while server.connections() == 0 {
            sleep(Duration::from_millis(1)).await;
        }
        server.set_phase(Phase::Closing);
        send(&mut stream);
        server.set_phase(Phase::Closed);
        assert_refused_and_closed(&receive(stream).await);
        while server.connections() > 0 {
            sleep(Duration::from_millis(1)).await;
        }
    });
}

/// Guards against idle connections that stay open after the close, and keep the process from ending.
#[test]
fn close_idle() {
    block_on(async {
        let (server, address) = start().await;
        let stream = connect(address);
        while server.connections() == 0 {
            sleep(Duration::from_millis(1)).await;
        }
        server.set_phase(Phase::Closed);
        assert_eq!(receive(stream).await, "");
        while server.connections() > 0 {
            sleep(Duration::from_millis(1)).await;
        }
    });
}
