//! Effect of moves on a view, with the rules that every move must satisfy.
//!
//! Policies and the arbiter both apply their moves to a draft, and so check the same rules:
//!
//! - Memory is counted for the worst case. An unload frees nothing until a report confirms it.
//! - An adapter is loaded only where its base model is ready, and a base model is unloaded only after
//!   its adapters on that target.
//! - The last reachable copy stays, unless a reachable newer version replaces it.

use buckthornmast_types::{report::Phase, size::Bytes};
use smallvec::SmallVec;

use crate::{
    plan::Action,
    view::{Copy, Health, View},
};

/// View with moves applied to it.
#[derive(Debug, Clone)]
pub struct Draft<'a> {
    view: &'a View,
    free: Vec<Bytes>,
    copies: Vec<SmallVec<[Copy; 4]>>,
    artifacts_on: Vec<SmallVec<[usize; 8]>>,
    adapters: Vec<SmallVec<[usize; 4]>>,
}

impl<'a> Draft<'a> {
    /// Creates a draft of a view without moves.
    pub fn new(view: &'a View) -> Self {
        let mut artifacts_on = vec![SmallVec::new(); view.targets.len()];
        for (item, entry) in view.artifacts.iter().enumerate() {
            for copy in &entry.copies {
                artifacts_on[copy.target].push(item);
            }
        }
        let mut adapters = vec![SmallVec::new(); view.artifacts.len()];
        for (item, entry) in view.artifacts.iter().enumerate() {
            if let Some(base) = entry.base {
                adapters[base].push(item);
            }
        }
        Self {
            view,
            adapters,
            free: view.targets.iter().map(|target| target.free).collect(),
            copies: view.artifacts.iter().map(|i| i.copies.clone()).collect(),
            artifacts_on,
        }
    }

    /// Returns the view without the moves.
    pub fn view(&self) -> &'a View {
        self.view
    }

    /// Returns the copies of an artifact.
    pub fn copies(&self, item: usize) -> &[Copy] {
        &self.copies[item]
    }

    /// Returns the artifacts that have a copy on a target.
    pub fn artifacts_on(&self, target: usize) -> &[usize] {
        &self.artifacts_on[target]
    }

    /// Returns the free memory of a target.
    pub fn free(&self, target: usize) -> Bytes {
        self.free[target]
    }

    /// Reserves the free memory of a target for an artifact that a later decision places.
    pub fn reserve(&mut self, target: usize) {
        self.free[target] = Bytes::ZERO;
    }

    /// Returns the phase of the copy of an artifact on a target.
    pub fn phase(&self, item: usize, target: usize) -> Option<Phase> {
        let copy = self.copies[item].iter().find(|c| c.target == target);
        copy.map(|copy| copy.phase)
    }

    /// Returns the number of copies that can answer requests.
    pub fn reachable_copies(&self, item: usize) -> usize {
        let copies = self.copies[item].iter();
        copies.filter(|copy| self.view.is_reachable(**copy)).count()
    }

    /// Returns whether an artifact has a copy on a ready target that is ready or loading.
    pub fn is_covered(&self, item: usize) -> bool {
        self.copies[item].iter().any(|copy| {
            copy.phase != Phase::Unloading && self.view.targets[copy.target].health == Health::Ready
        })
    }

    /// Returns whether an artifact can be loaded on a target, apart from the free memory.
    pub fn is_eligible(&self, item: usize, target: usize) -> bool {
        let host = &self.view.targets[target];
        let entry = &self.view.artifacts[item];
        host.service == entry.service
            && host.health == Health::Ready
            && entry.bytes <= host.memory
            && self.phase(item, target).is_none()
            && entry
                .base
                .is_none_or(|base| self.phase(base, target) == Some(Phase::Ready))
    }

    /// Returns whether an artifact can be loaded on a target now.
    pub fn can_load(&self, item: usize, target: usize) -> bool {
        self.view.artifacts[item].bytes <= self.free[target] && self.is_eligible(item, target)
    }

    /// Returns whether the copy of an artifact on a target is spare, because another reachable copy remains or the
    /// artifact is a version with a reachable replacement.
    ///
    /// Controllers of two domains may decide at the same time on different views. A copy that another
    /// controller could unload counts only if its target has a lower id, so that no controller unloads
    /// the copy on the target with the lowest id.
    pub fn is_spare(&self, item: usize, target: usize) -> bool {
        let targets = &self.view.targets;
        self.view.is_superseded(item)
            || self.copies[item].iter().any(|copy| {
                let other = &targets[copy.target];
                copy.target != target
                    && self.view.is_reachable(*copy)
                    && (other.is_controlled || other.id < targets[target].id)
            })
    }

    /// Returns all adapters of a base model.
    pub fn all_adapters(&self, base: usize) -> &[usize] {
        &self.adapters[base]
    }

    /// Returns the adapters of a base model that have a copy on a target.
    pub fn adapters(&self, base: usize, target: usize) -> impl Iterator<Item = usize> + '_ {
        let items = self.artifacts_on[target].iter().copied();
        items.filter(move |item| self.view.artifacts[*item].base == Some(base))
    }

    /// Returns whether an artifact can be unloaded from a target now.
    pub fn can_unload(&self, item: usize, target: usize) -> bool {
        self.phase(item, target) == Some(Phase::Ready)
            && self.view.targets[target].health != Health::Unresponsive
            && self.is_spare(item, target)
            && self.adapters(item, target).next().is_none()
    }

    /// Returns whether a move satisfies all rules.
    pub fn allows(&self, action: Action) -> bool {
        match action {
            Action::Load { artifact, target }
            | Action::Shift {
                artifact,
                to: target,
                ..
            } => self.can_load(artifact, target),
            Action::Unload { artifact, target } => self.can_unload(artifact, target),
        }
    }

    /// Applies a move that [`Self::allows`] permits.
    pub fn apply(&mut self, action: Action) {
        let (item, target) = (action.artifact(), action.target());
        if action.is_load() {
            self.free[target] = self.free[target].saturating_sub(self.view.artifacts[item].bytes);
            self.artifacts_on[target].push(item);
            self.copies[item].push(Copy {
                target,
                phase: Phase::Loading,
            });
            return;
        }
        for copy in &mut self.copies[item] {
            if copy.target == target {
                copy.phase = Phase::Unloading;
            }
        }
    }
}
