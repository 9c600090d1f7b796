//! Exhausted file descriptors. The limit applies to the process, so this test has its own file.

#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

use std::{fs::File, io, net::TcpListener, time::Duration};

use buckthornmast_target::{
    engine::{Call, Endpoint, Plain},
    error::Cause,
    mapping::Http,
};
use buckthornmast_types::outcome::Execution;

/// Guards against a lack of descriptors in this process that is counted as a failure of a healthy target.
#[test]
fn forward_without_descriptors() {
    rlimit::setrlimit(rlimit::Resource::NOFILE, 64, 64).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let endpoint = Endpoint {
        target: "t".parse().unwrap(),
        address: listener.local_addr().unwrap(),
        token: None,
    };
    let call = Call {
        method: "GET".to_owned(),
        path: "/".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
    };
    let forward = || {
        let bound = Duration::from_millis(300);
        Http.forward(&endpoint, &call, bound).unwrap_err()
    };
    // The first call starts the runtime of the clients, which needs descriptors itself. No request is answered, so the
    // call times out.
    assert!(matches!(
        forward().cause,
        Cause::TimedOut { .. } | Cause::Disconnected { .. }
    ));
    // The client closes the connection in the background; a descriptor that it frees later would serve the second call.
    let (mut connection, _) = listener.accept().unwrap();
    io::copy(&mut connection, &mut io::sink()).unwrap();
    drop(connection);
    let mut files = Vec::new();
    while let Ok(file) = File::open("/dev/null") {
        files.push(file);
    }
    let error = forward();
    assert!(
        matches!(error.cause, Cause::LocalResource { .. }),
        "{error}"
    );
    assert_eq!(error.execution(), Execution::No, "{error}");
    drop(files);
    assert!(matches!(
        forward().cause,
        Cause::TimedOut { .. } | Cause::Disconnected { .. }
    ));
}
