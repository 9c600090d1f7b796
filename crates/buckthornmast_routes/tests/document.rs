//! Validation of documents and matching of requests.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_routes::{
    document::{Document, Fault, Kind, Limits, MAX_KEY_BYTES, Organisation, Route, Service},
    register::Revision,
    table::{Table, pick_service},
};

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Idempotent,
        services: vec![("plain".parse().unwrap(), 1)],
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        attempts: 2,
        priority: 0,
        affinity: false,
        is_public: false,
    }
}

fn document(routes: Vec<Route>) -> Document {
    let service = Service {
        name: "plain".parse().unwrap(),
        connections: 10,
        pool: None,
    };
    Document {
        version: Revision(1),
        routes,
        services: BTreeMap::from([(service.name.clone(), service)]),
        limits: Limits {
            head: 16_384,
            body: 1 << 20,
            head_time: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        },
        organisations: Vec::new(),
    }
}

/// Guards against accepting a document with faults, which would then be in force.
#[test]
fn check_faults() {
    assert_eq!(document(vec![route("a", "/a/")]).check(), Ok(()));
    let twice = document(vec![route("a", "/a/"), route("b", "/a/")]);
    assert!(matches!(twice.check(), Err(Fault::Duplicate { .. })));
    let mut unknown = route("a", "/a/");
    unknown.services = vec![("other".parse().unwrap(), 1)];
    assert!(matches!(
        document(vec![unknown]).check(),
        Err(Fault::Service { .. })
    ));
    let mut weightless = route("a", "/a/");
    weightless.services[0].1 = 0;
    assert!(matches!(
        document(vec![weightless]).check(),
        Err(Fault::Weight { .. })
    ));
    let mut timeless = route("a", "/a/");
    timeless.timeout = Duration::ZERO;
    assert!(matches!(
        document(vec![timeless]).check(),
        Err(Fault::Timeout { .. })
    ));
    let unterminated = document(vec![route("a", "/a")]);
    assert!(matches!(unterminated.check(), Err(Fault::Prefix { .. })));
}

fn organisation(name: &str, keys: &[&str]) -> Organisation {
    Organisation {
        name: name.parse().unwrap(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        priority: None,
        quota: None,
    }
}

/// Guards against keys that name no organisation or several, and against faults that show a key.
#[test]
fn check_organisations() {
    let check = |organisations: &[Organisation]| {
        let mut document = document(Vec::new());
        document.organisations = organisations.to_vec();
        document.check()
    };
    let (a, b) = (organisation("a", &["k1", "k2"]), organisation("b", &["k3"]));
    assert_eq!(check(&[a.clone(), b, organisation("c", &[])]), Ok(()));
    let shared = check(&[a.clone(), organisation("b", &["k3", "k2"])]).unwrap_err();
    assert!(matches!(shared, Fault::SharedKey { .. }));
    assert!(!shared.to_string().contains("k2"), "{shared}");
    let twice = check(&[a, organisation("a", &["k4"])]).unwrap_err();
    assert!(matches!(twice, Fault::DuplicateOrganisation { .. }));
    let long = "k".repeat(MAX_KEY_BYTES);
    assert_eq!(check(&[organisation("a", &[&long])]), Ok(()));
    let overlong = format!("{long}k");
    for key in ["", "k 1", "k\n", "schlüssel", &overlong] {
        let fault = check(&[organisation("a", &["k1", key])]).unwrap_err();
        assert!(matches!(fault, Fault::Key { number: 2, .. }), "{key:?}");
        assert!(key.is_empty() || !fault.to_string().contains(key));
    }
}

/// Guards against a shorter prefix that shadows a longer one, and against matching other hosts.
#[test]
fn find_longest_prefix() {
    let routes = vec![
        route("short", "/a/"),
        route("long", "/a/b/"),
        route("root", "/c/"),
    ];
    let table = Table::new(&document(routes));
    let find = |host: &str, path: &str| table.find(host, path).map(|route| route.name.clone());
    assert_eq!(find("shop.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(find("Shop.Example:8149", "/a/x").as_deref(), Some("short"));
    assert_eq!(find("shop.example", "/a"), None);
    assert_eq!(find("other.example", "/a/x"), None);
}

/// Guards against a split that gives a service more requests than its weight.
#[test]
fn pick_service_by_weight() {
    let mut split = route("a", "/a/");
    split.services = vec![
        ("one".parse().unwrap(), 90),
        ("none".parse().unwrap(), 0),
        ("two".parse().unwrap(), 10),
    ];
    let picked = (0..1000).filter_map(|draw| pick_service(&split, draw));
    let ones = picked.filter(|service| service.as_str() == "one").count();
    assert_eq!(ones, 900);
    split.services.clear();
    assert_eq!(pick_service(&split, 5), None);
}
