//! Requests for confirmations of the newest version, also between builds.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use buckthornmast_link::{Link, Timing};
use buckthornmast_node::{
    message::{Downstream, UNDERSTANDS_CONFIRMATIONS, Upstream},
    supplier::Supplier,
};
use buckthornmast_routes::register::Revision;
use buckthornmast_types::id;
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::Builder,
    task::LocalSet,
};

/// Guards against messages that other builds take for others.
#[test]
fn encode_at_end() {
    let request = postcard::to_stdvec(&Upstream::ConfirmRequest { number: 7 }).unwrap();
    assert_eq!(request, [16, 7]);
    let confirmation = Downstream::Confirmation {
        number: 7,
        version: Revision(3),
    };
    assert_eq!(postcard::to_stdvec(&confirmation).unwrap(), [17, 7, 3]);
    let count = postcard::to_stdvec(&Downstream::EntryCount(7, UNDERSTANDS_CONFIRMATIONS)).unwrap();
    let older: u32 = postcard::from_bytes(&count[1..]).unwrap();
    assert_eq!(older, 7);
}

/// Guards against a request to a leader of an older build, which would close the connection, also after a leader that
/// understood it was replaced.
#[test]
fn request_of_builds() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let peer = listener.local_addr().unwrap();
        let stream = TcpStream::connect(peer).await.unwrap();
        let entry: Link<Downstream, Upstream> =
            Link::start(stream, peer, Timing::default()).unwrap();
        let (stream, from) = listener.accept().await.unwrap();
        let core: Link<Upstream, Downstream> =
            Link::start(stream, from, Timing::default()).unwrap();
        let supplier = Supplier::default();
        assert!(!supplier.can_confirm(), "no leader");
        supplier.opened(peer, entry.outbox.clone());
        supplier.set_leading_term(peer, Some(id::Term(1)));
        assert!(!supplier.can_confirm(), "older build");
        supplier.set_confirms(peer);
        assert!(supplier.can_confirm());
        supplier.request_confirmation(7);
        let received = core.inbox.recv_async().await.unwrap();
        assert!(matches!(received, Upstream::ConfirmRequest { number: 7 }));
        supplier.opened(peer, entry.outbox.clone());
        supplier.set_leading_term(peer, Some(id::Term(2)));
        assert!(!supplier.can_confirm(), "older build at the same address");
    });
}
