//! Order in which waiting requests are offered to the targets.
//!
//! Requests wait in lanes: those of a group (a model) with the same organisation and priority. Within a lane they are
//! ordered by deadline. The lanes' first requests are compared by urgency (see `Class`). Then organisations beyond their
//! share go behind the others, urgent priorities before less urgent ones, and organisations that received little service
//! before those that received much. A lane whose priority received less than a minimum share of its organisation's
//! service goes before the more urgent ones.

mod lane;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, HashSet},
    hash::Hash,
    time::Duration,
};

use buckthornmast_types::time::Point;

use self::lane::{Lane, Position, Slot, Waiting};
use crate::{
    account::{Account, Cost, Flow},
    tally::{Keys, Tallies},
};

/// Time to its deadline above which a request leaves the room to others: a burst of urgent requests is served or refused
/// within about a second.
const SPARE_TIME: Duration = Duration::from_secs(1);

/// Share of its organisation's service below which a waiting priority goes before more urgent ones.
const MIN_PRIORITY_SHARE: f64 = 0.05;

/// Shortest time between two reviews of the waiting requests. A caller that is refused in a review has lost no more than
/// this of the time that it has for a retry.
const MIN_REVIEW_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two reviews for each waiting request: several times what a review takes.
const REVIEW_INTERVAL_PER_REQUEST: Duration = Duration::from_micros(20);

/// Order of the waiting requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// By deadline alone.
    #[default]
    Deadline,
    /// By fair shares of the organisations, priority and deadline.
    Share,
}

/// What the order of a waiting request depends on.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry<G> {
    /// Group of requests that the same targets can run.
    pub group: G,
    /// Organisation and priority.
    pub flow: Flow,
    /// Service that it takes.
    pub cost: Cost,
    /// Time for which it occupies a target before the next one can be sent there.
    pub work: Duration,
    /// Latest time at which it can be sent to be on time.
    pub deadline: Point,
    /// Whether it can't be on time any more, whatever the deadline says.
    pub is_late: bool,
}

/// Outcome of the offer of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// The request was sent, and its organisation is charged.
    Taken,
    /// The request leaves the queue without service.
    Dropped,
    /// No target takes this request now; others of its group may be taken.
    Passed,
    /// No target takes any request of the group now.
    Full,
}

/// Urgency of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// Must be sent soon to be on time.
    Urgent,
    /// Can wait and be on time.
    Spare,
    /// Will be late.
    Late,
}

/// Work that waits ahead of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Ahead {
    /// Number of requests.
    pub requests: f64,
    /// Time for which they occupy a target.
    pub work: Duration,
}

impl Ahead {
    fn add(&mut self, requests: f64, work: Duration) {
        self.requests += requests;
        self.work += work;
    }
}

/// Part of a lane that goes before a request.
enum Part {
    /// The requests with earlier deadlines.
    Earlier,
    /// This share of them.
    Share(f64),
}

/// What a waiting request can expect if nothing further arrives.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Outlook {
    /// Work of the requests of its group that go before it.
    pub ahead: Ahead,
    /// Whether it can't be on time any more.
    pub is_late: bool,
}

/// Standing of a lane among those with requests of the same urgency.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Standing {
    is_beyond_share: bool,
    priority: u32,
}

impl Standing {
    fn of(keys: Keys, tallies: &Tallies<'_>) -> Self {
        let is_below_minimum = tallies.priority_share(keys) < MIN_PRIORITY_SHARE;
        Self {
            is_beyond_share: tallies.is_beyond_share(keys),
            priority: if is_below_minimum {
                0
            } else {
                tallies.priority(keys).saturating_add(1)
            },
        }
    }
}

/// Position of a request in the order of all lanes.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Rank {
    class: Class,
    standing: Standing,
    service: f64,
    slot: Slot,
}

impl Eq for Rank {}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        let by_class = self.class.cmp(&other.class);
        by_class
            .then_with(|| self.standing.cmp(&other.standing))
            .then_with(|| self.service.total_cmp(&other.service))
            .then_with(|| self.slot.cmp(&other.slot))
    }
}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Queue of the waiting requests of all groups.
#[derive(Debug)]
pub struct Scheduler<G, T> {
    /// Order of the requests.
    pub policy: Policy,
    /// Service that the organisations received.
    pub account: Account,
    /// Service that they received in each group.
    pub accounts: HashMap<G, Account>,
    lanes: HashMap<G, BTreeMap<Flow, Lane<T>>>,
    places: HashMap<u64, (G, Flow, Slot)>,
}

impl<G, T> Default for Scheduler<G, T> {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            account: Account::default(),
            accounts: HashMap::new(),
            lanes: HashMap::new(),
            places: HashMap::new(),
        }
    }
}

impl<G: Clone + Eq + Hash + Ord, T> Scheduler<G, T> {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the time that should pass between two reviews.
    pub fn review_interval(&self) -> Duration {
        let waiting = u32::try_from(self.len()).unwrap_or(u32::MAX);
        MIN_REVIEW_INTERVAL.max(REVIEW_INTERVAL_PER_REQUEST.saturating_mul(waiting))
    }

    /// Returns whether requests of a group wait.
    pub fn has_waiting(&self, group: &G) -> bool {
        self.lanes.contains_key(group)
    }

    /// Returns the groups with waiting requests.
    pub fn groups(&self) -> impl Iterator<Item = &G> {
        self.lanes.keys()
    }

    /// Returns the time for which the waiting requests of a group occupy targets.
    pub fn backlog(&self, group: &G) -> Duration {
        let lanes = self.lanes.get(group).into_iter().flatten();
        let work = lanes
            .map(|(_, lane)| lane.work + lane.late.values().map(|one| one.work).sum::<Duration>());
        work.sum()
    }

    /// Adds a request under a number that no other waiting request has.
    pub fn insert(&mut self, number: u64, entry: Entry<G>, payload: T) {
        let slot = (entry.deadline, number);
        let lanes = self.lanes.entry(entry.group.clone()).or_default();
        let lane = lanes.entry(entry.flow.clone()).or_default();
        let waiting = Waiting {
            cost: entry.cost,
            work: entry.work,
            payload,
        };
        if entry.is_late {
            lane.late.insert(slot, waiting);
        } else {
            lane.cost += entry.cost.get();
            lane.work += entry.work;
            lane.on_time.insert(slot, waiting);
        }
        self.places.insert(number, (entry.group, entry.flow, slot));
    }

    /// Removes a request.
    pub fn remove(&mut self, number: u64) -> Option<T> {
        let (group, flow, slot) = self.places.remove(&number)?;
        let lanes = self.lanes.get_mut(&group)?;
        let lane = lanes.get_mut(&flow)?;
        let removed = lane.remove(slot);
        if lane.is_empty() {
            lanes.remove(&flow);
        }
        if lanes.is_empty() {
            self.lanes.remove(&group);
        }
        removed.map(|waiting| waiting.payload)
    }

    /// Removes all requests that a condition holds for.
    pub fn extract(&mut self, is_extracted: impl Fn(&T) -> bool) -> Vec<(u64, T)> {
        let all = self.lanes.values().flat_map(BTreeMap::values);
        let all = all.flat_map(|lane| lane.on_time.iter().chain(&lane.late));
        let extracted = all.filter(|(_, waiting)| is_extracted(&waiting.payload));
        let numbers: Vec<u64> = extracted.map(|((_, number), _)| *number).collect();
        let removed = numbers
            .into_iter()
            .filter_map(|number| Some((number, self.remove(number)?)));
        removed.collect()
    }

    /// Counts a request that was sent without having waited.
    pub fn charge(&mut self, group: &G, flow: &Flow, cost: Cost, now: Point) {
        if self.policy == Policy::Deadline {
            return;
        }
        self.account.charge(flow, cost, now);
        let of_group = self.accounts.entry(group.clone()).or_default();
        of_group.charge(flow, cost, now);
    }

    /// Returns the work that would be offered before a request, as far as it is known now.
    pub fn ahead<'a>(&'a self, entry: &'a Entry<G>, now: Point) -> Ahead {
        let lanes = self.lanes.get(&entry.group).into_iter().flatten();
        let mut ahead = Ahead::default();
        let accounts = std::iter::once(self.accounts.get(&entry.group));
        let mut tallies = Tallies::new(&self.account, accounts, now);
        for (flow, lane) in lanes {
            if entry.is_late {
                let waiting = lane.on_time.values().chain(lane.late.values());
                waiting.for_each(|waiting| ahead.add(1.0, waiting.work));
                continue;
            }
            let part = match self.policy {
                Policy::Deadline => Part::Earlier,
                Policy::Share => part_ahead(entry, flow, lane, &mut tallies, now),
            };
            match part {
                Part::Earlier => {
                    let until = (entry.deadline.max(now), u64::MAX);
                    let on_time = lane.on_time.range((now, 0)..until);
                    on_time.for_each(|(_, waiting)| ahead.add(1.0, waiting.work));
                }
                Part::Share(part) => {
                    ahead.add(lane.on_time.len() as f64 * part, lane.work.mul_f64(part));
                }
            }
        }
        ahead
    }

    /// Offers the waiting requests of the groups that may have room in their order, and returns those that left the queue,
    /// with whether each was taken.
    pub fn dispatch(
        &mut self,
        now: Point,
        has_room: impl Fn(&G) -> bool,
        mut offer: impl FnMut(u64, &T) -> Offer,
    ) -> Vec<(u64, T, bool)> {
        let groups = self.lanes.keys().filter(|group| has_room(group));
        let groups: Vec<G> = groups.cloned().collect();
        self.settle(&groups, now);
        let mut left = Vec::new();
        self.walk(&groups, now, |_, number, waiting, _| {
            let outcome = offer(number, &waiting.payload);
            if matches!(outcome, Offer::Taken | Offer::Dropped) {
                left.push((number, outcome == Offer::Taken, waiting.cost));
            }
            outcome
        });
        let mut removed = Vec::new();
        for (number, is_taken, cost) in left {
            let place = self.places.get(&number).filter(|_| is_taken).cloned();
            if let Some((group, flow, _)) = place {
                self.charge(&group, &flow, cost, now);
            }
            removed.extend(
                self.remove(number)
                    .map(|payload| (number, payload, is_taken)),
            );
        }
        removed
    }

    /// Removes the requests that a condition on what they can expect holds for, and returns them with it.
    pub fn review(
        &mut self,
        now: Point,
        mut is_hopeless: impl FnMut(&T, Outlook) -> bool,
    ) -> Vec<(u64, T, Outlook)> {
        self.accounts.retain(|_, account| !account.is_idle(now));
        let groups: Vec<G> = self.lanes.keys().cloned().collect();
        self.settle(&groups, now);
        let mut ahead_of: HashMap<G, Ahead> = HashMap::new();
        let mut hopeless = Vec::new();
        self.walk(&groups, now, |group, number, waiting, is_late| {
            let ahead = ahead_of.entry(group.clone()).or_default();
            let outlook = Outlook {
                ahead: *ahead,
                is_late,
            };
            if is_hopeless(&waiting.payload, outlook) {
                hopeless.push((number, outlook));
                return Offer::Dropped;
            }
            ahead.add(1.0, waiting.work);
            Offer::Taken
        });
        let removed = hopeless
            .into_iter()
            .filter_map(|(number, outlook)| Some((number, self.remove(number)?, outlook)));
        removed.collect()
    }

    fn settle(&mut self, groups: &[G], now: Point) {
        for group in groups {
            let lanes = self.lanes.get_mut(group).into_iter().flatten();
            lanes.for_each(|(_, lane)| lane.settle(now));
        }
    }

    /// Visits the waiting requests of some groups in their order, as if those that are taken had been served.
    fn walk<'a>(
        &'a self,
        groups: &'a [G],
        now: Point,
        mut visit: impl FnMut(&'a G, u64, &'a Waiting<T>, bool) -> Offer,
    ) {
        let accounts = groups.iter().map(|group| self.accounts.get(group));
        let mut tallies = Tallies::new(&self.account, accounts, now);
        let mut full: HashSet<&G> = HashSet::new();
        let mut lanes: Vec<(&G, Keys, &Lane<T>)> = Vec::new();
        for (number, group) in groups.iter().enumerate() {
            for (flow, lane) in self.lanes.get(group).into_iter().flatten() {
                lanes.push((group, tallies.index(number, flow), lane));
            }
        }
        let head = |tallies: &Tallies<'_>, index: usize, after: Option<Position>| {
            let (_, keys, lane) = lanes[index];
            let next = lane.next(after)?;
            Some(Reverse((self.rank(tallies, keys, next, now), index)))
        };
        let first = (0..lanes.len()).filter_map(|index| head(&tallies, index, None));
        let mut heads: BinaryHeap<_> = first.collect();
        while let Some(Reverse((rank, index))) = heads.pop() {
            let (group, keys, lane) = lanes[index];
            if full.contains(group) {
                continue;
            }
            let position = (rank.class == Class::Late, rank.slot);
            let current = self.rank(&tallies, keys, position, now);
            // The organisation may have been served since the rank was determined.
            if current > rank {
                heads.push(Reverse((current, index)));
                continue;
            }
            let Some(waiting) = lane.get(position) else {
                continue;
            };
            match visit(group, rank.slot.1, waiting, position.0) {
                Offer::Full => {
                    full.insert(group);
                    continue;
                }
                Offer::Taken => tallies.add(keys, waiting.cost),
                Offer::Dropped | Offer::Passed => {}
            }
            heads.extend(head(&tallies, index, Some(position)));
        }
    }

    fn rank(&self, tallies: &Tallies<'_>, keys: Keys, position: Position, now: Point) -> Rank {
        let (is_late, slot) = position;
        let class = if is_late {
            Class::Late
        } else if self.policy == Policy::Share && slot.0.since(now) > SPARE_TIME {
            Class::Spare
        } else {
            Class::Urgent
        };
        let (standing, service) = match self.policy {
            Policy::Deadline => (Standing::default(), 0.0),
            Policy::Share => (Standing::of(keys, tallies), tallies.service(keys)),
        };
        Rank {
            class,
            standing,
            service,
            slot,
        }
    }
}

/// Returns which part of a lane goes before a request that can be on time.
fn part_ahead<'a, G, T>(
    entry: &'a Entry<G>,
    flow: &'a Flow,
    lane: &Lane<T>,
    tallies: &mut Tallies<'a>,
    now: Point,
) -> Part {
    let own_keys = tallies.index(0, &entry.flow);
    let other_keys = tallies.index(0, flow);
    let own = Standing::of(own_keys, tallies);
    let other = Standing::of(other_keys, tallies);
    let has_spare_time = entry.deadline.since(now) > SPARE_TIME;
    if other < own || (has_spare_time && other.priority < own.priority) {
        return Part::Share(1.0);
    }
    if other > own {
        return Part::Share(0.0);
    }
    if flow.organisation == entry.flow.organisation {
        return Part::Earlier;
    }
    // The other organisation goes first until it has received as much service.
    let own = tallies.service(own_keys) + entry.cost.get();
    let other = tallies.service(other_keys);
    Part::Share(((own - other) / lane.cost.max(1.0)).clamp(0.0, 1.0))
}
