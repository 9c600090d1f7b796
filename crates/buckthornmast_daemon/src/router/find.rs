//! Which targets can take a request, and how many requests that makes room for.

use std::collections::BTreeMap;

use buckthornmast_routing::{
    admission::Coming,
    table::{self, Candidates, Slot},
};
use buckthornmast_types::{artifact::Artifact, id, time::Point};

use super::State;
use crate::{admit::Room, current::Snapshot};

/// Returns the artifact to use and the targets that have it ready, base model included.
pub(super) fn find(
    state: &State,
    wanted: &Artifact,
    exact: bool,
    tried: &[Slot],
    now: Point,
) -> (Artifact, Candidates) {
    let candidates = |artifact: &Artifact| {
        let mut found = state
            .table
            .candidates(table::Need::Artifact(artifact), tried, now);
        let base = artifact.base();
        found.retain(|candidate| {
            let report = state.table.report(candidate.slot);
            report.is_some_and(|report| report.is_ready(&base))
        });
        found
    };
    let found = candidates(wanted);
    if !found.is_empty() {
        return (wanted.clone(), found);
    }
    // While a version is rolled out, the one before still answers.
    let older = state.table.versions(wanted);
    for older in older.iter().filter(|_| !exact) {
        let found = candidates(older);
        if !found.is_empty() {
            return (older.clone(), found);
        }
    }
    // A target that leaves is the last resort, and only while no other has the model in any version.
    let mut versions = std::iter::once(wanted).chain(&older);
    if versions.any(|version| state.table.is_kept(version, now)) {
        return (wanted.clone(), Candidates::new());
    }
    let versions = std::iter::once(wanted).chain(older.iter().filter(|_| !exact));
    for version in versions {
        let found = state.table.last_copies(version, tried, now);
        if !found.is_empty() {
            return (version.clone(), found);
        }
    }
    (wanted.clone(), Candidates::new())
}

/// Returns when a copy of an artifact is expected that is being loaded.
pub(super) fn coming(state: &State, artifact: &Artifact, now: Point) -> Option<Coming> {
    let arrival = state.table.arrival(artifact, now)?;
    Some(Coming {
        at: now + arrival.left,
        capacity: state.limit(arrival.slot),
    })
}

/// Returns how many requests of each model and service may be in progress.
pub(super) fn rooms(state: &State, snapshot: &Snapshot, now: Point) -> BTreeMap<id::Model, Room> {
    let mut rooms = BTreeMap::new();
    for (name, model) in &snapshot.catalog.models {
        let candidates = find(state, &model.artifact, false, &[], now).1;
        let limits = candidates.iter().map(|one| state.limit(one.slot));
        let capacity = limits.sum();
        let coming = match capacity {
            0 => coming(state, &model.artifact, now),
            _ => None,
        };
        let room = Room { capacity, coming };
        rooms.extend(name.parse().ok().map(|name| (name, room)));
    }
    for (name, plain) in &snapshot.catalog.services {
        let need = table::Need::Service(&plain.service);
        let count = state.table.candidates(need, &[], now).len();
        let capacity = u32::try_from(count)
            .unwrap_or(u32::MAX)
            .saturating_mul(plain.concurrency);
        let room = Room {
            capacity,
            coming: None,
        };
        rooms.extend(name.parse().ok().map(|name| (name, room)));
    }
    rooms
}
