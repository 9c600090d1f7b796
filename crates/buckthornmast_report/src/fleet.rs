//! Extracts of all instances as one.

use std::collections::{BTreeMap, BTreeSet};

use buckthornmast_types::id;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{
    extract::{Extract, Key, Period, SUMS, Usage},
    tier::Counts,
};

/// Instance that was asked for its extract.
#[derive(Debug, Clone)]
pub struct Source {
    /// Instance.
    pub instance: id::Instance,
    /// Failure domain.
    pub domain: id::Domain,
    /// When it was last known to be alive.
    pub heard_ms: Option<u64>,
    /// Extract, or `None` if it did not answer.
    pub extract: Option<Extract>,
}

/// Instance that answered.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Covered {
    /// Instance.
    pub instance: id::Instance,
    /// Failure domain.
    pub domain: id::Domain,
    /// Start of its collector; earlier samples were lost with the process before it.
    pub started_ms: u64,
    /// Since when each window is complete.
    pub since_ms: [u64; SUMS],
    /// Samples that found no room.
    pub dropped: u64,
}

/// Instance that did not answer. Its samples are absent from all windows, since only it has them.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Missing {
    /// Instance.
    pub instance: id::Instance,
    /// Failure domain.
    pub domain: id::Domain,
    /// When it was last known to be alive, if ever.
    pub heard_ms: Option<u64>,
}

/// Requests of one slot by team, objective and policy.
pub type Slot = (u64, id::Team, String, String);

/// Usage of one slot by team, policy, shadow policy and domain.
pub type UseSlot = (u64, id::Team, String, Option<String>, id::Domain);

/// Merged values of two histograms.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Merged {
    /// Times to the first token in milliseconds.
    pub first_token: BTreeMap<u64, u64>,
    /// Times to the end in milliseconds.
    pub total: BTreeMap<u64, u64>,
}

/// Quantiles of a time in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Quantiles {
    /// Samples.
    pub samples: u64,
    /// Median.
    pub p50: u64,
    /// 95 in 100 are below.
    pub p95: u64,
    /// 99 in 100 are below.
    pub p99: u64,
}

/// Returns the quantiles of merged values.
pub fn quantiles(values: &BTreeMap<u64, u64>) -> Option<Quantiles> {
    let mut histogram: Histogram<u64> = Histogram::new(2).ok()?;
    for (value, count) in values {
        histogram.record_n(*value, *count).ok()?;
    }
    (!histogram.is_empty()).then(|| Quantiles {
        samples: histogram.len(),
        p50: histogram.value_at_quantile(0.50),
        p95: histogram.value_at_quantile(0.95),
        p99: histogram.value_at_quantile(0.99),
    })
}

/// Data of all instances that answered.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Fleet {
    /// Time of the report.
    pub at_ms: u64,
    /// Instances that answered.
    pub covered: BTreeSet<Covered>,
    /// Instances that did not.
    pub missing: BTreeSet<Missing>,
    /// Window sums.
    pub rows: BTreeMap<Key, [Counts; SUMS]>,
    /// Times of the last hour.
    pub times: BTreeMap<(id::Team, String), Merged>,
    /// Requests per slot.
    pub series: BTreeMap<Slot, Counts>,
    /// Usage per slot and domain.
    pub uses: BTreeMap<UseSlot, Usage>,
    /// Policies in the order of revisions, each with the time at which an instance first saw it.
    pub periods: BTreeMap<(id::Team, u64, String, Option<String>), u64>,
}

impl Fleet {
    /// Merges; the order of the sources does not matter.
    pub fn merge(at_ms: u64, sources: impl IntoIterator<Item = Source>) -> Self {
        let mut fleet = Self {
            at_ms,
            ..Self::default()
        };
        for source in sources {
            match source.extract {
                Some(extract) => fleet.add(source.instance, source.domain, extract),
                None => {
                    fleet.missing.insert(Missing {
                        instance: source.instance,
                        domain: source.domain,
                        heard_ms: source.heard_ms,
                    });
                }
            }
        }
        fleet
    }

    fn add(&mut self, instance: id::Instance, domain: id::Domain, extract: Extract) {
        self.covered.insert(Covered {
            instance,
            domain: domain.clone(),
            started_ms: extract.started_ms,
            since_ms: extract.since_ms,
            dropped: extract.dropped,
        });
        for row in extract.rows {
            let sums = self.rows.entry(row.key).or_default();
            for (sum, counts) in sums.iter_mut().zip(row.sums) {
                sum.add(counts);
            }
        }
        for times in extract.times {
            let merged = self.times.entry((times.team, times.objective));
            let merged = merged.or_default();
            for (value, count) in times.first_token {
                *merged.first_token.entry(value).or_default() += count;
            }
            for (value, count) in times.total {
                *merged.total.entry(value).or_default() += count;
            }
        }
        for point in extract.points {
            let key = (point.slot, point.team, point.objective, point.policy);
            self.series.entry(key).or_default().add(point.counts);
        }
        for used in extract.uses {
            let key = (
                used.slot,
                used.team,
                used.policy,
                used.shadow,
                domain.clone(),
            );
            self.uses.entry(key).or_default().add(used.usage);
        }
        for period in extract.periods {
            self.add_period(period);
        }
    }

    fn add_period(&mut self, period: Period) {
        let key = (period.team, period.revision, period.policy, period.shadow);
        let since = self.periods.entry(key).or_insert(period.since_ms);
        *since = (*since).min(period.since_ms);
    }

    /// Returns how far back all instances that answered cover a window of this length.
    pub fn covered_ms(&self, at: usize, window_ms: u64) -> u64 {
        let latest = self.covered.iter().map(|covered| covered.since_ms[at]);
        let latest = latest.max().unwrap_or(self.at_ms);
        window_ms.min(self.at_ms.saturating_sub(latest))
    }

    /// Returns the domains of which no instance answered.
    pub fn missing_domains(&self) -> BTreeSet<&id::Domain> {
        let answered: BTreeSet<_> = self.covered.iter().map(|c| &c.domain).collect();
        let missing = self.missing.iter().map(|missing| &missing.domain);
        missing
            .filter(|domain| !answered.contains(domain))
            .collect()
    }
}
