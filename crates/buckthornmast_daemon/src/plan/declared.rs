//! Assigns declared copies to targets by rendezvous hashing, so that all controllers agree without messages.
//!
//! An adapter ranks targets like its model, since it needs the model on the same target. Targets are
//! therefore ranked once for each model and service, and only as far as copies are declared: ranking all
//! targets for each artifact would take most of the planning time at 820 models.

use std::{
    collections::{BTreeMap, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
};

use buckthornmast_types::{artifact::Artifact, id};

use crate::{current::Snapshot, plan::Artifacts, targets::Observation};

fn rank(model: &id::Model, target: &id::Target) -> u64 {
    let mut hasher = DefaultHasher::new();
    (model.as_str(), target.as_str()).hash(&mut hasher);
    hasher.finish()
}

/// Returns the positions of the first `count` targets by rank; equal ranks keep the order of the targets.
pub fn first_by_rank(
    model: &id::Model,
    targets: &[(usize, &id::Target)],
    count: usize,
) -> Vec<usize> {
    let ranked = targets
        .iter()
        .map(|(at, target)| (rank(model, target), *at));
    let mut ranked: Vec<(u64, usize)> = ranked.collect();
    if (1..ranked.len()).contains(&count) {
        ranked.select_nth_unstable(count - 1);
    }
    ranked.truncate(count);
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, at)| at).collect()
}

/// Sets the targets on which copies of each artifact are declared, among the targets of its service.
pub(super) fn declare(
    artifacts: &mut Artifacts,
    observed: &[Observation],
    copies: &BTreeMap<Artifact, u32>,
) {
    let mut targets: HashMap<id::Service, Vec<(usize, &id::Target)>> = HashMap::new();
    for (at, observed) in observed.iter().enumerate() {
        let served = targets.entry(observed.report.service.clone()).or_default();
        served.push((at, &observed.report.target));
    }
    let mut max_copies: HashMap<(id::Model, id::Service), usize> = HashMap::new();
    for (entry, service) in artifacts.list.iter().zip(&artifacts.services) {
        if let Some(count) = copies.get(&entry.artifact) {
            let max_count = max_copies.entry((entry.artifact.model.clone(), service.clone()));
            let max_count = max_count.or_default();
            *max_count = (*max_count).max(*count as usize);
        }
    }
    let first = max_copies.into_iter().map(|((model, service), count)| {
        let targets = targets.get(&service).map_or(&[][..], Vec::as_slice);
        let first = first_by_rank(&model, targets, count);
        ((model, service), first)
    });
    let first: HashMap<(id::Model, id::Service), Vec<usize>> = first.collect();
    for (entry, service) in artifacts.list.iter_mut().zip(&artifacts.services) {
        let Some(count) = copies.get(&entry.artifact) else {
            continue;
        };
        let key = (entry.artifact.model.clone(), service.clone());
        let first = first.get(&key).into_iter().flatten();
        entry.declared_targets = first.take(*count as usize).copied().collect();
    }
}

/// Returns the number of copies that the settings declare for each artifact.
pub(super) fn declared_copies(snapshot: &Snapshot) -> BTreeMap<Artifact, u32> {
    let mut copies = BTreeMap::new();
    for team in snapshot.declarations.teams.values() {
        let models = team.models.iter();
        copies.extend(models.filter_map(|(m, d)| Some((team.model_artifact(m)?, d.copies))));
        let adapters = team.adapters.iter();
        copies.extend(adapters.filter_map(|(a, d)| Some((team.adapter_artifact(a)?, d.copies))));
    }
    copies
}
