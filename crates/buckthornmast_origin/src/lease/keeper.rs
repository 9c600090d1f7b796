//! Side of the instances that keep copies.

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_types::{id, time::Point};

use super::{COPY_LIFE, Content};
use crate::attestation::Variant;

/// Number of instances of which copies are kept. More are seen only while instances are replaced at other addresses.
pub const MAX_COPIES: usize = 8;

#[derive(Debug, Clone, Default)]
struct Copy {
    until: Point,
    // Answers to questions that were not asked later are ignored.
    asked_after: Point,
    content: Content,
}

/// Copies of what other instances attest.
#[derive(Debug, Clone, Default)]
pub struct Keeper {
    copies: BTreeMap<id::Instance, Copy>,
}

impl Keeper {
    /// Restores the copies on the disk. Those from another run of the clock must be left out.
    pub fn restore(
        &mut self,
        copies: impl IntoIterator<Item = (id::Instance, Point, Content)>,
        now: Point,
    ) {
        for (grantor, until, content) in copies {
            // A later time can't come from this clock.
            if until <= now + COPY_LIFE {
                let copy = Copy {
                    until,
                    asked_after: now,
                    content,
                };
                self.copies.insert(grantor, copy);
            }
        }
    }

    /// Returns the copies, and until when they count.
    pub fn copies(&self) -> impl Iterator<Item = (&id::Instance, Point, &Content)> {
        let copies = self.copies.iter();
        copies.map(|(grantor, copy)| (grantor, copy.until, &copy.content))
    }

    /// Replaces a copy by the answer to a question.
    pub fn renew(&mut self, grantor: &id::Instance, asked_at: Point, content: Content, now: Point) {
        let Some(copy) = self.entry(grantor) else {
            return;
        };
        if copy.asked_after < asked_at && asked_at <= now {
            *copy = Copy {
                until: asked_at + COPY_LIFE,
                asked_after: asked_at,
                content,
            };
        }
    }

    /// Withdraws what contradicts a version, also from answers that are on their way. Returns whether that has to be stored.
    pub fn withdraw(&mut self, grantor: &id::Instance, variant: Variant, now: Point) -> bool {
        let Some(copy) = self.entry(grantor) else {
            return false;
        };
        copy.asked_after = now;
        let attested = &mut copy.content.attested;
        let copied = attested.get(&variant.service);
        let is_contradicted = copied.is_some_and(|sole| variant.mark != Some(sole.mark));
        if is_contradicted {
            attested.remove(&variant.service);
        }
        is_contradicted
    }

    /// Returns what an instance attested that was replaced by one that started at a time. Empty if that came too late.
    pub fn found(&self, grantor: &id::Instance, started: Point) -> Content {
        let copy = self.copies.get(grantor);
        let copy = copy.filter(|copy| started < copy.until);
        copy.map(|copy| copy.content.clone()).unwrap_or_default()
    }

    fn entry(&mut self, grantor: &id::Instance) -> Option<&mut Copy> {
        let is_known = self.copies.contains_key(grantor);
        let has_room = is_known || self.copies.len() < MAX_COPIES;
        has_room.then(|| self.copies.entry(grantor.clone()).or_default())
    }

    /// Forgets copies that expired this long ago.
    pub fn prune(&mut self, age: Duration, now: Point) {
        self.copies
            .retain(|_, copy| now.since(copy.until.max(copy.asked_after)) < age);
    }
}
