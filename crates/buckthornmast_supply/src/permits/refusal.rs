//! Refusal of requests that can't be served before their wait ends.

use std::{collections::HashMap, time::Duration};

use buckthornmast_limit::statement::Key;
use buckthornmast_share::prelude::Policy;
use buckthornmast_types::time::Point;
use smallvec::SmallVec;

use super::{
    Group, Permit, Queue, Request, Ticket, Waiting,
    holder::{self, Holder},
};
use crate::{demand::Item, ledger::Ledger};

impl Queue {
    /// Returns whether a request for a model may be answered now, with whatever adapter: a target takes it, or none has the
    /// model any more.
    pub(super) fn is_open(&self, (service, model): &Group, ledger: &Ledger, now: Point) -> bool {
        let request = Request {
            item: Item {
                service: service.clone(),
                model: model.clone(),
                adapter: None,
            },
            prompt_tokens: 0,
            prefix: None,
            objective: Duration::ZERO,
            max_wait: Duration::ZERO,
            avoid: SmallVec::new(),
            priority: 0,
            organisation: None,
            answer_tokens: 0,
            prefixes: SmallVec::new(),
        };
        let holders = self.find_holders(&request, ledger, now);
        holders.is_empty() || holders.iter().any(Holder::is_open)
    }

    /// Refuses the waiting requests that can't be expected to be served before their wait ends.
    pub(super) fn review(
        &mut self,
        ledger: &Ledger,
        now: Point,
        permits: &mut Vec<(Ticket, Permit)>,
    ) {
        let interval = self.waiting.review_interval();
        if self.waiting.policy != Policy::Share || now.since(self.reviewed_at) < interval {
            return;
        }
        self.reviewed_at = now;
        self.advice.prune(now);
        let mut scheduler = std::mem::take(&mut self.waiting);
        let mut holders_of: HashMap<Item, SmallVec<[Holder; 8]>> = HashMap::new();
        let hopeless = scheduler.review(now, |waiting, outlook| {
            let item = &waiting.request.item;
            if !holders_of.contains_key(item) {
                let holders = self.find_holders(&waiting.request, ledger, now);
                holders_of.insert(item.clone(), holders);
            }
            let wait = holder::expected_wait(&holders_of[item], outlook.ahead, waiting);
            // Late requests keep their place in the gaps: a refused caller returns like a new one, ahead of callers that
            // can still be on time.
            now + wait > waiting.wait_until
        });
        self.waiting = scheduler;
        for (number, waiting, outlook) in hopeless {
            let holders = self.find_holders(&waiting.request, ledger, now);
            let wait = holder::expected_wait(&holders, outlook.ahead, &waiting);
            let permit = self.refuse(&waiting, &holders, wait, now);
            permits.push((Ticket(number), permit));
        }
    }

    /// Refuses a request, with the time after which its caller should come back.
    pub(super) fn refuse(
        &mut self,
        waiting: &Waiting,
        holders: &[Holder],
        wait: Duration,
        now: Point,
    ) -> Permit {
        if !holders.is_empty() && holders.iter().all(|holder| holder.limit.is_some()) {
            let keys: SmallVec<[Key; 8]> =
                holders.iter().map(|holder| holder.key.clone()).collect();
            return Permit::Refuse(wait.max(self.limits.advise(&keys, now)));
        }
        if self.waiting.policy == Policy::Deadline {
            return Permit::Refuse(wait);
        }
        let work = holder::work_share(holders, waiting);
        Permit::Refuse(self.advice.advise(&waiting.group(), wait, work, now))
    }
}
