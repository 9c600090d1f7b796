//! Admission of moves through the weight store and the ledger.

use std::collections::BTreeSet;

use buckthornmast_ledger::prelude::*;
use buckthornmast_types::{order::Action, prelude::*};

use crate::{
    core::{Core, Meta, Place, Shift},
    counter::Kind,
    keep,
    plan::{Move, Planned, View},
    settled::Settled,
};

/// What becomes of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    /// An order is reserved.
    Reserved,
    /// It may fit in a later round.
    Later,
    /// It no longer applies.
    Never,
}

fn fate(action: &Action, result: &Result<(), Refusal>) -> Fate {
    let loads = matches!(action, Action::Load { .. });
    match result {
        Ok(()) => Fate::Reserved,
        // The same move is under way already.
        Err(Refusal::Open { is_load, .. }) if *is_load == loads => Fate::Never,
        Err(
            Refusal::Memory { .. }
            | Refusal::Open { .. }
            | Refusal::NotCurrent
            | Refusal::LastCopy { .. }
            | Refusal::Based { .. },
        ) => Fate::Later,
        Err(_) => Fate::Never,
    }
}

impl Core {
    /// Admits moves in this order: missing copies, moves kept from earlier rounds, moves of the plan,
    /// ends of shifts, version changes and drains.
    pub(crate) fn admit(&mut self, now: Point, view: &View, planned: Planned) {
        let is_counting = |t: &&crate::plan::TargetView| {
            t.is_live && t.is_current && !planned.drains.contains(&t.target)
        };
        let counting = view.targets.iter().filter(is_counting);
        let needs = planned.needs.iter().map(|need| need.alternatives());
        let guard = Guard::new(needs, counting.map(|t| t.target.clone()));
        let mut stock = keep::Stock::new(view, &guard);
        let missing = keep::missing(&mut stock, &planned, self.config.at_once);
        let upkeep = keep::upkeep(&mut stock, &planned, &self.shifts);
        drop(stock);
        self.guard = Some(guard);

        let mut loads = self.book.as_ref().map_or(0, Book::loads);
        for wanted in &missing {
            self.admit_one(now, wanted, &mut loads);
        }
        self.admit_kept(now, planned.moves, &mut loads);
        self.end_shifts(now);
        for wanted in &upkeep {
            self.admit_one(now, wanted, &mut loads);
        }
    }

    fn admit_kept(&mut self, now: Point, moves: Vec<Move>, loads: &mut usize) {
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|(since, _)| now.since(*since) < self.config.keep_for);
        let known: BTreeSet<Move> = waiting.iter().map(|(_, wanted)| wanted.clone()).collect();
        let new = moves.into_iter().filter(|wanted| !known.contains(wanted));
        waiting.extend(new.map(|wanted| (now, wanted)));
        waiting.retain(|(_, wanted)| self.admit_one(now, wanted, loads) == Fate::Later);
        waiting.truncate(self.config.keep_at_most);
        self.waiting = waiting;
    }

    fn admit_one(&mut self, now: Point, wanted: &Move, loads: &mut usize) -> Fate {
        match wanted {
            Move::Load {
                team,
                target,
                artifact,
                bytes,
            } => self.load(now, (team, Kind::Load), target, (artifact, *bytes), loads),
            Move::Unload {
                team,
                target,
                artifact,
            } => self.unload(now, (team, Kind::Unload), target, artifact),
            Move::Shift {
                team,
                from,
                to,
                artifact,
                bytes,
            } => {
                let load = (artifact, *bytes);
                let fate = self.load(now, (team, Kind::Shift), to, load, loads);
                if fate == Fate::Reserved {
                    self.shifts.push(Shift {
                        team: team.clone(),
                        artifact: artifact.clone(),
                        from: from.clone(),
                        to: to.clone(),
                    });
                }
                fate
            }
        }
    }

    fn load(
        &mut self,
        now: Point,
        of: (&id::Team, Kind),
        target: &id::Target,
        (artifact, bytes): (&Artifact, Bytes),
        loads: &mut usize,
    ) -> Fate {
        if !self.guard.as_ref().is_some_and(|g| g.counts(target)) {
            return Fate::Never;
        }
        let action = Action::Load {
            artifact: artifact.clone(),
            bytes,
        };
        let Some(order) = self.order(target, action) else {
            return Fate::Never;
        };
        let checked = fate(&order.action, &self.check(&order));
        if checked != Fate::Reserved {
            return checked;
        }
        if !self.store.spend(now, *loads) {
            return Fate::Later;
        }
        *loads += 1;
        self.reserve(order, of)
    }

    fn unload(
        &mut self,
        now: Point,
        of: (&id::Team, Kind),
        target: &id::Target,
        artifact: &Artifact,
    ) -> Fate {
        let (Some(book), Some(guard)) = (&self.book, &self.guard) else {
            return Fate::Never;
        };
        let ready_before = Settled::bound(now, self.config.ready_for);
        let copy = (target, artifact);
        if !self.settled.may_unload((book, guard), copy, ready_before) {
            return Fate::Later;
        }
        let artifact = artifact.clone();
        match self.order(target, Action::Unload { artifact }) {
            Some(order) => self.reserve(order, of),
            None => Fate::Never,
        }
    }

    fn order(&self, target: &id::Target, action: Action) -> Option<Order> {
        let book = self.book.as_ref()?;
        Some(Order {
            id: id::Order::generate(),
            target: target.clone(),
            incarnation: book.incarnation(target)?,
            token: book.token(),
            action,
        })
    }

    fn check(&self, order: &Order) -> Result<(), Refusal> {
        match (&self.book, &self.guard) {
            (Some(book), Some(guard)) => book.check(order, guard),
            _ => Err(Refusal::NotCurrent),
        }
    }

    fn reserve(&mut self, order: Order, (team, kind): (&id::Team, Kind)) -> Fate {
        let (Some(book), Some(guard)) = (&mut self.book, &self.guard) else {
            return Fate::Never;
        };
        let meta = Meta {
            target: order.target.clone(),
            team: Some(team.clone()),
            kind,
            place: Place::Nowhere,
            last_sent: None,
        };
        let (id, action) = (order.id, order.action.clone());
        let reserved = book.reserve(order, guard);
        if reserved.is_ok() {
            self.meta.insert(id, meta);
        }
        fate(&action, &reserved)
    }

    /// Unloads the old copy of each shift whose new copy is ready.
    fn end_shifts(&mut self, now: Point) {
        let mut shifts = std::mem::take(&mut self.shifts);
        shifts.retain(|shift| {
            let Some(book) = &self.book else {
                return false;
            };
            if book.keeps(&shift.to, &shift.artifact) {
                let of = (&shift.team, Kind::ShiftEnd);
                return self.unload(now, of, &shift.from, &shift.artifact) == Fate::Later;
            }
            // The load that began the shift may have been dropped.
            let mut open = book.open_on(&shift.to);
            let is_open = open.any(|entry| entry.artifact() == Some(&shift.artifact));
            let mut copies = book.copies(&shift.to);
            is_open || copies.any(|copy| copy.artifact == shift.artifact)
        });
        self.shifts = shifts;
    }
}
