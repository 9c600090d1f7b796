//! Settings of the daemon: accepted files and the faults reported for others.

use buckthornmast_config::prelude::*;

const GOOD: &str = "\
[instance]
name = a1
domain = north
data = /var/lib/buckthornmast

[listen]
callers = 127.0.0.1:8080
operators = 127.0.0.1:8081
targets = 127.0.0.1:8082
peers = 127.0.0.1:8083
heartbeat = 127.0.0.1:8083

[keys]
cluster = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
platform-token-sha256 = e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855
targets = secret

[peer a1]
domain = north
address = 127.0.0.1:8083
heartbeat = 127.0.0.1:8083
voter = yes
";

/// Guards against a valid file being refused.
#[test]
fn parse_good_file() {
    let settings = Settings::parse("a1.ini", GOOD).unwrap();
    assert_eq!(settings.instance.as_str(), "a1");
    assert!(settings.own_peer().unwrap().is_voter);
}

/// Guards against a fault that is not reported, or that is reported without its location.
#[test]
fn parse_fault_table() {
    let cases = [
        (
            "domain = north\ndata",
            "domain = North\ndata",
            "a1.ini:3: [instance] domain: ",
        ),
        ("name = a1\n", "", "a1.ini:1: [instance] name: missing"),
        (
            "callers = 127.0.0.1:8080",
            "callers = here",
            "a1.ini:7: [listen] callers: ",
        ),
        ("[keys]", "[keyes]", "a1.ini:13: [keyes] unknown section"),
        (
            "targets = secret",
            "targets = secret\ncolour = red",
            "[keys] colour: unknown key",
        ),
        (
            "cluster = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
            "cluster = x",
            "a1.ini:14: [keys] cluster: not a secret",
        ),
        (
            "voter = yes",
            "voter = maybe",
            "a1.ini:22: [peer a1] voter: \"maybe\" is not yes or no",
        ),
        (
            "voter = yes",
            "voter = no",
            "a1.ini: no peer has voter = yes",
        ),
        (
            "data = /var/lib/buckthornmast\n",
            "",
            "[instance] data: missing",
        ),
        (
            "[peer a1]",
            "[peer a2]",
            "[peer a1] missing, expected this instance",
        ),
        (
            "[peer a1]",
            "[instance]\n[peer a1]",
            "a1.ini:18: [instance] section is repeated",
        ),
        (
            "name = a1",
            "name = a1\nname = a2",
            "a1.ini:3: [instance] name: key is repeated",
        ),
        ("[instance]", "[instance", "a1.ini"),
    ];
    for (from, to, expected) in cases {
        assert!(GOOD.contains(from), "the case does not apply: {from}");
        let faults = Settings::parse("a1.ini", &GOOD.replacen(from, to, 1)).unwrap_err();
        let texts: Vec<_> = faults.iter().map(ToString::to_string).collect();
        assert!(
            texts.iter().any(|text| text.contains(expected)),
            "{expected:?} not in {texts:?}"
        );
    }
}

/// Guards against a check that stops at the first fault.
#[test]
fn parse_reports_every_fault() {
    let text = GOOD
        .replace("127.0.0.1:8080", "x")
        .replace("voter = yes", "voter = 1");
    assert!(Settings::parse("a1.ini", &text).unwrap_err().len() >= 2);
}

/// Guards against panics on arbitrary files.
#[test]
fn parse_arbitrary_text() {
    // A seed is one case, and its low 32 bits are the number of random bytes.
    for number in 0..3_000 {
        arbtest::arbtest(|u| {
            let position = u.choose_index(GOOD.len())?;
            let len = u.int_in_range(0..=80)?;
            let text = String::from_utf8_lossy(u.bytes(len)?).into_owned();
            let _ = Settings::parse("x", &text);
            let _ = Settings::parse(
                "x",
                &format!("{}{text}{}", &GOOD[..position], &GOOD[position..]),
            );
            Ok(())
        })
        .seed(number << 32 | 128);
    }
}
