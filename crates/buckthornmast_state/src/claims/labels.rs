//! Labels of claims: each combination of a service and a content type is stored once.

use buckthornmast_types::id;
use serde::{Deserialize, Serialize};

/// Maximum number of labels in use. Claims of further services are refused.
const MAX_LABELS: usize = 1024;
/// Number of labels in use from which new content types are not kept, so that services still get their labels.
const MAX_LABELS_FOR_CONTENT_TYPES: usize = 512;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Label {
    service: id::Service,
    #[serde(rename = "kind")]
    content_type: String,
    is_empty: bool,
    /// Number of claims with this label; recounted when a snapshot is restored.
    #[serde(skip)]
    uses: u32,
}

/// Labels by number; `None` is a free number.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Labels(Vec<Option<Label>>);

impl Labels {
    fn find(&self, service: &id::Service, content_type: &str, is_empty: bool) -> Option<u16> {
        let is_same = |label: &Label| {
            label.is_empty == is_empty
                && label.content_type == content_type
                && label.service == *service
        };
        let mut labels = self.0.iter();
        let found = labels.position(|label| label.as_ref().is_some_and(is_same))?;
        u16::try_from(found).ok()
    }

    fn get(&self, label: u16) -> Option<&Label> {
        self.0.get(usize::from(label))?.as_ref()
    }

    fn acquire_or_add(
        &mut self,
        service: &id::Service,
        content_type: &str,
        is_empty: bool,
        limit: usize,
    ) -> Option<u16> {
        if let Some(existing) = self.find(service, content_type, is_empty) {
            self.acquire(existing)?;
            return Some(existing);
        }
        // The count is compared with the limit, since the numbers may differ between a replica that restored an old
        // snapshot and the others.
        if self.0.iter().flatten().count() >= limit {
            return None;
        }
        let free = self.0.iter().position(Option::is_none);
        let number = free.unwrap_or(self.0.len());
        let label = Some(Label {
            service: service.clone(),
            content_type: content_type.to_owned(),
            is_empty,
            uses: 1,
        });
        match self.0.get_mut(number) {
            Some(free) => *free = label,
            None => self.0.push(label),
        }
        u16::try_from(number).ok()
    }

    /// Acquires the plain label of a service, which has no content type, for an open claim.
    pub(super) fn open(&mut self, service: &id::Service) -> Option<u16> {
        self.acquire_or_add(service, "", false, MAX_LABELS)
    }

    /// Releases the plain label of a service.
    pub(super) fn close(&mut self, service: &id::Service) {
        if let Some(label) = self.find(service, "", false) {
            self.release(label);
        }
    }

    /// Replaces the plain label of a service by one with the content type, if there is room for it.
    pub(super) fn finish(
        &mut self,
        service: &id::Service,
        content_type: &str,
        is_empty: bool,
    ) -> Option<u16> {
        let plain = self.find(service, "", false);
        match self.acquire_or_add(
            service,
            content_type,
            is_empty,
            MAX_LABELS_FOR_CONTENT_TYPES,
        ) {
            Some(label) => {
                self.close(service);
                Some(label)
            }
            None => plain,
        }
    }

    /// Increments the use count of a label; returns `None` if there is no such label.
    pub(super) fn acquire(&mut self, label: u16) -> Option<()> {
        let label = self.0.get_mut(usize::from(label))?.as_mut()?;
        label.uses = label.uses.checked_add(1)?;
        Some(())
    }

    /// Increments the use count for an open claim; returns `None` if its service has no plain label.
    pub(super) fn acquire_open(&mut self, service: &id::Service) -> Option<()> {
        let label = self.find(service, "", false)?;
        self.acquire(label)
    }

    /// Decrements the use count of a label and frees it after its last use.
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
        label.map_or(("", false), |label| (&label.content_type, label.is_empty))
    }

    /// Returns whether all labels of a snapshot are in use and their number is within the limit.
    pub(super) fn is_valid(&self) -> bool {
        self.0.len() <= MAX_LABELS && self.0.iter().flatten().all(|label| label.uses > 0)
    }
}
