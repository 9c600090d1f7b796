//! Declarations: reading a folder, faults with their locations, references between sections.

use std::{collections::BTreeMap, fs};

use buckthornmast_config::{
    declaration::{self, Role},
    folder,
    prelude::*,
};

const PLATFORM: &str = "\
[platform]
name = test
[domain north]
[kind engine]
role = model
fencing = honoured
access = checked
[kind counter]
role = plain
fencing = ignored
access = open
[service chat]
kind = engine
[service ledger]
kind = counter
repeat = never
[store]
loads-per-second = 3
loads-at-once = 10
[team press]
token-sha256 = e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855
share = 0.5
";

const TEAM: &str = "\
[policy]
name = greedy
burst = 2
[objective chat]
deadline = 5s
attainment = 0.95
[model m1]
service = chat
version = 1
memory = 14GiB
objective = chat
[adapter a1]
model = m1
version = 2
memory = 300MiB
";

fn write(platform: &str, team: &str) -> std::io::Result<tempfile::TempDir> {
    let folder = tempfile::tempdir()?;
    fs::create_dir(folder.path().join("teams"))?;
    fs::write(folder.path().join("platform.ini"), platform)?;
    fs::write(folder.path().join("teams/press.ini"), team)?;
    Ok(folder)
}

fn read(platform: &str, team: &str) -> Result<Folder, Vec<Fault>> {
    #[expect(clippy::expect_used, reason = "the lint excepts only test functions")]
    let folder = write(platform, team).expect("a temporary folder can be written");
    Folder::read(folder.path())
}

/// Guards against values that are lost between the file and the typed data.
#[test]
fn read_good_folder() {
    let folder = read(PLATFORM, TEAM).unwrap();
    let declarations = Declarations::read(&folder.scopes);
    assert_eq!(declarations.check(), Vec::new());
    let platform = &declarations.platform;
    assert_eq!(platform.domains.len(), 1);
    assert_eq!(
        platform.kinds[&"counter".parse().unwrap()].role,
        Role::Plain
    );
    assert!(!platform.services[&"ledger".parse().unwrap()].is_repeatable);
    let team = &declarations.teams[&"press".parse().unwrap()];
    assert_eq!(team.policy.parameters["burst"], "2");
    let artifact = team.adapter_artifact(&"a1".parse().unwrap()).unwrap();
    assert_eq!(artifact.to_string(), "m1@1+a1@2");
}

/// Guards against faults of form without file, section, key and line.
#[test]
fn read_fault_table() {
    let cases = [
        (
            "memory = 14GiB",
            "memory = big",
            "press.ini:10: [model m1] memory: \"big\" is not a size",
        ),
        (
            "attainment = 0.95",
            "attainment = 95",
            "[objective chat] attainment: \"95\" is not a share",
        ),
        ("deadline = 5s\n", "", "[objective chat] deadline: missing"),
        ("[model m1]", "[modell m1]", "[modell m1] unknown section"),
        ("[model m1]", "[model]", "[model] unknown section"),
        (
            "service = chat",
            "service = chat\ncolour = red",
            "[model m1] colour: unknown key",
        ),
    ];
    for (from, to, expected) in cases {
        let faults = read(PLATFORM, &TEAM.replacen(from, to, 1)).unwrap_err();
        let texts: Vec<_> = faults.iter().map(ToString::to_string).collect();
        assert!(
            texts.iter().any(|text| text.contains(expected)),
            "{expected:?} not in {texts:?}"
        );
    }
}

/// Guards against references to sections that do not exist.
#[test]
fn check_reference_table() {
    let cases = [
        (
            "service = chat",
            "service = ledger",
            "ledger is not a service of model engines",
        ),
        (
            "objective = chat",
            "objective = phone",
            "objective phone is not declared",
        ),
        ("model = m1", "model = m2", "model m2 is not declared"),
        ("[adapter a1]", "[adapter m1]", "the name is taken already"),
    ];
    for (from, to, expected) in cases {
        let folder = read(PLATFORM, &TEAM.replacen(from, to, 1)).unwrap();
        let faults = Declarations::read(&folder.scopes).check();
        let texts: Vec<_> = faults.iter().map(ToString::to_string).collect();
        assert!(
            texts.iter().any(|text| text.contains(expected)),
            "{expected:?} not in {texts:?}"
        );
    }
}

/// Guards against values that change when they are written as text and read again.
#[test]
fn to_text_round_trip() {
    let folder = read(PLATFORM, TEAM).unwrap();
    for (scope, values) in &folder.scopes {
        assert_eq!(
            folder::parse(scope, "", &folder::to_text(values)).as_ref(),
            Ok(values)
        );
    }
    let scope: Scope = "team/press".parse().unwrap();
    let others = BTreeMap::from([(Scope::Platform, folder.scopes[&Scope::Platform].clone())]);
    assert_eq!(
        declaration::check_scope(&scope, &folder.scopes[&scope], &others),
        Vec::new()
    );
}

/// Guards against a value that is taken for further keys, since settings are checked as text.
#[test]
fn check_values_line_break() {
    let scope = Scope::Team("press".parse().unwrap());
    let check = |value: &str| {
        let values = BTreeMap::from([("policy/name".to_owned(), value.to_owned())]);
        folder::check_values(&scope, &values)
    };
    assert_eq!(check("greedy"), []);
    for value in ["greedy\nburst = 2", "greedy\rburst = 2", "greedy\n"] {
        let faults = check(value);
        assert_eq!(faults.len(), 1, "{value:?}: {faults:?}");
        assert_eq!(
            (faults[0].section.as_str(), faults[0].key.as_str()),
            ("policy", "name")
        );
    }
}

/// Guards against a team whose settings are skipped silently because its file has no valid name.
#[test]
fn read_invalid_team_name() {
    let folder = tempfile::TempDir::new().unwrap();
    fs::write(folder.path().join("platform.ini"), PLATFORM).unwrap();
    fs::create_dir(folder.path().join("teams")).unwrap();
    fs::write(folder.path().join("teams/no team.ini"), TEAM).unwrap();
    let faults = Folder::read(folder.path()).unwrap_err();
    assert_eq!(faults.len(), 1, "{faults:?}");
    assert!(faults[0].file.ends_with("no team.ini"), "{faults:?}");
}
