//! Requests at once at a target, and what they suffer from each other.

use smallvec::SmallVec;

/// Share of the requests that are hurt at a target with as many at once as are comfortable: their events come late when
/// several prompts are read at once.
const HARM_AT_COMFORT: f64 = 0.15;

/// Returns the share of a target's requests that are late or find no room, with this many of them at once.
pub(super) fn harm(level: f64, comfort: f64) -> f64 {
    let fullness = level / comfort;
    if fullness <= 1.0 {
        HARM_AT_COMFORT * fullness * fullness
    } else {
        1.0 - (1.0 - HARM_AT_COMFORT) / fullness
    }
}

/// Amount that was poured over places.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Filled {
    /// Share of each place.
    pub(super) flows: Vec<f64>,
    /// Level of those that got a share.
    pub(super) surface: f64,
}

/// Pours an amount over places with these levels so that they end as level as possible.
pub(super) fn fill(levels: &[f64], amount: f64) -> Filled {
    let mut order: SmallVec<[usize; 16]> = (0..levels.len()).collect();
    order.sort_by(|one, other| levels[*one].total_cmp(&levels[*other]));
    let mut surface = 0.0;
    let mut below = 0.0;
    for (count, index) in order.iter().enumerate() {
        below += levels[*index];
        surface = (amount + below) / (count + 1) as f64;
        let next = order.get(count + 1).map(|next| levels[*next]);
        if next.is_none_or(|next| surface <= next) {
            break;
        }
    }
    let shares = levels.iter().map(|level| (surface - level).max(0.0));
    Filled {
        flows: shares.collect(),
        surface,
    }
}
