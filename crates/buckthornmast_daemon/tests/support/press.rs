//! Cluster with the declarations of the quick start, whose only team is `press`.

use std::{fs, path::Path};

use buckthornmast_trial::prelude::*;

/// Three voters in two failure domains.
#[allow(dead_code, reason = "not every test file starts this cluster")]
pub(crate) const THREE: [InstanceConfig; 3] = [
    InstanceConfig {
        name: "north-1",
        domain: "north",
        is_voter: true,
    },
    InstanceConfig {
        name: "north-2",
        domain: "north",
        is_voter: true,
    },
    InstanceConfig {
        name: "south-1",
        domain: "south",
        is_voter: true,
    },
];

fn programs() -> &'static Path {
    let daemon = Path::new(env!("CARGO_BIN_EXE_buckthornmastd"));
    daemon.parent().unwrap_or(daemon)
}

fn declarations() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/declarations")
}

/// Starts instances without targets and applies the declarations.
#[allow(dead_code, reason = "not every test file starts this cluster")]
pub(crate) fn start(configs: &[InstanceConfig]) -> Cluster {
    start_edited(configs, &[])
}

/// Starts instances with some lines of the platform's declarations replaced.
#[allow(dead_code, reason = "not every test file edits declarations")]
#[expect(clippy::unwrap_used, reason = "a test ends if its cluster can't start")]
pub(crate) fn start_edited(configs: &[InstanceConfig], edits: &[(&str, &str)]) -> Cluster {
    let folder = tempfile::tempdir().unwrap();
    let from = declarations();
    fs::create_dir(folder.path().join("teams")).unwrap();
    for file in ["platform.ini", "teams/press.ini"] {
        let mut text = fs::read_to_string(from.join(file)).unwrap();
        for (old, new) in edits.iter().filter(|_| file == "platform.ini") {
            assert!(text.contains(old), "no {old:?} in {file}");
            text = text.replacen(old, new, 1);
        }
        fs::write(folder.path().join(file), text).unwrap();
    }
    let cluster = Cluster::start(programs(), configs).unwrap();
    cluster.apply(0, folder.path());
    cluster
}
