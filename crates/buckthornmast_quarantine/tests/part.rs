//! Text form of parts.

use buckthornmast_quarantine::part::Part;

#[test]
fn parse_displayed() {
    let part = Part::new(&"engines".parse().unwrap(), 7);
    assert_eq!(part.to_string().parse::<Part>().unwrap(), part);
    for text in ["", "x", "11112222333344445"] {
        assert!(text.parse::<Part>().is_err(), "{text:?}");
    }
}

/// Guards against a part that is refused at targets other than those that crash on it.
#[test]
fn new_by_service() {
    let part = |service: &str| Part::new(&service.parse().unwrap(), 7);
    assert_ne!(part("one"), part("two"));
}
