//! Merge of the extracts of all instances.

use std::collections::{BTreeMap, BTreeSet};

use buckthornmast_types::id;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{
    extract::{Extract, Key, Period, Usage, WINDOW_COUNT},
    tier::Counts,
};

/// Instance that was queried for its extract.
#[derive(Debug, Clone)]
pub struct Source {
    /// Instance.
    pub instance: id::Instance,
    /// Failure domain.
    pub domain: id::Domain,
    /// Time at which it was last known to be alive.
    pub heard_ms: Option<u64>,
    /// Extract, or `None` if the instance did not answer.
    pub extract: Option<Extract>,
}

/// Instance that answered.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Covered {
    /// Instance.
    pub instance: id::Instance,
    /// Failure domain.
    pub domain: id::Domain,
    /// Start time of its collector. Earlier samples were lost with the previous process.
    pub started_ms: u64,
    /// Time since which each window is complete.
    pub since_ms: [u64; WINDOW_COUNT],
    /// Number of samples that were dropped because its tables were full.
    pub dropped: u64,
}

/// Instance that did not answer. Its samples are absent from all windows, since no other instance has them.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Missing {
    /// Instance.
    pub instance: id::Instance,
    /// Failure domain.
    pub domain: id::Domain,
    /// Time at which it was last known to be alive, if ever.
    pub heard_ms: Option<u64>,
}

/// Key of the requests of one slot: slot, team, objective and policy.
pub type SeriesKey = (u64, id::Team, String, String);

/// Key of the usage of one slot: slot, team, policy, shadow policy and domain.
pub type UsageKey = (u64, id::Team, String, Option<String>, id::Domain);

/// Latencies of one objective, merged over all instances: the number of occurrences by value.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MergedLatencies {
    /// Times to the first token in milliseconds.
    pub first_token: BTreeMap<u64, u64>,
    /// Times to the end of the answer in milliseconds.
    pub total: BTreeMap<u64, u64>,
}

/// Quantiles of a latency in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Quantiles {
    /// Number of samples.
    pub samples: u64,
    /// Median.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
}

/// Returns the quantiles of merged values, or `None` without values.
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
    /// Instances that did not answer.
    pub missing: BTreeSet<Missing>,
    /// Window sums.
    pub rows: BTreeMap<Key, [Counts; WINDOW_COUNT]>,
    /// Latencies of the last hour.
    pub latencies: BTreeMap<(id::Team, String), MergedLatencies>,
    /// Requests per slot.
    pub series: BTreeMap<SeriesKey, Counts>,
    /// Usage per slot and domain.
    pub usage: BTreeMap<UsageKey, Usage>,
    /// Policies in the order of team and revision, with the shadow policy, each with the time at which an instance
    /// first saw it.
    pub periods: BTreeMap<(id::Team, u64, String, Option<String>), u64>,
}

impl Fleet {
    /// Merges the extracts of all sources. The result does not depend on the order of the sources.
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
        for latencies in extract.times {
            let merged = self.latencies.entry((latencies.team, latencies.objective));
            let merged = merged.or_default();
            for (value, count) in latencies.first_token {
                *merged.first_token.entry(value).or_default() += count;
            }
            for (value, count) in latencies.total {
                *merged.total.entry(value).or_default() += count;
            }
        }
        for point in extract.points {
            let key = (point.slot, point.team, point.objective, point.policy);
            self.series.entry(key).or_default().add(point.counts);
        }
        for slot_usage in extract.uses {
            let key = (
                slot_usage.slot,
                slot_usage.team,
                slot_usage.policy,
                slot_usage.shadow,
                domain.clone(),
            );
            self.usage.entry(key).or_default().add(slot_usage.usage);
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

    /// Returns how far back all instances that answered cover the window of this index and length.
    pub fn covered_ms(&self, index: usize, window_ms: u64) -> u64 {
        let latest = self.covered.iter().map(|covered| covered.since_ms[index]);
        let latest = latest.max().unwrap_or(self.at_ms);
        window_ms.min(self.at_ms.saturating_sub(latest))
    }

    /// Returns the domains from which no instance answered.
    pub fn missing_domains(&self) -> BTreeSet<&id::Domain> {
        let answered: BTreeSet<_> = self.covered.iter().map(|c| &c.domain).collect();
        let missing = self.missing.iter().map(|missing| &missing.domain);
        missing
            .filter(|domain| !answered.contains(domain))
            .collect()
    }
}
