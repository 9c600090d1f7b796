//! Checks and differences of declarations.

use std::{fs, path::Path};

use buckthornmast_config::folder::Scope;
use buckthornmast_ctl::apply::{self, Current};

fn examples(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

/// Guards against example declarations that the tool refuses.
#[test]
fn check_examples() {
    let counts = [
        ("declarations", "1 teams, 2 models, 1 adapters"),
        ("kuehlwerk", "3 teams, 30 models, 100 adapters"),
        ("peach-groove", "2 teams, 13 models, 60 adapters"),
    ];
    for (name, expected) in counts {
        let text = apply::check(&examples(name)).unwrap();
        assert!(text.contains(expected), "{name}: {text}");
    }
}

/// Guards against faults that are found only when declarations are applied, and against a wrong exit code.
#[test]
fn check_faults() {
    let folder = tempfile::tempdir().unwrap();
    let source = examples("declarations");
    fs::create_dir(folder.path().join("teams")).unwrap();
    fs::copy(
        source.join("platform.ini"),
        folder.path().join("platform.ini"),
    )
    .unwrap();
    let team = fs::read_to_string(source.join("teams/press.ini")).unwrap();
    let cases = [
        (
            "name = marginal",
            "name = marginall",
            "[policy] name: policy \"marginall\" is not one of",
        ),
        (
            "name = marginal",
            "name = marginal\nhorizon = soon",
            "[policy] name: parameter",
        ),
        (
            "service = chat",
            "service = ledger",
            "ledger is not a service of model engines",
        ),
        ("memory = 14GiB", "memory = 14 apples", "press.ini:"),
    ];
    for (from, to, expected) in cases {
        assert!(team.contains(from), "the case does not apply: {from}");
        fs::write(
            folder.path().join("teams/press.ini"),
            team.replacen(from, to, 1),
        )
        .unwrap();
        let failure = apply::check(folder.path()).unwrap_err();
        assert_eq!(failure.code(), 4);
        assert!(
            failure.to_string().contains(expected),
            "{expected:?} not in {failure}"
        );
    }
    assert_eq!(
        apply::check(&folder.path().join("nowhere"))
            .unwrap_err()
            .code(),
        4
    );
}

/// Guards against changes that are missed or reported wrongly.
#[test]
fn compare_values() {
    let scope: Scope = "team/press".parse().unwrap();
    let values = |pairs: &[(&str, &str)]| {
        pairs
            .iter()
            .map(|(path, value)| ((*path).to_owned(), (*value).to_owned()))
            .collect()
    };
    let current = Current {
        revision: 7,
        values: values(&[("a", "1"), ("b", "2"), ("c", "3")]),
    };
    let difference = apply::compare(
        &scope,
        &values(&[("a", "1"), ("b", "4"), ("d", "5")]),
        &current,
    );
    assert_eq!(difference.base, 7);
    let text = |value: &str| Some(value.to_owned());
    let expected = vec![
        ("b".to_owned(), text("2"), text("4")),
        ("c".to_owned(), text("3"), None),
        ("d".to_owned(), None, text("5")),
    ];
    assert_eq!(difference.rows, expected);
}
