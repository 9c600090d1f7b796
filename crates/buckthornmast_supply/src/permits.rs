//! Prefill permits: the leader's permission to send a prompt to a target now.
//!
//! Designed for many concurrent long prompts. While a target reads a prompt (prefill), the answers of all its other
//! requests pause, so a few prompts that arrive together make every answer there late although the target could have
//! read them one after the other in time. Instances that don't know of each other's requests can't avoid this. A single
//! instance therefore grants permits: each target gets prompts at a rate that leaves it time for its running answers,
//! in the order of the deadlines of the first events. Requests that can no longer meet their deadline wait behind all
//! that can, in a bounded queue. Beyond its bound, requests are refused at once, with the expected wait.
//!
//! As soon as a request names an organisation, the queue shares the room between organisations (see
//! [`buckthornmast_share`]). Requests that others go before are then refused as soon as they can't be expected to be
//! served, and callers are told different times to come back.

mod holder;
mod load;
mod refusal;

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use buckthornmast_limit::{
    account::Account,
    statement::{Grant, Key},
};
use buckthornmast_share::prelude::{Advice, Cost, Entry, Flow, Offer, Policy, Scheduler};
use buckthornmast_types::{id, prompt::Prefix, time::Point};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use self::{holder::Holder, load::Load};
use crate::{
    demand::{Demand, Item},
    kept::{ModelHash, Use},
    ledger::{Inventory, Ledger},
    occupancy::{Reporter, Row},
};

/// Share of a target's time in which it reads prompts. The rest is for the answers of its running requests.
const PREFILL_SHARE: f64 = 0.55;

/// Share of a target's time in which it reads prompts under backlog. Some answers are late then, but fewer than the
/// requests that would be refused otherwise.
const BACKLOG_PREFILL_SHARE: f64 = 0.75;

/// Reading time of the waiting prompts, per target, above which the targets count as under backlog.
const BACKLOG_PER_TARGET: Duration = Duration::from_millis(60);

/// Share of a target's slots that is used if no instance reports its requests there, since their number is a guess then.
const USED_SLOT_SHARE: f64 = 0.9;

/// Share of a target's slots up to which it has some to spare for a burst.
const SPARE_SLOT_SHARE: f64 = 0.6;

/// Share of a target's slots from which the next burst would have to wait there.
const STRAINED_SLOT_SHARE: f64 = 0.8;

/// Share of its wait limit that a request may be expected to wait if its answer will be late.
const LATE_WAIT_SHARE: f64 = 0.5;

/// Time from a permit to the first event beyond the reading time of the prompt: some steps of the target.
const FIRST_EVENT_OVERHEAD: Duration = Duration::from_millis(50);

/// Time over which the utilisation of a target is averaged.
const UTILISATION_SPAN: Duration = Duration::from_millis(1000);

/// Prompt tokens that are read in the time between two events of an answer. The users' data sheets give a reading speed
/// of 38.4 tokens per millisecond, and events of 6 tokens at 5.23 ms per token.
const PREFILL_TOKENS_PER_EVENT: f64 = 1200.0;

/// Time for which the table of the targets of each model is used before it is built again.
const HOLDERS_LIFETIME: Duration = Duration::from_millis(20);

/// Request for a permit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Model or adapter.
    pub item: Item,
    /// Number of tokens of the prompt.
    #[serde(rename = "prompt")]
    pub prompt_tokens: u32,
    /// Hash of the prefix of the prompt, if requests with the same prefix should go to the same target.
    pub prefix: Option<u64>,
    /// Time left until the first event is late.
    pub objective: Duration,
    /// Remaining time that the caller waits.
    #[serde(rename = "patience")]
    pub max_wait: Duration,
    /// Targets that have already had the request, or that fail.
    pub avoid: SmallVec<[id::Target; 2]>,
    // Older builds send none of the following.
    /// Priority of the caller, of which 0 is the most urgent.
    pub priority: u32,
    /// Organisation that the caller belongs to.
    pub organisation: Option<id::Organisation>,
    /// Maximum number of tokens of the answer.
    pub answer_tokens: u32,
    /// Beginnings of the prompt that other requests may share, from the shortest to the longest.
    pub prefixes: SmallVec<[Prefix; 4]>,
}

/// Answer to a request for a permit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Permit {
    /// The request may be sent to this target now.
    Go(id::Target),
    /// The permit is expected after about this time.
    Wait(Duration),
    /// The request would have to wait too long, with the expected wait; or it has waited without success, with its
    /// objective in place of the wait.
    Refuse(Duration),
    /// No target has the model or adapter.
    Unknown,
    /// The request may be sent to this target now, which takes requests at a limited rate only.
    Limited(id::Target, Grant),
}

/// Number of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

#[derive(Debug)]
struct Waiting {
    request: Request,
    // Reading time of the prompt.
    prefill_time: Duration,
    // Expected running time, in seconds.
    running_seconds: f64,
    wait_until: Point,
}

impl Waiting {
    fn group(&self) -> Group {
        let item = &self.request.item;
        (item.service.clone(), item.model.clone())
    }

    fn flow(&self) -> Flow {
        Flow {
            organisation: self.request.organisation.clone(),
            priority: self.request.priority,
        }
    }

    fn cost(&self) -> Cost {
        Cost::of_tokens(self.request.prompt_tokens, self.request.answer_tokens)
    }
}

/// Requests that compete for the same targets: those for a model, with whatever adapter.
type Group = (id::Service, id::Model);

/// Queue of the requests for permits at all targets.
#[derive(Default)]
pub struct Queue {
    /// Account of the targets that take requests at a limited rate only.
    pub limits: Account,
    /// Tokens that fit into the memory of each target of a service. They aren't part of the state of a leadership.
    pub cache_tokens: HashMap<id::Service, u64>,
    loads: HashMap<Key, Load>,
    waiting: Scheduler<Group, Waiting>,
    // Times at which refused callers are expected back.
    advice: Advice<Group>,
    reviewed_at: Point,
    next_ticket: u64,
    holders: Holders,
}

/// Targets that had a model when the table was built. A search of all targets for each request would take most of the
/// leader's time when there are hundreds of targets and waiting requests.
#[derive(Default)]
struct Holders {
    by_model: HashMap<(id::Service, id::Model), Vec<id::Target>>,
    built_at: Option<Point>,
}

impl Holders {
    fn refresh(&mut self, ledger: &Ledger, now: Point) {
        let is_current = |built_at: Point| now.since(built_at) < HOLDERS_LIFETIME;
        if self.built_at.is_some_and(is_current) {
            return;
        }
        self.built_at = Some(now);
        self.by_model.clear();
        for (target, inventory) in &ledger.inventories {
            for model in inventory.resident.keys() {
                let key = (inventory.service.clone(), model.clone());
                self.by_model.entry(key).or_default().push(target.clone());
            }
        }
    }

    /// Returns the targets that can run an item now.
    fn find<'a>(&self, item: &Item, ledger: &'a Ledger) -> Vec<(&'a id::Target, &'a Inventory)> {
        let key = (item.service.clone(), item.model.clone());
        let listed = self.by_model.get(&key).into_iter().flatten();
        let known = listed.filter_map(|target| ledger.inventories.get_key_value(target));
        let serving: Vec<_> = known
            .filter(|(_, inventory)| inventory.serves(item))
            .collect();
        if serving.is_empty() {
            // The model may have become ready since the table was built.
            return ledger.usable_targets(item).collect();
        }
        serving
    }
}

impl Queue {
    /// Removes all state.
    pub fn clear(&mut self) {
        self.limits = Account::default();
        self.loads.clear();
        self.waiting = Scheduler::default();
        self.advice = Advice::default();
        self.holders = Holders::default();
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the recent service of an organisation, and the service above which it is beyond its share.
    pub fn service(&self, organisation: &id::Organisation, now: Point) -> (Cost, Cost) {
        let account = &self.waiting.account;
        let service = account.service(&Some(organisation.clone()), now);
        (service, account.share_limit(now))
    }

    /// Answers a request. One that has to wait is answered again by [`Self::poll`] under its ticket.
    pub fn request(
        &mut self,
        request: Request,
        ledger: &Ledger,
        demand: &Demand,
        now: Point,
    ) -> (Ticket, Permit) {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        if request.organisation.is_some() {
            self.waiting.policy = Policy::Share;
        }
        self.holders.refresh(ledger, now);
        let holders = self.find_holders(&request, ledger, now);
        if holders.is_empty() {
            return (ticket, Permit::Unknown);
        }
        let timing = demand.timing(&request.item);
        let prefill_time = timing
            .event_interval
            .mul_f64(f64::from(request.prompt_tokens) / PREFILL_TOKENS_PER_EVENT);
        // Latest time of the permit for the first event to be on time.
        let latest_permit = now
            + request
                .objective
                .saturating_sub(prefill_time + FIRST_EVENT_OVERHEAD);
        let mut waiting = Waiting {
            prefill_time,
            running_seconds: timing.slot_time.as_secs_f64(),
            wait_until: now + request.max_wait,
            request,
        };
        let mut entry = Entry {
            group: waiting.group(),
            flow: waiting.flow(),
            cost: waiting.cost(),
            work: prefill_time,
            deadline: latest_permit,
            is_late: false,
        };
        if !self.waiting.has_waiting(&entry.group)
            && let Some(target) = holder::pick(&holders, &waiting)
        {
            self.waiting
                .charge(&entry.group, &entry.flow, entry.cost, now);
            return (ticket, self.grant(target, &waiting, PREFILL_SHARE, now));
        }
        let late_wait = waiting.request.max_wait.mul_f64(LATE_WAIT_SHARE);
        let ahead = self.waiting.ahead(&entry, now);
        let mut wait = holder::expected_wait(&holders, ahead, &waiting);
        if now + wait > latest_permit {
            // Requests that can be on time go first, including later ones, so only spare time counts.
            let spare = holders.iter().map(|holder| 1.0 - holder.utilisation);
            let spare = spare.fold(0.0, f64::max);
            entry.is_late = true;
            waiting.wait_until = now + late_wait;
            let ahead = self.waiting.ahead(&entry, now);
            wait = holder::expected_wait(&holders, ahead, &waiting);
            if wait > late_wait.mul_f64(spare) {
                return (ticket, self.refuse(&waiting, &holders, wait, now));
            }
        } else if self.waiting.policy == Policy::Share {
            waiting.wait_until = latest_permit.max(now + late_wait);
        }
        self.waiting.insert(ticket.0, entry, waiting);
        (ticket, Permit::Wait(wait))
    }

    /// Removes a request that no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.remove(ticket.0);
    }

    /// Returns the answers to the requests that get a permit now, and to those whose wait ended without one.
    pub fn poll(&mut self, ledger: &Ledger, now: Point) -> Vec<(Ticket, Permit)> {
        self.holders.refresh(ledger, now);
        let mut permits = Vec::new();
        if self.waiting.policy == Policy::Deadline {
            let ended = self.waiting.extract(|waiting| now >= waiting.wait_until);
            permits.extend(ended.into_iter().map(|(number, waiting)| {
                (Ticket(number), Permit::Refuse(waiting.request.objective))
            }));
        }
        let mut scheduler = std::mem::take(&mut self.waiting);
        // Targets only fill up while permits are granted, so what was refused one request is refused the later ones.
        let mut full_items: HashSet<Item> = HashSet::new();
        let is_shared = scheduler.policy == Policy::Share;
        let groups = scheduler.groups();
        let open = groups.filter(|group| !is_shared || self.is_open(group, ledger, now));
        let backlogs: HashMap<Group, Duration> = open
            .map(|group| (group.clone(), scheduler.backlog(group)))
            .collect();
        let has_room = |group: &Group| backlogs.contains_key(group);
        scheduler.dispatch(now, has_room, |number, waiting| {
            if waiting.request.avoid.is_empty() && full_items.contains(&waiting.request.item) {
                return Offer::Passed;
            }
            let holders = self.find_holders(&waiting.request, ledger, now);
            if holders.is_empty() {
                permits.push((Ticket(number), Permit::Unknown));
                return Offer::Dropped;
            }
            let Some(target) = holder::pick(&holders, waiting) else {
                if waiting.request.avoid.is_empty() {
                    full_items.insert(waiting.request.item.clone());
                }
                return Offer::Passed;
            };
            let backlog = backlogs.get(&waiting.group()).copied().unwrap_or_default();
            let has_backlog =
                backlog > BACKLOG_PER_TARGET * u32::try_from(holders.len()).unwrap_or(1);
            let prefill_share = if has_backlog {
                BACKLOG_PREFILL_SHARE
            } else {
                PREFILL_SHARE
            };
            let permit = self.grant(target, waiting, prefill_share, now);
            permits.push((Ticket(number), permit));
            Offer::Taken
        });
        self.waiting = scheduler;
        self.review(ledger, now, &mut permits);
        permits
    }

    /// Removes the state of targets that are gone, and the parts of prompts whose models are gone.
    pub fn retain(&mut self, ledger: &Ledger) {
        self.loads.retain(|(target, incarnation), load| {
            let Some(inventory) = ledger.inventories.get(target) else {
                return false;
            };
            let resident: SmallVec<[ModelHash; 4]> =
                inventory.resident.keys().map(model_hash).collect();
            load.cache.retain_models(|model| resident.contains(&model));
            inventory.incarnation == *incarnation
        });
    }

    /// Records the requests that an instance has at targets.
    pub fn record_report(&mut self, reporter: Reporter, rows: &[Row], now: Point) {
        for row in rows {
            let key = (row.target.clone(), row.incarnation);
            let load = self.loads.entry(key).or_default();
            let slot_time = load.slot_time();
            load.occupancy.record_report(reporter, row, slot_time, now);
        }
    }

    /// Forgets the requests of an instance whose connection has ended.
    pub fn remove_reporter(&mut self, reporter: Reporter) {
        for load in self.loads.values_mut() {
            load.occupancy.remove(reporter);
        }
    }

    /// Returns whether all targets that can run an item are nearly full, so that the next burst would have to wait.
    pub fn is_strained(&self, item: &Item, ledger: &Ledger, now: Point) -> bool {
        self.holders.find(item, ledger).iter().all(|holder| {
            let (target, inventory) = holder;
            self.requests(target, inventory, now)
                >= f64::from(inventory.slots) * STRAINED_SLOT_SHARE
        })
    }

    /// Returns whether a target has slots to spare.
    pub fn has_spare_slots(&self, target: &id::Target, inventory: &Inventory, now: Point) -> bool {
        self.requests(target, inventory, now) <= f64::from(inventory.slots) * SPARE_SLOT_SHARE
    }

    fn requests(&self, target: &id::Target, inventory: &Inventory, now: Point) -> f64 {
        let load = self.loads.get(&(target.clone(), inventory.incarnation));
        load.map_or(0.0, |load| load.requests(now))
    }

    fn find_holders(
        &self,
        request: &Request,
        ledger: &Ledger,
        now: Point,
    ) -> SmallVec<[Holder; 8]> {
        let with_item = self.holders.find(&request.item, ledger);
        let mut holders: SmallVec<[Holder; 8]> = SmallVec::new();
        let unknown = Load::default();
        for (target, inventory) in with_item {
            if request.avoid.contains(target) {
                continue;
            }
            let key = (target.clone(), inventory.incarnation);
            let limit = self.limits.limit(&key);
            let limit = limit.zip(self.limits.wait(&key, now));
            let load = self.loads.get(&key).unwrap_or(&unknown);
            let requests = load.requests(now);
            let slot_share = if load.occupancy.is_reported(now) {
                1.0
            } else {
                USED_SLOT_SHARE
            };
            holders.push(Holder {
                prefill_wait: load.prefill_wait(now),
                running: requests,
                utilisation: load.utilisation(now),
                slots: (f64::from(inventory.slots) * slot_share).max(1.0),
                slot_time: load.slot_time(),
                slowdown: load.occupancy.slowdown(now),
                kept_tokens: load.cache.kept_tokens(
                    &request.prefixes,
                    self.capacity(request),
                    requests,
                    now,
                ),
                limit,
                is_probed: self.limits.is_due(&key, now),
                key,
            });
        }
        holders
    }

    /// Returns the tokens that fit into the memory of a target that a request may be sent to.
    fn capacity(&self, request: &Request) -> u64 {
        let capacity = self.cache_tokens.get(&request.item.service);
        capacity.copied().unwrap_or_default()
    }

    /// Accounts for a request that is sent to a target now.
    fn grant(&mut self, key: Key, waiting: &Waiting, prefill_share: f64, now: Point) -> Permit {
        let request = &waiting.request;
        let capacity = self.capacity(request);
        let load = self.loads.entry(key.clone()).or_default();
        let kept = load
            .cache
            .kept_tokens(&request.prefixes, capacity, load.requests(now), now);
        let unread = 1.0 - kept / f64::from(request.prompt_tokens.max(1));
        // A slow target has to keep more of its time for its running answers.
        let slowdown = load.occupancy.slowdown(now).max(1.0);
        let cost = load::Cost {
            prefill_time: waiting
                .prefill_time
                .mul_f64(unread.clamp(0.0, 1.0) * slowdown),
            slot_time: Duration::from_secs_f64(waiting.running_seconds),
            prefill_share: prefill_share / slowdown,
        };
        load.grant(cost, now);
        let sent = Use {
            model: model_hash(&request.item.model),
            prefixes: &request.prefixes,
            prompt_tokens: request.prompt_tokens,
            answer_tokens: request.answer_tokens,
        };
        load.cache.record(sent, kept, now);
        match self.limits.take(&key, now) {
            Some(grant) => Permit::Limited(key.0, grant),
            None => Permit::Go(key.0),
        }
    }
}

fn model_hash(model: &id::Model) -> ModelHash {
    xxh3_64(model.as_str().as_bytes())
}
