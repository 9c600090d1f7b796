//! Lookup of keys.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use buckthornmast_organisation::ring::{Credential, Digest, Ring};
use buckthornmast_routes::document::Organisation;

fn organisation(name: &str, keys: &[&str]) -> Organisation {
    Organisation {
        name: name.parse().unwrap(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        priority: Some(2),
        quota: None,
    }
}

/// Guards against keys that find another organisation or none, and against keys that are found though nobody holds them.
#[test]
fn find_key() {
    let ring = Ring::new(&[
        organisation("a", &["key-a1", "key-a2"]),
        organisation("b", &["key-b"]),
        organisation("c", &[]),
    ]);
    let find = |key: &str| Some(ring.find(&Digest::of(key.as_bytes()))?.name.as_str());
    for (key, holder) in [("key-a1", "a"), ("key-a2", "a"), ("key-b", "b")] {
        assert_eq!(find(key), Some(holder));
    }
    for key in ["", "key-a", "key-a11", "KEY-B", "a"] {
        assert_eq!(find(key), None, "{key}");
    }
}

/// Guards against logs that show keys.
#[test]
fn debug_hides_keys() {
    let organisation = organisation("a", &["secret"]);
    let ring = Ring::new(std::slice::from_ref(&organisation));
    let credential = Credential::Key(Digest::of(b"secret"));
    let digest = Digest::of(b"secret");
    let text = format!("{organisation:?} {ring:?} {credential:?} {digest:?}");
    assert!(!text.contains("secret"), "{text}");
}
