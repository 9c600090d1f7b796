//! Services and content types of claims, each stored once.

use buckthornmast_types::id;
use serde::{Deserialize, Serialize};

/// Labels in use; claims of further services are refused.
const MAX_LABELS: usize = 1024;
/// Labels in use beyond which a new content type is not kept, so that services still get theirs.
const MAX_KINDS: usize = 512;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Label {
    service: id::Service,
    kind: String,
    is_empty: bool,
    /// Claims with this label; counted anew from a snapshot.
    #[serde(skip)]
    uses: u32,
}

/// Labels by number; `None` is a number that is free.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Labels(Vec<Option<Label>>);

impl Labels {
    fn find(&self, service: &id::Service, kind: &str, is_empty: bool) -> Option<u16> {
        let is_same = |label: &Label| {
            label.is_empty == is_empty && label.kind == kind && label.service == *service
        };
        let mut labels = self.0.iter();
        let found = labels.position(|label| label.as_ref().is_some_and(is_same))?;
        u16::try_from(found).ok()
    }

    fn get(&self, label: u16) -> Option<&Label> {
        self.0.get(usize::from(label))?.as_ref()
    }

    fn take(
        &mut self,
        service: &id::Service,
        kind: &str,
        is_empty: bool,
        limit: usize,
    ) -> Option<u16> {
        if let Some(known) = self.find(service, kind, is_empty) {
            self.acquire(known)?;
            return Some(known);
        }
        // The count decides, as numbers may differ between a replica that read an old snapshot and others.
        if self.0.iter().flatten().count() >= limit {
            return None;
        }
        let free = self.0.iter().position(Option::is_none);
        let number = free.unwrap_or(self.0.len());
        let label = Some(Label {
            service: service.clone(),
            kind: kind.to_owned(),
            is_empty,
            uses: 1,
        });
        match self.0.get_mut(number) {
            Some(free) => *free = label,
            None => self.0.push(label),
        }
        u16::try_from(number).ok()
    }

    /// Takes the plain label of a service for a claim that is not finished.
    pub(super) fn open(&mut self, service: &id::Service) -> Option<u16> {
        self.take(service, "", false, MAX_LABELS)
    }

    /// Gives the plain label of a service back.
    pub(super) fn close(&mut self, service: &id::Service) {
        if let Some(label) = self.find(service, "", false) {
            self.release(label);
        }
    }

    /// Turns the plain label of a service into one with the content type, if there is room for it.
    pub(super) fn finish(
        &mut self,
        service: &id::Service,
        kind: &str,
        is_empty: bool,
    ) -> Option<u16> {
        let plain = self.find(service, "", false);
        match self.take(service, kind, is_empty, MAX_KINDS) {
            Some(label) => {
                self.close(service);
                Some(label)
            }
            None => plain,
        }
    }

    /// Counts a use; `None` if the label is not known.
    pub(super) fn acquire(&mut self, label: u16) -> Option<()> {
        let label = self.0.get_mut(usize::from(label))?.as_mut()?;
        label.uses = label.uses.checked_add(1)?;
        Some(())
    }

    /// Counts the use of a claim that is not finished; `None` if its service has no label.
    pub(super) fn acquire_open(&mut self, service: &id::Service) -> Option<()> {
        let label = self.find(service, "", false)?;
        self.acquire(label)
    }

    /// Counts a use less and frees the label after its last use.
    pub(super) fn release(&mut self, label: u16) {
        let Some(slot) = self.0.get_mut(usize::from(label)) else {
            return;
        };
        if let Some(label) = slot {
            label.uses = label.uses.saturating_sub(1);
            if label.uses == 0 {
                *slot = None;
            }
        }
    }

    pub(super) fn service(&self, label: u16) -> Option<&id::Service> {
        self.get(label).map(|label| &label.service)
    }

    /// Returns the content type, and whether the body was empty.
    pub(super) fn content(&self, label: u16) -> (&str, bool) {
        let label = self.get(label);
        label.map_or(("", false), |label| (&label.kind, label.is_empty))
    }

    /// Returns whether all labels of a snapshot are used and within bounds.
    pub(super) fn is_sound(&self) -> bool {
        self.0.len() <= MAX_LABELS && self.0.iter().flatten().all(|label| label.uses > 0)
    }
}
