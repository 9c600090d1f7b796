//! Declared copies on targets by rendezvous hashing, so that all controllers agree without messages.
//!
//! An adapter ranks targets like its model, since it needs the model beside it. Targets are therefore
//! ranked once for each model and service, and only as far as copies are declared: ranking all targets
//! for each artifact took most of a plan at 820 models.

use std::{
    collections::{BTreeMap, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
};

use buckthornmast_types::{artifact::Artifact, id};

use crate::{current::Snapshot, plan::Items, targets::Seen};

fn rank(model: &id::Model, target: &id::Target) -> u64 {
    let mut hasher = DefaultHasher::new();
    (model.as_str(), target.as_str()).hash(&mut hasher);
    hasher.finish()
}

/// Returns the positions of the first targets by rank; equal ranks keep the order of the targets.
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

/// Declares copies of the items on targets of their services.
pub(super) fn declare(items: &mut Items, seen: &[Seen], copies: &BTreeMap<Artifact, u32>) {
    let mut targets: HashMap<id::Service, Vec<(usize, &id::Target)>> = HashMap::new();
    for (at, seen) in seen.iter().enumerate() {
        let served = targets.entry(seen.report.service.clone()).or_default();
        served.push((at, &seen.report.target));
    }
    let mut most: HashMap<(id::Model, id::Service), usize> = HashMap::new();
    for (item, service) in items.list.iter().zip(&items.services) {
        if let Some(count) = copies.get(&item.artifact) {
            let known = most.entry((item.artifact.model.clone(), service.clone()));
            let known = known.or_default();
            *known = (*known).max(*count as usize);
        }
    }
    let first = most.into_iter().map(|((model, service), count)| {
        let targets = targets.get(&service).map_or(&[][..], Vec::as_slice);
        let first = first_by_rank(&model, targets, count);
        ((model, service), first)
    });
    let first: HashMap<(id::Model, id::Service), Vec<usize>> = first.collect();
    for (item, service) in items.list.iter_mut().zip(&items.services) {
        let Some(count) = copies.get(&item.artifact) else {
            continue;
        };
        let key = (item.artifact.model.clone(), service.clone());
        let first = first.get(&key).into_iter().flatten();
        item.declared = first.take(*count as usize).copied().collect();
    }
}

/// Returns how many copies the settings declare.
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
