//! Tests of declared copies on targets.

use std::hash::{DefaultHasher, Hash, Hasher};

use buckthornmast_daemon::plan::declared::first_by_rank;
use buckthornmast_types::id;

/// Returns the first targets by a full sort by rank, as in controllers of earlier versions.
fn sorted(model: &id::Model, targets: &[(usize, &id::Target)], count: usize) -> Vec<usize> {
    let mut targets = targets.to_vec();
    targets.sort_by_key(|(_, target)| {
        let mut hasher = DefaultHasher::new();
        (model.as_str(), target.as_str()).hash(&mut hasher);
        hasher.finish()
    });
    targets.into_iter().take(count).map(|(at, _)| at).collect()
}

/// Guards against controllers of two versions that declare copies on different targets and would each move the
/// copies that the other placed.
#[test]
fn first_by_rank_like_full_sort() {
    for len in [0_usize, 1, 2, 7, 60, 467] {
        let names: Vec<id::Target> = (0..len)
            .map(|target| format!("engine-{target}").parse().unwrap())
            .collect();
        // Gaps in the positions stand for targets of other services.
        let targets: Vec<(usize, &id::Target)> = names
            .iter()
            .enumerate()
            .map(|(at, name)| (at * 3 + 1, name))
            .collect();
        for model in 0..20 {
            let model: id::Model = format!("model-{model}").parse().unwrap();
            for count in [0, 1, 2, 3, len.saturating_sub(1), len, len + 1] {
                let expected = sorted(&model, &targets, count);
                assert_eq!(first_by_rank(&model, &targets, count), expected);
            }
        }
    }
}
