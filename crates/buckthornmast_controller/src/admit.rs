//! Admission of moves by the load quota of the weight store and by the ledger.

use std::collections::BTreeSet;

use buckthornmast_ledger::prelude::*;
use buckthornmast_types::{order::Action, prelude::*};

use crate::{
    core::{Core, Durability, OpenOrder, Shift},
    counter::Kind,
    maintenance,
    plan::{Move, Plan, View},
    readiness::Readiness,
};

/// Result of the admission of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Admission {
    /// An order is reserved.
    Reserved,
    /// The move may fit in a later round.
    Deferred,
    /// The move no longer applies.
    Rejected,
}

fn admission(action: &Action, result: &Result<(), Refusal>) -> Admission {
    let is_load_action = matches!(action, Action::Load { .. });
    match result {
        Ok(()) => Admission::Reserved,
        // The same move is already in progress.
        Err(Refusal::Open { is_load, .. }) if *is_load == is_load_action => Admission::Rejected,
        Err(
            Refusal::Memory { .. }
            | Refusal::Open { .. }
            | Refusal::NotCurrent
            | Refusal::LastCopy { .. }
            | Refusal::NeededByAdapter { .. },
        ) => Admission::Deferred,
        Err(_) => Admission::Rejected,
    }
}

impl Core {
    /// Admits moves in this order: missing copies, waiting moves of earlier rounds, moves of the plan,
    /// ends of shifts, version changes and drains.
    pub(crate) fn admit(&mut self, now: Point, view: &View, plan: Plan) {
        let is_counted = |t: &&crate::plan::TargetView| {
            t.is_live && t.is_current && !plan.drains.contains(&t.target)
        };
        let counted = view.targets.iter().filter(is_counted);
        let needs = plan.needs.iter().map(|need| need.alternatives());
        let guard = Guard::new(needs, counted.map(|t| t.target.clone()));
        let mut copy_index = maintenance::CopyIndex::new(view, &guard);
        let missing =
            maintenance::missing_loads(&mut copy_index, &plan, self.config.max_concurrent_loads);
        let updates_and_drains =
            maintenance::updates_and_drains(&mut copy_index, &plan, &self.shifts);
        drop(copy_index);
        self.guard = Some(guard);

        let mut open_loads = self.ledger.as_ref().map_or(0, Ledger::pending_load_count);
        for change in &missing {
            self.admit_move(now, change, &mut open_loads);
        }
        self.admit_waiting(now, plan.moves, &mut open_loads);
        self.end_shifts(now);
        for change in &updates_and_drains {
            self.admit_move(now, change, &mut open_loads);
        }
    }

    fn admit_waiting(&mut self, now: Point, moves: Vec<Move>, open_loads: &mut usize) {
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|(since, _)| now.since(*since) < self.config.max_move_age);
        let already_waiting: BTreeSet<Move> =
            waiting.iter().map(|(_, change)| change.clone()).collect();
        let new = moves
            .into_iter()
            .filter(|change| !already_waiting.contains(change));
        waiting.extend(new.map(|change| (now, change)));
        waiting
            .retain(|(_, change)| self.admit_move(now, change, open_loads) == Admission::Deferred);
        waiting.truncate(self.config.max_waiting_moves);
        self.waiting = waiting;
    }

    fn admit_move(&mut self, now: Point, change: &Move, open_loads: &mut usize) -> Admission {
        match change {
            Move::Load {
                team,
                target,
                artifact,
                bytes,
            } => self.load(
                now,
                (team, Kind::Load),
                target,
                (artifact, *bytes),
                open_loads,
            ),
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
                let admission = self.load(now, (team, Kind::Shift), to, load, open_loads);
                if admission == Admission::Reserved {
                    self.shifts.push(Shift {
                        team: team.clone(),
                        artifact: artifact.clone(),
                        from: from.clone(),
                        to: to.clone(),
                    });
                }
                admission
            }
        }
    }

    fn load(
        &mut self,
        now: Point,
        counted_as: (&id::Team, Kind),
        target: &id::Target,
        (artifact, bytes): (&Artifact, Bytes),
        open_loads: &mut usize,
    ) -> Admission {
        if !self.guard.as_ref().is_some_and(|g| g.is_counted(target)) {
            return Admission::Rejected;
        }
        let action = Action::Load {
            artifact: artifact.clone(),
            bytes,
        };
        let Some(order) = self.new_order(target, action) else {
            return Admission::Rejected;
        };
        let checked = admission(&order.action, &self.check(&order));
        if checked != Admission::Reserved {
            return checked;
        }
        if !self.load_quota.try_acquire(now, *open_loads) {
            return Admission::Deferred;
        }
        *open_loads += 1;
        self.reserve(order, counted_as)
    }

    fn unload(
        &mut self,
        now: Point,
        counted_as: (&id::Team, Kind),
        target: &id::Target,
        artifact: &Artifact,
    ) -> Admission {
        let (Some(ledger), Some(guard)) = (&self.ledger, &self.guard) else {
            return Admission::Rejected;
        };
        let ready_before = Readiness::cutoff(now, self.config.min_ready_time);
        let copy = (target, artifact);
        if !self
            .readiness
            .may_unload((ledger, guard), copy, ready_before)
        {
            return Admission::Deferred;
        }
        let artifact = artifact.clone();
        match self.new_order(target, Action::Unload { artifact }) {
            Some(order) => self.reserve(order, counted_as),
            None => Admission::Rejected,
        }
    }

    fn new_order(&self, target: &id::Target, action: Action) -> Option<Order> {
        let ledger = self.ledger.as_ref()?;
        Some(Order {
            id: id::Order::generate(),
            target: target.clone(),
            incarnation: ledger.incarnation(target)?,
            token: ledger.token(),
            action,
        })
    }

    fn check(&self, order: &Order) -> Result<(), Refusal> {
        match (&self.ledger, &self.guard) {
            (Some(ledger), Some(guard)) => ledger.check(order, guard),
            _ => Err(Refusal::NotCurrent),
        }
    }

    fn reserve(&mut self, order: Order, (team, kind): (&id::Team, Kind)) -> Admission {
        let (Some(ledger), Some(guard)) = (&mut self.ledger, &self.guard) else {
            return Admission::Rejected;
        };
        let open = OpenOrder {
            target: order.target.clone(),
            team: Some(team.clone()),
            kind,
            durability: Durability::Unrecorded,
            last_sent: None,
        };
        let (id, action) = (order.id, order.action.clone());
        let reserved = ledger.reserve(order, guard);
        if reserved.is_ok() {
            self.open_orders.insert(id, open);
        }
        admission(&action, &reserved)
    }

    /// Unloads the old copy of each shift whose new copy is ready.
    fn end_shifts(&mut self, now: Point) {
        let mut shifts = std::mem::take(&mut self.shifts);
        shifts.retain(|shift| {
            let Some(ledger) = &self.ledger else {
                return false;
            };
            if ledger.has_stable_copy(&shift.to, &shift.artifact) {
                let counted_as = (&shift.team, Kind::ShiftEnd);
                return self.unload(now, counted_as, &shift.from, &shift.artifact)
                    == Admission::Deferred;
            }
            // The load that began the shift may have been dropped.
            let mut open = ledger.open_orders_on(&shift.to);
            let is_open = open.any(|entry| entry.artifact() == Some(&shift.artifact));
            let mut copies = ledger.copies(&shift.to);
            is_open || copies.any(|copy| copy.artifact == shift.artifact)
        });
        self.shifts = shifts;
    }
}
