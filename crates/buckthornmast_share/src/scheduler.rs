//! Order in which waiting requests are offered to the targets.
//!
//! Requests wait in lanes: those of a group (a model) with the same organisation and priority. Within a lane they are
//! ordered by deadline. The lanes' first requests are compared by urgency (see `Class`). Then organisations beyond their
//! share go behind the others, urgent priorities before less urgent ones, and organisations that received little service
//! before those that received much. A lane whose priority received less than a minimum share of its organisation's
//! service goes before the more urgent ones.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, HashSet},
    hash::Hash,
    time::Duration,
};

use buckthornmast_types::time::Point;

use crate::account::{Account, Cost, Flow};

/// Time to its deadline above which a request leaves the room to others: a burst of urgent requests is served or refused
/// within about a second.
const SPARE_TIME: Duration = Duration::from_secs(1);

/// Share of its organisation's service below which a waiting priority goes before more urgent ones.
const MIN_PRIORITY_SHARE: f64 = 0.05;

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

#[derive(Debug)]
struct Waiting<T> {
    cost: Cost,
    work: Duration,
    payload: T,
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

type Slot = (Point, u64);

#[derive(Debug)]
struct Lane<T> {
    on_time: BTreeMap<Slot, Waiting<T>>,
    late: BTreeMap<Slot, Waiting<T>>,
    // Sums over `on_time`.
    cost: f64,
    work: Duration,
}

impl<T> Default for Lane<T> {
    fn default() -> Self {
        Self {
            on_time: BTreeMap::new(),
            late: BTreeMap::new(),
            cost: 0.0,
            work: Duration::ZERO,
        }
    }
}

impl<T> Lane<T> {
    fn is_empty(&self) -> bool {
        self.on_time.is_empty() && self.late.is_empty()
    }

    fn subtract(&mut self, waiting: &Waiting<T>) {
        self.cost = (self.cost - waiting.cost.get()).max(0.0);
        self.work = self.work.saturating_sub(waiting.work);
    }

    fn remove(&mut self, slot: Slot) -> Option<Waiting<T>> {
        if let Some(waiting) = self.on_time.remove(&slot) {
            self.subtract(&waiting);
            return Some(waiting);
        }
        self.late.remove(&slot)
    }

    fn get(&self, (is_late, slot): (bool, Slot)) -> Option<&Waiting<T>> {
        if is_late {
            self.late.get(&slot)
        } else {
            self.on_time.get(&slot)
        }
    }

    /// Moves the requests that can't be on time any more behind the others.
    fn settle(&mut self, now: Point) {
        while let Some(first) = self.on_time.first_entry() {
            if first.key().0 >= now {
                return;
            }
            let (slot, waiting) = first.remove_entry();
            self.subtract(&waiting);
            self.late.insert(slot, waiting);
        }
    }

    /// Returns the first request after a slot.
    fn next(&self, after: Option<(bool, Slot)>) -> Option<(bool, Slot)> {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = |slot: Option<Slot>| (slot.map_or(Unbounded, Excluded), Unbounded);
        let on_time = match after {
            Some((true, _)) => None,
            Some((false, slot)) => self.on_time.range(from(Some(slot))).next(),
            None => self.on_time.iter().next(),
        };
        if let Some((slot, _)) = on_time {
            return Some((false, *slot));
        }
        let after = after.and_then(|(is_late, slot)| is_late.then_some(slot));
        let (slot, _) = self.late.range(from(after)).next()?;
        Some((true, *slot))
    }
}

/// Standing of a lane among those with requests of the same urgency.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Standing {
    is_beyond_share: bool,
    priority: u32,
}

impl Standing {
    fn of(flow: &Flow, account: &Account, now: Point) -> Self {
        let is_below_minimum = account.priority_share(flow, now) < MIN_PRIORITY_SHARE;
        Self {
            is_beyond_share: account.is_beyond_share(&flow.organisation, now),
            priority: if is_below_minimum {
                0
            } else {
                flow.priority.saturating_add(1)
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
    lanes: HashMap<G, BTreeMap<Flow, Lane<T>>>,
    places: HashMap<u64, (G, Flow, Slot)>,
}

impl<G, T> Default for Scheduler<G, T> {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            account: Account::default(),
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

    /// Returns whether requests of a group wait.
    pub fn has_waiting(&self, group: &G) -> bool {
        self.lanes.contains_key(group)
    }

    /// Returns the groups with waiting requests, and the time for which all of theirs occupy targets.
    pub fn backlogs(&self) -> impl Iterator<Item = (&G, Duration)> {
        self.lanes.iter().map(|(group, lanes)| {
            let late = |lane: &Lane<T>| lane.late.values().map(|one| one.work).sum::<Duration>();
            let work = lanes.values().map(|lane| lane.work + late(lane)).sum();
            (group, work)
        })
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
    pub fn charge(&mut self, flow: &Flow, cost: Cost, now: Point) {
        self.account.charge(flow, cost, now);
    }

    /// Returns the work that would be offered before a request, as far as it is known now.
    pub fn ahead(&self, entry: &Entry<G>, now: Point) -> Ahead {
        let lanes = self.lanes.get(&entry.group).into_iter().flatten();
        let mut ahead = Ahead::default();
        for (flow, lane) in lanes {
            if entry.is_late {
                let waiting = lane.on_time.values().chain(lane.late.values());
                waiting.for_each(|waiting| ahead.add(1.0, waiting.work));
                continue;
            }
            let part = match self.policy {
                Policy::Deadline => Part::Earlier,
                Policy::Share => self.part_ahead(entry, flow, lane, now),
            };
            match part {
                Part::Earlier => {
                    let on_time = lane.on_time.range((now, 0)..(entry.deadline, u64::MAX));
                    on_time.for_each(|(_, waiting)| ahead.add(1.0, waiting.work));
                }
                Part::Share(part) => {
                    ahead.add(lane.on_time.len() as f64 * part, lane.work.mul_f64(part));
                }
            }
        }
        ahead
    }

    /// Returns which part of a lane goes before a request that can be on time.
    fn part_ahead(&self, entry: &Entry<G>, flow: &Flow, lane: &Lane<T>, now: Point) -> Part {
        let own = Standing::of(&entry.flow, &self.account, now);
        let other = Standing::of(flow, &self.account, now);
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
        let own = self.account.service(&entry.flow.organisation, now).get() + entry.cost.get();
        let other = self.account.service(&flow.organisation, now).get();
        Part::Share(((own - other) / lane.cost.max(1.0)).clamp(0.0, 1.0))
    }

    /// Offers the waiting requests of the groups that may have room in their order, and returns those that left the queue,
    /// with whether each was taken.
    pub fn dispatch(
        &mut self,
        now: Point,
        has_room: impl Fn(&G) -> bool,
        mut offer: impl FnMut(u64, &T) -> Offer,
    ) -> Vec<(u64, T, bool)> {
        self.settle(now);
        let mut account = std::mem::take(&mut self.account);
        let mut left = Vec::new();
        self.walk(&mut account, now, has_room, |_, number, waiting, _| {
            let outcome = offer(number, &waiting.payload);
            if matches!(outcome, Offer::Taken | Offer::Dropped) {
                left.push((number, outcome == Offer::Taken));
            }
            outcome
        });
        self.account = account;
        let removed = left
            .into_iter()
            .filter_map(|(number, is_taken)| Some((number, self.remove(number)?, is_taken)));
        removed.collect()
    }

    /// Removes the requests that a condition on what they can expect holds for, and returns them with it.
    pub fn review(
        &mut self,
        now: Point,
        mut is_hopeless: impl FnMut(&T, Outlook) -> bool,
    ) -> Vec<(u64, T, Outlook)> {
        self.settle(now);
        let mut account = self.account.clone();
        let mut ahead_of: HashMap<G, Ahead> = HashMap::new();
        let mut hopeless = Vec::new();
        let all = |_: &G| true;
        self.walk(&mut account, now, all, |group, number, waiting, is_late| {
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

    fn settle(&mut self, now: Point) {
        let lanes = self.lanes.values_mut().flat_map(BTreeMap::values_mut);
        lanes.for_each(|lane| lane.settle(now));
    }

    /// Visits the waiting requests in their order. Requests that are taken are charged to the account.
    fn walk(
        &self,
        account: &mut Account,
        now: Point,
        is_visited: impl Fn(&G) -> bool,
        mut visit: impl FnMut(&G, u64, &Waiting<T>, bool) -> Offer,
    ) {
        let mut full: HashSet<&G> = HashSet::new();
        let visited = self.lanes.iter().filter(|(group, _)| is_visited(group));
        let lanes = visited
            .flat_map(|(group, lanes)| lanes.iter().map(move |(flow, lane)| (group, flow, lane)));
        let lanes: Vec<(&G, &Flow, &Lane<T>)> = lanes.collect();
        let head = |account: &Account, index: usize, position: Option<(bool, Slot)>| {
            let (_, flow, lane) = lanes[index];
            let next = lane.next(position)?;
            Some(Reverse((self.rank(account, flow, next, now), index)))
        };
        let first = (0..lanes.len()).filter_map(|index| head(account, index, None));
        let mut heads: BinaryHeap<_> = first.collect();
        while let Some(Reverse((rank, index))) = heads.pop() {
            let (group, flow, lane) = lanes[index];
            if full.contains(group) {
                continue;
            }
            let position = (rank.class == Class::Late, rank.slot);
            let current = self.rank(account, flow, position, now);
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
                Offer::Taken => account.charge(flow, waiting.cost, now),
                Offer::Dropped | Offer::Passed => {}
            }
            heads.extend(head(account, index, Some(position)));
        }
    }

    fn rank(
        &self,
        account: &Account,
        flow: &Flow,
        (is_late, slot): (bool, Slot),
        now: Point,
    ) -> Rank {
        let class = if is_late {
            Class::Late
        } else if self.policy == Policy::Share && slot.0.since(now) > SPARE_TIME {
            Class::Spare
        } else {
            Class::Urgent
        };
        match self.policy {
            Policy::Deadline => Rank {
                class,
                standing: Standing::default(),
                service: 0.0,
                slot,
            },
            Policy::Share => Rank {
                class,
                standing: Standing::of(flow, account, now),
                service: account.service(&flow.organisation, now).get(),
                slot,
            },
        }
    }
}
