//! Concurrent requests at a target and how they impair each other.

use smallvec::SmallVec;

/// Share of the requests that are impaired at a target whose concurrency is at its soft limit: their events come late
/// when several prompts are read at once.
const IMPAIRED_SHARE_AT_SOFT_LIMIT: f64 = 0.15;

/// Returns the share of a target's requests that are late or refused at this concurrency.
pub(super) fn impaired_share(level: f64, soft_limit: f64) -> f64 {
    let utilisation = level / soft_limit;
    if utilisation <= 1.0 {
        IMPAIRED_SHARE_AT_SOFT_LIMIT * utilisation * utilisation
    } else {
        1.0 - (1.0 - IMPAIRED_SHARE_AT_SOFT_LIMIT) / utilisation
    }
}

/// Distribution of an amount over places.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Distribution {
    /// Share of each place.
    pub(super) shares: Vec<f64>,
    /// Common level of the places that got a share.
    pub(super) common_level: f64,
}

/// Distributes an amount over places with these levels so that the highest level is as low as possible (water-filling).
pub(super) fn distribute(levels: &[f64], amount: f64) -> Distribution {
    let mut order: SmallVec<[usize; 16]> = (0..levels.len()).collect();
    order.sort_by(|one, other| levels[*one].total_cmp(&levels[*other]));
    let mut common_level = 0.0;
    let mut below = 0.0;
    for (count, index) in order.iter().enumerate() {
        below += levels[*index];
        common_level = (amount + below) / (count + 1) as f64;
        let next = order.get(count + 1).map(|next| levels[*next]);
        if next.is_none_or(|next| common_level <= next) {
            break;
        }
    }
    let shares = levels.iter().map(|level| (common_level - level).max(0.0));
    Distribution {
        shares: shares.collect(),
        common_level,
    }
}
