//! Tests of the division of file descriptors among the ports, and of `--check` with limits that cannot be met.

#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

use std::{fs, process::Command, time::Duration};

use buckthornmast_config::daemon::Limits;
use buckthornmast_daemon::descriptors::{self, Shares};
use buckthornmast_types::size::Bytes;

fn limits(
    exchanges: Option<usize>,
    connections: Option<usize>,
    reserved_descriptors: Option<usize>,
) -> Limits {
    Limits {
        exchanges,
        connections,
        reserved_descriptors,
        body: Bytes::mib(1),
        deadline: Duration::from_secs(30),
        max_deadline: Duration::from_secs(600),
        token_gap: Duration::from_secs(2),
    }
}

/// Guards against shares that add up to more than the limit or leave none for callers.
#[test]
fn share_table() {
    let share = |limit, limits: &Limits| {
        let shares: Result<Shares, _> = descriptors::share(limit, limits);
        let shares = shares.map(|shares| (shares.connections, shares.exchanges));
        shares.map_err(|error| error.to_string())
    };
    let none = limits(None, None, None);
    // The expected values are connections and exchanges of callers.
    assert_eq!(share(256, &none), Ok((80, 48)));
    assert_eq!(share(1024, &none), Ok((480, 288)));
    assert_eq!(share(20_000, &none), Ok((8192, 2000)));
    assert_eq!(share(usize::MAX, &none), Ok((8192, 2000)));
    assert_eq!(share(1024, &limits(Some(100), None, None)), Ok((668, 100)));
    assert_eq!(share(1024, &limits(None, Some(500), None)), Ok((500, 268)));
    assert_eq!(share(1024, &limits(None, None, Some(624))), Ok((250, 150)));
    // More exchanges than connections never happen, so they need no descriptors.
    assert_eq!(
        share(1024, &limits(Some(2000), Some(300), None)),
        Ok((300, 2000))
    );
    for (limit, limits) in [
        (64, none.clone()),
        (128, none.clone()),
        (1024, limits(Some(2000), None, None)),
        (1024, limits(None, Some(800), None)),
        (1024, limits(Some(300), Some(600), None)),
        (1024, limits(None, None, Some(1024))),
    ] {
        let refused = share(limit, &limits).unwrap_err();
        assert!(refused.contains(&format!("is {limit}")), "{refused}");
    }
    for limit in 132..2000 {
        let shares = descriptors::share(limit, &none).unwrap();
        let reserve = 128.max(limit / 4);
        assert!(
            shares.connections + shares.exchanges + reserve <= limit,
            "{limit}: {shares:?}"
        );
        assert!(shares.connections > shares.exchanges, "{limit}: {shares:?}");
        assert!(
            shares.operators + shares.targets <= reserve / 2,
            "{limit}: {shares:?}"
        );
    }
}

/// Guards against settings that pass `--check` although the process cannot meet them.
#[test]
fn check_limit() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("a.ini");
    let settings = |limits: &str| {
        let digits = "0123456789abcdef".repeat(4);
        format!(
            "[instance]\nname = a\ndomain = north\ndata = d\n[listen]\ncallers = 127.0.0.1:1\n\
             operators = 127.0.0.1:2\ntargets = 127.0.0.1:3\npeers = 127.0.0.1:4\n\
             heartbeat = 127.0.0.1:4\n[keys]\ncluster = {digits}\n\
             platform-token-sha256 = {digits}\ntargets = t\n[peer a]\ndomain = north\n\
             address = 127.0.0.1:4\nheartbeat = 127.0.0.1:4\nvoter = yes\n{limits}"
        )
    };
    for (limits, fault) in [
        ("", ""),
        ("[limits]\nconnections = 300\n", "need 301 file descriptors"),
        (
            "[limits]\nconnections = 0\n",
            "connections: 0 is not a count",
        ),
        ("[limits]\nreserve = 256\n", "reserve of 256"),
    ] {
        fs::write(&file, settings(limits)).unwrap();
        let output = Command::new("/bin/sh")
            .args(["-c", "ulimit -n 256; exec \"$0\" \"$@\""])
            .arg(env!("CARGO_BIN_EXE_buckthornmastd"))
            .arg("--config")
            .arg(&file)
            .arg("--check")
            .output()
            .unwrap();
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(
            output.status.success(),
            fault.is_empty(),
            "{limits}: {text}"
        );
        assert!(text.contains(fault), "{limits}: {text}");
    }
}
