//! Text forms of identifiers, artifacts, sizes and rates.

use buckthornmast_types::prelude::*;

/// Guards against labels that would break paths, headers or log lines.
#[test]
fn label_bad_input() {
    let long = "a".repeat(64);
    for bad in ["", "A", "a b", "-a", "a/b", "ä", "a\n", long.as_str()] {
        assert!(bad.parse::<id::Team>().is_err(), "{bad:?} was accepted");
    }
    for good in ["a", "macon-a", "7b.v2_x"] {
        assert_eq!(
            good.parse::<id::Team>().map(|id| id.to_string()).as_deref(),
            Ok(good)
        );
    }
}

/// Guards against an artifact that changes when its text form is parsed.
#[test]
fn artifact_round_trip() {
    for text in ["m@1", "m@1+a@2"] {
        let artifact: Artifact = text.parse().unwrap();
        assert_eq!(artifact.to_string(), text);
    }
    for bad in ["", "m", "m@", "@1", "m@1+a", "m@1+a@2+b@3"] {
        assert!(bad.parse::<Artifact>().is_err(), "{bad:?} was accepted");
    }
}

/// Guards against panics on arbitrary text from the network.
#[test]
fn parse_arbitrary_text() {
    // Each seed is one case; its low 32 bits are the number of random bytes.
    for number in 0..20_000 {
        arbtest::arbtest(|u| {
            let len = u.int_in_range(0..=40)?;
            let text = String::from_utf8_lossy(u.bytes(len)?).into_owned();
            let _ = text.parse::<id::Target>();
            let _ = text.parse::<Artifact>();
            let _ = text.parse::<Bytes>();
            let _ = text.parse::<Rate>();
            let _ = text.parse::<id::Key>();
            Ok(())
        })
        .seed(number << 32 | 64);
    }
}

/// Guards against negative, infinite or NaN rates, which would corrupt later arithmetic.
#[test]
fn rate_bad_input() {
    for bad in ["-1", "inf", "nan", "", "1/s"] {
        assert!(bad.parse::<Rate>().is_err(), "{bad:?} was accepted");
    }
}

/// Guards against keys without a time, which could outlive the retention of claims.
#[test]
fn key_time() {
    let key = id::Key::generate();
    let now = time::unix_millis();
    assert!(
        key.unix_millis()
            .is_some_and(|then| now.abs_diff(then) < 60_000)
    );
    let random: id::Key = "5bd9d0a4-0c83-4e9b-8b8e-0d3f8ac6f3b1".parse().unwrap();
    assert_eq!(random.unix_millis(), None);
}
