//! Cluster with the declarations of the quick start.

use std::path::Path;

use buckthornmast_trial::prelude::*;

/// Three voters in two failure domains.
pub(crate) const THREE: [Plan; 3] = [
    Plan {
        name: "north-1",
        domain: "north",
        voter: true,
    },
    Plan {
        name: "north-2",
        domain: "north",
        voter: true,
    },
    Plan {
        name: "south-1",
        domain: "south",
        voter: true,
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
#[expect(clippy::unwrap_used, reason = "a test ends if its cluster can't start")]
pub(crate) fn start(plans: &[Plan]) -> Cluster {
    let cluster = Cluster::start(programs(), plans).unwrap();
    cluster.apply(0, &declarations());
    cluster
}
