//! Platform of the tests, and scripted targets on loopback.

use std::{future::Future, net::SocketAddr, time::Duration};

use buckthornmast_forward::mapping::{Answer, Head, Malformed, Mapping, TargetHeaders};
use buckthornmast_node::{
    orders::Orders,
    platform::{Call, Fence, Platform},
};
use buckthornmast_routes::document::Document;
use buckthornmast_supply::order::{Action, Order, Outcome, Report};
use buckthornmast_types::id;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, request, response};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::{JoinHandle, LocalSet},
    time::sleep,
};

/// Platform whose targets answer orders by their status and queries with the number of orders. The header `name` names a
/// call.
#[derive(Debug, Clone)]
pub(crate) struct Plain;

impl Mapping for Plain {
    fn decode(&self, _: &request::Parts) -> Result<Head, Malformed> {
        unimplemented!("targets send no requests here")
    }

    fn encode(&self, _: &mut HeaderMap, _: &TargetHeaders<'_>) {}

    fn decode_answer(&self, head: &response::Parts) -> Answer {
        let name = head.headers.get("name");
        Answer {
            request: name.and_then(|name| name.to_str().ok()).map(Into::into),
            ..Answer::default()
        }
    }
}

impl Platform for Plain {
    type Headers = Self;

    fn headers(&self) -> Self {
        Self
    }

    fn decode_call(&self, _: &Method, _: &str, _: &[u8]) -> Call {
        Call::Unknown
    }

    fn decode_document(&self, _: &[u8]) -> Result<Document, String> {
        Err("no routes".to_owned())
    }

    fn encode_order(&self, _: &Order, _: &Fence) -> Request<Bytes> {
        Request::post("/order").body(Bytes::new()).unwrap()
    }

    fn decode_outcome(&self, answer: &Response<Bytes>) -> Outcome {
        match answer.status().as_u16() {
            200 => Outcome::Holds,
            202 => Outcome::Accepted,
            409 => Outcome::Conflict,
            _ => Outcome::Unknown,
        }
    }

    fn encode_query(&self, _: &id::Target) -> Request<Bytes> {
        Request::get("/report").body(Bytes::new()).unwrap()
    }

    fn name_call(&self, headers: &mut HeaderMap, name: &str) {
        headers.insert("name", name.parse().unwrap());
    }

    fn decode_report(&self, answer: &Response<Bytes>) -> Result<Report, String> {
        let text = std::str::from_utf8(answer.body()).map_err(|error| error.to_string())?;
        let accepted = text.trim().parse();
        Ok(Report {
            accepted: accepted.map_err(|error| format!("{error}"))?,
            is_busy: false,
            resident: Vec::new(),
            arriving: Vec::new(),
            incarnation: None,
            is_leaving: false,
        })
    }
}

/// End of the answer of a target.
#[derive(Debug, Clone, Copy)]
pub(crate) enum End {
    /// Closes the connection.
    Close,
    /// Sends nothing more.
    Hang,
    /// Sends bytes over and over, with a pause in between.
    Endless(&'static str, Duration),
}

/// Starts a target that answers one request, and ends once its connection is closed.
async fn start_target(answer: &'static str, end: End) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let target = tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4096];
        let _ = stream.read(&mut request).await;
        let _ = stream.write_all(answer.as_bytes()).await;
        match end {
            End::Close => {}
            End::Hang => {
                let _ = stream.read(&mut request).await;
            }
            End::Endless(piece, pause) => {
                let bytes = piece.repeat(if pause.is_zero() { 4096 } else { 1 });
                while stream.write_all(bytes.as_bytes()).await.is_ok() {
                    if !pause.is_zero() {
                        sleep(pause).await;
                    }
                }
            }
        }
    });
    (address, target)
}

/// Sends an order to a target that answers like this, and waits until the target ends.
pub(crate) async fn send(orders: &Orders<Plain>, answer: &'static str, end: End) -> Outcome {
    let (address, target) = start_target(answer, end).await;
    let outcome = send_to(orders, address).await;
    target.await.unwrap();
    outcome
}

/// Sends an order to a target.
pub(crate) async fn send_to(orders: &Orders<Plain>, address: SocketAddr) -> Outcome {
    let order = Order {
        target: "t1".parse().unwrap(),
        incarnation: id::Incarnation(1),
        action: Action::Load("m1".parse().unwrap()),
        expected: 0,
    };
    let fence = Fence {
        holder: "core-1".parse().unwrap(),
        term: id::Term(1),
    };
    orders.send(&order, address, &fence).await
}

/// Queries a target that answers like this, and waits until it ends. Returns the number of orders that it reports.
pub(crate) async fn query(orders: &Orders<Plain>, answer: &'static str, end: End) -> Option<u64> {
    let (address, target) = start_target(answer, end).await;
    let name = "t1".parse().unwrap();
    let report = orders.query(&name, id::Incarnation(1), address).await;
    target.await.unwrap();
    report.map(|report| report.accepted)
}

/// Runs a test on one thread.
pub(crate) fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.unwrap().block_on(LocalSet::new().run_until(test));
}
