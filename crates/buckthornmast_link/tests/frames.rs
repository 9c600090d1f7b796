//! Frames over real connections on loopback.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use buckthornmast_link::{Frame, Link, MAX_FRAME_BYTES, MAX_QUEUED_FRAMES, Timing};
use tokio::{io::AsyncWriteExt, net::TcpListener, net::TcpStream};

/// Bound that only a hang exceeds.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// Timing without heartbeats in the time of a test.
fn timing() -> Timing {
    Timing {
        heartbeat: HANG_TIMEOUT,
        idle_timeout: HANG_TIMEOUT,
        ..Timing::default()
    }
}

async fn pair() -> (Link<String, String>, Link<String, String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (connected, accepted) = tokio::join!(Link::connect(address, timing()), listener.accept());
    let (stream, peer) = accepted.unwrap();
    (
        connected.unwrap(),
        Link::start(stream, peer, timing()).unwrap(),
    )
}

async fn receive(link: &Link<String, String>) -> Option<String> {
    let message = tokio::time::timeout(HANG_TIMEOUT, link.inbox.recv_async());
    message.await.unwrap().ok()
}

fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.unwrap().block_on(test);
}

/// Guards against a message that can't be sent and takes others of its batch, or the connection, with it.
#[test]
fn send_too_large() {
    block_on(async {
        let (one, other) = pair().await;
        assert!(one.outbox.send(&"first".to_owned()));
        assert!(!one.outbox.send(&"x".repeat(MAX_FRAME_BYTES + 1)));
        assert!(one.outbox.send(&"second".to_owned()));
        assert_eq!(receive(&other).await.as_deref(), Some("first"));
        assert_eq!(receive(&other).await.as_deref(), Some("second"));
    });
}

/// Guards against a sender that doesn't learn that its peer has fallen behind.
#[test]
fn send_to_slow_peer() {
    block_on(async {
        let (one, _other) = pair().await;
        // Nothing is written before this task waits, so the queue alone takes them.
        let frame = Frame::encode(&"message".to_owned()).unwrap();
        let sent = (0..=MAX_QUEUED_FRAMES).filter(|_| one.outbox.send_frame(frame.clone()));
        assert_eq!(sent.count(), MAX_QUEUED_FRAMES);
    });
}

/// Guards against a peer whose bytes are no frames, or frames that are no messages, and that ends more than its own
/// connection.
#[test]
fn receive_malformed() {
    // The first piece announces a frame that is too large, the second one holds no text.
    for piece in [&[0xff; 64][..], &[0, 0, 0, 2, 0x01, 0xff]] {
        block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let mut raw = TcpStream::connect(address).await.unwrap();
            let (stream, peer) = listener.accept().await.unwrap();
            let link = Link::<String, String>::start(stream, peer, timing()).unwrap();
            raw.write_all(piece).await.unwrap();
            assert_eq!(receive(&link).await, None);
            let (one, other) = pair().await;
            assert!(one.outbox.send(&"sound".to_owned()));
            assert_eq!(receive(&other).await.as_deref(), Some("sound"));
        });
    }
}

/// Guards against builds that close the connection on messages with more fields at their end, or with fewer.
#[test]
fn receive_from_other_build() {
    type Older = (String,);
    type Newer = (String, Option<String>, Vec<u8>);
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let older = Link::<Older, Older>::connect(address, timing());
        let (older, accepted) = tokio::join!(older, listener.accept());
        let (stream, peer) = accepted.unwrap();
        let newer = Link::<Newer, Newer>::start(stream, peer, timing()).unwrap();
        let older = older.unwrap();
        assert!(older.outbox.send(&("old".to_owned(),)));
        let received = newer.inbox.recv_async().await.unwrap();
        assert_eq!(received, ("old".to_owned(), None, Vec::new()));
        assert!(
            newer
                .outbox
                .send(&("new".to_owned(), Some("more".to_owned()), vec![7]))
        );
        let received = older.inbox.recv_async().await.unwrap();
        assert_eq!(received, ("new".to_owned(),));
    });
}
