//! Subscribers that fall behind.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::{rc::Rc, time::Duration};

use buckthornmast_link::{Link, MAX_QUEUED_FRAMES, Timing};
use buckthornmast_node::{
    message::{Downstream, Upstream},
    subscribers::{Subscriber, Subscribers},
};
use tokio::{net::TcpListener, sync::Notify, time::timeout};

/// Bound that only a hang exceeds.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// Guards against a subscriber that has missed a message but stays connected, so that it is never sent the full state.
#[test]
fn send_until_removed() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (connected, accepted) = tokio::join!(
            Link::<Downstream, Upstream>::connect(address, Timing::default()),
            listener.accept()
        );
        let _peer = connected.unwrap();
        let (stream, peer) = accepted.unwrap();
        let link = Link::<Upstream, Downstream>::start(stream, peer, Timing::default()).unwrap();
        let subscribers = Subscribers::default();
        let removed = Rc::new(Notify::new());
        subscribers.add(Subscriber {
            outbox: link.outbox.clone(),
            instance: "front-1".parse().unwrap(),
            is_core: false,
            way: None,
            sent_ways: Vec::new(),
            removed: Rc::clone(&removed),
        });
        for _ in 0..MAX_QUEUED_FRAMES {
            subscribers.send(&Downstream::EntryCount(1, 0));
        }
        assert_eq!(subscribers.entry_count(), 1);
        subscribers.send(&Downstream::EntryCount(2, 0));
        assert_eq!(subscribers.entry_count(), 0);
        timeout(HANG_TIMEOUT, removed.notified()).await.unwrap();
    });
}
